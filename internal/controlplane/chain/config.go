package chain

import "time"

// Config holds the timeouts and bounds of a Node. All members of a cluster should have the same. Every field must be
// set: the caller starts from DefaultConfig. A Node does not check them.
type Config struct {
	// HeartbeatInterval is the time between two heartbeats to each member. Less detects failures sooner and costs
	// more messages. It must be well below FailureTimeout.
	HeartbeatInterval time.Duration
	// FailureTimeout is after what time without a message a member counts as failed. Less resumes writes sooner after
	// a failure; too little removes slow members from the chain.
	FailureTimeout time.Duration
	// ProposalStagger is how much longer each member waits than the one before it until it proposes a view, so that
	// they don't preempt each other's ballots.
	ProposalStagger time.Duration
	// PromiseGracePeriod is how long a proposer that has a majority of promises waits for the others.
	PromiseGracePeriod time.Duration
	// ProposalTimeout is after what time a proposal that got no majority is given up.
	ProposalTimeout time.Duration
	// RetransmitTimeout is after what time a message that was not answered is sent again. To this comes the time that
	// a large one takes at MinLinkBytesPerSecond.
	RetransmitTimeout time.Duration
	// MinStableTime is how long a process outside the chain must have been reachable without a gap before it joins.
	MinStableTime time.Duration
	// RemovalTimeout is how long a member beyond TargetMembers must have been unreachable before it is removed from
	// the members.
	RemovalTimeout time.Duration
	// TargetMembers is how many members there should be: for f failures to be tolerated 2f+1.
	TargetMembers int
	// MaxLogEntries is how many committed entries the log keeps beyond the snapshot, and MaxLogBytes how many bytes
	// all of its entries may take; where either is reached the log is compacted. More lets members that were away
	// for longer catch up without a snapshot.
	MaxLogEntries int
	MaxLogBytes   int
	// MaxCatchUpLogEntries and MaxCatchUpLogBytes are the same bounds while a process catches up: it needs what was
	// committed since its snapshot was sent. Less bounds memory more tightly; with too little, a process that is slow
	// to receive a snapshot never catches up.
	MaxCatchUpLogEntries int
	MaxCatchUpLogBytes   int
	// MaxJoinLagBytes is how many bytes a process may lack when it joins the chain, which is out of service until the
	// process has them.
	MaxJoinLagBytes int
	// MaxLagEntries is how many entries behind the new head's log a member outside the chain may be that is taken
	// into a new one although a majority does without it.
	MaxLagEntries uint64
	// MinLinkBytesPerSecond is the rate at which large messages are assumed to arrive. Too much retransmits what is
	// still on its way.
	MinLinkBytesPerSecond int
}

// DefaultConfig is for machines of one region.
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
