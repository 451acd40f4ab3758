// Package membership decides which backends a proxy may send to, from what one or several registries report:
// snapshots at a revision, updates, progress, lost connections, replaced histories. It owns the rules between
// sources: which source's list is in force and when to fail over or back, what may be removed from the list,
// how long a list may be trusted without its source, and how an entry that flaps is damped.
//
// It is pure: events with their time in, actions out; no goroutine, clock or I/O. It never judges a backend's
// health, and never delays that an entry drains or is removed, except where most of the list would go at once
// (massremoval.go).
//
// Revisions, compaction and progress follow etcd's watch protocol; the damping of flaps follows BGP route flap
// damping (RFC 2439); a list that loses most of its entries is kept as by the self-preservation of Netflix's
// Eureka.
package membership
