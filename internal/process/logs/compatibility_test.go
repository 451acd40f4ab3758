package logs

import (
	"bytes"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"
)

// The forms of [log] format: a line for people, and an object for machines with the event's name and its fields.
func TestCompatibilityForms(t *testing.T) {
	if Text != "text" || JSON != "json" {
		t.Errorf("formats %q and %q", Text, JSON)
	}
	clock := regexp.MustCompile(`"time":"[^"]*"|(?m)^\d\d:\d\d:\d\d\.\d{6} `)
	for _, format := range []string{Text, JSON} {
		var b bytes.Buffer
		l := New(&b, format)
		l.Info("serving", "event", "ready", "address", "127.0.0.1:7800", "backends", 3, "after", 250*time.Millisecond)
		l.Warn("it can't be read: \"x y\"", "event", "list", "do", "mend that entry", "err", errors.New("a b"), "empty", "")
		l.With("event", "http").Error("a \u010d line\nwith a break")
		l.Debug("not said")
		ForEvent(l, "engine")("%d backends", 7)
		compareRecorded(t, "lines-"+format+".txt", clock.ReplaceAll(b.Bytes(), []byte("TIME ")))
	}
	var b bytes.Buffer
	NewWithoutTime(&b).Info("without the time", "event", "x")
	compareRecorded(t, "lines-plain.txt", b.Bytes())
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
