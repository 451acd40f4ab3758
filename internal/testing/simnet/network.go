package simnet

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Config holds the properties of a network.
type Config struct {
	Delay  time.Duration // one way, between two machines
	Jitter time.Duration // upper bound of the random addition to Delay, drawn for each packet or segment
	Loss   float64       // fraction of datagrams lost, from 0 to 1
	Seed   uint64
	// BytesPerSecond limits the sending rate of each machine; 0: unlimited. Datagrams that would wait longer than
	// maxLinkQueue are lost.
	BytesPerSecond int
}

// Network is a simulated network. It is safe for concurrent use.
type Network struct {
	traffic trafficCounter

	mu          sync.Mutex // guards all below
	cfg         Config
	rng         *rand.Rand
	machines    map[string]*Machine  // by IP
	partitioned map[direction]bool   // directions in which no packet passes
	changed     chan struct{}        // closed and replaced when a partition begins or ends
	lastPorts   map[string]int       // by IP: the last local port used, as an offset from firstLocalPort
	linkFreeAt  map[string]time.Time // by IP: when the link has sent all queued bytes
	rates       map[string]int       // by IP: rates that override cfg.BytesPerSecond
}

// direction is a one-way path between two IPs.
type direction struct{ from, to string }

// New creates a network without machines.
func New(cfg Config) *Network {
	return &Network{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 3)), machines: map[string]*Machine{},
		partitioned: map[direction]bool{}, changed: make(chan struct{}), lastPorts: map[string]int{},
		linkFreeAt: map[string]time.Time{}, rates: map[string]int{},
	}
}

// Machine returns the machine with an IP and creates it if it does not exist.
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

// SetPartitioned starts or ends a one-way partition between two machines. Bytes in flight on a connection wait for its
// end; datagrams are lost.
func (n *Network) SetPartitioned(from, to string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[direction{from, to}] = partitioned
	close(n.changed)
	n.changed = make(chan struct{})
}

// Isolate starts or ends a partition between a machine and others, in both directions.
func (n *Network) Isolate(ip string, others []string, isolated bool) {
	for _, other := range others {
		if other != ip {
			n.SetPartitioned(ip, other, isolated)
			n.SetPartitioned(other, ip, isolated)
		}
	}
}

// SetLoss sets the fraction of datagrams that are lost, from 0 to 1.
func (n *Network) SetLoss(fraction float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cfg.Loss = fraction
}

// passes reports whether packets pass in a direction, and returns a channel that is closed when partitions change.
func (n *Network) passes(from, to string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.partitioned[direction{from, to}], n.changed
}

// drawDelay draws a one-way delay.
func (n *Network) drawDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cfg.Jitter <= 0 {
		return n.cfg.Delay
	}
	return n.cfg.Delay + time.Duration(n.rng.Int64N(int64(n.cfg.Jitter)))
}
