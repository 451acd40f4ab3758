package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/syndtr/goleveldb/leveldb/storage"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/chain"
)

// equal reports whether two durable states are equal.
func equal(a, b *chain.DurableState) bool {
	same := proto.Equal(a.Self, b.Self) && proto.Equal(a.View, b.View) && proto.Equal(a.Promised, b.Promised) &&
		proto.Equal(a.AcceptedBallot, b.AcceptedBallot) && proto.Equal(a.AcceptedView, b.AcceptedView) &&
		a.SyncedView == b.SyncedView && proto.Equal(a.Snapshot, b.Snapshot) && len(a.Entries) == len(b.Entries)
	for i := 0; same && i < len(a.Entries); i++ {
		same = proto.Equal(a.Entries[i], b.Entries[i])
	}
	return same
}

// testMember returns the member whose state the tests store.
func testMember() *api.Member { return &api.Member{Address: "a", Incarnation: 1} }

// noState is a state machine without state.
type noState struct{}

var _ chain.StateMachine = noState{}

func (noState) Apply(*api.Entry)   {}
func (noState) State() *api.State  { return &api.State{} }
func (noState) Restore(*api.State) {}

// storedChain is a chain of one member that has its store on a simulated disk.
type storedChain struct {
	t      rapid.TB
	config chain.Config
	disk   storage.Storage
	store  *Store
	node   *chain.Node
	now    time.Duration
}

func newStoredChain(t rapid.TB, config chain.Config, machine chain.StateMachine) *storedChain {
	c := &storedChain{t: t, config: config, disk: storage.NewMemStorage(), now: config.FailureTimeout}
	c.open()
	durable := chain.DurableState{Self: testMember(), View: chain.FoundingView([]string{"a"})}
	if err := c.store.Save(&durable, chain.Changes{Self: true, View: true}); err != nil {
		t.Fatal(err)
	}
	c.node = chain.New(config, durable, machine, nil, c.now)
	return c
}

func (c *storedChain) open() {
	opened, err := OpenStorage(c.disk)
	if err != nil {
		c.t.Fatal(err)
	}
	c.store = opened
}

// save writes what the node asks to be saved.
func (c *storedChain) save(out chain.Output) {
	if !out.Save.Any() {
		return
	}
	if err := c.store.Save(c.node.DurableState(), out.Save); err != nil {
		c.t.Fatal(err)
	}
}

func (c *storedChain) tick() {
	c.now += c.config.HeartbeatInterval
	c.save(c.node.Tick(c.now))
}

// reopen closes and opens the store, and checks that it reads back the node's durable state.
func (c *storedChain) reopen() {
	if err := c.store.Close(); err != nil {
		c.t.Fatal(err)
	}
	c.open()
	read, err := c.store.Load()
	if err != nil {
		c.t.Fatal(err)
	}
	if read.Snapshot == nil {
		read.Snapshot = c.node.DurableState().Snapshot // the node has not written one yet
	}
	if !equal(&read, c.node.DurableState()) {
		c.t.Fatalf("read %v, written %v", read, *c.node.DurableState())
	}
}

// A chain of one member writes a log that is read back completely, also after compaction.
func TestLogRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := chain.DefaultConfig(1)
		config.MaxLogEntries = rapid.IntRange(1, 6).Draw(t, "max log entries")
		c := newStoredChain(t, config, noState{})
		for range 40 { // the member agrees on a view with itself
			c.tick()
		}
		if !c.node.CanPropose() {
			t.Fatal("the chain of one member is not in service after 40 ticks")
		}
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			c.tick()
			if c.node.CanPropose() {
				_, out := c.node.Propose(c.now, []*api.Operation{{Kind: &api.Operation_Retire{Retire: &api.RetireBackend{Id: fmt.Sprint(i)}}}})
				c.save(out)
			}
			if rapid.IntRange(0, 5).Draw(t, "reopen") == 0 {
				c.reopen()
			}
		}
	})
}

func TestEmptyStoreHasNoSelf(t *testing.T) {
	is := is.New(t)
	s, err := Open(t.TempDir())
	is.NoErr(err)
	defer s.Close()
	durable, err := s.Load()
	is.NoErr(err)
	is.True(durable.Self == nil)
}

// Guards against loading a log with a missing or replaced entry: a member with such a log can't be trusted.
func TestCorruptedLogIsReported(t *testing.T) {
	is := is.New(t)
	s, err := OpenStorage(storage.NewMemStorage())
	is.NoErr(err)
	entries := []*api.Entry{{Sequence: 1, Hash: 5}, {Sequence: 2, PreviousHash: 6, Hash: 7}}
	is.NoErr(s.Save(&chain.DurableState{Self: testMember(), Entries: entries}, chain.Changes{Self: true, Appended: entries}))
	_, err = s.Load()
	is.True(errors.Is(err, ErrCorrupted))
}

// A store whose manifest was damaged by a power loss is recovered from its tables.
func TestDamagedManifestIsRecovered(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	s, err := Open(folder)
	is.NoErr(err)
	written := chain.DurableState{Self: testMember(), View: chain.FoundingView([]string{"a", "b", "c"}), SyncedView: 4}
	is.NoErr(s.Save(&written, chain.Changes{Self: true, View: true, SyncedView: true}))
	is.NoErr(s.Close())
	tables, err := filepath.Glob(filepath.Join(folder, directoryName, "MANIFEST-*"))
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

func TestRemovedStoreIsEmpty(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	s, err := Open(folder)
	is.NoErr(err)
	is.NoErr(s.Save(&chain.DurableState{Self: testMember()}, chain.Changes{Self: true}))
	is.NoErr(s.Close())
	is.NoErr(Remove(folder))
	s, err = Open(folder)
	is.NoErr(err)
	defer s.Close()
	durable, err := s.Load()
	is.NoErr(err)
	is.True(durable.Self == nil)
}
