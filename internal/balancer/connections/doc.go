// Package connections models pooled connections: how likely each is to break under the next request, and therefore
// which one a request should use. It is pure: events come with their time, choices are returned; it opens nothing,
// reads no clock and starts no goroutine. Package balancer decides which backend gets a request and what may be
// retried. The Model belongs to the connection pool of internal/dataplane/httpproxy.
//
// A use of a connection either breaks after the request was written and before an answer (the request may have run, so
// an unsafe request is lost) or does not. Uses fall into cells: the first use of a new connection, and reuse by how
// long the connection was idle, in steps of about a factor of 3 up to 10 ms and of 1.3 to 2 beyond; large requests have
// cells of their own. In each cell the hazard has a Beta prior with a configured mean and weight, and is learned at
// three levels, each the prior of the next: all backends, those of one zone, one backend. Old evidence decays
// exponentially, so a hazard that ends is forgotten, and a new one is detected after some ten uses. At each level the
// hazard is made non-decreasing over the idle time by pooling adjacent cells that violate this: whatever resets idle
// connections resets older ones at least as often, and cells with few uses borrow evidence from their neighbours.
//
// docs/design/connections.md derives it and names the sources.
package connections
