package adminserver

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"marlreel/internal/testutil"
)

// What the admin endpoint answers to the platform, to the byte.
func TestCompatibilityAnswers(t *testing.T) {
	var ready atomic.Bool
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := New(ready.Load, func(b []byte) []byte { return append(b, "proxy.outstanding:0|g\n"...) }, maxTestConnections)
	d.Handle("/control/discovery", func() (int, []byte) { return 200, []byte("{}\n") })
	done := make(chan error, 1)
	go func() { done <- d.Serve(ln) }()
	defer func() {
		d.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	var got strings.Builder
	for _, c := range []struct {
		call  string
		ready bool
	}{
		{"GET /control/ready", false},
		{"GET /control/ready", true},
		{"GET /control/counters", true},
		{"GET /control/discovery", true},
		{"GET /control/fleet", true},
		{"GET /", true},
		{"POST /control/ready", true},
		{"HEAD /control/counters", true},
		{"nonsense", true},
	} {
		ready.Store(c.ready)
		conn := testutil.Dial(t, ln.Addr().String())
		if err := conn.SetReadDeadline(time.Now().Add(testutil.Patience)); err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: n0\r\n\r\n", c.call); err != nil {
			t.Fatal(err)
		}
		answer, err := io.ReadAll(conn)
		if err != nil {
			t.Fatalf("%s: %v", c.call, err)
		}
		fmt.Fprintf(&got, "--- %s, ready %v\n%s", c.call, c.ready, strings.ReplaceAll(string(answer), "\r\n", "\\r\\n\n"))
	}
	compareRecorded(t, "answers.txt", []byte(got.String()))
}

// The files under testdata/compatibility hold what the tree at commit 6fb9894 wrote. They stay as they are: a
// difference is a change of a form that others read, not a reason to write them anew. The variable below wrote
// them; it only makes files that are not there.
const writeCompatibility = "MARLREEL_WRITE_COMPATIBILITY"

// compareRecorded compares bytes with a recorded file.
func compareRecorded(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "compatibility", name)
	want, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && os.Getenv(writeCompatibility) != "" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs\n got %s\nwant %s", name, got, want)
	}
}
