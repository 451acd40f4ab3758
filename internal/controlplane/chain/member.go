package chain

import (
	"slices"
	"strconv"

	"marlreel/internal/api"
)

// FounderIncarnation is the incarnation of the members that found a cluster. All others draw a random one, well
// above it.
const FounderIncarnation = 1

// MemberKey identifies a member by its address and its incarnation, for example "10.0.0.1:7100/1". A process that lost
// its disk comes back as another member.
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

// majority returns the size of a majority. Two majorities of the same members share at least one member.
func majority(members int) int { return members/2 + 1 }

// FoundingView returns view 0, which names the founders as members and has no chain. From it they agree on view 1.
func FoundingView(addresses []string) *api.View {
	view := &api.View{}
	sorted := slices.Clone(addresses)
	slices.Sort(sorted)
	for _, address := range slices.Compact(sorted) {
		view.Members = append(view.Members, &api.Member{Address: address, Incarnation: FounderIncarnation})
	}
	return view
}
