package disk

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"

	"marlreel/internal/fleet/agree"
)

func entry(index, term uint64, text string) *pb.Entry {
	return &pb.Entry{Index: &index, Term: &term, Data: []byte(text)}
}

func indices(s agree.Saved) (all []uint64) {
	for _, e := range s.Entries {
		all = append(all, e.GetIndex())
	}
	return all
}

// Saved data is there after a restart, without the entries that were replaced; each load begins a new life, and a reset
// empties the log. The file can be opened by its owner only, and by one process at a time.
func TestSavedDataIsLoadedAfterRestart(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	d, err := Open(dir, "pier", "n1")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, "pier", "n1"); !errors.Is(err, ErrHeld) {
		t.Errorf("a second process: %v", err)
	}
	s, err := d.Load(77)
	if err != nil || s.ID != 77 || s.Life != 1 || s.Hard != nil {
		t.Fatal(s, err)
	}
	term, vote, commit := uint64(2), uint64(77), uint64(3)
	for _, a := range []agree.Save{
		{Entries: []*pb.Entry{entry(1, 1, "a"), entry(2, 1, "b"), entry(3, 1, "c")}, Hard: &pb.HardState{Term: &term, Vote: &vote, Commit: &commit}, ID: 77, Life: 1},
		{Entries: []*pb.Entry{entry(2, 2, "B")}, ID: 77, Life: 1},
		{Lives: map[uint64]agree.Lived{5: {Life: 3, Boot: 9}}},
	} {
		if err := d.Save(a); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.SaveView(&agree.State{Seq: 9}); err != nil {
		t.Fatal(err)
	}
	d.Close()
	if _, err := Open(dir, "pier", "n2"); !errors.Is(err, ErrOwner) {
		t.Errorf("another proxy: %v", err)
	}
	if d, err = Open(dir, "pier", "n1"); err != nil {
		t.Fatal(err)
	}
	s, err = d.Load(1)
	if err != nil || s.ID != 77 || s.Life != 2 || s.Hard.GetVote() != 77 || !reflect.DeepEqual(indices(s), []uint64{1, 2}) || string(s.Entries[1].Data) != "B" || s.Lives[5] != (agree.Lived{Life: 3, Boot: 9}) {
		t.Errorf("%+v %v", s, err)
	}
	if v, err := d.View(); err != nil || v.Seq != 9 {
		t.Error(v, err)
	}
	if err := d.Save(agree.Save{Reset: true, ID: 88, Life: 1}); err != nil {
		t.Fatal(err)
	}
	if s, err = d.Load(1); err != nil || s.ID != 88 || len(s.Entries) != 0 || s.Hard != nil {
		t.Errorf("%+v %v", s, err)
	}
	d.Close()
}

// A file that was truncated or corrupted at any place is read as it was written or not at all, and never ends the
// process.
func TestDamagedFileIsNotMisread(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(1, 2))
	whole := fileWithEntries(t, 60, 700)
	refused, read := 0, 0
	for i := range 150 {
		at := t.TempDir()
		if err := os.WriteFile(filepath.Join(at, File), damaged(rng, whole, i%2 == 0), 0o600); err != nil {
			t.Fatal(err)
		}
		if readsDamaged(t, i, at) {
			read++
		} else {
			refused++
		}
	}
	t.Logf("%d refused, %d read", refused, read)
	if refused == 0 || read == 0 {
		t.Error("the damaged files were all refused or all read: the test shows nothing")
	}
}

// fileWithEntries returns the file of a keeper with identity 77 and the given number and size of entries.
func fileWithEntries(t *testing.T, entries, size int) []byte {
	t.Helper()
	dir := t.TempDir()
	d, err := Open(dir, "pier", "n1")
	if err != nil {
		t.Fatal(err)
	}
	first, err := d.Load(77)
	if err != nil {
		t.Fatal(err)
	}
	term := uint64(1)
	for i := range uint64(entries) {
		if err := d.Save(agree.Save{Entries: []*pb.Entry{entry(i+1, 1, string(make([]byte, size)))}, Hard: &pb.HardState{Term: &term}, ID: first.ID, Life: first.Life}); err != nil {
			t.Fatal(err)
		}
	}
	d.Close()
	whole, err := os.ReadFile(filepath.Join(dir, File))
	if err != nil {
		t.Fatal(err)
	}
	return whole
}

// damaged returns a copy of a file, truncated or with some bytes changed.
func damaged(rng *rand.Rand, whole []byte, cut bool) []byte {
	data := append([]byte(nil), whole...)
	if cut {
		return data[:rng.IntN(len(data))]
	}
	for range 1 + rng.IntN(40) {
		data[rng.IntN(len(data))] ^= byte(1 + rng.IntN(255))
	}
	return data
}

// readsDamaged opens and reads a damaged file and reports whether it could be read. It fails the test if the data is
// neither what was written nor that of a new keeper, or if a torn file was not moved aside.
func readsDamaged(t *testing.T, i int, at string) bool {
	t.Helper()
	d, err := Open(at, "pier", "n1")
	if err != nil {
		if !errors.Is(err, ErrTorn) {
			return false
		}
		again, err := Open(at, "pier", "n1") // the torn file was moved aside
		if err != nil {
			t.Errorf("case %d: opening a new file after the torn one was moved aside: %v", i, err)
			return false
		}
		again.Close()
		return false
	}
	s, err := d.Load(1)
	d.Close()
	if err != nil {
		return false
	}
	isNew, isWritten := s.ID == 1 && len(s.Entries) == 0, s.ID == 77 && len(s.Entries) <= 60
	if !isNew && !isWritten {
		t.Errorf("case %d: read %d entries of identity %d, want all data or none", i, len(s.Entries), s.ID)
		return false
	}
	for k, e := range s.Entries {
		if e.GetIndex() != uint64(k+1) || len(e.Data) != 700 {
			t.Errorf("case %d: entry %d is not the one that was written", i, k)
		}
	}
	return true
}
