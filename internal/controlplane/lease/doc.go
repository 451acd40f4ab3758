// Package lease decides who holds the leases of the system: duties that one node at a time has, as placing the models
// of a service. A lease is held by one incarnation of one node, under a fencing token that the replicated state counts
// up with each grant (package state). Its one owner is the head of the chain, which has a Manager; agents and relays
// use the names and SelectNode.
//
// The mechanism is that of Gray and Cheriton, "Leases" (SOSP 1989), with the fencing tokens of Chubby's sequencers
// (Burrows, OSDI 2006): a lease passes on only when the last renewal that anybody may have answered has run out, and
// whoever receives orders rejects those under an older token. Holders are selected by rendezvous hashing (Thaler and
// Ravishankar, 1998).
//
// The package sends nothing, saves nothing and starts no goroutine: package controlplane submits its grants.
package lease
