package chain

import (
	"time"

	"marlreel/internal/api"
)

// Node is one member of a chain, or a process that waits to become one. It is not safe for concurrent use. The times
// passed to it must never decrease.
type Node struct {
	config       Config
	durable      DurableState
	stateMachine StateMachine
	now          time.Duration
	output       Output

	committed uint64
	// inServiceView is the newest view that this node knows to be in service and in which its log is synchronized.
	inServiceView uint64
	// reportedServiceView is the newest view that another member has reported to be in service.
	reportedServiceView uint64

	peers map[string]*peer // by member key
	// seeds are addresses to send heartbeats to while this node is not connected. learnedAddresses are used in the same
	// way: they have sent a message to another incarnation of this node's address.
	seeds            []string
	learnedAddresses []string
	nextHeartbeat    time.Duration
	runningSince     time.Duration // since when this node has been called without a gap
	lastTick         time.Duration

	// wedgedSince is when the agreement on the next view last made progress at this node.
	wedgedSince time.Duration
	// viewNeededSince is since when another view has been needed; 0 if none is.
	viewNeededSince time.Duration
	proposal        *proposal // nil if this node is not proposing a view
	highestRound    uint64    // of any ballot seen

	syncing       map[string]*syncProgress // by member key; nil if this node is not synchronizing the chain
	catchUp       *catchUp                 // nil if no process is catching up with this node
	leaving       bool                     // this process is shutting down
	logBytes      int                      // size of the log's entries
	retransmitAt  time.Duration
	confirmations map[uint64]*confirmation // by token
}

// New creates a node from its state on disk; durable.Self must be set. It restores the state machine and applies the
// entries that are known to be committed. seeds are addresses where members may be found. now is the time since a fixed
// moment, the same for all calls, and must be above 0.
func New(config Config, durable DurableState, stateMachine StateMachine, seeds []string, now time.Duration) *Node {
	if durable.View == nil {
		durable.View = &api.View{}
	}
	if durable.Snapshot == nil {
		durable.Snapshot = &api.Snapshot{State: &api.State{}}
	}
	n := &Node{
		config: config, durable: durable, stateMachine: stateMachine, seeds: seeds, now: now,
		runningSince: now, lastTick: now, peers: map[string]*peer{}, confirmations: map[uint64]*confirmation{},
	}
	n.stateMachine.Restore(durable.Snapshot.GetState())
	n.committed = durable.Snapshot.GetSequence()
	n.logBytes = sizeOfEntries(durable.Entries)
	// An entry is proposed only after the one before it was committed, so all but the last entry are committed.
	if end := durable.lastPosition().Sequence; end > 0 {
		n.commitUpTo(end - 1)
	}
	n.output.Committed = nil
	if n.isHead() {
		n.startSync()
	}
	return n
}

// SetSeeds replaces the addresses where members may be found. The node sends heartbeats to them while it is not
// connected.
func (n *Node) SetSeeds(addresses []string) { n.seeds = addresses }

// DurableState returns the state that Output.Save refers to. The caller must not change it, nor use it after the next
// call.
func (n *Node) DurableState() *DurableState { return &n.durable }

// View returns the newest agreed view that this node knows. It is never nil; its number is 0 before the first agreed
// view.
func (n *Node) View() *api.View { return n.durable.View }

// Committed returns the sequence number of the last entry that this node knows to be committed and has applied.
func (n *Node) Committed() uint64 { return n.committed }

// Head returns the head of the view's chain, or nil if the view has none.
func (n *Node) Head() *api.Member {
	if len(n.durable.View.Chain) == 0 {
		return nil
	}
	return n.durable.View.Chain[0]
}

// Tail returns the tail of the view's chain, or nil if the view has none.
func (n *Node) Tail() *api.Member {
	chain := n.durable.View.Chain
	if len(chain) == 0 {
		return nil
	}
	return chain[len(chain)-1]
}

// InService reports whether this node is in a chain that is in service.
func (n *Node) InService() bool { return n.inChain() && n.viewInService() }

// Connected reports whether this node is in service and reaches a majority of the members, so that its state is up to
// date.
func (n *Node) Connected() bool { return n.InService() && n.reachesMajority() }

// viewInService reports whether the newest view is in service as far as this node knows. A member is not in service
// while it is wedged, or until its log was synchronized with the head's in this view.
func (n *Node) viewInService() bool {
	return !n.wedged() && n.inServiceView == n.durable.View.Number &&
		n.durable.SyncedView == n.durable.View.Number && n.inServiceView > 0
}

// wedged reports whether this node has promised a ballot for the next view. It takes no part in the current view until
// the next one is installed, because the proposer relies on the log position given in the promise.
func (n *Node) wedged() bool { return n.durable.Promised != nil }

func (n *Node) isMember() bool { return containsMember(n.durable.View.Members, n.durable.Self) }
func (n *Node) inChain() bool  { return containsMember(n.durable.View.Chain, n.durable.Self) }
func (n *Node) isHead() bool   { return sameMember(n.Head(), n.durable.Self) }
func (n *Node) isTail() bool   { return sameMember(n.Tail(), n.durable.Self) }

// successor returns the member after this one in the chain, or nil.
func (n *Node) successor() *api.Member {
	chain := n.durable.View.Chain
	at := indexOfMember(chain, n.durable.Self)
	if at < 0 || at+1 == len(chain) {
		return nil
	}
	return chain[at+1]
}

// predecessor returns the member before this one in the chain, or nil.
func (n *Node) predecessor() *api.Member {
	at := indexOfMember(n.durable.View.Chain, n.durable.Self)
	if at <= 0 {
		return nil
	}
	return n.durable.View.Chain[at-1]
}

// otherMembers returns the members without this node.
func (n *Node) otherMembers() []*api.Member {
	return withoutMember(n.durable.View.Members, n.durable.Self)
}
