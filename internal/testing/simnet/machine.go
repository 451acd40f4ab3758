package simnet

import (
	"net"
	"net/netip"
	"strings"
	"syscall"
)

// Machine is one address of a network. It implements host.Network. Any goroutine may use it.
type Machine struct {
	network *Network
	ip      string
	// The rest is guarded by the network's lock.
	listeners map[string]*listener     // by address
	sockets   map[string]*packetSocket // by address
	conns     map[*conn]bool
	// down: the machine's processes were killed, and what still runs of them reaches nobody.
	down bool
}

// Kill ends all that a machine has open, as the end of its processes does: peers see resets. Until Revive it opens and
// sends nothing more: a process that is killed has no last word.
func (m *Machine) Kill() {
	m.network.mu.Lock()
	m.down = true
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
	m.down = false
}

// isDown tells whether a machine's processes have been killed, and no others started.
func (m *Machine) isDown() bool {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	return m.down
}

// isLoopback tells whether an address is reached from the machine itself alone.
func isLoopback(address string) bool { return strings.HasPrefix(address, "127.") }

func parseAddr(address string) net.Addr {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return &net.TCPAddr{}
	}
	return net.TCPAddrFromAddrPort(addrPort)
}

// opError is the error that the system's network gives in the same place.
func opError(operation, network string, err error) error {
	return &net.OpError{Op: operation, Net: network, Err: err}
}

// errDown is what a machine that is down fails with.
const errDown = syscall.ENETDOWN
