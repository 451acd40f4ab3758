package membership

import (
	"bytes"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// The JSON of /control/discovery, with all keys and with what may be left out left out.
func TestCompatibilityStatus(t *testing.T) {
	for name, status := range map[string]Status{
		"status.json": {
			Source: "etcd", Revision: 17, Age: 250 * time.Millisecond, Entries: 12, Retained: []string{"a1"}, Damped: []string{"a2"},
			Sources: []SourceStatus{{Name: "etcd", Revision: 17, Synced: true, Unreachable: true, LossReason: "answered 503", Malformed: map[string]string{"a3": "no JSON"}}, {Name: "platform", Revision: 4}},
		},
		"status-empty.json": {Age: -1},
	} {
		got, err := json.MarshalIndent(status, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		compareRecorded(t, name, append(got, '\n'))
		recorded, err := os.ReadFile(filepath.Join("testdata", "compatibility", name))
		if err != nil {
			t.Fatal(err)
		}
		var read Status
		if err := json.Unmarshal(recorded, &read); err != nil {
			t.Fatal(err)
		}
		if again, err := json.MarshalIndent(read, "", " "); err != nil || !bytes.Equal(append(again, '\n'), recorded) {
			t.Errorf("%s: read and written again it is %s (%v)", name, again, err)
		}
	}
}

// The name under which an operator confirms a list is a key in the registry.
func TestCompatibilityConfirmKey(t *testing.T) {
	compareRecorded(t, "confirm-key.txt", []byte(ConfirmKey+"\n"))
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
