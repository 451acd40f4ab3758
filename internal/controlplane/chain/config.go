package chain

import "time"

// Config holds the spans that a Node goes by.
type Config struct {
	// HeartbeatEvery is the time between two heartbeats to each member. Less finds
	// failures sooner and costs more messages.
	HeartbeatEvery time.Duration
	// SuspectAfter is after what silence a member counts as failed. Less makes
	// writes go on sooner after a failure; too little takes slow members out.
	SuspectAfter time.Duration
	// Stagger is how much longer each member waits than the one before it until it
	// proposes a view, so that they don't outbid each other.
	Stagger time.Duration
	// PromiseWait is how long a proposer that has a majority waits for the rest.
	PromiseWait time.Duration
	// ProposalTimeout is when a proposal that got nowhere is given up.
	ProposalTimeout time.Duration
	// ResendEvery is after what time what was not answered is sent again.
	ResendEvery time.Duration
	// RejoinAfter is how long a member outside the chain must have been heard
	// without a gap before it is taken in.
	RejoinAfter time.Duration
	// RemoveAfter is how long a member beyond TargetMembers must have been silent
	// before it no longer counts.
	RemoveAfter time.Duration
	// TargetMembers is how many members there should be: two more than twice the
	// failures to be borne, less one.
	TargetMembers int
	// CompactAfter is how many entries are kept beyond the snapshot, and CompactBytes how
	// many bytes of them. More lets members that were away for longer do without a snapshot.
	CompactAfter int
	CompactBytes int
	// DeferAfter and DeferBytes are the same while a process is brought up to date: it needs
	// what was committed since its snapshot was sent. Less bounds memory more tightly; too
	// little, and who is slow to take a snapshot in never gets there.
	DeferAfter int
	DeferBytes int
	// NearBytes is how much a process may lack when it is taken into the chain, which is out of
	// service until it has that.
	NearBytes int
	// NearEntries is how far behind the furthest log a member outside the chain may be that is
	// taken into a new one without need.
	NearEntries uint64
	// SlowestLink is the rate, in bytes a second, at which large messages are taken to arrive.
	// What is larger is sent again later. Too much repeats what is still on its way.
	SlowestLink int
}

// DefaultConfig fits machines of one region.
func DefaultConfig(targetMembers int) Config {
	return Config{
		HeartbeatEvery:  150 * time.Millisecond,
		SuspectAfter:    500 * time.Millisecond,
		Stagger:         120 * time.Millisecond,
		PromiseWait:     30 * time.Millisecond,
		ProposalTimeout: 300 * time.Millisecond,
		ResendEvery:     120 * time.Millisecond,
		RejoinAfter:     300 * time.Millisecond,
		RemoveAfter:     2 * time.Second,
		TargetMembers:   targetMembers,
		CompactAfter:    64,
		CompactBytes:    1 << 20,
		DeferAfter:      4096,
		DeferBytes:      8 << 20,
		NearBytes:       64 << 10,
		NearEntries:     16,
		SlowestLink:     1 << 20,
	}
}
