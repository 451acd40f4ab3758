package host

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Network is what a role needs of a network. Addresses are HOST:PORT.
type Network interface {
	// Listen opens an address for connections.
	Listen(address string) (net.Listener, error)
	// ListenPacket opens an address for datagrams, which may be lost.
	ListenPacket(address string) (net.PacketConn, error)
	// Dial makes a connection; it gives up when ctx ends.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

const (
	// dialTimeout bounds the making of a connection.
	dialTimeout = time.Second
	// userTimeout is after what time a connection ends whose bytes are not acknowledged (TCP_USER_TIMEOUT, RFC 5482):
	// a machine that has lost its power sends no reset.
	userTimeout = 3 * time.Second
)

// OSNetwork is the operating system's network, IPv4 alone.
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

// setUserTimeout is a net.Dialer's Control.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Where it can't be set, deadlines alone bound the calls.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
