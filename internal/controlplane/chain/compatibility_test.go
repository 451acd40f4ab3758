package chain

import (
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
	"marlreel/internal/testing/recorded"
)

// The files under testdata/compatibility were written by the code of commit 6fb9894, with WRITE_COMPATIBILITY=1. They
// hold encodings that other processes, backends and operators rely on. They must not be regenerated to make a test
// pass.

// recordedOperations returns the operations of the recorded entries, with one operation of each kind.
func recordedOperations() [][]*api.Operation {
	replaces := uint64(1)
	replace := &api.Operation{Kind: &api.Operation_Replace{Replace: &api.ReplaceConfiguration{BaseVersion: 0, Document: []byte(`{"config_version":1}`)}}}
	modify := &api.Operation{Kind: &api.Operation_Modify{Modify: &api.ModifyConfiguration{BaseVersion: 1, Change: []byte(`{"config_version":2}`)}}}
	evacuate := &api.Operation{Kind: &api.Operation_Evacuation{Evacuation: &api.SetEvacuation{Zone: "east", Active: true}}}
	retire := &api.Operation{Kind: &api.Operation_Retire{Retire: &api.RetireBackend{Id: "i-7f3a91c2"}}}
	grant := &api.Operation{Kind: &api.Operation_Grant{Grant: &api.GrantOwnership{
		Key: "placement/llm", Holder: "edge-1/0000002a",
		Address: "10.2.0.1:7660", ReplacesFencingToken: &replaces,
	}}}
	return [][]*api.Operation{{replace}, {modify}, {evacuate, retire}, {grant}, nil}
}

// Members compare logs by chained hashes of entries, so all versions must compute the same hash for an entry. The
// recorded entries are those that a member of the recorded version sends.
func TestCompatibilityOfEntryHashes(t *testing.T) {
	if os.Getenv("WRITE_COMPATIBILITY") != "" {
		var lines strings.Builder
		previous := uint64(0)
		for i, operations := range recordedOperations() {
			entry := &api.Entry{Sequence: uint64(i + 1), PreviousHash: previous, Operations: operations}
			entry.Hash = entryHash(previous, entry.Sequence, operations)
			previous = entry.Hash
			data, err := proto.MarshalOptions{Deterministic: true}.Marshal(entry)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&lines, "%x\n", data)
		}
		recorded.Check(t, "entries.hex", lines.String())
	}
	text, err := os.ReadFile(filepath.Join("testdata", "compatibility", "entries.hex"))
	if err != nil {
		t.Fatal(err)
	}
	log := &DurableState{}
	var hashes strings.Builder
	for line := range strings.Lines(string(text)) {
		data, err := hex.DecodeString(strings.TrimSpace(line))
		if err != nil {
			t.Fatal(err)
		}
		entry := new(api.Entry)
		if err := proto.Unmarshal(data, entry); err != nil {
			t.Fatal(err)
		}
		log.Entries = append(log.Entries, entry)
		fmt.Fprintf(&hashes, "%d: %d operations, hash %016x\n", entry.Sequence, len(entry.Operations),
			entryHash(entry.PreviousHash, entry.Sequence, entry.Operations))
	}
	if len(log.Entries) != len(recordedOperations()) {
		t.Errorf("%d entries are recorded, which is not the number of recordedOperations", len(log.Entries))
	}
	if !log.LogIsIntact() {
		t.Error("the hashes of the recorded entries differ from those computed here")
	}
	recorded.Check(t, "hashes.txt", hashes.String())
}
