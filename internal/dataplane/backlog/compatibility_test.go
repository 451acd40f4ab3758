package backlog

import (
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
)

// The files under testdata/compatibility were written by the code of commit 6fb9894, with
// WRITE_COMPATIBILITY=1. They hold forms that other processes, backends and operators rely on.
// They must not be written anew to get a pass.

// checkRecorded compares a text with the recorded one.
func checkRecorded(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "compatibility", name)
	if os.Getenv("WRITE_COMPATIBILITY") != "" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs from what was recorded\n got:\n%s\nwant:\n%s", path, got, want)
	}
}

// Backends are told by a hash of their ids, and their work in the order of the hashes.
func TestCompatibilityOfMessages(t *testing.T) {
	work := Work{}
	for i, id := range []string{"i-7f3a91c2", "i-1", "i-2", ""} {
		work[Key(id)] = uint32(10 * (i + 1))
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(ToProto("llm", work))
	if err != nil {
		t.Fatal(err)
	}
	checkRecorded(t, "message.hex", hex.EncodeToString(data)+"\n")
}

// A recorded message is read into the work of the same backends; what has no figure is left out.
func TestCompatibilityOfReading(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "compatibility", "message.hex"))
	if err != nil {
		t.Fatal(err)
	}
	data, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	message := new(api.Backlog)
	if err := proto.Unmarshal(data, message); err != nil {
		t.Fatal(err)
	}
	work := FromProto(message)
	var out strings.Builder
	for _, id := range []string{"i-7f3a91c2", "i-1", "i-2", "", "i-unknown"} {
		fmt.Fprintf(&out, "%q key %d work %d\n", id, Key(id), work[Key(id)])
	}
	checkRecorded(t, "work.txt", out.String())
}
