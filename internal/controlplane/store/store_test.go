package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/syndtr/goleveldb/leveldb/storage"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/chain"
)

// equal tells whether two durable states hold the same.
func equal(a, b *chain.DurableState) bool {
	same := proto.Equal(a.Self, b.Self) && proto.Equal(a.View, b.View) && proto.Equal(a.Promised, b.Promised) &&
		proto.Equal(a.AcceptedBallot, b.AcceptedBallot) && proto.Equal(a.AcceptedView, b.AcceptedView) &&
		a.SyncedView == b.SyncedView && proto.Equal(a.Snapshot, b.Snapshot) && len(a.Entries) == len(b.Entries)
	for i := 0; same && i < len(a.Entries); i++ {
		same = proto.Equal(a.Entries[i], b.Entries[i])
	}
	return same
}

func member(name string) *api.Member { return &api.Member{Address: name, Incarnation: 1} }

// nothing is a machine that keeps nothing.
type nothing struct{}

func (nothing) Apply(*api.Entry)   {}
func (nothing) State() *api.State  { return &api.State{} }
func (nothing) Restore(*api.State) {}

// A chain of one member writes a log that is read back whole, also when it was compacted.
func TestALogIsReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := storage.NewMemStorage()
		s, err := OpenStorage(disk)
		if err != nil {
			t.Fatal(err)
		}
		durable := chain.DurableState{Self: member("a"), View: chain.FoundingView([]string{"a"})}
		if err := s.Save(&durable, chain.Changes{Self: true, View: true}); err != nil {
			t.Fatal(err)
		}
		config := chain.DefaultConfig(1)
		config.MaxLogEntries = rapid.IntRange(1, 6).Draw(t, "compact after")
		node := chain.New(config, durable, nothing{}, nil, config.FailureTimeout)
		now := config.FailureTimeout
		save := func(out chain.Output) {
			if out.Save.Any() {
				if err := s.Save(node.DurableState(), out.Save); err != nil {
					t.Fatal(err)
				}
			}
		}
		for range 40 { // it agrees with itself on a view
			now += config.HeartbeatInterval
			save(node.Tick(now))
		}
		if !node.CanPropose() {
			t.Fatal("a chain of one is not in service")
		}
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += config.HeartbeatInterval
			save(node.Tick(now))
			if node.CanPropose() {
				_, out := node.Propose(now, []*api.Operation{{Kind: &api.Operation_Retire{Retire: &api.RetireBackend{Id: fmt.Sprint(i)}}}})
				save(out)
			}
			if rapid.IntRange(0, 5).Draw(t, "reopen") > 0 {
				continue
			}
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}
			if s, err = OpenStorage(disk); err != nil {
				t.Fatal(err)
			}
			read, err := s.Load()
			if err != nil {
				t.Fatal(err)
			}
			if read.Snapshot == nil {
				read.Snapshot = node.DurableState().Snapshot // none was written so far
			}
			if !equal(&read, node.DurableState()) {
				t.Fatalf("read %v, written %v", read, *node.DurableState())
			}
		}
	})
}

func TestAnEmptyStoreHasNoIdentity(t *testing.T) {
	is := is.New(t)
	s, err := Open(t.TempDir())
	is.NoErr(err)
	defer s.Close()
	durable, err := s.Load()
	is.NoErr(err)
	is.True(durable.Self == nil)
}

// A log with an entry that is missing or another one is no log: its member can't be trusted.
func TestALogThatDoesNotFitTogetherIsSetAside(t *testing.T) {
	is := is.New(t)
	s, err := OpenStorage(storage.NewMemStorage())
	is.NoErr(err)
	entries := []*api.Entry{{Sequence: 1, Hash: 5}, {Sequence: 2, PreviousHash: 6, Hash: 7}}
	is.NoErr(s.Save(&chain.DurableState{Self: member("a"), Entries: entries}, chain.Changes{Self: true, Appended: entries}))
	_, err = s.Load()
	is.True(errors.Is(err, ErrCorrupted))
}

// A store whose table of files was damaged by a loss of power is recovered from its files.
func TestADamagedTableOfFilesIsRecovered(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	s, err := Open(folder)
	is.NoErr(err)
	written := chain.DurableState{Self: member("a"), View: chain.FoundingView([]string{"a", "b", "c"}), SyncedView: 4}
	is.NoErr(s.Save(&written, chain.Changes{Self: true, View: true, SyncedView: true}))
	is.NoErr(s.Close())
	tables, err := filepath.Glob(filepath.Join(folder, storeFolder, "MANIFEST-*"))
	is.NoErr(err)
	is.Equal(len(tables), 1)
	data, err := os.ReadFile(tables[0])
	is.NoErr(err)
	is.NoErr(os.WriteFile(tables[0], data[:len(data)/2], 0o600))
	s, err = Open(folder)
	is.NoErr(err)
	defer s.Close()
	read, err := s.Load()
	is.NoErr(err)
	is.True(equal(&read, &written))
}

func TestARemovedStoreIsEmpty(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	s, err := Open(folder)
	is.NoErr(err)
	is.NoErr(s.Save(&chain.DurableState{Self: member("a")}, chain.Changes{Self: true}))
	is.NoErr(s.Close())
	is.NoErr(Remove(folder))
	s, err = Open(folder)
	is.NoErr(err)
	defer s.Close()
	durable, err := s.Load()
	is.NoErr(err)
	is.True(durable.Self == nil)
}
