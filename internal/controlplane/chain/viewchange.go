package chain

import (
	"slices"
	"time"

	"marlreel/internal/api"
)

// checkView checks whether another view is needed, and proposes it when it is this member's turn.
func (n *Node) checkView() {
	n.expirePeers()
	if n.proposal != nil {
		n.advanceProposal()
		return
	}
	if !n.isMember() {
		return
	}
	needed := n.viewChangeCause()
	if needed.reason == "" {
		n.viewNeededSince = 0
		n.checkMembership()
		return
	}
	if n.viewNeededSince == 0 {
		n.viewNeededSince = n.now
	}
	if n.now-n.viewNeededSince >= time.Duration(n.proposerRank())*n.config.ProposalStagger {
		n.propose(needed, n.durable.View.Members, chainChange{})
	}
}

// viewChangeCause returns why the view has to be replaced. While no majority is reachable it returns no cause: nothing
// could be agreed, and the promise to its own ballot would take this member out of service.
func (n *Node) viewChangeCause() cause {
	view := n.durable.View
	if !n.reachesMajority() {
		return cause{}
	}
	if len(view.Chain) == 0 {
		return cause{reason: ReasonFounding}
	}
	for _, member := range view.Chain {
		if !n.isReachable(member) && n.now-n.runningSince >= n.config.FailureTimeout {
			return cause{ReasonMemberFailed, member}
		}
	}
	if n.wedged() && n.now-n.wedgedSince > n.config.ProposalTimeout {
		return cause{reason: ReasonProposalStalled}
	}
	return cause{}
}

// proposerRank returns how many reachable members propose before this one, in the order of the chain, then of the
// members.
func (n *Node) proposerRank() int {
	rank := 0
	for _, member := range slices.Concat(n.durable.View.Chain, n.durable.View.Members) {
		if sameMember(member, n.durable.Self) {
			return rank
		}
		if n.isReachable(member) {
			rank++
		}
	}
	return rank
}

// checkMembership adds members, or removes those that are leaving or have failed, if this node is the head of a chain
// in service. Only then do all members of the chain have the head's log, and so does a majority of the members, both
// before and after a change by one member.
func (n *Node) checkMembership() {
	if !n.isHead() || !n.viewInService() {
		return
	}
	if n.removeLeavingMember() {
		return
	}
	n.dropCatchUp()
	if n.addCaughtUpPeer() {
		return
	}
	if len(n.durable.View.Members) <= n.config.TargetMembers {
		return
	}
	if failed := n.longestUnseen(n.config.RemovalTimeout); failed != nil {
		members := withoutMember(n.durable.View.Members, failed)
		n.propose(cause{ReasonMemberRemoved, failed}, members, chainChange{})
	}
}

// addCaughtUpPeer continues the catch-up of a peer that wants to join, and proposes a view with the peer once it lacks
// little of the log. It reports whether it has proposed one.
func (n *Node) addCaughtUpPeer() bool {
	view := n.durable.View
	for _, key := range n.sortedPeers() {
		p := n.peers[key]
		if !n.canJoin(p) || !n.continueCatchUp(p) {
			continue
		}
		if containsMember(view.Members, p.member) {
			n.propose(cause{ReasonMemberRejoining, p.member}, view.Members, chainChange{joining: p.member})
		} else {
			n.propose(cause{ReasonMemberJoining, p.member}, n.membersWith(p.member), chainChange{joining: p.member})
		}
		return true
	}
	return false
}

// canJoin reports whether a peer outside the chain may join it: it asks to, knows the current view, has been
// reachable for MinStableTime and reaches all of the chain.
func (n *Node) canJoin(p *peer) bool {
	if containsMember(n.durable.View.Chain, p.member) || p.member.Incarnation == 0 {
		return false
	}
	return n.isAlive(p) && p.wantsToJoin && !p.hasOlderView &&
		n.now-p.stableSince >= n.config.MinStableTime && n.reachesChain(p)
}

// membersWith returns the members after a process has joined. It replaces its own earlier incarnation or, if there are
// already TargetMembers, a failed member.
func (n *Node) membersWith(joining *api.Member) []*api.Member {
	members := n.durable.View.Members
	for _, member := range members {
		if member.Address == joining.Address {
			return append(withoutMember(members, member), joining)
		}
	}
	if len(members) >= n.config.TargetMembers {
		if failed := n.longestUnseen(n.config.FailureTimeout); failed != nil {
			return append(withoutMember(members, failed), joining)
		}
	}
	return append(slices.Clone(members), joining)
}
