// Package lease decides which nodes hold the leases of the system. A lease gives one node at a time a duty, such as
// placing the models of a service. It is held by one incarnation of one node, under a fencing token that the replicated
// state (package state) increments with each grant. The head of the chain runs a Manager, which grants the leases;
// agents and relays use only the naming functions and SelectNode.
//
// The mechanism is that of Gray and Cheriton, "Leases" (SOSP 1989), with fencing tokens like Chubby's sequencers
// (Burrows, OSDI 2006): a lease is transferred only after the last renewal that any head may have answered has expired,
// and receivers of orders reject those with an older token. Holders are selected by rendezvous hashing (Thaler and
// Ravishankar, 1998).
//
// The package does no I/O and starts no goroutine: package controlplane submits its grants.
package lease
