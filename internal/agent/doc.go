// Package agent is the process beside each proxy that connects it to the control plane. It keeps this node in the
// membership, watches the replicated state and the backends (package watch) and serves them to its proxy and, as the
// relay of a topic (package relay), to the other agents of its zone. It renews the leases that control grants to this
// node, and reconciles placement under them (package reconciler). It forwards the proxies' reports of demand to the
// holders of those leases.
//
// An Agent belongs to Run, which waits for each goroutine that it starts. It never decides what is in force, never
// grants a lease, and never touches a client's request. All of its state is in memory, and a restarted agent is another
// holder of leases: its incarnation is drawn at random.
package agent
