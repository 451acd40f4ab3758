package chain

import (
	"slices"
	"time"

	"marlreel/internal/api"
)

// Changes says which parts of a Durable have to be saved.
type Changes struct {
	Self, View, Acceptor, SyncedView, Snapshot bool
	Appended                                   []*api.Entry
	LogReplaced                                bool // the log was replaced whole
}

// Any tells whether anything has to be saved.
func (c *Changes) Any() bool {
	return c.Self || c.View || c.Acceptor || c.SyncedView || c.Snapshot || c.LogReplaced || len(c.Appended) > 0
}

// Output is what a Node wants done, in this order: save, send, tell.
type Output struct {
	Save             Changes
	Messages         []*api.ChainMessage
	Committed        []*api.Entry // applied to the machine meanwhile
	SnapshotRestored bool         // the machine was set to a snapshot
	ConfirmedTokens  []uint64     // tokens of Confirm
	ViewChanged      bool         // what was proposed here and is not committed may be lost
	Notes            []string     // for the log
}

// peer is what is known of another member, or of a process that wants to be one.
type peer struct {
	member      *api.Member
	heardAt     time.Duration
	hearsUs     time.Duration // when it last said that it hears this node, or was new
	steadySince time.Duration // heard without a gap since
	wantsIn     bool
	hears       []string
	behind      bool // it knows an older view than this node
	leaving     bool // it is about to end
	position    *api.Position
}

// Node is one member of a chain, or a process that waits to become one. One
// goroutine at a time may call it.
type Node struct {
	cfg     Config
	durable DurableState
	machine StateMachine
	now     time.Duration
	out     Output

	committed   uint64
	activeView  uint64 // the newest view known to be in service, with this node in it
	servedView  uint64 // the newest view of which another member has said that it is in service
	peers       map[string]*peer
	contacts    []string // addresses to report to while this node is not connected
	met         []string // more of them: who has called for another life of this address
	nextBeat    time.Duration
	listening   time.Duration // since when this node has run without a gap
	lastTick    time.Duration
	wedgedSince time.Duration
	troubled    time.Duration // since when a new view has been needed; 0: it is not
	proposal    *proposal
	highest     uint64 // round of any ballot seen
	syncing     map[string]*syncState
	catchUp     *catchUp // nil: nobody is being brought up to date
	leaving     bool     // this process is about to end
	logBytes    int      // of the entries in the log
	resendAt    time.Duration
	confirms    map[uint64]*confirmation
}

type syncState struct {
	done    bool
	askedAt time.Duration
}

type confirmation struct {
	view uint64
	from []string
}

// New makes a node of what its disk holds. contacts are addresses where members
// may be found.
func New(cfg Config, durable DurableState, machine StateMachine, contacts []string, now time.Duration) *Node {
	if durable.View == nil {
		durable.View = &api.View{}
	}
	if durable.Snapshot == nil {
		durable.Snapshot = &api.Snapshot{State: &api.State{}}
	}
	n := &Node{
		cfg: cfg, durable: durable, machine: machine, contacts: contacts, now: now,
		listening: now, lastTick: now, peers: map[string]*peer{}, confirms: map[uint64]*confirmation{},
	}
	n.machine.Restore(durable.Snapshot.GetState())
	n.committed = durable.Snapshot.GetSequence()
	n.logBytes = bytesOf(durable.Entries)
	// Each entry is proposed after the one before it was committed.
	if end := durable.last().Sequence; end > 0 {
		n.commit(end - 1)
	}
	n.out.Committed = nil
	if n.isHead() {
		n.startSync()
	}
	return n
}

// SetSeeds says where members may be found from now on.
func (n *Node) SetSeeds(contacts []string) { n.contacts = contacts }

// Durable is the state to be saved. It must not be changed.
func (n *Node) Durable() *DurableState { return &n.durable }

// View is the newest agreed view that this node knows.
func (n *Node) View() *api.View { return n.durable.View }

// Committed is the sequence number of the last committed entry known here.
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

// CanPropose tells whether an entry can be proposed here now.
func (n *Node) CanPropose() bool {
	return n.isHead() && n.inService() && n.committed == n.durable.last().Sequence
}

// CanRead tells whether this node is the tail of a view that is in service. What it
// reads is the newest only once a Confirm that began after the call has come through.
func (n *Node) CanRead() bool {
	return n.isTail() && n.inService()
}

// InService tells whether this node has a place in a chain that is in service.
func (n *Node) InService() bool { return n.inChain() && n.inService() }

// Connected tells whether this node is in service and hears a majority of the members:
// what it knows is not old.
func (n *Node) Connected() bool {
	live := 0
	for _, member := range n.durable.View.Members {
		if n.hears(member) {
			live++
		}
	}
	return n.InService() && live >= majority(len(n.durable.View.Members))
}

func (n *Node) inService() bool {
	return !n.wedged() && n.activeView == n.durable.View.Number && n.durable.SyncedView == n.durable.View.Number && n.activeView > 0
}

func (n *Node) wedged() bool   { return n.durable.Promised != nil }
func (n *Node) isMember() bool { return contains(n.durable.View.Members, n.durable.Self) }
func (n *Node) inChain() bool  { return contains(n.durable.View.Chain, n.durable.Self) }
func (n *Node) isHead() bool   { return sameMember(n.Head(), n.durable.Self) }
func (n *Node) isTail() bool   { return sameMember(n.Tail(), n.durable.Self) }

// neighbour is the chain's member so many places behind this one, or nil.
func (n *Node) neighbour(offset int) *api.Member {
	at := indexOf(n.durable.View.Chain, n.durable.Self)
	if at < 0 || at+offset < 0 || at+offset >= len(n.durable.View.Chain) {
		return nil
	}
	return n.durable.View.Chain[at+offset]
}

// Propose appends an entry. Only where MayPropose.
func (n *Node) Propose(now time.Duration, operations []*api.Operation) (*api.Entry, Output) {
	n.now = now
	end := n.durable.last()
	entry := &api.Entry{Sequence: end.Sequence + 1, PreviousHash: end.Hash, Operations: operations}
	entry.Hash = hashOf(entry.PreviousHash, entry.Sequence, operations)
	n.append(entry)
	n.passOn(entry)
	return entry, n.take()
}

// ConfirmView asks the members whether this node's view still stands. The token comes
// back in an Output's Confirmed once a majority has said so.
func (n *Node) ConfirmView(now time.Duration, token uint64) Output {
	n.now = now
	if !n.inService() {
		return n.take()
	}
	n.confirms[token] = &confirmation{view: n.durable.View.Number}
	n.confirmedBy(token, n.durable.Self)
	for _, member := range n.others() {
		n.send(member, &api.ChainMessage{Body: &api.ChainMessage_Confirm{Confirm: &api.Confirm{Token: token}}})
	}
	return n.take()
}

// CancelConfirmation forgets a token that nobody waits for any more.
func (n *Node) CancelConfirmation(token uint64) { delete(n.confirms, token) }

func (n *Node) confirmedBy(token uint64, member *api.Member) {
	c := n.confirms[token]
	if c == nil || c.view != n.durable.View.Number || !contains(n.durable.View.Members, member) {
		return
	}
	if key := MemberKey(member); !slices.Contains(c.from, key) {
		c.from = append(c.from, key)
	}
	if len(c.from) >= majority(len(n.durable.View.Members)) {
		delete(n.confirms, token)
		n.out.ConfirmedTokens = append(n.out.ConfirmedTokens, token)
	}
}

// others are the members apart from this node.
func (n *Node) others() []*api.Member { return without(n.durable.View.Members, n.durable.Self) }

func (n *Node) send(to *api.Member, message *api.ChainMessage) {
	if sameMember(to, n.durable.Self) {
		return
	}
	message.From, message.To, message.ViewNumber = n.durable.Self, to, n.durable.View.Number
	if p := n.peers[MemberKey(to)]; p == nil || p.behind {
		message.View = n.durable.View
	}
	n.out.Messages = append(n.out.Messages, message)
}

func (n *Node) note(text string) { n.out.Notes = append(n.out.Notes, text) }

// take gives what has gathered.
func (n *Node) take() Output {
	out := n.out
	n.out = Output{}
	return out
}

// commit applies what is known to be committed now.
func (n *Node) commit(upTo uint64) {
	upTo = min(upTo, n.durable.last().Sequence)
	for n.committed < upTo {
		entry := n.durable.Entries[n.committed-n.durable.Snapshot.GetSequence()]
		n.committed++
		n.machine.Apply(entry)
		n.out.Committed = append(n.out.Committed, entry)
	}
	n.compact()
}

// compact replaces old entries by a snapshot.
func (n *Node) compact() {
	done := n.committed - n.durable.Snapshot.GetSequence()
	if done == 0 || !n.exceeds(done, n.cfg.MaxLogEntries, n.cfg.MaxLogBytes) {
		return
	}
	if n.bringsUp() && !n.exceeds(done, n.cfg.MaxCatchUpLogEntries, n.cfg.MaxCatchUpLogBytes) {
		return
	}
	last := n.durable.Entries[done-1]
	n.durable.Snapshot = &api.Snapshot{Sequence: last.Sequence, Hash: last.Hash, State: n.machine.State()}
	n.durable.Entries = slices.Clone(n.durable.Entries[done:])
	n.logBytes = bytesOf(n.durable.Entries)
	n.out.Save.Snapshot = true
}

// exceeds tells whether so many committed entries, or the bytes of the log, reach a bound.
func (n *Node) exceeds(entries uint64, mostEntries, mostBytes int) bool {
	return entries >= uint64(mostEntries) || n.logBytes >= mostBytes
}

// resendAfter is how long a message of so many bytes may be on its way.
func (n *Node) resendAfter(size int) time.Duration {
	return n.cfg.RetransmitTimeout + n.travelTime(size)
}

// travelTime is how long so many bytes take on the slowest link.
func (n *Node) travelTime(size int) time.Duration {
	return time.Duration(float64(size) / float64(n.cfg.MinLinkBytesPerSecond) * float64(time.Second))
}
