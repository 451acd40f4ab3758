// Package membership decides which backends a proxy may send to, based on the reports of one or several
// registries: snapshots at a revision, updates, progress, lost connections and replaced histories. It owns the
// rules between sources: which source's list is in force and when to fail over or back, what may be removed
// from the list, how long a list may be trusted while its source is unreachable, and how flapping entries are
// damped.
//
// It is pure: it takes events with their time and returns actions, and uses no goroutine, clock or I/O. It never
// judges a backend's health, and never delays a drain or a removal, except when most of the list would be
// removed at once (massremoval.go).
//
// Revisions, compaction and progress follow etcd's watch protocol. Flap damping follows BGP route flap damping
// (RFC 2439). Keeping a list that loses most of its entries follows the self-preservation mode of Netflix's
// Eureka.
package membership
