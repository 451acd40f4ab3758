// Package gateway is the proxy process: it forwards clients' requests to the backends of a service and returns their
// answers, as Caddy's reverse proxy does for its upstreams. Files are named after Caddy's where the concept is the
// same. The process owns the listeners for clients and for readiness, a service (engine, connections, advisor) for
// each service of the configuration, and the demand that it reports to its agent.
//
// Requests are routed by the state of the agent on the same machine, which the proxy watches
// (internal/distribution/watch): each change makes a new routing table, which replaces the old one as a whole. Where
// the configuration lists subscribers, a request needs a key that this table knows, and a QuotaGate checks its tenant's
// quota. Everything else (which backend gets a request, whether it is retried, what is rejected) is decided by
// internal/balancer, one instance for each service. Backends are reached over HTTP by internal/dataplane/httpproxy.
package gateway
