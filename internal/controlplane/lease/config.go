package lease

import "time"

const (
	// DefaultDuration is the lease duration if the deployment sets none.
	DefaultDuration = 3 * time.Second
	// grantsPerLease divides the deployment's lease duration: a grant is valid for that part of it, so that waiting for
	// a grant to expire and granting the lease to another node both fit into the lease duration.
	grantsPerLease = 2
	// clockMargin is how much longer than a grant's duration the head waits before it transfers a lease. Lowering it
	// risks two holders at once when their clocks run at different rates; raising it leaves a lease without a working
	// holder for longer.
	clockMargin = 250 * time.Millisecond
	// acceptTimeout is how long a new holder may take to renew for the first time: it learns of its lease through its
	// relay, and renews it immediately or together with its other leases. Lowering it takes leases from nodes that are
	// slow; raising it leaves a lease without a working holder for longer if the new holder has failed.
	acceptTimeout = 700 * time.Millisecond
	// maxCandidateAge is how old a candidate's last report may be. Nodes report more often than that, and a lease only
	// becomes vacant some time after the fault that stopped its holder. Other nodes that failed with it are therefore
	// excluded.
	maxCandidateAge = 700 * time.Millisecond
)

// Config holds the durations that a Manager uses.
type Config struct {
	// GrantDuration is how long a renewal is valid, counted from before it was requested.
	GrantDuration time.Duration
	// TransferWait is how long after its last renewal a lease may be transferred.
	TransferWait time.Duration
	// HandoverGap is waited in addition to TransferWait. It also applies if the holder released the lease or was
	// restarted, when there is no TransferWait.
	HandoverGap time.Duration
	// AcceptTimeout is how long a new holder may take to renew for the first time.
	AcceptTimeout time.Duration
	// MaxCandidateAge is how old the last report of a node may be for it to be granted a lease. Nodes with older reports
	// are used only if there are no others.
	MaxCandidateAge time.Duration
}

// NewConfig returns the durations for a deployment's lease duration, or for DefaultDuration if that is not positive.
// Backends that don't check fencing tokens can't tell an old holder from a new one, so for them the orders of two
// successive holders are kept a lease duration apart.
func NewConfig(duration time.Duration, backendsCheckTokens bool) Config {
	if duration <= 0 {
		duration = DefaultDuration
	}
	cfg := Config{GrantDuration: duration / grantsPerLease, AcceptTimeout: acceptTimeout, MaxCandidateAge: maxCandidateAge}
	cfg.TransferWait = cfg.GrantDuration + clockMargin
	if !backendsCheckTokens {
		cfg.HandoverGap = duration
	}
	return cfg
}
