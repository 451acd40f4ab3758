// Package host is what a role of the system runs on: its settings, the network, the disk
// and the log. Tests put a simulated network and disk in place of the machine's.
package host

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sys/unix"

	"marlreel/internal/controlplane/store"
	"marlreel/internal/process/bootstrap"
)

// Network is what a role needs of a network.
type Network interface {
	// Listen opens an address for connections.
	Listen(address string) (net.Listener, error)
	// ListenPacket opens an address for datagrams, which may be lost.
	ListenPacket(address string) (net.PacketConn, error)
	// Dial makes a connection, within ctx.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// OpenStore opens the durable store of a control process.
type OpenStore func() (*store.Store, error)

// Host is what a role runs on.
type Host struct {
	Settings *bootstrap.Settings
	Network  Network
	Open     OpenStore
	// Forget removes a store that can't be trusted any more.
	Forget func() error
	Log    logr.Logger
	// Life ends when a simulated machine ends its processes at once; nil: a real one does that
	// itself.
	Life context.Context
}

// Alive ends with the process's life: nothing is waited for beyond it.
func (h *Host) Alive() context.Context {
	if h.Life == nil {
		return context.Background()
	}
	return h.Life
}

// Machine is the host of a real machine.
func Machine(settings *bootstrap.Settings, log logr.Logger) *Host {
	return &Host{
		Settings: settings, Network: TCP{}, Log: log,
		Open:   func() (*store.Store, error) { return store.Open(settings.DataDir) },
		Forget: func() error { return store.Remove(settings.DataDir) },
	}
}

const (
	// dialTimeout bounds the making of a connection.
	dialTimeout = time.Second
	// unacknowledged is after what time a connection ends whose bytes are not
	// acknowledged: a machine without power says nothing.
	unacknowledged = 3 * time.Second
)

// TCP is the network of a real machine.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp4", address) }

// ListenPacket implements Network.
func (TCP) ListenPacket(address string) (net.PacketConn, error) {
	return net.ListenPacket("udp4", address)
}

// Dial implements Network.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	return dialer.DialContext(ctx, "tcp4", address)
}

// setUserTimeout ends connections to machines that no longer answer.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Where it can't be set, deadlines alone bound the calls.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
}
