package chain

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
)

// A process outside the chain is brought up to date before it is taken in: the chain goes on
// serving meanwhile, and who counts holds all but a little. Only what is committed is sent, so
// a log that was brought up to date reaches no further than that of any chain in service; its
// SyncedView stays what it was.

// catchUp is what a head has sent to a process outside the chain.
type catchUp struct {
	key    string
	target *api.Position
	began  time.Duration // when the last part was sent
	until  time.Duration // how long that may be on its way
	fast   bool          // the last part arrived soon: no more is to be gained by waiting
}

// bringsUp tells whether somebody is being brought up to date.
func (n *Node) bringsUp() bool { return n.catchUp != nil }

// CatchUpAddress is the address of the process that this head brings up to date; "" is none.
func (n *Node) CatchUpAddress() string {
	if n.catchUp == nil || !n.isHead() {
		return ""
	}
	address, _, _ := strings.Cut(n.catchUp.key, "/")
	return address
}

// dropCatchUp forgets a process that no longer can be brought up to date.
func (n *Node) dropCatchUp() {
	if n.catchUp == nil {
		return
	}
	if p := n.peers[n.catchUp.key]; p == nil || !n.alive(p) || contains(n.durable.View.Chain, p.member) {
		n.catchUp = nil
	}
}

// bringUp sends a process what it lacks, one process at a time. It tells whether that is little
// enough for the chain to be made equal with it.
func (n *Node) bringUp(p *peer) (near bool) {
	key := MemberKey(p.member)
	if n.catchUp != nil && n.catchUp.key != key {
		return false // one after the other
	}
	data := n.lackedBy(p)
	if data.Snapshot == nil && bytesOf(data.Entries) <= n.cfg.MaxJoinLagBytes {
		return true
	}
	c := n.catchUp
	if c != nil && data.Snapshot == nil && p.position.GetSequence() >= c.target.Sequence {
		// The last part has arrived.
		if c.fast = c.fast || n.now-c.began <= n.cfg.MinStableTime; c.fast {
			return true
		}
		c.until = 0
	}
	if c != nil && n.now < c.until {
		return false
	}
	size := proto.Size(data)
	if c == nil && size <= n.cfg.MaxJoinLagBytes {
		return true // a snapshot, and a small one
	}
	n.catchUp = &catchUp{key: key, target: data.Target, began: n.now, until: n.now + n.resendAfter(size)}
	n.send(p.member, &api.ChainMessage{Body: &api.ChainMessage_CatchUp{CatchUp: data}})
	return false
}

// lackedBy is what is committed and a process does not have.
func (n *Node) lackedBy(p *peer) *api.CatchUp {
	data := &api.CatchUp{Target: n.durable.positionAt(n.committed)}
	entries, holds := n.durable.entriesAfter(p.position.GetSequence(), p.position.GetHash())
	if !holds {
		data.Snapshot, entries = n.durable.Snapshot, n.durable.Entries
	}
	for _, entry := range entries {
		if entry.Sequence <= n.committed {
			data.Entries = append(data.Entries, entry)
		}
	}
	return data
}

// onCatchUp takes in what is committed, on a process outside the chain.
func (n *Node) onCatchUp(from *api.Member, data *api.CatchUp) {
	if n.wedged() || n.inChain() || !sameMember(from, n.Head()) || data.Target.GetSequence() <= n.committed {
		return
	}
	if !n.takeLog(data.Snapshot, data.Entries, data.Target) {
		return
	}
	n.commit(data.Target.Sequence)
	n.send(from, n.heartbeat()) // which says how far the log reaches now
}
