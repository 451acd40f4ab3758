package controlplane

import (
	"marlreel/internal/api"
)

// ChainStatus is the state of the chain as known to this process's replica. Members are identified by address.
type ChainStatus struct {
	Head, Tail  string // "" if not known
	Members     []string
	Chain       []string // the members in the chain, the head first
	Leaving     bool     // this process is shutting down and asks to be removed from the chain
	CatchingUp  string   // the member that this head is bringing up to date; "" if none
	Connected   bool     // the replica is in service and receives heartbeats from a majority
	View        uint64   // the number of the view; 0 if there is none yet
	Committed   uint64   // the sequence number of the newest committed entry
	StoreFailed bool     // the store is not open or can't be written
}

// chainStatusOf returns a replica's status. A nil replica means that its store is not open.
func chainStatusOf(replica *Replica) ChainStatus {
	if replica == nil {
		return ChainStatus{StoreFailed: true}
	}
	node := replica.Node()
	return ChainStatus{
		Head: node.Head().GetAddress(), Tail: node.Tail().GetAddress(), Connected: node.Connected(),
		View: node.View().GetNumber(), Committed: node.Committed(), CatchingUp: node.CatchUpAddress(),
		Members: addressesOf(node.View().Members), Chain: addressesOf(node.View().Chain),
	}
}

// addressesOf returns the addresses of members in the same order, or nil if there are none.
func addressesOf(members []*api.Member) []string {
	var addresses []string
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}
