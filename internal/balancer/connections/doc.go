// Package connections is a model of pooled connections: how likely each is to break under the next
// request, and so which one a request should have. It is pure: events come with the
// time on them, choices come back; it opens nothing, reads no clock and starts no goroutine.
// It never decides which backend gets a request, nor what may be retried: package balancer does. Its Model belongs to
// the connection pool of internal/httpproxy.
//
// A use of a connection either breaks after the request was written and before an
// answer (when it may have run, so that an unsafe request is lost) or does not. Uses
// fall into cells: the first use of a new connection, and reuse by how long the
// connection stood idle, in steps of about a factor of 3; large requests have cells of
// their own. In each cell the hazard has a Beta prior with a stated mean and weight, and
// is learned at three levels, each the prior of the next: all backends, those of one
// zone, one backend. Old evidence decays exponentially, so a hazard that goes is
// forgotten, and one that comes is seen after some ten uses. Over idle time the hazard
// of all backends is made non-decreasing by pooling neighbours that violate it: what
// resets idle connections resets older ones at least as often, and sparse cells borrow
// from their neighbours so.
//
// docs/design/connections.md derives it and names the sources.
package connections
