package simnet

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"
)

const (
	// synTimeout is the time until a lost SYN is first retransmitted; it doubles with each retransmission, as in Linux.
	synTimeout = time.Second
	// firstLocalPort is the offset of local ports; the first connection of an IP uses the port after it.
	firstLocalPort = 30000
)

// Dial implements host.Network. It takes one round trip, and waits for the end of a partition or of ctx.
func (m *Machine) Dial(ctx context.Context, address string) (net.Conn, error) {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	if isLoopback(address) {
		ip = m.ip
	}
	if m.isDown() {
		return nil, opError("dial", "tcp", errDown)
	}
	if err := m.network.awaitSyn(ctx, m.ip, ip); err != nil {
		return nil, opError("dial", "tcp", err)
	}
	if err := m.network.awaitSyn(ctx, ip, m.ip); err != nil {
		return nil, opError("dial", "tcp", err)
	}
	near, far, l, err := m.connect(ip, address)
	if err != nil {
		return nil, opError("dial", "tcp", err)
	}
	select {
	case l.queue <- far:
		return near, nil
	default:
		near.reset()
		return nil, opError("dial", "tcp", syscall.ECONNREFUSED)
	}
}

// connect creates both ends of a connection to a listener. The caller queues the far end at the listener.
func (m *Machine) connect(ip, address string) (near, far *conn, l *listener, err error) {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	if m.down {
		return nil, nil, nil, errDown
	}
	target := m.network.machines[ip]
	if target == nil || target.listeners[address] == nil {
		return nil, nil, nil, syscall.ECONNREFUSED
	}
	m.network.lastPorts[m.ip]++
	local := fmt.Sprintf("%s:%d", m.ip, firstLocalPort+m.network.lastPorts[m.ip])
	near, far = newConnPair(m, target, local, address)
	m.conns[near], target.conns[far] = true, true
	return near, far, target.listeners[address], nil
}

// awaitSyn waits until a handshake packet has arrived, which is retransmitted while a partition drops it.
func (n *Network) awaitSyn(ctx context.Context, from, to string) error {
	if from == to {
		return nil
	}
	if err := sleep(ctx, n.drawDelay()); err != nil {
		return err
	}
	for timeout := synTimeout; ; timeout *= 2 {
		if open, _ := n.passes(from, to); open {
			return nil
		}
		if err := sleep(ctx, timeout); err != nil {
			return err
		}
	}
}

// sleep waits for span, or until ctx ends, whose error it then returns.
func sleep(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
