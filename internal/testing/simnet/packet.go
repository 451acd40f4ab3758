package simnet

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// maxPacketQueue is how many datagrams may wait to be read; further ones are dropped.
const maxPacketQueue = 256

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

var _ net.PacketConn = (*packetSocket)(nil)

// ListenPacket implements host.Network.
func (m *Machine) ListenPacket(address string) (net.PacketConn, error) {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	if m.down {
		return nil, opError("listen", "udp", errDown)
	}
	if m.sockets[address] != nil {
		return nil, opError("listen", "udp", syscall.EADDRINUSE)
	}
	s := &packetSocket{machine: m, address: address, queue: make(chan packet, maxPacketQueue), closed: make(chan struct{})}
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

// WriteTo implements net.PacketConn. It returns no error for a lost datagram.
func (s *packetSocket) WriteTo(p []byte, to net.Addr) (int, error) {
	ip, _, err := net.SplitHostPort(to.String())
	if err != nil {
		return 0, err
	}
	n, data := s.machine.network, append([]byte(nil), p...)
	if s.drawLoss(ip) || n.linkQueue(s.machine.ip) > maxLinkQueue {
		return len(p), nil
	}
	queued := n.reserveLink(s.machine.ip, len(p))
	n.traffic.add(Flow{From: s.machine.ip, To: ip, Server: to.String(), Kind: "udp"}, len(p))
	time.AfterFunc(queued+n.drawDelay(), func() { s.deliver(packet{data, parseAddr(s.address)}, ip, to.String()) })
	return len(p), nil
}

// drawLoss decides whether a datagram to an IP is lost.
func (s *packetSocket) drawLoss(ip string) bool {
	n := s.machine.network
	n.mu.Lock()
	defer n.mu.Unlock()
	return s.machine.down || n.rng.Float64() < n.cfg.Loss || n.partitioned[direction{s.machine.ip, ip}]
}

// deliver queues a datagram at the socket of an address. It drops it if there is no such socket or the queue is full.
func (s *packetSocket) deliver(p packet, ip, address string) {
	target := s.target(ip, address)
	if target == nil {
		return
	}
	select {
	case target.queue <- p:
	default:
	}
}

// target returns the socket of an address, or nil if there is none or a partition separates the machines.
func (s *packetSocket) target(ip, address string) *packetSocket {
	n := s.machine.network
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.machines[ip]
	if m == nil || n.partitioned[direction{s.machine.ip, ip}] {
		return nil
	}
	return m.sockets[address]
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
func (s *packetSocket) LocalAddr() net.Addr { return parseAddr(s.address) }

// SetDeadline implements net.PacketConn. It does nothing: deadlines are not supported.
func (s *packetSocket) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.PacketConn. It does nothing.
func (s *packetSocket) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.PacketConn. It does nothing: writes never block.
func (s *packetSocket) SetWriteDeadline(time.Time) error { return nil }
