package chain

import (
	"time"

	"marlreel/internal/api"
)

// Leave begins to take this process out of the chain, since it is about to end. Left tells when
// that is done. A chain that can't do without it keeps it.
func (n *Node) Leave(now time.Duration) Output {
	n.now = now
	n.leaving = true
	for _, member := range n.others() {
		n.send(member, n.heartbeat())
	}
	n.look()
	return n.take()
}

// HasLeft tells whether this process is not needed any more: it is outside a chain that is in
// service. Until that is, its members may not all know that they are the chain, and who knows
// has to live.
func (n *Node) HasLeft() bool {
	if n.durable.View.Number == 0 {
		return !n.isMember()
	}
	return !n.inChain() && n.servedView == n.durable.View.Number
}

// isLeaving tells whether a member has said that it is about to end.
func (n *Node) isLeaving(member *api.Member) bool {
	if sameMember(member, n.durable.Self) {
		return n.leaving
	}
	p := n.peers[MemberKey(member)]
	return p != nil && p.leaving && n.alive(p)
}

// letLeave proposes a view without a member that leaves, where a majority stays. One beyond the
// members that there should be no longer counts from then on: a second loss right after it has
// ended leaves a majority of those that do.
func (n *Node) letLeave() (proposed bool) {
	if n.committed != n.durable.last().Sequence {
		return false // what is under way comes first
	}
	view := n.durable.View
	for _, member := range view.Members {
		if !n.isLeaving(member) {
			continue
		}
		members, inChain := view.Members, contains(view.Chain, member)
		if len(members) > n.cfg.TargetMembers {
			members = without(members, member)
		}
		if len(members) == len(view.Members) && !inChain || len(without(view.Chain, member)) < majority(len(members)) {
			continue
		}
		n.propose(member.Address+" leaves", members, change{leaving: member})
		return true
	}
	return false
}
