package host

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Network is the network interface that a role uses. Addresses are HOST:PORT.
type Network interface {
	// Listen listens for connections at an address.
	Listen(address string) (net.Listener, error)
	// ListenPacket listens for datagrams at an address; datagrams may be lost.
	ListenPacket(address string) (net.PacketConn, error)
	// Dial connects to an address; it gives up when ctx ends.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

const (
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = time.Second
	// userTimeout is the time after which a connection with unacknowledged bytes is closed (TCP_USER_TIMEOUT, RFC
	// 5482), as a machine that has lost power sends no reset.
	userTimeout = 3 * time.Second
)

// OSNetwork is the operating system's network; it uses only IPv4.
type OSNetwork struct{}

var _ Network = OSNetwork{}

// Listen implements Network.
func (OSNetwork) Listen(address string) (net.Listener, error) { return net.Listen("tcp4", address) }

// ListenPacket implements Network.
func (OSNetwork) ListenPacket(address string) (net.PacketConn, error) {
	return net.ListenPacket("udp4", address)
}

// Dial implements Network.
func (OSNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	return dialer.DialContext(ctx, "tcp4", address)
}

// setUserTimeout sets userTimeout on a new socket; it is the Control function of a net.Dialer.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// If it can't be set, only deadlines bound the calls.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
