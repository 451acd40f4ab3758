package controlplane

import (
	"marlreel/internal/api"
)

// ChainStatus is the chain as this process's replica knows it. Members go by their addresses.
type ChainStatus struct {
	Head, Tail  string // "" is not known
	Members     []string
	Chain       []string // the members in the chain, the head first
	Leaving     bool     // this process is shutting down, and asks to be left out of the chain
	CatchingUp  string   // whom this head brings up to date; "" is nobody
	Connected   bool     // the replica is in service, and hears a majority
	View        uint64   // the number of the view; 0: there is none yet
	Committed   uint64   // the sequence number of the newest committed entry
	StoreFailed bool     // there is no store that can be written
}

// chainStatusOf is the status by a replica; nil: there is no store.
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

// addressesOf returns the addresses of members, in their order; nil where there are none.
func addressesOf(members []*api.Member) []string {
	var addresses []string
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}
