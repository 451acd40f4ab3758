package chain

import (
	"time"

	"marlreel/internal/api"
)

// Leave begins to remove this process from the chain, since it is shutting down; it can't be undone. HasLeft tells when
// that is done. A chain that would be too short without this process keeps it.
func (n *Node) Leave(now time.Duration) Output {
	n.now = now
	n.leaving = true
	for _, member := range n.otherMembers() {
		n.send(member, n.heartbeatMessage())
	}
	n.checkView()
	return n.takeOutput()
}

// HasLeft tells whether this process is not needed any more: it is outside a chain that is in service. Before that is in
// service its members may not all know of the view, and a member that does has to stay.
func (n *Node) HasLeft() bool {
	if n.durable.View.Number == 0 {
		return !n.isMember()
	}
	return !n.inChain() && n.reportedServiceView == n.durable.View.Number
}

// isLeaving tells whether a member has said that it is shutting down.
func (n *Node) isLeaving(member *api.Member) bool {
	if sameMember(member, n.durable.Self) {
		return n.leaving
	}
	p := n.peers[MemberKey(member)]
	return p != nil && p.leaving && n.isAlive(p)
}

// removeLeavingMember proposes a view without a member that is leaving, where a majority stays, and reports whether it
// has. A member beyond Config.TargetMembers has no vote from then on: after a second loss right after it has ended, a
// majority of the voting members is left.
func (n *Node) removeLeavingMember() bool {
	if n.committed != n.durable.lastPosition().Sequence {
		return false // the entry in flight comes first
	}
	view := n.durable.View
	for _, member := range view.Members {
		if !n.isLeaving(member) {
			continue
		}
		members, inChain := view.Members, containsMember(view.Chain, member)
		if len(members) > n.config.TargetMembers {
			members = withoutMember(members, member)
		}
		unchanged := len(members) == len(view.Members) && !inChain
		if unchanged || len(withoutMember(view.Chain, member)) < majority(len(members)) {
			continue
		}
		n.propose(cause{ReasonMemberLeaving, member}, members, chainChange{leaving: member})
		return true
	}
	return false
}
