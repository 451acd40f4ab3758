// Package controlplane is the control process: it replicates the state of the system (configuration, evacuations, ends
// of backends, ownerships of leases), answers operators, receives the heartbeats of backends, and hands all of it to
// the agents that watch.
//
// What a control process knows is of three kinds, each with one owner:
//
//   - the replicated state, of which ReplicaRunner's goroutine alone runs the Replica and its store (packages chain,
//     state and store: chain replication under views that are agreed on; docs/design/control-state.md);
//   - the membership, which is not replicated but reported from process to process: Membership, in tables with a
//     timeout each (the shape is that of HashiCorp's memberlist; updates go to each peer directly, as there are few);
//   - what the head alone knows of leases: lease.Manager.
//
// The local feed (package watch) gets the first two, and serves the watches. The path of an operation is operator_handlers.go,
// operations.go (to the head), replica_submissions.go, chain; that of a heartbeat is backend_handlers.go, membership.go,
// peer_link.go (to the other control processes).
//
// A control process carries no traffic and gives backends no orders. It never answers from a state that a majority has
// not confirmed, except for watches, which say whether they are fresh.
package controlplane
