package chain

import (
	"crypto/sha256"
	"encoding/binary"

	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
)

// StateMachine is the state that committed entries make. A Node calls it, and hands it
// only what is committed.
type StateMachine interface {
	Apply(entry *api.Entry)
	State() *api.State
	Restore(state *api.State)
}

// DurableState is what a member keeps on disk.
type DurableState struct {
	Self           *api.Member
	View           *api.View   // the newest that is known to be agreed
	Promised       *api.Ballot // for the next view; nil: none
	AcceptedBallot *api.Ballot
	AcceptedView   *api.View
	SyncedView     uint64 // in which the log was last made equal to the head's
	Snapshot       *api.Snapshot
	Entries        []*api.Entry // after the snapshot
}

// last is the position of the log's end.
func (d *DurableState) last() *api.Position {
	return d.positionAt(d.Snapshot.GetSequence() + uint64(len(d.Entries)))
}

// entriesAfter gives the entries that follow a position, if the log holds it.
func (d *DurableState) entriesAfter(sequence, hash uint64) ([]*api.Entry, bool) {
	if sequence == d.Snapshot.GetSequence() {
		return d.Entries, hash == d.Snapshot.GetHash()
	}
	if sequence < d.Snapshot.GetSequence() || sequence > d.last().Sequence {
		return nil, false
	}
	at := sequence - d.Snapshot.GetSequence()
	return d.Entries[at:], d.Entries[at-1].Hash == hash
}

// bytesOf is how many bytes entries take in a message.
func bytesOf(entries []*api.Entry) int {
	size := 0
	for _, entry := range entries {
		size += proto.Size(entry)
	}
	return size
}

// positionAt is the position of an entry that the log holds, or of its snapshot.
func (d *DurableState) positionAt(sequence uint64) *api.Position {
	p := &api.Position{SyncedView: d.SyncedView, Sequence: d.Snapshot.GetSequence(), Hash: d.Snapshot.GetHash()}
	if sequence > p.Sequence {
		p.Sequence, p.Hash = sequence, d.Entries[sequence-p.Sequence-1].Hash
	}
	return p
}

// hashOf chains an entry to the one before it.
func hashOf(previous, sequence uint64, operations []*api.Operation) uint64 {
	hash := sha256.New()
	var number [16]byte
	binary.LittleEndian.PutUint64(number[:8], previous)
	binary.LittleEndian.PutUint64(number[8:], sequence)
	hash.Write(number[:])
	for _, operation := range operations {
		// A message made of plain fields and lists always marshals.
		data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(operation)
		binary.LittleEndian.PutUint64(number[:8], uint64(len(data)))
		hash.Write(number[:8])
		hash.Write(data)
	}
	return binary.LittleEndian.Uint64(hash.Sum(nil))
}

// LogIsIntact tells whether a log that was read from disk is one that was written.
func (d *DurableState) LogIsIntact() bool {
	sequence, hash := d.Snapshot.GetSequence(), d.Snapshot.GetHash()
	for _, entry := range d.Entries {
		if entry.Sequence != sequence+1 || entry.PreviousHash != hash ||
			entry.Hash != hashOf(hash, entry.Sequence, entry.Operations) {
			return false
		}
		sequence, hash = entry.Sequence, entry.Hash
	}
	return true
}
