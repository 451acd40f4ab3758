package simnet

import (
	"net"
	"net/netip"
	"strings"
	"syscall"
)

// Machine is a host with one IP on a network. It implements host.Network and is safe for concurrent use.
type Machine struct {
	network *Network
	ip      string
	// The fields below are guarded by network.mu.
	listeners map[string]*listener     // by address
	sockets   map[string]*packetSocket // by address
	conns     map[*conn]bool
	// down: the machine's processes were killed; their remaining goroutines can no longer use the network.
	down bool
}

// Kill closes all listeners, sockets and connections of a machine, as the kernel does for killed processes: peers see
// resets. Until Revive the machine can't open or send anything, as a killed process can't run its shutdown code.
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

// Revive lets the machine use the network again, for the processes that are started next.
func (m *Machine) Revive() {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	m.down = false
}

// isDown reports whether the machine was killed and not revived since.
func (m *Machine) isDown() bool {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	return m.down
}

// isLoopback reports whether an address can be reached from its own machine only.
func isLoopback(address string) bool { return strings.HasPrefix(address, "127.") }

func parseAddr(address string) net.Addr {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return &net.TCPAddr{}
	}
	return net.TCPAddrFromAddrPort(addrPort)
}

// opError wraps an error as package net does for the same failed operation.
func opError(operation, network string, err error) error {
	return &net.OpError{Op: operation, Net: network, Err: err}
}

// errDown is the error of all operations on a machine that is down.
const errDown = syscall.ENETDOWN
