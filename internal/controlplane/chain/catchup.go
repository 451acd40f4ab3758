package chain

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
)

// A process outside the chain catches up before it joins: the chain stays in service meanwhile, and its members all have
// all but a little of the log. Only what is committed is sent, so a log that has caught up reaches no further than that
// of any chain in service; its SyncedView stays what it was.

// catchUp is what a head has sent to a process outside the chain.
type catchUp struct {
	peerKey      string
	target       *api.Position
	sentAt       time.Duration // when the last part was sent
	retransmitAt time.Duration // until when that may be on its way
	keepsUp      bool          // a part arrived soon after it was sent: nothing is gained by sending another
}

// isCatchingUp tells whether a process is catching up with this head.
func (n *Node) isCatchingUp() bool { return n.catchUp != nil }

// CatchUpAddress is the address of the process that is catching up with this head; "": there is none.
func (n *Node) CatchUpAddress() string {
	if n.catchUp == nil || !n.isHead() {
		return ""
	}
	address, _, _ := strings.Cut(n.catchUp.peerKey, "/")
	return address
}

// dropCatchUp forgets a process that is not alive any more, or has joined.
func (n *Node) dropCatchUp() {
	if n.catchUp == nil {
		return
	}
	p := n.peers[n.catchUp.peerKey]
	if p == nil || !n.isAlive(p) || containsMember(n.durable.View.Chain, p.member) {
		n.catchUp = nil
	}
}

// continueCatchUp sends a process what it lacks, one process at a time. It reports whether that is little enough for the
// process to join the chain.
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
			return true // a snapshot, and a small one
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

// sendCatchUp sends a process a part of so many bytes.
func (n *Node) sendCatchUp(p *peer, data *api.CatchUp, size int) {
	n.catchUp = &catchUp{
		peerKey: MemberKey(p.member), target: data.Target, sentAt: n.now, retransmitAt: n.now + n.retransmitDelay(size),
	}
	n.send(p.member, &api.ChainMessage{Body: &api.ChainMessage_CatchUp{CatchUp: data}})
}

// catchUpFor is what is committed and a process does not have.
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

// onCatchUp takes what is committed, on a process outside the chain. A copy that comes late, or to a member of the
// chain, must not take anything back.
func (n *Node) onCatchUp(from *api.Member, data *api.CatchUp) {
	if n.wedged() || n.inChain() || !sameMember(from, n.Head()) || data.Target.GetSequence() <= n.committed {
		return
	}
	if !n.extendLog(data.Snapshot, data.Entries, data.Target) {
		return
	}
	n.commitUpTo(data.Target.Sequence)
	n.send(from, n.heartbeatMessage()) // which says how far the log reaches now
}
