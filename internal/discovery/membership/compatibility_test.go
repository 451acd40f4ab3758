package membership

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"marlreel/internal/testing/recorded"
)

// The JSON of /control/discovery, with all keys and without the optional ones.
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
		recorded.Check(t, name, string(append(got, '\n')))
		recorded, err := os.ReadFile(filepath.Join("testdata", "compatibility", name))
		if err != nil {
			t.Fatal(err)
		}
		var read Status
		if err := json.Unmarshal(recorded, &read); err != nil {
			t.Fatal(err)
		}
		if again, err := json.MarshalIndent(read, "", " "); err != nil || !bytes.Equal(append(again, '\n'), recorded) {
			t.Errorf("%s: decoded and encoded again: %s (%v)", name, again, err)
		}
	}
}

// The name under which an operator confirms a list is a key in the registry.
func TestCompatibilityConfirmKey(t *testing.T) {
	recorded.Check(t, "confirm-key.txt", ConfirmKey+"\n")
}
