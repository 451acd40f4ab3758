// Package transition defines how a fleet of proxies moves from one version of its settings to the next: what two
// versions allow together, which versions conflict, which may follow which, and what a proxy may do without a lease.
// The package is pure and compares settings by strictness. Package agree decides when settings are in force, and package
// balancer how a request is handled.
//
// Two versions conflict where one allows what the other forbids: a class's retries (effect, group, idempotency
// window), how often and how long a request is tried (attempts, client timeout), a class that only one version has, a
// tenant's share, and what may be sent to a backend that is warming up or draining. Latency targets, values and prices
// forbid nothing: those of the newer version count.
package transition
