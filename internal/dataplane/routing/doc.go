// Package routing provides the balancer with the data about a service's backends that it can't learn from their
// responses: the models that they have loaded, this proxy's share of the budgets that all proxies share, and the work
// that other proxies have sent them. The balancer queries it through balancer.Advice, as a load balancer gets more than
// endpoints from a control plane's xDS feed. The package also provides the balancer's configuration, estimates the work
// of a request, and computes the priority that is sent to a backend.
//
// An Advisor is owned by the engine of its service (internal/dataplane/gateway) and called only on its goroutine. The
// package is pure: time is a parameter, and it sends nothing.
package routing
