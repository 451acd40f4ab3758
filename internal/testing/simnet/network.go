package simnet

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Config says what a network is like.
type Config struct {
	Delay  time.Duration // in one direction, between two machines
	Jitter time.Duration // upper bound of what is added to Delay, drawn anew each time
	Loss   float64       // fraction of datagrams that is lost, from 0 to 1
	Seed   uint64
	// BytesPerSecond is how much a machine sends; 0: any number. Datagrams that would wait for longer than maxLinkQueue
	// are lost.
	BytesPerSecond int
}

// Network is a network. Any goroutine may use it.
type Network struct {
	traffic trafficCounter

	mu          sync.Mutex // guards all below
	cfg         Config
	rng         *rand.Rand
	machines    map[string]*Machine // by IP
	partitioned map[direction]bool  // nothing passes
	changed     chan struct{}       // closed when a partition begins or ends
	lastPorts   map[string]int      // the last local port of each IP, above firstLocalPort
	linkFreeAt  map[string]time.Time
	rates       map[string]int // of machines whose rate is not cfg.BytesPerSecond
}

// direction is from one IP to another.
type direction struct{ from, to string }

// New makes a network without machines.
func New(cfg Config) *Network {
	return &Network{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 3)), machines: map[string]*Machine{},
		partitioned: map[direction]bool{}, changed: make(chan struct{}), lastPorts: map[string]int{},
		linkFreeAt: map[string]time.Time{}, rates: map[string]int{},
	}
}

// Machine gives the machine of an IP, and makes it where it is missing.
func (n *Network) Machine(ip string) *Machine {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.machines[ip]
	if m == nil {
		m = &Machine{
			network: n, ip: ip, listeners: map[string]*listener{}, sockets: map[string]*packetSocket{},
			conns: map[*conn]bool{},
		}
		n.machines[ip] = m
	}
	return m
}

// SetPartitioned lets nothing pass from one machine to another, or lets it pass again. What is on its way over a
// connection waits; datagrams are lost.
func (n *Network) SetPartitioned(from, to string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[direction{from, to}] = partitioned
	close(n.changed)
	n.changed = make(chan struct{})
}

// Isolate partitions a machine from others in both directions, or ends that.
func (n *Network) Isolate(ip string, others []string, isolated bool) {
	for _, other := range others {
		if other != ip {
			n.SetPartitioned(ip, other, isolated)
			n.SetPartitioned(other, ip, isolated)
		}
	}
}

// SetLoss sets which fraction of the datagrams is lost, from 0 to 1.
func (n *Network) SetLoss(fraction float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cfg.Loss = fraction
}

// passes tells whether no partition is in the way, and gives what is closed when partitions change.
func (n *Network) passes(from, to string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.partitioned[direction{from, to}], n.changed
}

// drawDelay draws how long something takes in one direction.
func (n *Network) drawDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cfg.Jitter <= 0 {
		return n.cfg.Delay
	}
	return n.cfg.Delay + time.Duration(n.rng.Int64N(int64(n.cfg.Jitter)))
}
