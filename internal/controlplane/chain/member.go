package chain

import (
	"slices"
	"strconv"

	"marlreel/internal/api"
)

// FounderIncarnation is the incarnation of the members that found a cluster. All others draw one at random, well
// above it.
const FounderIncarnation = 1

// MemberKey identifies a member: its address and its incarnation, as "10.0.0.1:7100/1". A process whose disk was lost
// comes back as another member.
func MemberKey(member *api.Member) string {
	return member.GetAddress() + "/" + strconv.FormatUint(member.GetIncarnation(), 16)
}

func sameMember(a, b *api.Member) bool {
	return a.GetAddress() == b.GetAddress() && a.GetIncarnation() == b.GetIncarnation()
}

func indexOfMember(members []*api.Member, member *api.Member) int {
	return slices.IndexFunc(members, func(other *api.Member) bool { return sameMember(other, member) })
}

func containsMember(members []*api.Member, member *api.Member) bool {
	return indexOfMember(members, member) >= 0
}

func withoutMember(members []*api.Member, member *api.Member) []*api.Member {
	return slices.DeleteFunc(slices.Clone(members), func(other *api.Member) bool { return sameMember(other, member) })
}

// majority is how many of a number of members decide. Two majorities of the same members share at least one.
func majority(members int) int { return members/2 + 1 }

// FoundingView is view 0, from which the founders agree on view 1: it names them as members and has no chain.
func FoundingView(addresses []string) *api.View {
	view := &api.View{}
	sorted := slices.Clone(addresses)
	slices.Sort(sorted)
	for _, address := range slices.Compact(sorted) {
		view.Members = append(view.Members, &api.Member{Address: address, Incarnation: FounderIncarnation})
	}
	return view
}
