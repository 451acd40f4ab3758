// Package simnet is a network within one process, for tests: machines with addresses,
// connections and datagrams between them, with delay, loss, cuts in one direction or
// both, and machines that die. It goes by the time of the package time, which a test
// may replace (testing/synctest), and by a seed. The daemon never links it.
package simnet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Config says what a network is like.
type Config struct {
	Delay  time.Duration // one way, between two machines
	Jitter time.Duration // more, drawn for each
	Loss   float64       // of datagrams
	Seed   uint64
	// Rate is how many bytes a second a machine sends; 0: any number. Datagrams that would wait
	// for longer than fullLink are lost.
	Rate int
}

// Network is a network. Any goroutine may use it.
type Network struct {
	cfg       Config
	mu        sync.Mutex
	rng       *rand.Rand
	machines  map[string]*Machine // by IP
	cuts      map[[2]string]bool  // from, to: nothing passes
	changed   chan struct{}       // closed when a cut begins or ends
	nextPorts map[string]int
	linkFree  map[string]time.Time // when a machine has sent what it was given
	rates     map[string]int       // of machines whose rate is not that of all
	traffic   trafficCounter
}

// New makes a network without machines.
func New(cfg Config) *Network {
	return &Network{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 3)), machines: map[string]*Machine{},
		cuts: map[[2]string]bool{}, changed: make(chan struct{}), nextPorts: map[string]int{},
		linkFree: map[string]time.Time{}, rates: map[string]int{},
	}
}

// fullLink is how long a datagram waits at most for a link that is in use.
const fullLink = 100 * time.Millisecond

// occupy uses a machine's link for so many bytes, and gives how long it takes until they are sent.
func (n *Network) occupy(ip string, size int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	rate := n.rateOf(ip)
	if rate <= 0 {
		return 0
	}
	now := time.Now()
	free := n.linkFree[ip]
	if free.Before(now) {
		free = now
	}
	free = free.Add(time.Duration(float64(size) / float64(rate) * float64(time.Second)))
	n.linkFree[ip] = free
	return free.Sub(now)
}

// busyFor is how long a machine's link is in use by what it was given.
func (n *Network) busyFor(ip string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Until(n.linkFree[ip])
}

// Machine is one address of a network. It implements host.Network.
type Machine struct {
	network   *Network
	ip        string
	listeners map[string]*listener
	sockets   map[string]*packetSocket
	conns     map[*conn]bool
	killed    bool // what still runs in the name of its processes reaches nobody
}

// Machine gives the machine of an address, and makes it where it is missing.
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

// Cut lets nothing pass from one machine to another, or lets it pass again.
func (n *Network) Cut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = cut
	close(n.changed)
	n.changed = make(chan struct{})
}

// Isolate cuts a machine off from others in both directions, or ends that.
func (n *Network) Isolate(ip string, others []string, cut bool) {
	for _, other := range others {
		if other != ip {
			n.Cut(ip, other, cut)
			n.Cut(other, ip, cut)
		}
	}
}

// SetLoss sets which part of the datagrams is lost.
func (n *Network) SetLoss(part float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cfg.Loss = part
}

// SetRate sets how many bytes a second each machine sends; 0: any number.
func (n *Network) SetRate(rate int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cfg.Rate = rate
}

// SetRateOf sets the same for one machine.
func (n *Network) SetRateOf(ip string, rate int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rates[ip] = rate
}

// rateOf is how many bytes a second a machine sends. Called with the lock.
func (n *Network) rateOf(ip string) int {
	if rate, set := n.rates[ip]; set {
		return rate
	}
	return n.cfg.Rate
}

// passes tells whether a cut is in the way, and what is closed when cuts change.
func (n *Network) passes(from, to string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cuts[[2]string{from, to}], n.changed
}

func (n *Network) delay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cfg.Jitter <= 0 {
		return n.cfg.Delay
	}
	return n.cfg.Delay + time.Duration(n.rng.Int64N(int64(n.cfg.Jitter)))
}

// Kill ends all that a machine has open, as the end of its processes does: peers see resets. Until it is revived
// it opens nothing more: a process that is killed has no last word.
func (m *Machine) Kill() {
	m.network.mu.Lock()
	m.killed = true
	listeners, sockets, conns := m.listeners, m.sockets, m.conns
	m.listeners, m.sockets, m.conns = map[string]*listener{}, map[string]*packetSocket{}, map[*conn]bool{}
	m.network.mu.Unlock()
	for _, l := range listeners {
		l.shut()
	}
	for _, s := range sockets {
		s.shut()
	}
	for c := range conns {
		c.reset()
	}
}

// Revive lets a machine's next processes use the network.
func (m *Machine) Revive() {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	m.killed = false
}

// isKilled tells whether a machine's processes have been killed, and no others started.
func (m *Machine) isKilled() bool {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	return m.killed
}

// Listen implements host.Network.
func (m *Machine) Listen(address string) (net.Listener, error) {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	if m.killed {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.ENETDOWN}
	}
	if m.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
	}
	l := &listener{machine: m, address: address, queue: make(chan *conn, 128), closed: make(chan struct{})}
	m.listeners[address] = l
	return l, nil
}

// loopback tells whether an address is of the machine itself alone.
func loopback(address string) bool { return strings.HasPrefix(address, "127.") }

// Dial implements host.Network.
func (m *Machine) Dial(ctx context.Context, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	if m.isKilled() {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ENETDOWN}
	}
	to := m.ip
	if !loopback(address) {
		to = host
	}
	if err := m.network.travel(ctx, m.ip, to); err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
	if err := m.network.travel(ctx, to, m.ip); err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
	m.network.mu.Lock()
	if m.killed {
		m.network.mu.Unlock()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ENETDOWN}
	}
	target := m.network.machines[to]
	var l *listener
	if target != nil {
		l = target.listeners[address]
	}
	if l == nil {
		m.network.mu.Unlock()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	m.network.nextPorts[m.ip]++
	local := fmt.Sprintf("%s:%d", m.ip, 30000+m.network.nextPorts[m.ip])
	near, far := pair(m, target, local, address)
	m.conns[near], target.conns[far] = true, true
	m.network.mu.Unlock()
	select {
	case l.queue <- far:
		return near, nil
	default:
		near.reset()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
}

// synRetry is after what time the first packet of a connection is sent again where it was lost; each
// further one comes after twice the time.
const synRetry = time.Second

// travel waits for as long as a connection's first packet takes. What meets a cut is lost, and sent again.
func (n *Network) travel(ctx context.Context, from, to string) error {
	if from == to {
		return nil
	}
	if err := rest(ctx, n.delay()); err != nil {
		return err
	}
	for retry := synRetry; ; retry *= 2 {
		if open, _ := n.passes(from, to); open {
			return nil
		}
		if err := rest(ctx, retry); err != nil {
			return err
		}
	}
}

// rest waits for a span, or until ctx ends.
func rest(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type listener struct {
	machine *Machine
	address string
	queue   chan *conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) shut() { l.once.Do(func() { close(l.closed) }) }

// Close implements net.Listener.
func (l *listener) Close() error {
	l.machine.network.mu.Lock()
	if l.machine.listeners[l.address] == l {
		delete(l.machine.listeners, l.address)
	}
	l.machine.network.mu.Unlock()
	l.shut()
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addrOf(l.address) }

func addrOf(address string) net.Addr {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return &net.TCPAddr{}
	}
	return net.TCPAddrFromAddrPort(at)
}

type packet struct {
	data []byte
	from net.Addr
}

type packetSocket struct {
	machine *Machine
	address string
	queue   chan packet
	closed  chan struct{}
	once    sync.Once
}

// ListenPacket implements host.Network.
func (m *Machine) ListenPacket(address string) (net.PacketConn, error) {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	if m.killed {
		return nil, &net.OpError{Op: "listen", Net: "udp", Err: syscall.ENETDOWN}
	}
	if m.sockets[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "udp", Err: syscall.EADDRINUSE}
	}
	s := &packetSocket{machine: m, address: address, queue: make(chan packet, 256), closed: make(chan struct{})}
	m.sockets[address] = s
	return s, nil
}

// ReadFrom implements net.PacketConn.
func (s *packetSocket) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case got := <-s.queue:
		return copy(p, got.data), got.from, nil
	case <-s.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo implements net.PacketConn.
func (s *packetSocket) WriteTo(p []byte, to net.Addr) (int, error) {
	host, _, err := net.SplitHostPort(to.String())
	if err != nil {
		return 0, err
	}
	n, data := s.machine.network, append([]byte(nil), p...)
	n.mu.Lock()
	lost := s.machine.killed || n.rng.Float64() < n.cfg.Loss || n.cuts[[2]string{s.machine.ip, host}]
	n.mu.Unlock()
	if lost || n.busyFor(s.machine.ip) > fullLink {
		return len(p), nil
	}
	queued := n.occupy(s.machine.ip, len(p))
	n.traffic.add(Flow{From: s.machine.ip, To: host, Server: to.String(), Kind: "udp"}, len(p))
	time.AfterFunc(queued+n.delay(), func() {
		n.mu.Lock()
		var target *packetSocket
		if m := n.machines[host]; m != nil && !n.cuts[[2]string{s.machine.ip, host}] {
			target = m.sockets[to.String()]
		}
		n.mu.Unlock()
		if target == nil {
			return
		}
		select {
		case target.queue <- packet{data, addrOf(s.address)}:
		default:
		}
	})
	return len(p), nil
}

func (s *packetSocket) shut() { s.once.Do(func() { close(s.closed) }) }

// Close implements net.PacketConn.
func (s *packetSocket) Close() error {
	s.machine.network.mu.Lock()
	if s.machine.sockets[s.address] == s {
		delete(s.machine.sockets, s.address)
	}
	s.machine.network.mu.Unlock()
	s.shut()
	return nil
}

// LocalAddr implements net.PacketConn.
func (s *packetSocket) LocalAddr() net.Addr { return addrOf(s.address) }

// SetDeadline implements net.PacketConn; datagrams are waited for without one.
func (s *packetSocket) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.PacketConn.
func (s *packetSocket) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.PacketConn.
func (s *packetSocket) SetWriteDeadline(time.Time) error { return nil }
