// Package agree is the replicated state machine of a fleet: it decides the proxies' shared settings and the revision
// floors of their backend lists, and grants leases that bound how long a proxy may act on a state. It is pure: events go
// in with their time, actions come out; it does no I/O, starts no goroutine and reads no clock. Consensus is
// go.etcd.io/raft, among three or five keepers.
//
// It has two state machines. A Keeper holds the log of decided changes and, while it is the leader, grants leases. A
// Member runs in every proxy, keepers included: it holds a view of the decided state, and a lease on it.
//
// # The bound
//
// Let the decided changes of the log produce the states S1, S2, ... A lease on Sk that ends at u was granted as follows:
// the member asked at time a of its own clock; after that the leader had a majority of keepers confirm that it still
// leads (Raft's read index), found Sk to be the newest committed state, and answered; the member computes u = a + Lease
// from the time at which it asked. So at some moment after a, Sk was the newest state. If S(k+1) is decided at D, no
// request for a lease on Sk that is sent after D is granted, and all leases on Sk have ended at D + Lease by the slowest
// clock. With clock rates that are wrong by up to Drift that is D + Lease/(1-Drift), which is less than D + Within
// (Lease is 0.85 of Within, Drift 5%).
//
// A decided version comes into force in two steps. Once the change "version v+1 is decided" is committed, a member that
// knows of it does only what both v and v+1 allow. Restrictions thus apply at once at these members, and at all others
// by D + Within, as no lease on the older state lasts longer. The change "version v+1 is open" is committed only when
// each member that may hold a lease on an older state has reported that the newer one is in force there, or the longest
// possible lease has expired since. So no member uses a new permission while another may still act on v alone. The next
// version is decided only after that: at most two consecutive versions are in use.
//
// A member whose lease has expired does only what no version that it knows forbids (transition.WithoutLease). The lease
// is checked wherever a setting is used.
//
// # Detecting a keeper's outdated disk
//
// A keeper's disk has an identity, and a life that increases with each start. Before it votes or acknowledges anything,
// a keeper sends both in a Hello. A keeper that has already seen this life or a higher one, or an entry or term beyond
// what the disk holds, says so in its answer: the disk is then outdated, as after a restore from a copy, and the
// process never again acts under that identity. An empty disk gets a new identity, which an operator has to add.
package agree
