package statefile

import (
	"bytes"
	"encoding/json"
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

// The files under testdata/compatibility were written, and named, by the code of commit 6fb9894. They represent the
// files that a proxy keeps on its disk between two starts. Don't regenerate them to make a test pass: a failing test
// means that the code can no longer read stored data. The compatibility test of package codec checks the state inside
// a record in more detail.
//
// A missing file is written by
//
//	WRITE_COMPATIBILITY_FILES=1 go test -run TestCompatibility ./internal/process/learnedstate/statefile
//
// Existing files are never overwritten.
const (
	compatibilityFolder = "testdata/compatibility"
	writeVariable       = "WRITE_COMPATIBILITY_FILES"
)

// storedRecord is a stored file and its content.
type storedRecord struct {
	proxy string // its name
	file  string
	Record
}

func storedRecords() []storedRecord {
	state := &learnedstate.State{
		ProxyName: "edge-1",
		TakenAt:   time.Date(2026, 11, 30, 12, 34, 56, 0, time.UTC),
		Classes:   []learnedstate.Class{{Name: "interactive", Served: 2.5}},
		Tenants:   []learnedstate.Tenant{{Name: "tenant-a"}},
		Backends: []learnedstate.Backend{{
			Name: "llm-1", Address: "10.0.0.1:8000", Healthy: true, FailedChecks: 3, ConcurrencyLimit: 4.5,
			LastOK: time.Second, EjectedFor: learnedstate.Never, SinceStart: learnedstate.Never, Cells: []grayfailure.CellState{{FaultProbability: 0.5, SinceUpdate: time.Minute}},
		}},
	}
	return []storedRecord{
		{proxy: "edge-1", file: "marlreel-edge-1.memory", Record: Record{
			WrittenAt: staleness.Timestamp{
				Wall: time.Date(2026, 11, 30, 12, 34, 57, 123_456_789, time.UTC), BootID: "0c3f9f0e-7a53-4a32-9d3c-8f6f2c1b7a11",
				Uptime: 36*time.Hour + 250*time.Millisecond,
			},
			ShutDown: true,
			State:    state,
		}},
		{proxy: "zone a/Edge_2", file: "marlreel-zone.a.Edge_2.memory", Record: Record{
			WrittenAt: staleness.Timestamp{Wall: time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)}, // without the time since the machine started
			State:     &learnedstate.State{ProxyName: "zone a/Edge_2", TakenAt: time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)},
		}},
	}
}

// TestCompatibilityOfStoredContent loads stored records by the names of their proxies.
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
			if !got.WrittenAt.Wall.Equal(want.WrittenAt.Wall) {
				t.Errorf("At.Wall is %v, want %v", got.WrittenAt.Wall, want.WrittenAt.Wall)
			}
			if got.WrittenAt.BootID != want.WrittenAt.BootID {
				t.Errorf("At.Boot is %q, want %q", got.WrittenAt.BootID, want.WrittenAt.BootID)
			}
			if got.WrittenAt.Uptime != want.WrittenAt.Uptime {
				t.Errorf("At.Up is %v, want %v", got.WrittenAt.Uptime, want.WrittenAt.Uptime)
			}
			if got.ShutDown != want.ShutDown {
				t.Errorf("Stopped is %t, want %t", got.ShutDown, want.ShutDown)
			}
			got.State.TakenAt = got.State.TakenAt.UTC() // its zone is not stored
			if !reflect.DeepEqual(got.State, want.State) {
				t.Errorf("State is\n%+v\nwant\n%+v", got.State, want.State)
			}
		})
	}
}

// TestCompatibilityOfStoredBytes encodes the content of stored records, as an earlier version must be able to read it
// too.
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
				t.Errorf("encoded\n%x\nwant the stored bytes\n%x", got, stored)
			}
		})
	}
}

// TestCompatibilityOfStoredNames checks the frame of a record and the names of its fields without using this package.
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
			t.Errorf("field %s is missing", name)
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

// TestCompatibilityOfPrintedNames compares the JSON that 'marlreel state show --json' prints for a stored file, including
// the names of the fields. The file testdata/compatibility/marlreel-edge-1.json was printed by the code of commit
// 6fb9894.
func TestCompatibilityOfPrintedNames(t *testing.T) {
	want, err := os.ReadFile(filepath.Join(compatibilityFolder, "marlreel-edge-1.json"))
	if err != nil {
		t.Fatal(err)
	}
	record, err := Open(compatibilityFolder, "edge-1").Load()
	if err != nil {
		t.Fatal(err)
	}
	record.State.TakenAt = record.State.TakenAt.UTC() // its zone is not stored
	record.WrittenAt.Wall = record.WrittenAt.Wall.UTC()
	got, err := json.MarshalIndent(record, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(append(got, '\n'), want) {
		t.Errorf("printed\n%s\nwant\n%s", got, want)
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

// writeMissingFiles writes missing files if writeVariable is set.
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
