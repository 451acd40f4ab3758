// Package state is the replicated state machine of the system (Schneider, "Implementing Fault-Tolerant Services Using
// the State Machine Approach", 1990): the configuration, the evacuated zones, the retired backends (those that have
// announced that they are shutting down), and the leases with their holders and fencing tokens.
// internal/controlplane/chain applies the committed entries of its log to it; internal/controlplane owns the Machine
// of a control process.
//
// It is deterministic: equal operations in equal order result in equal states on every member. It reads no clock and
// uses no random numbers. An operation is applied completely or, if it is rejected, not at all. The size of the state
// is bounded.
package state
