package store

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"marlreel/internal/balancer/grayfailure"
	"marlreel/internal/balancer/staleness"
	"marlreel/internal/process/learnedstate"
	"marlreel/internal/process/learnedstate/codec"
)

// The files under testdata/compatibility were written by the code of commit 6fb9894, and have the names that it gave
// them. They stand for what a proxy keeps on its disk from one start to the next. They must not be written again to make
// a test pass: where this test fails, the code has lost the ability to read stored data. What the state in them holds
// is looked at more closely by the like test of package codec.
//
// A file that is missing is written by
//
//	WRITE_COMPATIBILITY_FILES=1 go test -run TestCompatibility ./internal/process/store
//
// Files that exist are never overwritten.
const (
	compatibilityFolder = "testdata/compatibility"
	writeVariable       = "WRITE_COMPATIBILITY_FILES"
)

// storedRecord is a stored file and what it holds.
type storedRecord struct {
	proxy string // its name
	file  string
	Record
}

func storedRecords() []storedRecord {
	state := &learnedstate.State{
		Of:      "edge-1",
		Taken:   time.Date(2026, 11, 30, 12, 34, 56, 0, time.UTC),
		Classes: []learnedstate.Class{{Name: "interactive", Served: 2.5}},
		Tenants: []learnedstate.Tenant{{Name: "tenant-a"}},
		Backends: []learnedstate.Backend{{
			Name: "llm-1", Addr: "10.0.0.1:8000", Healthy: true, Fails: 3, Limit: 4.5,
			LastOK: time.Second, Ejected: learnedstate.Never, Cold: learnedstate.Never, Cells: []grayfailure.CellState{{FaultProbability: 0.5, At: time.Minute}},
		}},
	}
	return []storedRecord{
		{proxy: "edge-1", file: "marlreel-edge-1.memory", Record: Record{
			At: staleness.Timestamp{
				Wall: time.Date(2026, 11, 30, 12, 34, 57, 123_456_789, time.UTC), BootID: "0c3f9f0e-7a53-4a32-9d3c-8f6f2c1b7a11",
				Uptime: 36*time.Hour + 250*time.Millisecond,
			},
			Stopped: true,
			State:   state,
		}},
		{proxy: "zone a/Edge_2", file: "marlreel-zone.a.Edge_2.memory", Record: Record{
			At:    staleness.Timestamp{Wall: time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)}, // the start of the machine is not known
			State: &learnedstate.State{Of: "zone a/Edge_2", Taken: time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)},
		}},
	}
}

// TestCompatibilityOfStoredContent loads stored records under the names of their proxies.
func TestCompatibilityOfStoredContent(t *testing.T) {
	writeMissingFiles(t)
	for _, want := range storedRecords() {
		t.Run(want.file, func(t *testing.T) {
			store := Open(compatibilityFolder, want.proxy)
			if got := filepath.Base(store.Path()); got != want.file {
				t.Errorf("the file's name is %q, want %q", got, want.file)
			}
			got, err := store.Load()
			if err != nil || got == nil {
				t.Fatalf("the record is %v: %v", got, err)
			}
			if !got.At.Wall.Equal(want.At.Wall) {
				t.Errorf("At.Wall is %v, want %v", got.At.Wall, want.At.Wall)
			}
			if got.At.BootID != want.At.BootID {
				t.Errorf("At.Boot is %q, want %q", got.At.BootID, want.At.BootID)
			}
			if got.At.Uptime != want.At.Uptime {
				t.Errorf("At.Up is %v, want %v", got.At.Uptime, want.At.Uptime)
			}
			if got.Stopped != want.Stopped {
				t.Errorf("Stopped is %t, want %t", got.Stopped, want.Stopped)
			}
			got.State.Taken = got.State.Taken.UTC() // its zone is not stored
			if !reflect.DeepEqual(got.State, want.State) {
				t.Errorf("State is\n%+v\nwant\n%+v", got.State, want.State)
			}
		})
	}
}

// TestCompatibilityOfStoredBytes encodes the content of stored records: an earlier version has to read it in turn.
func TestCompatibilityOfStoredBytes(t *testing.T) {
	writeMissingFiles(t)
	for _, want := range storedRecords() {
		t.Run(want.file, func(t *testing.T) {
			stored, err := os.ReadFile(filepath.Join(compatibilityFolder, want.file))
			if err != nil {
				t.Fatal(err)
			}
			got, err := encoded(&want.Record)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got, stored) {
				t.Errorf("encoded is\n%x\nand stored is\n%x", got, stored)
			}
		})
	}
}

// TestCompatibilityOfStoredNames reads a record with no help from this package: its frame, and the names of its fields.
func TestCompatibilityOfStoredNames(t *testing.T) {
	writeMissingFiles(t)
	stored, err := os.ReadFile(filepath.Join(compatibilityFolder, "marlreel-edge-1.memory"))
	if err != nil {
		t.Fatal(err)
	}
	const header = 14 // "MRST", version 1, length, checksum
	if string(stored[:6]) != "MRST\x00\x01" {
		t.Errorf("the file begins with %q", stored[:6])
	}
	var fields map[string]any
	if err := msgpack.Unmarshal(stored[header:], &fields); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"Wall", "Boot", "Up", "Stopped", "State"} {
		if _, there := fields[name]; !there {
			t.Errorf("there is no field %s", name)
		}
	}
	if len(fields) != 5 {
		t.Errorf("there are %d fields, want 5", len(fields))
	}
	state, _ := fields["State"].([]byte)
	if _, err := codec.Decode(state); err != nil {
		t.Error(err)
	}
}

// TestCompatibilityOfReplacement writes a record over a stored one.
func TestCompatibilityOfReplacement(t *testing.T) {
	writeMissingFiles(t)
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(compatibilityFolder)); err != nil {
		t.Fatal(err)
	}
	store, next := Open(folder, "edge-1"), numbered(5)
	if err := save(store, next); err != nil {
		t.Fatal(err)
	}
	got, err := store.Load()
	if err != nil || number(got) != 5 {
		t.Errorf("%v: %v", got, err)
	}
}

// writeMissingFiles writes the records that are missing, if that is asked for.
func writeMissingFiles(t *testing.T) {
	t.Helper()
	if os.Getenv(writeVariable) == "" {
		return
	}
	if err := os.MkdirAll(compatibilityFolder, 0o755); err != nil {
		t.Fatal(err)
	}
	for _, r := range storedRecords() {
		store := Open(compatibilityFolder, r.proxy)
		if _, err := os.Stat(store.Path()); err == nil {
			continue
		}
		if err := save(store, &r.Record); err != nil {
			t.Fatal(err)
		}
	}
}
