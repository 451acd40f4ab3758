package lease

import "time"

const (
	// DefaultDuration is the lease duration where the deployment names none.
	DefaultDuration = 3 * time.Second
	// grantsPerLease divides the deployment's lease duration: a grant runs for that part of it, so that the wait for
	// it and the time to give the lease to another node fit into the whole.
	grantsPerLease = 2
	// clockMargin is how much longer than a grant the head waits before a lease passes on. Lowering it risks two
	// holders when their clocks run at different rates; raising it leaves a lost holder's duty undone for longer.
	clockMargin = 250 * time.Millisecond
	// acceptTimeout is how long a new holder may take to renew for the first time: it hears of its lease by way of
	// its relay, and renews at once, or with the next renewal of those that it has. Lowering it passes leases by nodes
	// that are slow; raising it leaves the duty undone for longer where the new holder is dead.
	acceptTimeout = 700 * time.Millisecond
	// maxCandidateAge is how old a candidate's last report may be: nodes report more often, and a lease is vacant
	// some time after the fault that took its holder, and maybe other nodes with it.
	maxCandidateAge = 700 * time.Millisecond
)

// Config are the times of a Manager.
type Config struct {
	// GrantDuration is how long a renewal counts, from before it was asked for.
	GrantDuration time.Duration
	// TransferWait is how long after the last renewal a lease may pass on.
	TransferWait time.Duration
	// HandoverGap is waited besides, and also where a holder released its lease or was restarted.
	HandoverGap time.Duration
	// AcceptTimeout is how long a new holder may take to renew for the first time.
	AcceptTimeout time.Duration
	// MaxCandidateAge is how old the last report of a node may be that is given a lease, if there is another one.
	MaxCandidateAge time.Duration
}

// NewConfig returns the times for a deployment's lease duration; DefaultDuration where that is not positive. Where
// backends don't check fencing tokens they don't tell an old holder from a new one, so the orders of two holders are
// kept a lease duration apart.
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
