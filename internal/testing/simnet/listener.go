package simnet

import (
	"net"
	"sync"
	"syscall"
)

// maxAcceptQueue is how many connections may wait to be accepted; further ones are refused.
const maxAcceptQueue = 128

type listener struct {
	machine *Machine
	address string
	queue   chan *conn
	closed  chan struct{}
	once    sync.Once
}

var _ net.Listener = (*listener)(nil)

// Listen implements host.Network.
func (m *Machine) Listen(address string) (net.Listener, error) {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	if m.down {
		return nil, opError("listen", "tcp", errDown)
	}
	if m.listeners[address] != nil {
		return nil, opError("listen", "tcp", syscall.EADDRINUSE)
	}
	l := &listener{machine: m, address: address, queue: make(chan *conn, maxAcceptQueue), closed: make(chan struct{})}
	m.listeners[address] = l
	return l, nil
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
func (l *listener) Addr() net.Addr { return parseAddr(l.address) }
