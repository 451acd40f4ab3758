package chain

import (
	"time"

	"marlreel/internal/api"
)

// Node is one member of a chain, or a process that waits to become one. One goroutine at a time may call it. The times
// that it is given must not go back.
type Node struct {
	config       Config
	durable      DurableState
	stateMachine StateMachine
	now          time.Duration
	output       Output

	committed uint64
	// inServiceView is the newest view known to be in service, with this node in it.
	inServiceView uint64
	// reportedServiceView is the newest view of which another member has said that it is in service.
	reportedServiceView uint64

	peers map[string]*peer // by member key
	// seeds are addresses to send heartbeats to while this node is not connected; learnedAddresses are more of them:
	// those that have sent a message to another incarnation of this address.
	seeds            []string
	learnedAddresses []string
	nextHeartbeat    time.Duration
	runningSince     time.Duration // since when this node has been called without a gap
	lastTick         time.Duration

	// wedgedSince is when this node last gave or got anything in the agreement on the next view.
	wedgedSince time.Duration
	// viewNeededSince is since when another view has been needed; 0: none is.
	viewNeededSince time.Duration
	proposal        *proposal // nil: this node proposes nothing
	highestRound    uint64    // of any ballot seen

	syncing       map[string]*syncProgress // by member key; nil: this node makes no logs equal
	catchUp       *catchUp                 // nil: nobody catches up
	leaving       bool                     // this process is about to end
	logBytes      int                      // of the entries in the log
	retransmitAt  time.Duration
	confirmations map[uint64]*confirmation // by token
}

// New makes a node of what its disk holds; durable.Self must be set. It restores the state machine and applies what is
// known to be committed. seeds are addresses where members may be found. now is the time since any fixed moment, the same
// for all calls, and must be above 0.
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
	// Each entry is proposed after the one before it was committed: all but the last one are.
	if end := durable.lastPosition().Sequence; end > 0 {
		n.commitUpTo(end - 1)
	}
	n.output.Committed = nil
	if n.isHead() {
		n.startSync()
	}
	return n
}

// SetSeeds says where members may be found from now on: addresses to which this node sends heartbeats while it is not
// connected.
func (n *Node) SetSeeds(addresses []string) { n.seeds = addresses }

// DurableState is what Output.Save refers to. It must not be changed, and not be kept beyond the next call.
func (n *Node) DurableState() *DurableState { return &n.durable }

// View is the newest agreed view that this node knows. It is never nil; one without a number is before the first.
func (n *Node) View() *api.View { return n.durable.View }

// Committed is the sequence number of the last entry that is known here to be committed, which the state machine has.
func (n *Node) Committed() uint64 { return n.committed }

// Head is the head of the view, or nil.
func (n *Node) Head() *api.Member {
	if len(n.durable.View.Chain) == 0 {
		return nil
	}
	return n.durable.View.Chain[0]
}

// Tail is the tail of the view, or nil.
func (n *Node) Tail() *api.Member {
	chain := n.durable.View.Chain
	if len(chain) == 0 {
		return nil
	}
	return chain[len(chain)-1]
}

// InService tells whether this node is in a chain that is in service.
func (n *Node) InService() bool { return n.inChain() && n.viewInService() }

// Connected tells whether this node is in service and reaches a majority of the members: its state is not old.
func (n *Node) Connected() bool { return n.InService() && n.reachesMajority() }

// viewInService tells whether the newest view is in service as far as this node can tell. A member that is wedged, or whose
// log was not made equal to the head's in this view, is not in service.
func (n *Node) viewInService() bool {
	return !n.wedged() && n.inServiceView == n.durable.View.Number &&
		n.durable.SyncedView == n.durable.View.Number && n.inServiceView > 0
}

// wedged tells whether this node has promised a ballot for the next view. Until a view is installed it takes no part in
// the present one: the proposer may rely on its log staying as the promise said.
func (n *Node) wedged() bool { return n.durable.Promised != nil }

func (n *Node) isMember() bool { return containsMember(n.durable.View.Members, n.durable.Self) }
func (n *Node) inChain() bool  { return containsMember(n.durable.View.Chain, n.durable.Self) }
func (n *Node) isHead() bool   { return sameMember(n.Head(), n.durable.Self) }
func (n *Node) isTail() bool   { return sameMember(n.Tail(), n.durable.Self) }

// successor is the member of the chain behind this one, or nil.
func (n *Node) successor() *api.Member {
	chain := n.durable.View.Chain
	at := indexOfMember(chain, n.durable.Self)
	if at < 0 || at+1 == len(chain) {
		return nil
	}
	return chain[at+1]
}

// predecessor is the member of the chain before this one, or nil.
func (n *Node) predecessor() *api.Member {
	at := indexOfMember(n.durable.View.Chain, n.durable.Self)
	if at <= 0 {
		return nil
	}
	return n.durable.View.Chain[at-1]
}

// otherMembers are the members apart from this node.
func (n *Node) otherMembers() []*api.Member {
	return withoutMember(n.durable.View.Members, n.durable.Self)
}
