package disk

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"marlreel/internal/fleet/agree"
)

// The folders under testdata/compatibility were written by the code of commit 6fb9894. They stand for the disks of
// running fleets. They must not be written again to make a test pass: where this test fails, the code has lost the ability
// to read stored data.
//
// A folder that is missing is written by
//
//	WRITE_COMPATIBILITY_FILES=1 go test -run TestCompatibility ./internal/fleet/disk
//
// Folders that exist are never overwritten.
const (
	compatibilityFolder = "testdata/compatibility"
	writeVariable       = "WRITE_COMPATIBILITY_FILES"

	storedFleet, storedName = "pier", "n1"
)

// storedChanges are the changes in the stored log. There is one of every kind.
func storedChanges() []agree.Change {
	return []agree.Change{
		{
			Kind: "propose", ID: "p1", Base: 3, Version: 2, Text: `{"limits":{"tenant-a":5}}`, By: "n2", Why: "less for a",
			At: time.Date(2026, 11, 30, 12, 0, 0, 123_000_000, time.UTC),
		},
		{Kind: "open", Base: 4, Version: 4},
		{
			Kind: "told", ID: "t1", Source: "discovery", Floor: agree.Floor{History: 1, Revision: 77},
			Ends: []agree.End{{Source: "discovery", Name: "llm-1", Revision: 76}, {Source: "discovery", Name: "llm-2", Revision: 77, Gone: true}},
		},
		{Kind: "reset", ID: "r1", Source: "registry"},
		{Kind: "keepers", ID: "k1", Keepers: []agree.Seat{{Name: "n1", ID: 77}, {Name: "n2", ID: 78}}},
	}
}

// storedView returns the decided state in the member's view and in the keeper's snapshot. Every field is set.
func storedView() *agree.State {
	return &agree.State{
		Born: 123456789, Seq: 41, Step: 40, Open: 2,
		Versions: []agree.Version{
			{Number: 2, Hash: "0123456789abcdef", By: "n1"},
			{
				Number: 3, Hash: "fedcba9876543210", By: "n2", ID: "p0", Why: "more for b", At: time.Date(2026, 11, 29, 8, 30, 0, 0, time.UTC),
				Text: `{"limits":{"tenant-b":9}}`,
			},
		},
		Floors: map[string]agree.Floor{"discovery": {History: 2, Revision: 55}, "registry": {Revision: -6}},
		Ends: []agree.End{
			{Source: "discovery", Name: "llm-8", Revision: 54},
			{Source: "registry", Name: "llm-9", Revision: 7, Gone: true},
		},
		Keepers: []agree.Seat{{Name: "n1", ID: 77}, {Name: "n2", ID: 78}, {Name: "n3", ID: 1 << 60}},
	}
}

// storedViewText is how the state is stored, as a literal: the names of its fields are part of the form.
const storedViewText = `{"born":123456789,"seq":41,"step":40,"open":2,` +
	`"versions":[{"number":2,"hash":"0123456789abcdef","by":"n1","at":"0001-01-01T00:00:00Z"},` +
	`{"number":3,"hash":"fedcba9876543210","by":"n2","id":"p0","why":"more for b","at":"2026-11-29T08:30:00Z","text":"{\"limits\":{\"tenant-b\":9}}"}],` +
	`"floors":{"discovery":{"history":2,"revision":55},"registry":{"history":0,"revision":-6}},` +
	`"ends":[{"source":"discovery","name":"llm-8","revision":54},{"source":"registry","name":"llm-9","revision":7,"gone":true}],` +
	`"keepers":[{"name":"n1","id":77},{"name":"n2","id":78},{"name":"n3","id":1152921504606846976}]}`

// storedChangeTexts are how the changes are stored.
var storedChangeTexts = []string{
	`{"kind":"propose","id":"p1","base":3,"version":2,"text":"{\"limits\":{\"tenant-a\":5}}","by":"n2","why":"less for a","at":"2026-11-30T12:00:00.123Z"}`,
	`{"kind":"open","base":4,"version":4}`,
	`{"kind":"told","id":"t1","base":0,"source":"discovery","floor":{"history":1,"revision":77},` +
		`"ends":[{"source":"discovery","name":"llm-1","revision":76},{"source":"discovery","name":"llm-2","revision":77,"gone":true}]}`,
	`{"kind":"reset","id":"r1","base":0,"source":"registry"}`,
	`{"kind":"keepers","id":"k1","base":0,"keepers":[{"name":"n1","id":77},{"name":"n2","id":78}]}`,
}

// storedSaved returns the data of the stored keeper's disk. The life is that of the last start.
func storedSaved() agree.Saved {
	s := agree.Saved{
		ID: 77, Life: 3,
		Hard: &pb.HardState{Term: new(uint64(6)), Vote: new(uint64(78)), Commit: new(uint64(43))},
		Snapshot: &pb.Snapshot{Data: []byte(storedViewText), Metadata: &pb.SnapshotMetadata{
			Index: new(uint64(41)), Term: new(uint64(5)),
			ConfState: &pb.ConfState{Voters: []uint64{77, 78, 1 << 60}},
		}},
		Lives: map[uint64]agree.Lived{78: {Life: 9, Boot: 0x1122334455667788}, 1 << 60: {Life: 1, Boot: 2}},
	}
	for i, text := range storedChangeTexts {
		s.Entries = append(s.Entries, &pb.Entry{Index: new(uint64(42 + i)), Term: new(uint64(6)), Type: pb.EntryNormal.Enum(), Data: []byte(text)})
	}
	return s
}

// TestCompatibilityOfStoredKeeper loads the disk of a keeper.
func TestCompatibilityOfStoredKeeper(t *testing.T) {
	d := openCopy(t, "keeper")
	got, err := d.Load(1)
	if err != nil {
		t.Fatal(err)
	}
	want := storedSaved()
	if got.ID != want.ID {
		t.Errorf("ID is %d, want %d", got.ID, want.ID)
	}
	if got.Life != want.Life+1 { // of this start
		t.Errorf("Life is %d, want %d", got.Life, want.Life+1)
	}
	if !proto.Equal(got.Hard, want.Hard) {
		t.Errorf("Hard is %v, want %v", got.Hard, want.Hard)
	}
	if !proto.Equal(got.Snapshot, want.Snapshot) {
		t.Errorf("Snapshot is\n%v\nwant\n%v", got.Snapshot, want.Snapshot)
	}
	if !maps.Equal(got.Lives, want.Lives) {
		t.Errorf("Lives are %v, want %v", got.Lives, want.Lives)
	}
	if len(got.Entries) != len(want.Entries) {
		t.Fatalf("there are %d entries, want %d", len(got.Entries), len(want.Entries))
	}
	changes := storedChanges()
	for i, entry := range got.Entries {
		if !proto.Equal(entry, want.Entries[i]) {
			t.Errorf("entry %d is\n%v\nwant\n%v", i, entry, want.Entries[i])
		}
		var change agree.Change
		if err := json.Unmarshal(entry.Data, &change); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(change, changes[i]) {
			t.Errorf("change %d is\n%+v\nwant\n%+v", i, change, changes[i])
		}
	}
	var state agree.State
	if err := json.Unmarshal(got.Snapshot.GetData(), &state); err != nil {
		t.Fatal(err)
	}
	compareView(t, &state)
}

// TestCompatibilityOfStoredMember reads the view of a member, and loads its file as that of a new keeper.
func TestCompatibilityOfStoredMember(t *testing.T) {
	d := openCopy(t, "member")
	view, err := d.View()
	if err != nil || view == nil {
		t.Fatalf("%v: %v", view, err)
	}
	compareView(t, view)
	saved, err := d.Load(5)
	if err != nil {
		t.Fatal(err)
	}
	if saved.ID != 5 || saved.Life != 1 || saved.Hard != nil || saved.Snapshot != nil || len(saved.Entries) != 0 || len(saved.Lives) != 0 {
		t.Errorf("a member that has never been a keeper has %+v", saved)
	}
}

// TestCompatibilityOfEncoding encodes the content of the stored files: an earlier version has to read it in turn.
func TestCompatibilityOfEncoding(t *testing.T) {
	for _, c := range []struct {
		name    string
		content any
		want    string
	}{
		{"state", storedView(), storedViewText},
		{"propose", storedChanges()[0], storedChangeTexts[0]},
		{"open", storedChanges()[1], storedChangeTexts[1]},
		{"told", storedChanges()[2], storedChangeTexts[2]},
		{"reset", storedChanges()[3], storedChangeTexts[3]},
		{"keepers", storedChanges()[4], storedChangeTexts[4]},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := json.Marshal(c.content)
			if err != nil {
				t.Fatal(err)
			}
			if string(got) != c.want {
				t.Errorf("encoded is\n%s\nwant\n%s", got, c.want)
			}
		})
	}
}

// TestCompatibilityOfRecords compares all records of the stored files with those that this version writes, and the
// names of all buckets and keys with literals.
func TestCompatibilityOfRecords(t *testing.T) {
	index := func(n byte) string { return "log/" + string([]byte{0, 0, 0, 0, 0, 0, 0, n}) }
	for _, c := range []struct {
		name string
		keys []string
	}{
		{"keeper", []string{
			"lives/\x00\x00\x00\x00\x00\x00\x00N", "lives/\x10\x00\x00\x00\x00\x00\x00\x00",
			index(42), index(43), index(44), index(45), index(46), "meta/hard", "meta/id", "meta/life", "meta/owner", "meta/snapshot",
		}},
		{"member", []string{"meta/owner", "meta/view"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			writeMissingFolders(t)
			stored := records(t, copyOfFolder(t, c.name))
			if keys := slices.Sorted(maps.Keys(stored)); !slices.Equal(keys, c.keys) {
				t.Errorf("the keys are %q, want %q", keys, c.keys)
			}
			folder := t.TempDir()
			writeFolder(t, folder, c.name)
			written := records(t, folder)
			for _, key := range slices.Sorted(maps.Keys(stored)) {
				if !bytes.Equal(written[key], stored[key]) {
					t.Errorf("%q is written as\n%s\nand stored as\n%s", key, hex.EncodeToString(written[key]), hex.EncodeToString(stored[key]))
				}
			}
			if len(written) != len(stored) {
				t.Errorf("%d records are written, and %d are stored", len(written), len(stored))
			}
		})
	}
}

func compareView(t *testing.T, got *agree.State) {
	t.Helper()
	want := storedView()
	if got.Born != want.Born || got.Seq != want.Seq || got.Step != want.Step || got.Open != want.Open {
		t.Errorf("Born, Seq, Step and Open are %d, %d, %d and %d, want %d, %d, %d and %d",
			got.Born, got.Seq, got.Step, got.Open, want.Born, want.Seq, want.Step, want.Open)
	}
	if !reflect.DeepEqual(got.Versions, want.Versions) {
		t.Errorf("Versions are\n%+v\nwant\n%+v", got.Versions, want.Versions)
	}
	if !maps.Equal(got.Floors, want.Floors) {
		t.Errorf("Floors are %v, want %v", got.Floors, want.Floors)
	}
	if !slices.Equal(got.Ends, want.Ends) {
		t.Errorf("Ends are %v, want %v", got.Ends, want.Ends)
	}
	if !slices.Equal(got.Keepers, want.Keepers) {
		t.Errorf("Keepers are %v, want %v", got.Keepers, want.Keepers)
	}
}

// copyOfFolder copies a stored folder, as opening its file may change it.
func copyOfFolder(t *testing.T, name string) string {
	t.Helper()
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(filepath.Join(compatibilityFolder, name))); err != nil {
		t.Fatal(err)
	}
	return folder
}

func openCopy(t *testing.T, name string) *Disk {
	t.Helper()
	writeMissingFolders(t)
	d, err := Open(copyOfFolder(t, name), storedFleet, storedName)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Close() })
	return d
}

// records reads all records of a folder's file, with no help from this package.
func records(t *testing.T, folder string) map[string][]byte {
	t.Helper()
	db, err := bolt.Open(filepath.Join(folder, "fleet.db"), 0o600, &bolt.Options{Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	all := map[string][]byte{}
	err = db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bolt.Bucket) error {
			return b.ForEach(func(key, value []byte) error {
				all[string(bucket)+"/"+string(key)] = bytes.Clone(value)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// writeFolder writes the content of a stored folder with this version's code.
func writeFolder(t *testing.T, folder, name string) {
	t.Helper()
	d, err := Open(folder, storedFleet, storedName)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	if name == "member" {
		if err := d.SaveView(storedView()); err != nil {
			t.Fatal(err)
		}
		return
	}
	s := storedSaved()
	for _, save := range []agree.Save{
		{Snapshot: s.Snapshot, Hard: s.Hard, ID: s.ID, Life: s.Life},
		{Entries: s.Entries},
		{Lives: s.Lives},
	} {
		if err := d.Save(save); err != nil {
			t.Fatal(err)
		}
	}
}

// writeMissingFolders writes the missing folders if writeVariable is set.
func writeMissingFolders(t *testing.T) {
	t.Helper()
	if os.Getenv(writeVariable) == "" {
		return
	}
	for _, name := range []string{"keeper", "member"} {
		folder := filepath.Join(compatibilityFolder, name)
		if _, err := os.Stat(folder); err != nil {
			writeFolder(t, folder, name)
		}
	}
}
