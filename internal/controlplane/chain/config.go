package chain

import "time"

// Config holds the spans that a Node goes by.
type Config struct {
	// HeartbeatInterval is the time between two heartbeats to each member. Less finds
	// failures sooner and costs more messages.
	HeartbeatInterval time.Duration
	// FailureTimeout is after what silence a member counts as failed. Less makes
	// writes go on sooner after a failure; too little takes slow members out.
	FailureTimeout time.Duration
	// ProposalStagger is how much longer each member waits than the one before it until it
	// proposes a view, so that they don't outbid each other.
	ProposalStagger time.Duration
	// PromiseGracePeriod is how long a proposer that has a majority waits for the rest.
	PromiseGracePeriod time.Duration
	// ProposalTimeout is when a proposal that got nowhere is given up.
	ProposalTimeout time.Duration
	// RetransmitTimeout is after what time what was not answered is sent again.
	RetransmitTimeout time.Duration
	// MinStableTime is how long a member outside the chain must have been heard
	// without a gap before it is taken in.
	MinStableTime time.Duration
	// RemovalTimeout is how long a member beyond TargetMembers must have been silent
	// before it no longer counts.
	RemovalTimeout time.Duration
	// TargetMembers is how many members there should be: two more than twice the
	// failures to be borne, less one.
	TargetMembers int
	// MaxLogEntries is how many entries are kept beyond the snapshot, and CompactBytes how
	// many bytes of them. More lets members that were away for longer do without a snapshot.
	MaxLogEntries int
	MaxLogBytes   int
	// MaxCatchUpLogEntries and DeferBytes are the same while a process is brought up to date: it needs
	// what was committed since its snapshot was sent. Less bounds memory more tightly; too
	// little, and who is slow to take a snapshot in never gets there.
	MaxCatchUpLogEntries int
	MaxCatchUpLogBytes   int
	// MaxJoinLagBytes is how much a process may lack when it is taken into the chain, which is out of
	// service until it has that.
	MaxJoinLagBytes int
	// MaxLagEntries is how far behind the furthest log a member outside the chain may be that is
	// taken into a new one without need.
	MaxLagEntries uint64
	// MinLinkBytesPerSecond is the rate, in bytes a second, at which large messages are taken to arrive.
	// What is larger is sent again later. Too much repeats what is still on its way.
	MinLinkBytesPerSecond int
}

// DefaultConfig fits machines of one region.
func DefaultConfig(targetMembers int) Config {
	return Config{
		HeartbeatInterval:     150 * time.Millisecond,
		FailureTimeout:        500 * time.Millisecond,
		ProposalStagger:       120 * time.Millisecond,
		PromiseGracePeriod:    30 * time.Millisecond,
		ProposalTimeout:       300 * time.Millisecond,
		RetransmitTimeout:     120 * time.Millisecond,
		MinStableTime:         300 * time.Millisecond,
		RemovalTimeout:        2 * time.Second,
		TargetMembers:         targetMembers,
		MaxLogEntries:         64,
		MaxLogBytes:           1 << 20,
		MaxCatchUpLogEntries:  4096,
		MaxCatchUpLogBytes:    8 << 20,
		MaxJoinLagBytes:       64 << 10,
		MaxLagEntries:         16,
		MinLinkBytesPerSecond: 1 << 20,
	}
}
