package agree

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// The files under testdata/compatibility were written by the code of commit 6fb9894: the state of a fleet before some
// changes, the changes as they stand in the log, one a line, and the state after each of them, one a line. They must not
// be written again to make a test pass: where this test fails, keepers of two versions come to different states from one
// log. The stored disk with such states and changes is checked by the corresponding test of package disk.
//
// A file that is missing is written by
//
//	WRITE_COMPATIBILITY_FILES=1 go test -run TestCompatibility ./internal/fleet/agree
//
// Files that exist are never overwritten.
const (
	compatibilityFolder = "testdata/compatibility"
	writeVariable       = "WRITE_COMPATIBILITY_FILES"
)

func storedBefore() *State {
	return &State{
		Born: 123456789, Seq: 41, Step: 40, Open: 3,
		Versions: []Version{
			{Number: 2, Hash: "0123456789abcdef", By: "n1"},
			{
				Number: 3, Hash: "fedcba9876543210", By: "n2", ID: "p0", Why: "more for b", At: time.Date(2026, 11, 29, 8, 30, 0, 0, time.UTC),
				Text: `{"limits":{"tenant-b":9}}`,
			},
		},
		Floors:  map[string]Floor{"discovery": {History: 2, Revision: 55}, "registry": {Revision: 6}},
		Ends:    []End{{Source: "discovery", Name: "llm-8", Revision: 54}, {Source: "registry", Name: "llm-9", Revision: 6, Gone: true}},
		Keepers: []Seat{{Name: "n1", ID: 77}, {Name: "n2", ID: 78}},
	}
}

func storedChanges() []Change {
	at := time.Date(2026, 11, 30, 12, 0, 0, 123_000_000, time.UTC)
	return []Change{
		{Kind: "propose", ID: "p1", Base: 3, Text: `{"limits": {"tenant-b": 9, "tenant-a": 5}}`, By: "n2", Why: "some for a", At: at},
		{Kind: "open", Version: 4},
		{
			Kind: "told", Source: "discovery", Floor: Floor{History: 2, Revision: 77},
			Ends: []End{{Source: "discovery", Name: "llm-1", Revision: 76}, {Source: "discovery", Name: "llm-2", Revision: 77, Gone: true}},
		},
		{Kind: "reset", Source: "registry"},
		{Kind: "keepers", Keepers: []Seat{{Name: "n1", ID: 77}, {Name: "n3", ID: 1 << 60}}},
		{Kind: "of a later version"},
	}
}

// TestCompatibilityOfStoredStates decodes the stored state and changes, and encodes them again.
func TestCompatibilityOfStoredStates(t *testing.T) {
	writeMissingFiles(t)
	before := readStored(t, "before.json")
	got := decodeState(t, before)
	if want := storedBefore(); !reflect.DeepEqual(got, want) {
		t.Errorf("the state is\n%+v\nwant\n%+v", got, want)
	}
	if again := encodeLine(t, storedBefore()); !bytes.Equal(again, before) {
		t.Errorf("the state is encoded as\n%s\nand stored as\n%s", again, before)
	}
	changes := storedLines(t, "changes.jsonl")
	if len(changes) != len(storedChanges()) {
		t.Fatalf("there are %d changes", len(changes))
	}
	for i, want := range storedChanges() {
		var got Change
		if err := json.Unmarshal([]byte(changes[i]), &got); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("change %d is\n%+v\nwant\n%+v", i, got, want)
		}
		if again := string(encodeLine(t, want)); again != changes[i]+"\n" {
			t.Errorf("change %d is encoded as\n%s\nand stored as\n%s", i, again, changes[i])
		}
	}
}

// TestCompatibilityOfStoredLog applies the stored changes to the stored state.
func TestCompatibilityOfStoredLog(t *testing.T) {
	writeMissingFiles(t)
	state := decodeState(t, readStored(t, "before.json"))
	after := storedLines(t, "after.jsonl")
	for i, line := range storedLines(t, "changes.jsonl") {
		var change Change
		if err := json.Unmarshal([]byte(line), &change); err != nil {
			t.Fatal(err)
		}
		state.apply(uint64(42+i), change)
		if got := string(encodeLine(t, state)); got != after[i]+"\n" {
			t.Errorf("after change %d, %s, the state is\n%s\nwant\n%s", i, change.Kind, got, after[i])
		}
	}

	// The last state, field by field.
	want := storedBefore()
	want.Seq, want.Step, want.Open = 46, 43, 4
	want.Versions = append(want.Versions, Version{
		Number: 4, Hash: "e1e512be1dc68be2", By: "n2", ID: "p1", Why: "some for a",
		At: storedChanges()[0].At, Text: `{"limits": {"tenant-b": 9, "tenant-a": 5}}`,
	})
	want.Floors = map[string]Floor{"discovery": {History: 2, Revision: 77}, "registry": {History: 1}}
	want.Ends = []End{
		{Source: "discovery", Name: "llm-1", Revision: 76},
		{Source: "discovery", Name: "llm-2", Revision: 77, Gone: true},
		{Source: "discovery", Name: "llm-8", Revision: 54},
	}
	want.Keepers = []Seat{{Name: "n1", ID: 77}, {Name: "n3", ID: 1 << 60}}
	if !reflect.DeepEqual(state, want) {
		t.Errorf("the state is\n%+v\nwant\n%+v", state, want)
	}
}

// TestCompatibilityOfHashes compares the hashes of versions' texts, which are stored with them.
func TestCompatibilityOfHashes(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"an object", `{"limits":{"tenant-a":5,"tenant-b":9}}`, "e1e512be1dc68be2"},
		{"the same one, ordered and spaced otherwise", `{"limits": {"tenant-b": 9, "tenant-a": 5}}`, "e1e512be1dc68be2"},
		{"no JSON", "no JSON", "29ecbeb830e32446"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Hash(c.text); got != c.want {
				t.Errorf("the hash is %s, want %s", got, c.want)
			}
		})
	}
}

func decodeState(t *testing.T, data []byte) *State {
	t.Helper()
	s := new(State)
	if err := json.Unmarshal(data, s); err != nil {
		t.Fatal(err)
	}
	return s
}

// encodeLine returns the JSON of a value as it is stored, and a newline.
func encodeLine(t *testing.T, value any) []byte {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return append(data, '\n')
}

func readStored(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(compatibilityFolder, name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func storedLines(t *testing.T, name string) []string {
	t.Helper()
	return strings.Split(strings.TrimSuffix(string(readStored(t, name)), "\n"), "\n")
}

// writeMissingFiles writes the missing files if writeVariable is set.
func writeMissingFiles(t *testing.T) {
	t.Helper()
	if os.Getenv(writeVariable) == "" {
		return
	}
	if err := os.MkdirAll(compatibilityFolder, 0o755); err != nil {
		t.Fatal(err)
	}
	var changes, after bytes.Buffer
	state := storedBefore()
	for i, change := range storedChanges() {
		state.apply(uint64(42+i), change)
		changes.Write(encodeLine(t, change))
		after.Write(encodeLine(t, state))
	}
	for name, data := range map[string][]byte{"before.json": encodeLine(t, storedBefore()), "changes.jsonl": changes.Bytes(), "after.jsonl": after.Bytes()} {
		path := filepath.Join(compatibilityFolder, name)
		if _, err := os.Stat(path); err == nil {
			continue
		}
		if err := os.WriteFile(path, data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
}
