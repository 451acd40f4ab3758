package chain

import "marlreel/internal/api"

// Event is something that a Node reports for the log: a ViewProposed or a ViewInstalled.
type Event interface{ event() }

// Reason is why another view is needed.
type Reason string

// The reasons for which a member proposes a view.
const (
	// ReasonFounding: the founders reach each other, and no view has a chain yet.
	ReasonFounding Reason = "cluster founded"
	// ReasonMemberFailed: a member of the chain has sent nothing for Config.FailureTimeout.
	ReasonMemberFailed Reason = "chain member failed"
	// ReasonProposalStalled: an earlier proposal has wedged this member, and no view came of it.
	ReasonProposalStalled Reason = "earlier proposal stalled"
	// ReasonMemberRejoining: a member outside the chain is to be in it again.
	ReasonMemberRejoining Reason = "member rejoining"
	// ReasonMemberJoining: a process that is no member is to be one.
	ReasonMemberJoining Reason = "member joining"
	// ReasonMemberRemoved: a member beyond Config.TargetMembers has failed for Config.RemovalTimeout.
	ReasonMemberRemoved Reason = "failed member removed"
	// ReasonMemberLeaving: a member is shutting down.
	ReasonMemberLeaving Reason = "member leaving"
)

// cause is why another view is needed, and whom that concerns; the zero cause: none is.
type cause struct {
	reason Reason
	member *api.Member // nil: nobody in particular
}

// ViewProposed says that this node proposes a view. The view may differ if another one was accepted already, and none
// may come of it.
type ViewProposed struct {
	Number uint64
	Reason Reason
	// Member is the address of the member whom the reason concerns; "": nobody in particular.
	Member string
}

// ViewInstalled says that a view which was agreed is in force at this node. Its chain is not yet in service.
type ViewInstalled struct {
	Number  uint64
	Chain   []string // addresses, the head's first
	Members int      // how many members vote, in the chain or not
}

func (ViewProposed) event()  {}
func (ViewInstalled) event() {}

var (
	_ Event = ViewProposed{}
	_ Event = ViewInstalled{}
)

// addressesOf are the addresses of members, in their order.
func addressesOf(members []*api.Member) []string {
	var addresses []string
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}
