// Package reconciler carries out the plans of the planner (package placement): it compares the models that a service's
// backends have loaded with those that they should have, and orders loads and unloads until the two agree, like a
// Kubernetes controller.
//
// An agent's Manager runs one reconciler for each service whose placement lease the agent holds. A reconciler owns its
// planner and calls it on one goroutine. It sends an order only if the lease is valid at the moment the order is written.
// Each order carries the lease's fencing token, and a backend that has seen a higher one rejects it (leases after Gray
// and Cheriton, 1989; fencing after Chubby's sequencers). A reconciler never decides who holds the lease, and never
// handles client requests.
package reconciler
