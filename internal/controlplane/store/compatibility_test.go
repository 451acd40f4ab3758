package store

import (
	"bytes"
	"encoding/hex"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/syndtr/goleveldb/leveldb"
	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/chain"
)

// The stores under testdata/compatibility were written by the code of commit 6fb9894. They represent the
// disks of running systems, which every later version has to open. They must not be rewritten to make a
// test pass: if this test fails, the code can no longer read stored data.
//
// A missing store, such as that of a new case, is written by
//
//	WRITE_COMPATIBILITY_FILES=1 go test -run TestCompatibility ./internal/controlplane/store
//
// Existing files are never overwritten.
const (
	compatibilityFolder = "testdata/compatibility"
	writeVariable       = "WRITE_COMPATIBILITY_FILES"
)

// compatibilityCase is a stored folder and its expected content.
type compatibilityCase struct {
	name    string
	durable chain.DurableState
	keys    []string // all keys of the database, in order
}

var (
	memberA = &api.Member{Address: "10.0.0.1:7100", Incarnation: 1}
	memberB = &api.Member{Address: "10.0.0.2:7100", Incarnation: 1}
	memberC = &api.Member{Address: "10.0.0.3:7100", Incarnation: 0x8a0b0c0d0e0f1011}
)

// compatibilityDocument is the configuration in the stored snapshot.
const compatibilityDocument = `{"config_version":41,"route_list":[{"name":"r","host":"h.example","path_prefix":"/a/","timeout_ms":9,"service":"s"}],` +
	`"service_list":[{"name":"s"}],"limits":{}}`

// compatibilityEntries returns the stored log. It contains an operation of every kind.
func compatibilityEntries() []*api.Entry {
	nobody, seven := uint64(0), uint64(7)
	return []*api.Entry{
		{Sequence: 41, PreviousHash: 0x1122334455667788, Hash: 0x6f93cd86bfcdf0b1, Operations: []*api.Operation{
			{Kind: &api.Operation_Replace{Replace: &api.ReplaceConfiguration{BaseVersion: 41, Document: []byte(`{"config_version":42}`)}}},
		}},
		{Sequence: 42, PreviousHash: 0x6f93cd86bfcdf0b1, Hash: 0x30f040ef266a0a6c, Operations: []*api.Operation{
			{Kind: &api.Operation_Modify{Modify: &api.ModifyConfiguration{BaseVersion: 42, Change: []byte(`{"config_version":43}`)}}},
		}},
		{Sequence: 43, PreviousHash: 0x30f040ef266a0a6c, Hash: 0x6ba4b2b986ef76e4, Operations: []*api.Operation{
			{Kind: &api.Operation_Evacuation{Evacuation: &api.SetEvacuation{Zone: "zone-a", Active: true}}},
			{Kind: &api.Operation_Evacuation{Evacuation: &api.SetEvacuation{Zone: "zone-b"}}},
		}},
		{Sequence: 44, PreviousHash: 0x6ba4b2b986ef76e4, Hash: 0x3fe506a21c40224e, Operations: []*api.Operation{
			{Kind: &api.Operation_Retire{Retire: &api.RetireBackend{Id: "llm-1/5f"}}},
		}},
		{Sequence: 45, PreviousHash: 0x3fe506a21c40224e, Hash: 0x7ed162c60ff870c3, Operations: []*api.Operation{
			{Kind: &api.Operation_Grant{Grant: &api.GrantOwnership{Key: "placement/llm", Holder: "node-1/0000beef", Address: "10.0.0.1:7200"}}},
			{Kind: &api.Operation_Grant{Grant: &api.GrantOwnership{Key: "placement/img", Holder: "node-2/0000cafe", Address: "10.0.0.2:7200", ReplacesFencingToken: &nobody}}},
			{Kind: &api.Operation_Grant{Grant: &api.GrantOwnership{Key: "placement/llm", Holder: "node-2/0000cafe", Address: "10.0.0.2:7200", ReplacesFencingToken: &seven}}},
		}},
	}
}

// compatibilitySnapshot returns the stored compacted state. Every field of it is set.
func compatibilitySnapshot() *api.Snapshot {
	return &api.Snapshot{Sequence: 40, Hash: 0x1122334455667788, State: &api.State{
		Version:  41,
		Document: []byte(compatibilityDocument),
		Digests: []*api.Digest{
			{Version: 40, Sum: []byte{0x01, 0x02, 0x03, 0x04, 0x05, 0x06, 0x07, 0x08, 0x09, 0x0a, 0x0b, 0x0c, 0x0d, 0x0e, 0x0f, 0x10}},
			{Version: 41, Sum: []byte{0xf0, 0xf1, 0xf2, 0xf3, 0xf4, 0xf5, 0xf6, 0xf7, 0xf8, 0xf9, 0xfa, 0xfb, 0xfc, 0xfd, 0xfe, 0xff}},
		},
		Evacuations: []*api.Evacuation{{Zone: "zone-b"}, {Zone: "zone-c"}},
		Retired:     []*api.Retired{{Id: "llm-0/11", Sequence: 12}, {Id: "img-4/2"}},
		Ownerships: []*api.Ownership{
			{Key: "placement/llm", Holder: "node-9/00000009", Address: "10.0.0.9:7200", FencingToken: 6},
			{Key: "placement/img", Holder: "node-8/00000008", Address: "10.0.0.8:7200", FencingToken: 5},
		},
		LastFencingToken: 6,
		ForgottenVersion: 39,
	}}
}

func compatibilityCases() []compatibilityCase {
	core := &api.View{Number: 3, Members: []*api.Member{memberA, memberB, memberC}, Chain: []*api.Member{memberB, memberC, memberA}}
	entries := compatibilityEntries()
	entryKeys := []string{
		"entry/\x00\x00\x00\x00\x00\x00\x00\x29", "entry/\x00\x00\x00\x00\x00\x00\x00\x2a", "entry/\x00\x00\x00\x00\x00\x00\x00\x2b",
		"entry/\x00\x00\x00\x00\x00\x00\x00\x2c", "entry/\x00\x00\x00\x00\x00\x00\x00\x2d",
	}
	return []compatibilityCase{
		{
			name: "founder", // the first start of a system
			durable: chain.DurableState{
				Self: memberA,
				View: &api.View{Members: []*api.Member{memberA, memberB}},
			},
			keys: []string{"self", "view"},
		},
		{
			name:    "waiting", // a process that starts on an empty disk, with an incarnation of its own
			durable: chain.DurableState{Self: memberC},
			keys:    []string{"self"},
		},
		{
			name: "log", // a vote in progress, a snapshot, and the log after it
			durable: chain.DurableState{
				Self:           memberC,
				View:           core,
				Promised:       &api.Ballot{Round: 9, Proposer: "10.0.0.2:7100/1"},
				AcceptedBallot: &api.Ballot{Round: 8, Proposer: "10.0.0.1:7100/1"},
				AcceptedView:   &api.View{Number: 4, Members: []*api.Member{memberA, memberB}, Chain: []*api.Member{memberB}},
				SyncedView:     3,
				Snapshot:       compatibilitySnapshot(),
				Entries:        entries,
			},
			keys: append(append([]string{"accepted-ballot", "accepted-view"}, entryKeys...), "promised", "self", "snapshot", "synced-view", "view"),
		},
		{
			name: "compacted", // the same log after its first three entries were compacted into the snapshot
			durable: chain.DurableState{
				Self:       memberC,
				View:       core,
				Promised:   &api.Ballot{Round: 9, Proposer: "10.0.0.2:7100/1"},
				SyncedView: 3,
				Snapshot:   &api.Snapshot{Sequence: 43, Hash: entries[2].Hash, State: compatibilitySnapshot().State},
				Entries:    entries[3:],
			},
			keys: append(slices.Clone(entryKeys[3:]), "promised", "self", "snapshot", "synced-view", "view"),
		},
	}
}

// TestCompatibilityOfStoredContent opens stores that an earlier version wrote.
func TestCompatibilityOfStoredContent(t *testing.T) {
	writeMissingStores(t)
	for _, c := range compatibilityCases() {
		t.Run(c.name, func(t *testing.T) {
			got := loadCopy(t, c.name)
			want := c.durable
			compareMessage(t, "Self", got.Self, want.Self)
			compareMessage(t, "View", got.View, want.View)
			compareMessage(t, "Promised", got.Promised, want.Promised)
			compareMessage(t, "AcceptedBallot", got.AcceptedBallot, want.AcceptedBallot)
			compareMessage(t, "AcceptedView", got.AcceptedView, want.AcceptedView)
			compareMessage(t, "Snapshot", got.Snapshot, want.Snapshot)
			if got.SyncedView != want.SyncedView {
				t.Errorf("SyncedView is %d, want %d", got.SyncedView, want.SyncedView)
			}
			if len(got.Entries) != len(want.Entries) {
				t.Fatalf("the log has %d entries, want %d", len(got.Entries), len(want.Entries))
			}
			for i := range want.Entries {
				compareMessage(t, "Entries", got.Entries[i], want.Entries[i])
			}
		})
	}
}

// TestCompatibilityOfStoredBytes compares the records of stores that an earlier version wrote with those that
// this version writes for the same content: the earlier version has to be able to read them.
func TestCompatibilityOfStoredBytes(t *testing.T) {
	writeMissingStores(t)
	for _, c := range compatibilityCases() {
		t.Run(c.name, func(t *testing.T) {
			stored := records(t, copyOfStore(t, c.name))
			if keys := slices.Sorted(maps.Keys(stored)); !slices.Equal(keys, c.keys) {
				t.Errorf("the stored keys are %q, want %q", keys, c.keys)
			}
			folder := t.TempDir()
			saveAll(t, folder, c.durable)
			written := records(t, folder)
			for _, key := range slices.Sorted(maps.Keys(written)) {
				if !bytes.Equal(written[key], stored[key]) {
					t.Errorf("record %q is written as\n%s\nbut is stored as\n%s", key, hex.EncodeToString(written[key]), hex.EncodeToString(stored[key]))
				}
			}
			if len(written) != len(stored) {
				t.Errorf("%d records are written, but %d are stored", len(written), len(stored))
			}
		})
	}
}

// TestCompatibilityOfFoundingIdentity compares the identity that a founder gets at its first start with a stored one:
// processes of two versions have to found the same system.
func TestCompatibilityOfFoundingIdentity(t *testing.T) {
	writeMissingStores(t)
	stored := loadCopy(t, "founder")
	if stored.Self.GetIncarnation() != chain.FounderIncarnation {
		t.Errorf("a founder's incarnation is %d, but %d is stored", chain.FounderIncarnation, stored.Self.GetIncarnation())
	}
	compareMessage(t, "the founding view", chain.FoundingView([]string{"10.0.0.2:7100", "10.0.0.1:7100"}), stored.View)
}

// TestCompatibilityOfStoredLogs writes to a store with a log from an earlier version, and reads it back.
func TestCompatibilityOfStoredLogs(t *testing.T) {
	writeMissingStores(t)
	folder := copyOfStore(t, "compacted")
	s, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	durable, err := s.Load()
	if err != nil {
		t.Fatal(err)
	}
	durable.SyncedView = 4
	if err := s.Save(&durable, chain.Changes{SyncedView: true}); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	again := load(t, folder)
	if !equal(&again, &durable) {
		t.Errorf("read %v, written %v", again, durable)
	}
}

// compareMessage compares two messages; nil differs from an empty message.
func compareMessage[M interface {
	proto.Message
	comparable
}](t *testing.T, field string, got, want M) {
	t.Helper()
	var none M
	if (got == none) != (want == none) || !proto.Equal(got, want) {
		t.Errorf("%s is\n%v\nwant\n%v", field, got, want)
	}
}

// copyOfStore returns a copy of a stored folder, because opening a store changes its files.
func copyOfStore(t *testing.T, name string) string {
	t.Helper()
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(filepath.Join(compatibilityFolder, name))); err != nil {
		t.Fatal(err)
	}
	return folder
}

func load(t *testing.T, folder string) chain.DurableState {
	t.Helper()
	s, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	durable, err := s.Load()
	if err != nil {
		t.Fatal(err)
	}
	return durable
}

func loadCopy(t *testing.T, name string) chain.DurableState {
	t.Helper()
	return load(t, copyOfStore(t, name))
}

// records reads all records of the database in a data directory, without using the code of this package.
func records(t *testing.T, folder string) map[string][]byte {
	t.Helper()
	db, err := leveldb.OpenFile(filepath.Join(folder, "chain"), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	all := map[string][]byte{}
	iterator := db.NewIterator(nil, nil)
	defer iterator.Release()
	for iterator.Next() {
		all[string(iterator.Key())] = bytes.Clone(iterator.Value())
	}
	if err := iterator.Error(); err != nil {
		t.Fatal(err)
	}
	return all
}

// saveAll writes a whole durable state into a new store.
func saveAll(t *testing.T, folder string, durable chain.DurableState) {
	t.Helper()
	s, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	changed := chain.Changes{
		Self: true, View: durable.View != nil, Acceptor: durable.Promised != nil, SyncedView: durable.SyncedView != 0,
		Snapshot: durable.Snapshot != nil, Appended: durable.Entries,
	}
	if err := s.Save(&durable, changed); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

// writeMissingStores writes the stores of cases that have none, if writeVariable is set.
func writeMissingStores(t *testing.T) {
	t.Helper()
	if os.Getenv(writeVariable) == "" {
		return
	}
	for _, c := range compatibilityCases() {
		folder := filepath.Join(compatibilityFolder, c.name)
		if _, err := os.Stat(folder); err == nil {
			continue
		}
		if err := os.MkdirAll(folder, 0o755); err != nil {
			t.Fatal(err)
		}
		if len(c.durable.Entries) > 0 {
			chained := chainedEntries(t)
			for i, entry := range compatibilityEntries() {
				if !proto.Equal(entry, chained[i]) {
					t.Fatalf("entry %d: previous hash %#x, hash %#x", entry.Sequence, chained[i].PreviousHash, chained[i].Hash)
				}
			}
		}
		if c.name == "compacted" { // the entries were stored before the snapshot that covers them
			before := compatibilityCases()[2].durable
			before.AcceptedBallot, before.AcceptedView = nil, nil
			saveAll(t, folder, before)
			s, err := Open(folder)
			if err != nil {
				t.Fatal(err)
			}
			if err := s.Save(&c.durable, chain.Changes{Snapshot: true}); err != nil {
				t.Fatal(err)
			}
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}
			continue
		}
		saveAll(t, folder, c.durable)
	}
}

// chainedEntries returns the log that a chain of one member writes for the operations of compatibilityEntries, including
// the hashes.
func chainedEntries(t *testing.T) []*api.Entry {
	t.Helper()
	config := chain.DefaultConfig(1)
	self := testMember()
	durable := chain.DurableState{Self: self, View: chain.FoundingView([]string{"a"}), Snapshot: compatibilitySnapshot()}
	node := chain.New(config, durable, noState{}, nil, config.FailureTimeout)
	now := config.FailureTimeout
	tick := func() time.Duration {
		now += config.HeartbeatInterval
		node.Tick(now)
		return now
	}
	for range 40 { // the member agrees on a view with itself
		tick()
	}
	for _, entry := range compatibilityEntries() {
		node.Propose(tick(), entry.Operations)
	}
	entries := node.DurableState().Entries
	if len(entries) != len(compatibilityEntries()) {
		t.Fatalf("the chain wrote a log of %d entries", len(entries))
	}
	return entries
}
