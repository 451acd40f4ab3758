package chain

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
)

// A process outside the chain catches up before it joins. The chain stays in service meanwhile, and once the process
// has joined only a small part of the log is left to synchronize. Only committed entries are sent, so the log of a
// process that has caught up is never longer than that of any chain in service. Catching up does not change its
// SyncedView.

// catchUp is the head's progress in sending the log to a process outside the chain.
type catchUp struct {
	peerKey      string
	target       *api.Position
	sentAt       time.Duration // when the last part was sent
	retransmitAt time.Duration // until then the last part may be in flight
	keepsUp      bool          // a part arrived soon after it was sent, so sending another would gain nothing
}

// isCatchingUp reports whether a process is catching up with this head.
func (n *Node) isCatchingUp() bool { return n.catchUp != nil }

// CatchUpAddress returns the address of the process that is catching up with this head, or "" if there is none.
func (n *Node) CatchUpAddress() string {
	if n.catchUp == nil || !n.isHead() {
		return ""
	}
	address, _, _ := strings.Cut(n.catchUp.peerKey, "/")
	return address
}

// dropCatchUp ends the catch-up of a process that has failed or has joined the chain.
func (n *Node) dropCatchUp() {
	if n.catchUp == nil {
		return
	}
	p := n.peers[n.catchUp.peerKey]
	if p == nil || !n.isAlive(p) || containsMember(n.durable.View.Chain, p.member) {
		n.catchUp = nil
	}
}

// continueCatchUp sends a process the part of the log that it lacks. Only one process at a time catches up. It reports
// whether the process lacks little enough to join the chain.
func (n *Node) continueCatchUp(p *peer) bool {
	key := MemberKey(p.member)
	if n.catchUp != nil && n.catchUp.peerKey != key {
		return false
	}
	data := n.catchUpFor(p)
	if data.Snapshot == nil && sizeOfEntries(data.Entries) <= n.config.MaxJoinLagBytes {
		return true
	}
	if n.catchUp == nil {
		size := proto.Size(data)
		if size <= n.config.MaxJoinLagBytes {
			return true // the snapshot is small
		}
		n.sendCatchUp(p, data, size)
		return false
	}
	current := n.catchUp
	if data.Snapshot == nil && p.position.GetSequence() >= current.target.Sequence {
		// The last part has arrived.
		current.keepsUp = current.keepsUp || n.now-current.sentAt <= n.config.MinStableTime
		if current.keepsUp {
			return true
		}
		current.retransmitAt = 0
	}
	if n.now >= current.retransmitAt {
		n.sendCatchUp(p, data, proto.Size(data))
	}
	return false
}

// sendCatchUp sends a process a part of size bytes.
func (n *Node) sendCatchUp(p *peer, data *api.CatchUp, size int) {
	n.catchUp = &catchUp{
		peerKey: MemberKey(p.member), target: data.Target, sentAt: n.now, retransmitAt: n.now + n.retransmitDelay(size),
	}
	n.send(p.member, &api.ChainMessage{Body: &api.ChainMessage_CatchUp{CatchUp: data}})
}

// catchUpFor returns the committed part of the log that a process lacks.
func (n *Node) catchUpFor(p *peer) *api.CatchUp {
	data := &api.CatchUp{Target: n.durable.positionAt(n.committed)}
	entries, found := n.durable.entriesAfter(p.position.GetSequence(), p.position.GetHash())
	if !found {
		data.Snapshot, entries = n.durable.Snapshot, n.durable.Entries
	}
	for _, entry := range entries {
		if entry.Sequence <= n.committed {
			data.Entries = append(data.Entries, entry)
		}
	}
	return data
}

// onCatchUp extends the log of a process outside the chain with committed entries. A message that is late, or reaches a
// member of the chain, must not remove anything from the log.
func (n *Node) onCatchUp(from *api.Member, data *api.CatchUp) {
	if n.wedged() || n.inChain() || !sameMember(from, n.Head()) || data.Target.GetSequence() <= n.committed {
		return
	}
	if !n.extendLog(data.Snapshot, data.Entries, data.Target) {
		return
	}
	n.commitUpTo(data.Target.Sequence)
	n.send(from, n.heartbeatMessage()) // reports the new position of the log
}
