// Package reconciler carries out what the planner (package placement) decides: it compares which models a service's
// backends have loaded with which should be, and orders loads and unloads until the two agree, as the controllers of
// Kubernetes do.
//
// An agent's Manager runs one reconciler for each service whose placement lease the agent holds. A reconciler owns its
// planner, which it calls on one goroutine. It orders nothing unless the lease runs at the instant at which the order is
// written, and each order carries the lease's fencing token: a backend that has seen a higher one rejects it (Gray and
// Cheriton's leases, 1989, with the fencing of Chubby's sequencers). It never decides who holds the lease, and never
// touches a client's request.
package reconciler
