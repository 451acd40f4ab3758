// Package agree decides the settings and the floors of lists on which the proxies of a fleet agree, and for how
// long a proxy may go by what it heard. It is pure: events go in with their time, actions come out; it opens
// nothing, starts nothing and reads no clock. Consensus is go.etcd.io/raft, among three or five keepers.
//
// There are two machines in it. A Keeper holds the log of what was decided and, where it leads, grants leases. A
// Member is every proxy, keepers included: it holds a View of what was decided, and a lease on it.
//
// # The bound
//
// Let each decided change of the log make a state S1, S2, ... A lease on Sk that ends at u was granted so: the
// member asked at a by its own clock; the leader then had a majority of keepers confirm that it still leads
// (raft's read index), found Sk the newest committed state, and answered; the member counts u = a + Lease from its
// own asking. So at some moment after a Sk was the newest state. If S(k+1) is decided at D, no lease on Sk can be
// asked for after D and granted, and all end at D + Lease by the slowest clock at the latest. With clocks that
// go wrong by up to Drift that is D + Lease/(1-Drift), which is under Within (Lease is 0.85 of it, Drift 5%).
//
// Decided versions take force in two steps. From the change "version v+1 is decided" on, who holds it does only
// what both v and v+1 allow: what tightens counts at once where it is heard, and elsewhere no lease outlives D +
// Within. The change "version v+1 is open" is decided only when each member that may hold a lease on an older
// state has said that it holds the newer, or a lease's longest time has gone by since: so what loosens is done by
// nobody while another may still go by v alone. The next version is decided only after that: two neighbouring
// versions at most are in use.
//
// A member whose lease has run out goes by what no version contradicts (package rules, Lapsed). The lease is
// looked at by who uses a rule, where it is used.
//
// # What a keeper's disk may claim
//
// A keeper has an identity that its disk was given, and a life that goes up with each start. Before it votes or
// acknowledges anything it shows both to the other keepers and some members: who has seen a life as high, or an
// entry or term beyond what the disk holds, says so, and the disk is old: it never speaks under that identity
// again. A disk that is empty is a new identity, which an operator has to take in.
package agree
