package chain

import (
	"time"

	"marlreel/internal/api"
)

// Leave starts removing this process from the chain because it is shutting down; this can't be undone. HasLeft reports
// when it is done. The process stays in a chain that would be too short without it.
func (n *Node) Leave(now time.Duration) Output {
	n.now = now
	n.leaving = true
	for _, member := range n.otherMembers() {
		n.send(member, n.heartbeatMessage())
	}
	n.checkView()
	return n.takeOutput()
}

// HasLeft reports whether this process may exit: it is outside the chain, and the chain is in service. Until the new
// chain is in service, some of its members may not know the view yet, so a process that knows it has to stay.
func (n *Node) HasLeft() bool {
	if n.durable.View.Number == 0 {
		return !n.isMember()
	}
	return !n.inChain() && n.reportedServiceView == n.durable.View.Number
}

// isLeaving reports whether a member has announced that it is shutting down.
func (n *Node) isLeaving(member *api.Member) bool {
	if sameMember(member, n.durable.Self) {
		return n.leaving
	}
	p := n.peers[MemberKey(member)]
	return p != nil && p.leaving && n.isAlive(p)
}

// removeLeavingMember proposes a view whose chain excludes a leaving member, if a majority remains without it, and
// reports whether it did so. If there are more than Config.TargetMembers, the leaving member loses its vote too, so
// that a majority of the voting members remains if another one fails right after it has exited.
func (n *Node) removeLeavingMember() bool {
	if n.committed != n.durable.lastPosition().Sequence {
		return false // wait for the entry in flight
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
