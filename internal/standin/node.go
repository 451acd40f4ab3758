package standin

import (
	"fmt"
	"net"
	"sync"
	"time"

	"marlreel/internal/standin/machine"
)

const (
	answerSize = 512 // bytes of an ordinary answer
)

// Path is an address of a node, for one proxy or for everyone.
type Path struct {
	Addr  string
	RPC   string        // where it speaks MessagePack-RPC; "" is nowhere
	Proxy int           // -1 is everyone
	Cross bool          // from another zone
	Delay time.Duration // one way
}

// NodeConfig is an auction node.
type NodeConfig struct {
	ID, Zone, Kind string
	Machine        machine.Config
	Warm           bool          // started long ago
	Connections    int           // that it holds at most; 0 is any number
	Idle           time.Duration // after which it closes one; 0 is never
	Handshake      time.Duration // work that a new connection costs, with its first request
	Probes         bool
	ProbeWork      time.Duration
	Report         []string // fields of its load report: inflight, queue, util, or the settings' names for them
	Group          *Group   // who drops repeats of keyed requests together; nil: nobody does
	// Demand is what a request asks for. One that it does not know is answered 400,
	// as it is no request of any client. nil: a millisecond's work each.
	Demand func(id, class string) (machine.Job, bool)
	Size   func(id, class string) int // of the answer's body, bytes; nil: 512
	// Gives says how a class's large answers come: bytes a second (0: at once), and whether in
	// chunks. nil: at once, with their length.
	Gives   func(class string) (rate int, chunked bool)
	Clock   *Clock
	Journal *Journal
	Paths   []Path
}

// Spoil is a way in which answers are spoilt.
type Spoil uint8

// The ways.
const (
	SpoilNothing Spoil = iota
	SpoilNoise         // bytes that are no HTTP
	SpoilCut           // the head and half of the body, then the end
	SpoilHuge          // a body beyond what the protocol allows
	SpoilEmpty         // the connection ends in place of an answer
)

// Network is what happens to a node's connections, by itself or by something between.
// Rates are drawn from the requests' ids.
type Network struct {
	StaleAfter time.Duration // a kept connection idle for so long
	StaleRate  float64       // is reset at its next request, which may have run for all that its sender knows
	NewRate    float64       // a new one is reset in its first request
	CloseRate  float64       // one is closed right behind an answer
	DropAfter  time.Duration // one idle for so long is dropped without a word: what is written to it vanishes
	BodyRate   float64       // one is reset in the middle of a body of 16 KiB or more
}

// Node is an auction node after the protocol: HTTP/1.1 on its paths' addresses,
// served by a machine in modelled time. Its commands may be called by any goroutine.
type Node struct {
	cfg NodeConfig

	mu        sync.Mutex
	machine   *machine.Machine
	timer     *time.Timer
	open      map[uint64]chan machine.Completion
	lastJob   uint64
	listeners []net.Listener
	conns     map[net.Conn]bool
	fillers   []net.Conn // that keep a vanished node's listeners full
	dead      bool
	silent    bool
	draining  bool
	slow      float64
	taken     float64
	errors    float64
	spoil     Spoil
	spoilt    float64
	partial   []keyedPartial
	network   Network
	coldUntil time.Duration
	life      int // how often it started
	state     string
	wg        sync.WaitGroup
}

// StartNode listens at all paths and serves.
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

// ID is the node's name.
func (n *Node) ID() string { return n.cfg.ID }

// Addr is the address of its first path.
func (n *Node) Addr() string { return n.cfg.Paths[0].Addr }

// ---- commands ----

// Slow divides its speed; 1 restores it.
func (n *Node) Slow(by float64) {
	n.command(func(now time.Duration) { n.slow = by; n.machine.SetSlowdown(now, by) })
}

// Neighbour lets another program take a share of its machine; 0 ends that.
func (n *Node) Neighbour(share float64) {
	n.command(func(now time.Duration) { n.taken = share; n.machine.SetNeighbour(now, share) })
}

// Errors makes a share of its answers a 500, drawn from the requests' ids.
func (n *Node) Errors(rate float64) { n.command(func(time.Duration) { n.errors = rate }) }

// Spoils spoils a share of its answers, drawn from the requests' ids.
func (n *Node) Spoils(how Spoil, rate float64) {
	n.command(func(time.Duration) { n.spoil, n.spoilt = how, rate })
}

// Network sets what happens to its connections.
func (n *Node) Network(w Network) { n.command(func(time.Duration) { n.network = w }) }

// Drain makes it finish what it has and turn away the rest.
func (n *Node) Drain(on bool) { n.command(func(time.Duration) { n.draining = on }) }

// Die ends its process: connections are reset, and new ones refused.
func (n *Node) Die() { n.command(func(time.Duration) { n.down() }) }

// down ends the process; the caller has the lock.
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

// Vanish cuts it off: connections stay open and silent, and new ones never come up
// (where the system lets a listener's queue be made small; elsewhere they stay silent).
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

// Return brings a dead or vanished node back at its addresses. A vanished one goes on
// as it was; a dead one starts anew, warm or cold.
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
		n.life++
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

// listenAgain listens at an address whose last listener may just have closed.
func listenAgain(addr string) (l net.Listener, err error) {
	for range 50 {
		if l, err = net.Listen("tcp", addr); err == nil {
			return l, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, err
}

// Close ends it for good.
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
	n.pump()
}

// State tells how it is, in a word.
func (n *Node) State() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.word()
}

func (n *Node) word() string {
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
	case n.taken > 0:
		return "taken"
	}
	return "up"
}

func (n *Node) noteState() {
	if w := n.word(); w != n.state {
		n.state = w
		n.cfg.Journal.event(NodeEvent{n.cfg.ID, n.cfg.Clock.Now(), w})
	}
}

// Sample writes its state into the journal.
func (n *Node) Sample() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pump()
	n.cfg.Journal.sample(Sample{n.cfg.Clock.Now(), n.cfg.ID, n.word(), n.machine.Outstanding(), n.machine.InService(), len(n.conns)})
}

// Connections is how many are open.
func (n *Node) Connections() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

// ---- the machine in real time ----

// pump lets the machine come up to now, tells of the ends, and sets the timer for
// the next change; the caller has the lock.
func (n *Node) pump() {
	now := n.cfg.Clock.Now()
	n.machine.Advance(now)
	for _, e := range n.machine.TakeCompletions() {
		if c := n.open[e.ID]; c != nil {
			delete(n.open, e.ID)
			c <- e // has room
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
				n.pump()
			}
		})
		return
	}
	n.timer.Reset(wait)
}
