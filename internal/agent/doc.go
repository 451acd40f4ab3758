// Package agent implements the process beside each proxy that connects the proxy to the control plane. It keeps this
// node in the membership, watches the replicated state and the backends (package watch) and serves them to its proxy and,
// as the relay of a topic (package relay), to the other agents of its zone. It renews the leases that control grants to
// this node, and reconciles placement under them (package reconciler). It forwards the proxies' demand reports to the
// holders of the placement leases.
//
// Run owns an Agent and waits for each goroutine that it starts. An agent never decides which configuration is in force,
// never grants a lease, and never handles client requests. All of its state is in memory. A restarted agent is a new
// lease holder, because its incarnation is a new random number.
package agent
