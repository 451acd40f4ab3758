package chain

import (
	"slices"
	"strconv"

	"marlreel/internal/api"
)

// FounderIncarnation is the incarnation of the members that found a cluster. All
// others draw one at random, well above it.
const FounderIncarnation = 1

// MemberKey identifies a member.
func MemberKey(member *api.Member) string {
	return member.GetAddress() + "/" + strconv.FormatUint(member.GetIncarnation(), 16)
}

func sameMember(a, b *api.Member) bool {
	return a.GetAddress() == b.GetAddress() && a.GetIncarnation() == b.GetIncarnation()
}

func indexOf(members []*api.Member, member *api.Member) int {
	return slices.IndexFunc(members, func(other *api.Member) bool { return sameMember(other, member) })
}

func contains(members []*api.Member, member *api.Member) bool { return indexOf(members, member) >= 0 }

func without(members []*api.Member, member *api.Member) []*api.Member {
	return slices.DeleteFunc(slices.Clone(members), func(other *api.Member) bool { return sameMember(other, member) })
}

// majority is how many of so many members decide.
func majority(members int) int { return members/2 + 1 }

// FoundingView is the view that the founders start from: it has no chain.
func FoundingView(addresses []string) *api.View {
	view := &api.View{}
	sorted := slices.Clone(addresses)
	slices.Sort(sorted)
	for _, address := range slices.Compact(sorted) {
		view.Members = append(view.Members, &api.Member{Address: address, Incarnation: FounderIncarnation})
	}
	return view
}

// ballotLess orders ballots; a missing one is the lowest.
func ballotLess(a, b *api.Ballot) bool {
	if a.GetRound() != b.GetRound() {
		return a.GetRound() < b.GetRound()
	}
	return a.GetProposer() < b.GetProposer()
}

func ballotEqual(a, b *api.Ballot) bool {
	return a.GetRound() == b.GetRound() && a.GetProposer() == b.GetProposer()
}

// positionLess orders logs by how far they reach.
func positionLess(a, b *api.Position) bool {
	if a.GetSyncedView() != b.GetSyncedView() {
		return a.GetSyncedView() < b.GetSyncedView()
	}
	return a.GetSequence() < b.GetSequence()
}
