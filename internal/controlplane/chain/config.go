package chain

import "time"

// Config holds the timeouts and bounds of a Node. All members of a cluster should use the same values. Every field must
// be set, so start from DefaultConfig; a Node does not validate them.
type Config struct {
	// HeartbeatInterval is the time between two heartbeats to each member. A lower value detects failures sooner and
	// costs more messages. It must be well below FailureTimeout.
	HeartbeatInterval time.Duration
	// FailureTimeout is how long a member may send no message before it counts as failed. A lower value resumes writes
	// sooner after a failure; one that is too low removes slow members from the chain.
	FailureTimeout time.Duration
	// ProposalStagger is how much longer each member waits before it proposes a view than the member ranked before it,
	// so that they don't preempt each other's ballots.
	ProposalStagger time.Duration
	// PromiseGracePeriod is how long a proposer that has a majority of promises waits for the remaining ones.
	PromiseGracePeriod time.Duration
	// ProposalTimeout is how long a proposal may take to get a majority before the proposer abandons it.
	ProposalTimeout time.Duration
	// RetransmitTimeout is how long to wait for an answer before sending a message again. The time that a large message
	// takes at MinLinkBytesPerSecond is added to it.
	RetransmitTimeout time.Duration
	// MinStableTime is how long a process outside the chain must have been reachable without a gap before it joins.
	MinStableTime time.Duration
	// RemovalTimeout is how long a member beyond TargetMembers must have been unreachable before it is removed from
	// the members.
	RemovalTimeout time.Duration
	// TargetMembers is the desired number of members: 2f+1 to tolerate f failures.
	TargetMembers int
	// MaxLogEntries is how many committed entries the log keeps after the snapshot, and MaxLogBytes how many bytes
	// all of its entries may take; the log is compacted when it reaches either. Higher values let members that were
	// away for longer catch up without a snapshot.
	MaxLogEntries int
	MaxLogBytes   int
	// MaxCatchUpLogEntries and MaxCatchUpLogBytes are the same bounds while a process catches up, since it needs the
	// entries committed after its snapshot was sent. Lower values bound memory more tightly; if they are too low, a
	// process that is slow to receive a snapshot never catches up.
	MaxCatchUpLogEntries int
	MaxCatchUpLogBytes   int
	// MaxJoinLagBytes is how many bytes of the log a process may lack when it joins the chain. The chain is out of
	// service until the process has them.
	MaxJoinLagBytes int
	// MaxLagEntries is how many entries a member outside the chain may lag behind the new head's log and still be
	// included in a new chain that has a majority without it.
	MaxLagEntries uint64
	// MinLinkBytesPerSecond is the lowest rate at which large messages are assumed to arrive. If it is too high,
	// messages that are still in flight are retransmitted.
	MinLinkBytesPerSecond int
}

// DefaultConfig returns settings for machines in one region.
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
