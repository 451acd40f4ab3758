package standin

import (
	"fmt"
	"net"
	"sync"
	"time"

	"marlreel/internal/standin/machine"
)

const (
	answerSize = 512 // default response body size, bytes
)

// Path is an address on which a node can be reached, by one proxy or by everyone.
type Path struct {
	Addr  string
	RPC   string        // MessagePack-RPC address; "" for none
	Proxy int           // -1 for everyone
	Cross bool          // from another zone
	Delay time.Duration // one-way latency
}

// NodeConfig configures an auction node.
type NodeConfig struct {
	ID, Zone, Kind string
	Machine        machine.Config
	Warm           bool          // skips the slow start
	Connections    int           // maximum open connections; 0 is unlimited
	Idle           time.Duration // idle timeout of a connection; 0 is none
	Handshake      time.Duration // work that a new connection costs, charged to its first request
	Probes         bool
	ProbeWork      time.Duration
	Report         []string // fields of its load report: inflight, queue, util, or the settings' names for them
	Group          *Group   // nodes that deduplicate keyed requests together; nil: no deduplication
	// Demand returns the job of a request. A request it does not know was sent by no client
	// and is answered 400. nil: a millisecond of work each.
	Demand func(id, class string) (machine.Job, bool)
	Size   func(id, class string) int // response body size, bytes; nil: 512
	// Gives returns how large responses of a class are sent: the rate in bytes per second (0: unlimited),
	// and whether chunked. nil: at once, with a Content-Length.
	Gives   func(class string) (rate int, chunked bool)
	Clock   *Clock
	Journal *Journal
	Paths   []Path
}

// Spoil is a way of corrupting responses.
type Spoil uint8

// The kinds of corruption.
const (
	SpoilNothing Spoil = iota
	SpoilNoise         // bytes that are not HTTP
	SpoilCut           // the head and part of the body, then the connection closes
	SpoilHuge          // a body larger than the protocol allows
	SpoilEmpty         // the connection closes without a response
)

// Network configures faults of a node's connections, caused by the node or by something in between.
// Whether a rate hits a request depends on the request's ID alone.
type Network struct {
	StaleAfter time.Duration // idle time after which a reused connection counts as stale
	StaleRate  float64       // share of stale connections reset on their next request, which may have run as far as its sender knows
	NewRate    float64       // share of new connections reset during their first request
	CloseRate  float64       // share of responses after which the connection is closed
	DropAfter  time.Duration // idle time after which a connection is silently dropped: what is written to it is lost
	BodyRate   float64       // share of request bodies of 16 KiB or more that are cut by a reset halfway
}

// Node is an auction node as the protocol describes it: HTTP/1.1 on its paths' addresses,
// served by a machine in modelled time. Its methods are safe for concurrent use.
type Node struct {
	cfg NodeConfig

	mu             sync.Mutex
	machine        *machine.Machine
	timer          *time.Timer
	open           map[uint64]chan machine.Completion
	lastJob        uint64
	listeners      []net.Listener
	conns          map[net.Conn]bool
	fillers        []net.Conn // keep the accept queues of a vanished node full
	dead           bool
	silent         bool
	draining       bool
	slow           float64
	neighbourShare float64
	errors         float64
	spoil          Spoil
	spoilt         float64
	partial        []keyedPartial
	network        Network
	coldUntil      time.Duration
	starts         int
	state          string
	wg             sync.WaitGroup
}

// StartNode listens on all paths and serves requests.
func StartNode(cfg NodeConfig) (*Node, error) {
	if err := cfg.Machine.Validate(); err != nil {
		return nil, fmt.Errorf("node %s: %w", cfg.ID, err)
	}
	if cfg.Clock == nil {
		cfg.Clock = NewClock()
	}
	n := &Node{cfg: cfg, open: map[uint64]chan machine.Completion{}, conns: map[net.Conn]bool{}, slow: 1, dead: true}
	n.machine = machine.New(cfg.Machine, cfg.Clock.Now(), cfg.Warm)
	if err := n.Return(cfg.Warm); err != nil {
		n.Close()
		return nil, err
	}
	return n, nil
}

// ID returns the node's ID.
func (n *Node) ID() string { return n.cfg.ID }

// Addr returns the address of the first path.
func (n *Node) Addr() string { return n.cfg.Paths[0].Addr }

// ---- commands ----

// Slow divides the machine's speed; 1 restores it.
func (n *Node) Slow(by float64) {
	n.command(func(now time.Duration) { n.slow = by; n.machine.SetSlowdown(now, by) })
}

// Neighbour lets another program take a share of the machine's cores; 0 ends it.
func (n *Node) Neighbour(share float64) {
	n.command(func(now time.Duration) { n.neighbourShare = share; n.machine.SetNeighbour(now, share) })
}

// Errors makes a share of the responses a 500, chosen by request ID.
func (n *Node) Errors(rate float64) { n.command(func(time.Duration) { n.errors = rate }) }

// Spoils corrupts a share of the responses, chosen by request ID.
func (n *Node) Spoils(how Spoil, rate float64) {
	n.command(func(time.Duration) { n.spoil, n.spoilt = how, rate })
}

// Network sets the faults of the node's connections.
func (n *Node) Network(w Network) { n.command(func(time.Duration) { n.network = w }) }

// Drain makes the node finish the requests in flight and reject new ones.
func (n *Node) Drain(on bool) { n.command(func(time.Duration) { n.draining = on }) }

// Die simulates a crash of the process: connections are reset and new ones refused.
func (n *Node) Die() { n.command(func(time.Duration) { n.down() }) }

// down simulates the end of the process. The caller holds the lock.
func (n *Node) down() {
	n.dead, n.silent = true, false
	n.closeAll()
	for id, c := range n.open {
		delete(n.open, id)
		c <- machine.Completion{ID: id, Outcome: machine.Killed}
	}
}

func (n *Node) closeAll() {
	for _, l := range n.listeners {
		l.Close()
	}
	for c := range n.conns {
		reset(c)
	}
	for _, c := range n.fillers {
		reset(c)
	}
	n.listeners, n.fillers = nil, nil
}

// Vanish cuts the node off the network: open connections stay open and silent, and new ones are never
// established. Where the system can't shrink a listener's accept queue, new ones are established and stay silent.
func (n *Node) Vanish() {
	n.mu.Lock()
	if n.dead || n.silent {
		n.mu.Unlock()
		return
	}
	n.silent = true
	n.noteState()
	listeners := append([]net.Listener(nil), n.listeners...)
	n.mu.Unlock()
	var fillers []net.Conn
	for _, l := range listeners {
		fillers = append(fillers, Block(l)...)
	}
	n.mu.Lock()
	n.fillers = append(n.fillers, fillers...)
	n.mu.Unlock()
}

// Return brings a dead or vanished node back on its addresses. A vanished node continues
// with its old state; a dead one restarts, warm or cold.
func (n *Node) Return(warm bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.dead && !n.silent {
		return nil
	}
	restart := n.dead
	n.closeAll()
	if restart {
		now := n.cfg.Clock.Now()
		n.machine.Restart(now, warm)
		n.draining = false
		n.starts++
		n.coldUntil = 0
		if !warm {
			n.coldUntil = now + n.cfg.Machine.Warmup.Duration
			n.cfg.Journal.event(NodeEvent{n.cfg.ID, now, StartedCold})
		}
	}
	for _, p := range n.cfg.Paths {
		l, err := listenAgain(p.Addr)
		if err != nil {
			n.closeAll()
			return fmt.Errorf("node %s: %w", n.cfg.ID, err)
		}
		n.listeners = append(n.listeners, l)
		n.wg.Go(func() { n.accept(l, p, n.serve) })
		if p.RPC == "" {
			continue
		}
		calls, err := listenAgain(p.RPC)
		if err != nil {
			n.closeAll()
			return fmt.Errorf("node %s: %w", n.cfg.ID, err)
		}
		n.listeners = append(n.listeners, calls)
		n.wg.Go(func() { n.accept(calls, p, n.serveRPC) })
	}
	n.dead, n.silent = false, false
	n.noteState()
	return nil
}

// listenAgain listens on an address whose previous listener may only just have closed.
func listenAgain(addr string) (l net.Listener, err error) {
	for range 50 {
		if l, err = net.Listen("tcp", addr); err == nil {
			return l, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, err
}

// Close stops the node and waits for its goroutines.
func (n *Node) Close() {
	n.mu.Lock()
	n.down()
	if n.timer != nil {
		n.timer.Stop()
	}
	n.mu.Unlock()
	n.wg.Wait()
}

func (n *Node) command(do func(now time.Duration)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do(n.cfg.Clock.Now())
	n.noteState()
	n.advance()
}

// State returns the node's state as in NodeEvent.State.
func (n *Node) State() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stateName()
}

func (n *Node) stateName() string {
	switch now := n.cfg.Clock.Now(); {
	case n.machine.Crashed():
		return "fallen"
	case n.dead:
		return "dead"
	case n.silent:
		return "vanished"
	case n.draining:
		return "draining"
	case n.machine.Congested():
		return "crowded"
	case now < n.coldUntil:
		return "cold"
	case n.slow > 1:
		return "slow"
	case n.neighbourShare > 0:
		return "taken"
	}
	return "up"
}

func (n *Node) noteState() {
	if w := n.stateName(); w != n.state {
		n.state = w
		n.cfg.Journal.event(NodeEvent{n.cfg.ID, n.cfg.Clock.Now(), w})
	}
}

// Sample records the node's state in the journal.
func (n *Node) Sample() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.advance()
	n.cfg.Journal.sample(Sample{n.cfg.Clock.Now(), n.cfg.ID, n.stateName(), n.machine.Outstanding(), n.machine.InService(), len(n.conns)})
}

// Connections returns the number of open connections.
func (n *Node) Connections() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

// ---- the machine in real time ----

// advance brings the machine to now, delivers completions and sets the timer for the
// next event. The caller holds the lock.
func (n *Node) advance() {
	now := n.cfg.Clock.Now()
	n.machine.Advance(now)
	for _, e := range n.machine.TakeCompletions() {
		if c := n.open[e.ID]; c != nil {
			delete(n.open, e.ID)
			c <- e // buffered, doesn't block
		}
	}
	if n.machine.Crashed() && !n.dead {
		n.noteState()
		n.down()
	}
	n.noteState()
	next, found := n.machine.NextEvent()
	if !found || n.dead {
		return
	}
	wait := max(next-now, 0)
	if n.timer == nil {
		n.timer = time.AfterFunc(wait, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			if !n.dead {
				n.advance()
			}
		})
		return
	}
	n.timer.Reset(wait)
}
