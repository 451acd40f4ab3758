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

// StoreOpener opens the durable store of a control process.
type StoreOpener func() (*store.Store, error)

// Host is what a role runs on.
type Host struct {
	Settings  *bootstrap.Settings
	Network   Network
	OpenStore StoreOpener
	// RemoveStore removes a store that can't be trusted any more.
	RemoveStore func() error
	Log         logr.Logger
	// CrashContext ends when a simulated machine ends its processes at once; nil: a real one does that
	// itself.
	CrashContext context.Context
}

// UntilCrash ends with the process's life: nothing is waited for beyond it.
func (h *Host) UntilCrash() context.Context {
	if h.CrashContext == nil {
		return context.Background()
	}
	return h.CrashContext
}

// New is the host of a real machine.
func New(settings *bootstrap.Settings, log logr.Logger) *Host {
	return &Host{
		Settings: settings, Network: OSNetwork{}, Log: log,
		OpenStore:   func() (*store.Store, error) { return store.Open(settings.DataDir) },
		RemoveStore: func() error { return store.Remove(settings.DataDir) },
	}
}

const (
	// dialTimeout bounds the making of a connection.
	dialTimeout = time.Second
	// unacknowledged is after what time a connection ends whose bytes are not
	// acknowledged: a machine without power says nothing.
	unacknowledged = 3 * time.Second
)

// OSNetwork is the network of a real machine.
type OSNetwork struct{}

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

// setUserTimeout ends connections to machines that no longer answer.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Where it can't be set, deadlines alone bound the calls.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
}
