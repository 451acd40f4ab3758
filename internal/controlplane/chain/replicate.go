package chain

import (
	"time"

	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
)

// CanPropose reports whether an entry can be proposed at this node now: it is the head of a view in service, and the
// previous entry is committed. Only one entry is in flight at a time, so in any log all but the last entry are
// committed.
func (n *Node) CanPropose() bool {
	return n.isHead() && n.viewInService() && n.committed == n.durable.lastPosition().Sequence
}

// Propose appends an entry and starts replicating it. It may be called only while CanPropose is true. The entry is
// committed when it appears in an Output's Committed; if the view changes before that, it may be lost.
func (n *Node) Propose(now time.Duration, operations []*api.Operation) (*api.Entry, Output) {
	n.now = now
	end := n.durable.lastPosition()
	entry := &api.Entry{Sequence: end.Sequence + 1, PreviousHash: end.Hash, Operations: operations}
	entry.Hash = entryHash(entry.PreviousHash, entry.Sequence, operations)
	n.appendEntry(entry)
	n.replicate(entry)
	return entry, n.takeOutput()
}

// replicate sends an entry to the successor. The tail has none and commits the entry, since every member of the chain
// has it on disk once this output is carried out.
func (n *Node) replicate(entry *api.Entry) {
	successor := n.successor()
	if successor == nil {
		n.commitUpTo(entry.Sequence)
		n.acknowledge(entry)
		return
	}
	replicate := &api.Replicate{Entry: entry, Committed: n.committed}
	n.send(successor, &api.ChainMessage{Body: &api.ChainMessage_Replicate{Replicate: replicate}})
}

// acknowledge tells the predecessor, if there is one, that an entry is committed.
func (n *Node) acknowledge(entry *api.Entry) {
	predecessor := n.predecessor()
	if predecessor == nil {
		return
	}
	acknowledge := &api.Acknowledge{Sequence: entry.Sequence, Hash: entry.Hash}
	n.send(predecessor, &api.ChainMessage{Body: &api.ChainMessage_Acknowledge{Acknowledge: acknowledge}})
}

// onReplicate appends an entry from the predecessor and forwards it to the successor. A member that is wedged, or whose
// log was not synchronized with the head's in this view, appends nothing.
func (n *Node) onReplicate(from *api.Member, replicate *api.Replicate) {
	entry := replicate.Entry
	if n.wedged() || entry == nil || n.durable.SyncedView != n.durable.View.Number || !sameMember(from, n.predecessor()) {
		return
	}
	n.enterService(replicate.Committed) // a head proposes entries only while its view is in service
	end := n.durable.lastPosition()
	switch {
	case entry.Sequence == end.Sequence && entry.Hash == end.Hash:
		if n.committed >= entry.Sequence {
			n.acknowledge(entry)
			return
		}
	case entry.Sequence == end.Sequence+1 && entry.PreviousHash == end.Hash:
		n.appendEntry(entry)
	default:
		return
	}
	n.replicate(entry)
}

// onAcknowledge commits the log's last entry, which the successor has acknowledged.
func (n *Node) onAcknowledge(from *api.Member, acknowledge *api.Acknowledge) {
	if n.wedged() || !sameMember(from, n.successor()) {
		return
	}
	end := n.durable.lastPosition()
	if acknowledge.Sequence != end.Sequence || acknowledge.Hash != end.Hash || n.committed >= end.Sequence {
		return
	}
	entry := n.lastEntry()
	n.commitUpTo(acknowledge.Sequence)
	n.acknowledge(entry)
}

// retransmitEntry sends the last entry again if it was not acknowledged in time.
func (n *Node) retransmitEntry() {
	if !n.viewInService() || n.now < n.retransmitAt || n.successor() == nil {
		return
	}
	if n.committed >= n.durable.lastPosition().Sequence {
		return
	}
	entry := n.lastEntry()
	n.retransmitAt = n.now + n.retransmitDelay(proto.Size(entry))
	n.replicate(entry)
}

// lastEntry returns the log's last entry. The log must have an uncommitted one.
func (n *Node) lastEntry() *api.Entry { return n.durable.Entries[len(n.durable.Entries)-1] }
