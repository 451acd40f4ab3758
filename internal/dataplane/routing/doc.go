// Package routing is what a proxy knows of a service's backends beyond what their answers teach: which models they
// have loaded, how much of the budgets that all proxies share is this proxy's, and what its peers have sent them. The
// balancer asks it in the course of its events (balancer.Advice), as a load balancer asks a control plane's xDS feed
// for more than the endpoints. It also gives the balancer's configuration, the work of a request and the priority that
// a backend is told.
//
// An Advisor is owned by the engine of its service (internal/dataplane/gateway) and called on its goroutine only. The
// package is pure: it is given the time, and never sends anything.
package routing
