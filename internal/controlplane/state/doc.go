// Package state is the replicated state machine of the system (Schneider, "Implementing Fault-Tolerant Services Using the
// State Machine Approach", 1990): the configuration, the zones that are evacuated, the backends that have announced
// their end, and the leases with their holders and fencing tokens. internal/controlplane/chain gives it the committed
// entries of its log; internal/controlplane owns the Machine of a control process.
//
// It is pure: equal operations in equal order make equal states on every member. It reads no clock, draws nothing at
// random and never fails halfway; an operation that is rejected changes nothing. What a Machine keeps is bounded.
package state
