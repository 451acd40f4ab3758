package chain

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
)

// StateMachine is the state built from the committed entries. A Node calls it from within its own methods, and applies
// only committed entries, in log order. Applying must be deterministic: equal entries must result in equal states.
type StateMachine interface {
	// Apply applies the next entry.
	Apply(entry *api.Entry)
	// State returns the whole state for a snapshot. The Node keeps it, so it must not change afterwards.
	State() *api.State
	// Restore replaces the state with that of a snapshot; nil is the empty state. It must not change its argument.
	Restore(state *api.State)
}

// lastPosition returns the position of the log's end.
func (d *DurableState) lastPosition() *api.Position {
	return d.positionAt(d.Snapshot.GetSequence() + uint64(len(d.Entries)))
}

// positionAt returns the position of an entry in the log, or that of the snapshot.
func (d *DurableState) positionAt(sequence uint64) *api.Position {
	position := &api.Position{
		SyncedView: d.SyncedView, Sequence: d.Snapshot.GetSequence(), Hash: d.Snapshot.GetHash(),
	}
	if sequence > position.Sequence {
		position.Hash = d.Entries[sequence-position.Sequence-1].Hash
		position.Sequence = sequence
	}
	return position
}

// positionLess reports whether log a is less advanced than log b. A log that was synchronized in a later view is more
// advanced however long the other one is, because the other's additional entries were not committed.
func positionLess(a, b *api.Position) bool {
	if a.GetSyncedView() != b.GetSyncedView() {
		return a.GetSyncedView() < b.GetSyncedView()
	}
	return a.GetSequence() < b.GetSequence()
}

// entriesAfter returns the entries that follow a position, and false if the log does not contain that position.
func (d *DurableState) entriesAfter(sequence, hash uint64) ([]*api.Entry, bool) {
	if sequence == d.Snapshot.GetSequence() {
		return d.Entries, hash == d.Snapshot.GetHash()
	}
	if sequence < d.Snapshot.GetSequence() || sequence > d.lastPosition().Sequence {
		return nil, false
	}
	offset := sequence - d.Snapshot.GetSequence()
	return d.Entries[offset:], d.Entries[offset-1].Hash == hash
}

// sizeOfEntries returns how many bytes entries take in a message.
func sizeOfEntries(entries []*api.Entry) int {
	size := 0
	for _, entry := range entries {
		size += proto.Size(entry)
	}
	return size
}

// entryHash returns an entry's hash, which covers the previous entry's hash. Logs with the same hash at a sequence
// number are therefore equal up to that number.
func entryHash(previous, sequence uint64, operations []*api.Operation) uint64 {
	hash := sha256.New()
	var number [16]byte
	binary.LittleEndian.PutUint64(number[:8], previous)
	binary.LittleEndian.PutUint64(number[8:], sequence)
	hash.Write(number[:])
	for _, operation := range operations {
		// Marshaling an operation can't fail.
		data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(operation)
		binary.LittleEndian.PutUint64(number[:8], uint64(len(data)))
		hash.Write(number[:8])
		hash.Write(data)
	}
	return binary.LittleEndian.Uint64(hash.Sum(nil))
}

// appendEntry appends an entry to the log.
func (n *Node) appendEntry(entry *api.Entry) {
	size := proto.Size(entry)
	n.durable.Entries = append(n.durable.Entries, entry)
	n.output.Save.Appended = append(n.output.Save.Appended, entry)
	n.logBytes += size
	n.retransmitAt = n.now + n.retransmitDelay(size)
}

// extendLog appends entries, or replaces the log with a snapshot and the entries after it. It reports whether the
// entries connect the end of this log, or the snapshot, to the target. If they don't, it changes nothing: this log
// may have changed since the sender learned its position.
func (n *Node) extendLog(snapshot *api.Snapshot, entries []*api.Entry, target *api.Position) bool {
	start := n.durable.lastPosition()
	if snapshot != nil {
		start = &api.Position{Sequence: snapshot.Sequence, Hash: snapshot.Hash}
	}
	if !leadsTo(start, entries, target) {
		return false
	}
	if snapshot != nil {
		n.replaceLog(snapshot, entries)
		return true
	}
	for _, entry := range entries {
		n.appendEntry(entry)
	}
	return true
}

// leadsTo reports whether entries form an unbroken sequence from a position to a target.
func leadsTo(start *api.Position, entries []*api.Entry, target *api.Position) bool {
	sequence, hash := start.Sequence, start.Hash
	for _, entry := range entries {
		if entry.Sequence != sequence+1 || entry.PreviousHash != hash {
			return false
		}
		sequence, hash = entry.Sequence, entry.Hash
	}
	return sequence == target.GetSequence() && hash == target.GetHash()
}

// replaceLog replaces this log, which diverges from the head's or is too old, with the head's.
func (n *Node) replaceLog(snapshot *api.Snapshot, entries []*api.Entry) {
	n.durable.Snapshot, n.durable.Entries = snapshot, slices.Clone(entries)
	n.logBytes = sizeOfEntries(entries)
	n.output.Save.LogReplaced, n.output.Save.Snapshot = true, true
	n.output.Save.Appended = nil
	if n.committed < snapshot.Sequence {
		n.committed = snapshot.Sequence
		n.stateMachine.Restore(snapshot.State)
		n.output.SnapshotRestored = true
	}
}

// commitUpTo commits and applies the entries up to a sequence number, or to the end of the log if that comes first.
func (n *Node) commitUpTo(sequence uint64) {
	sequence = min(sequence, n.durable.lastPosition().Sequence)
	for n.committed < sequence {
		entry := n.durable.Entries[n.committed-n.durable.Snapshot.GetSequence()]
		n.committed++
		n.stateMachine.Apply(entry)
		n.output.Committed = append(n.output.Committed, entry)
	}
	n.compact()
}

// compact replaces the committed entries with a snapshot once the log reaches a bound.
func (n *Node) compact() {
	committed := n.committed - n.durable.Snapshot.GetSequence()
	if committed == 0 || !n.exceedsLogBounds(committed, n.config.MaxLogEntries, n.config.MaxLogBytes) {
		return
	}
	// A process that is catching up needs the entries after the snapshot that it is being sent.
	if n.isCatchingUp() && !n.exceedsLogBounds(committed, n.config.MaxCatchUpLogEntries, n.config.MaxCatchUpLogBytes) {
		return
	}
	last := n.durable.Entries[committed-1]
	n.durable.Snapshot = &api.Snapshot{Sequence: last.Sequence, Hash: last.Hash, State: n.stateMachine.State()}
	n.durable.Entries = slices.Clone(n.durable.Entries[committed:])
	n.logBytes = sizeOfEntries(n.durable.Entries)
	n.output.Save.Snapshot = true
}

// exceedsLogBounds reports whether the number of committed entries, or the size of the log, reaches its bound.
func (n *Node) exceedsLogBounds(entries uint64, maxEntries, maxBytes int) bool {
	return entries >= uint64(maxEntries) || n.logBytes >= maxBytes
}
