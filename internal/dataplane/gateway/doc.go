// Package gateway is the proxy process: it carries clients' requests to the backends of a service and their answers
// back, as Caddy's reverse proxy does for its upstreams, whose files this package's are named after where the concept
// is the same. It owns the listeners for clients and for readiness, a service (engine, connections, advisor) for each
// service of the configuration, and the demand that it reports to its agent.
//
// What it serves by is the state of the agent beside it, which it watches (internal/distribution/watch): each change
// makes a new routing table, which is put in force as a whole. Where the configuration lists subscribers, a request
// needs a key by the same table, and its tenant's quota is asked for by a QuotaGate. All else on a request, which
// backend gets it, whether it is retried and what is rejected, is decided by internal/balancer, one instance for each
// service; and it speaks HTTP to backends by internal/dataplane/httpproxy.
package gateway
