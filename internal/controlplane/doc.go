// Package controlplane is the control process: it replicates the state of the system (configuration, evacuations,
// retired backends, ownerships of leases), answers operators, receives the heartbeats of backends, and distributes all
// of it to the agents that watch.
//
// A control process keeps three kinds of state, each with one owner:
//
//   - the replicated state: only ReplicaRunner's goroutine uses the Replica and its store (packages chain, state and
//     store: chain replication with agreed views; docs/design/control-state.md);
//   - the membership, which is not replicated but reported from process to process: Membership, in tables with a
//     timeout each (the design follows HashiCorp's memberlist; updates go to each peer directly, as there are few);
//   - the renewals of leases, which only the head knows: lease.Manager.
//
// The first two are published to the local feed (package watch), which serves the watches. An operation passes through
// operator_handlers.go, operations.go (to the head), replica_submissions.go and package chain; a heartbeat through
// backend_handlers.go, membership.go and peer_link.go (to the other control processes).
//
// A control process carries no traffic and sends no commands to backends. It never answers from a state that a majority
// has not confirmed, except for watches, whose replies say whether they are fresh.
package controlplane
