package chain

import (
	"cmp"
	"slices"

	"marlreel/internal/api"
)

// chooseView is the view to propose: one that may have been agreed already, or else a chain of those that have promised,
// the furthest log first. nil: there is none.
//
// A chain has at least a majority of the new members. Every later majority then includes one that has all entries which
// this chain commits.
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
		return nil // only the leaving member has all that may have been acknowledged
	}
	chain := n.buildChain(head, candidates)
	if len(chain) < majority(len(n.proposal.members)) {
		return nil
	}
	return &api.View{Number: n.proposal.instance, Members: n.proposal.members, Chain: chain}
}

// highestAccepted is the view accepted under the highest ballot that promises name, or nil. It may have been agreed: a
// proposer must not propose any other.
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

// isLeaving tells whether a member is the one that the proposed view removes because it is shutting down.
func (p *proposal) isLeaving(member *api.Member) bool {
	return p.change.leaving != nil && sameMember(member, p.change.leaving)
}

// promisedCandidates are the new view's members that have promised, those of the present chain first, in its order. A
// leaving member that has promised is among them: its log counts, although it is not in the new chain.
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

// selectHead is the candidate whose log reaches furthest, but for the leaving member; nil if that one alone reaches so
// far. The furthest log of a majority holds all that was ever committed.
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

// buildChain makes a chain of candidates. Members from outside the old chain whose logs lag far behind are taken only
// where a majority needs them: the chain is out of service until they have the whole log.
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

// promisedSequence is the end of a member's log when it promised.
func (n *Node) promisedSequence(member *api.Member) uint64 {
	return n.proposal.promises[MemberKey(member)].GetPosition().GetSequence()
}

// isWithinLag tells whether a member lacks little of a head's log.
func (n *Node) isWithinLag(member, head *api.Member) bool {
	return n.promisedSequence(member)+n.config.MaxLagEntries >= n.promisedSequence(head)
}
