package chain

import (
	"cmp"
	"slices"

	"marlreel/internal/api"
)

// chooseView returns the view to propose: a view that may have been agreed already, or else one whose chain is made of
// members that have promised, with the most advanced log as head. It returns nil if there is no such view.
//
// A chain has at least a majority of the new members, so that every later majority includes a member that has all
// entries committed by this chain.
func (n *Node) chooseView() *api.View {
	if accepted := n.proposal.highestAccepted(); accepted != nil {
		return accepted
	}
	candidates := n.promisedCandidates()
	if len(candidates) == 0 {
		return nil
	}
	head := n.selectHead(candidates)
	if head == nil {
		return nil // only the leaving member has every entry that may have been acknowledged
	}
	chain := n.buildChain(head, candidates)
	if len(chain) < majority(len(n.proposal.members)) {
		return nil
	}
	return &api.View{Number: n.proposal.instance, Members: n.proposal.members, Chain: chain}
}

// highestAccepted returns the view accepted under the highest ballot that any promise names, or nil. It may have been
// agreed already, so the proposer must not propose a different one.
func (p *proposal) highestAccepted() *api.View {
	var highest *api.Promise
	for _, promise := range p.promises {
		if promise.AcceptedView == nil {
			continue
		}
		if highest == nil || ballotLess(highest.AcceptedBallot, promise.AcceptedBallot) {
			highest = promise
		}
	}
	return highest.GetAcceptedView()
}

// isLeaving reports whether the proposed view removes a member because it is shutting down.
func (p *proposal) isLeaving(member *api.Member) bool {
	return p.change.leaving != nil && sameMember(member, p.change.leaving)
}

// promisedCandidates returns the members of the new view that have promised, those of the current chain first, in its
// order. A leaving member that has promised is included: its log counts, although it will not be in the new chain.
func (n *Node) promisedCandidates() []*api.Member {
	var found []*api.Member
	for _, member := range slices.Concat(n.durable.View.Chain, n.durable.View.Members) {
		promised := n.proposal.promises[MemberKey(member)] != nil
		if promised && containsMember(n.proposal.members, member) && !containsMember(found, member) {
			found = append(found, member)
		}
	}
	leaving := n.proposal.change.leaving
	if leaving != nil && !containsMember(found, leaving) && n.proposal.promises[MemberKey(leaving)] != nil {
		found = append(found, leaving)
	}
	return found
}

// selectHead returns the candidate with the most advanced log, other than the leaving member, or nil if the leaving
// member's log is more advanced than all others. The most advanced log of a majority holds every committed entry.
func (n *Node) selectHead(candidates []*api.Member) *api.Member {
	position := func(member *api.Member) *api.Position { return n.proposal.promises[MemberKey(member)].Position }
	var head, leaving *api.Member
	for _, member := range candidates {
		switch {
		case n.proposal.isLeaving(member):
			leaving = member
		case head == nil || positionLess(position(head), position(member)):
			head = member
		}
	}
	if head != nil && leaving != nil && positionLess(position(head), position(leaving)) {
		return nil
	}
	return head
}

// buildChain makes a chain of candidates. Members from outside the old chain whose logs lag far behind are included
// only if they are needed for a majority, because the chain is out of service until they have the whole log.
func (n *Node) buildChain(head *api.Member, candidates []*api.Member) []*api.Member {
	chain := []*api.Member{head}
	var lagging []*api.Member
	for _, member := range candidates {
		switch {
		case sameMember(member, head) || n.proposal.isLeaving(member):
		case containsMember(n.durable.View.Chain, member) || n.isWithinLag(member, head):
			chain = append(chain, member)
		default:
			lagging = append(lagging, member)
		}
	}
	joining := n.proposal.change.joining
	if joining != nil && !containsMember(chain, joining) && containsMember(n.proposal.members, joining) && n.isReachable(joining) {
		chain = append(chain, joining)
		lagging = withoutMember(lagging, joining)
	}
	slices.SortStableFunc(lagging, func(a, b *api.Member) int {
		return cmp.Compare(n.promisedSequence(b), n.promisedSequence(a))
	})
	needed := majority(len(n.proposal.members)) - len(chain)
	return append(chain, lagging[:min(max(needed, 0), len(lagging))]...)
}

// promisedSequence returns the sequence number at the end of a member's log when it promised.
func (n *Node) promisedSequence(member *api.Member) uint64 {
	return n.proposal.promises[MemberKey(member)].GetPosition().GetSequence()
}

// isWithinLag reports whether a member lags at most MaxLagEntries behind a head's log.
func (n *Node) isWithinLag(member, head *api.Member) bool {
	return n.promisedSequence(member)+n.config.MaxLagEntries >= n.promisedSequence(head)
}
