package chain

import "marlreel/internal/api"

// Event is something that a Node reports for the process's event log: a ViewProposed or a ViewInstalled.
type Event interface{ event() }

// Reason is why another view is needed.
type Reason string

// The reasons for which a member proposes a view.
const (
	// ReasonFounding: the founders reach each other, and no view has a chain yet.
	ReasonFounding Reason = "cluster founded"
	// ReasonMemberFailed: a member of the chain has sent nothing for Config.FailureTimeout.
	ReasonMemberFailed Reason = "chain member failed"
	// ReasonProposalStalled: an earlier proposal wedged this member but did not lead to a view.
	ReasonProposalStalled Reason = "earlier proposal stalled"
	// ReasonMemberRejoining: a member outside the chain joins it again.
	ReasonMemberRejoining Reason = "member rejoining"
	// ReasonMemberJoining: a process that is not a member becomes one.
	ReasonMemberJoining Reason = "member joining"
	// ReasonMemberRemoved: there are more than Config.TargetMembers, and one has been unreachable for
	// Config.RemovalTimeout.
	ReasonMemberRemoved Reason = "failed member removed"
	// ReasonMemberLeaving: a member is shutting down.
	ReasonMemberLeaving Reason = "member leaving"
)

// cause is why another view is needed, and which member that concerns. The zero cause means that none is needed.
type cause struct {
	reason Reason
	member *api.Member // nil if the reason concerns no particular member
}

// ViewProposed reports that this node proposes a view. If an earlier proposal was already accepted, that view is
// proposed instead; and the proposal may fail.
type ViewProposed struct {
	Number uint64
	Reason Reason
	// Member is the address of the member that the reason concerns, or "" if it concerns no particular one.
	Member string
}

// ViewInstalled reports that this node has installed an agreed view. The view is not in service yet.
type ViewInstalled struct {
	Number  uint64
	Chain   []string // addresses, the head's first
	Members int      // number of voting members, in the chain or not
}

func (ViewProposed) event()  {}
func (ViewInstalled) event() {}

var (
	_ Event = ViewProposed{}
	_ Event = ViewInstalled{}
)

// addressesOf returns the addresses of members, in the same order.
func addressesOf(members []*api.Member) []string {
	var addresses []string
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}
