package msgpackrpc

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/stricttoml"
)

// Config is the [rpc] part of deploy/marlreel.toml. DefaultConfig has the default values.
type Config struct {
	// Listen is the address at which clients connect; "": RPC is off.
	Listen string `toml:"listen"`
	// MaxConnections bounds clients' connections. A higher limit takes more file descriptors; with a lower one, idle
	// connections are closed sooner to make room for new ones.
	MaxConnections int `toml:"connections"`
	// MaxOpenCalls bounds the calls pending on one connection. Further calls are rejected.
	MaxOpenCalls int `toml:"open-calls"`
	// MaxMessageBytes bounds a message, in both directions, in bytes. A longer message ends its connection.
	MaxMessageBytes int `toml:"message-bytes"`
	// MaxDepth bounds the nesting of arrays and maps.
	MaxDepth int `toml:"nesting"`
	// MaxQueuedBytes bounds the answers queued for one client, in bytes. A client that reads too slowly to stay below
	// it is disconnected.
	MaxQueuedBytes int `toml:"answer-queue-bytes"`
	// IdleTimeout is how long a connection may stay open with no call pending.
	IdleTimeout stricttoml.Duration `toml:"idle"`
	// DefaultTenant is the tenant of calls whose metadata name none; "": such calls are rejected if the settings have
	// tenants.
	DefaultTenant string `toml:"house"`
	// AnnounceDrain sends the notification "$drain" on each connection when this process begins to shut down. It is
	// off by default, as a standard client need not expect notifications.
	AnnounceDrain bool     `toml:"announce-drain"`
	Methods       []Method `toml:"method"`
	Backend       Backend  `toml:"backend"`
}

// Method gives the calls of a method their class.
type Method struct {
	Name                string `toml:"name"`
	IsPrefix            bool   `toml:"prefix"` // Name is a prefix of methods' names
	Class               string `toml:"class"`
	AcceptNotifications bool   `toml:"notify"` // notifications are forwarded, at most once
}

// Backend configures the connections to backends.
type Backend struct {
	// Port is the RPC port of every backend. With 0, it is PortOffset plus the port that the membership gives.
	Port       int `toml:"port"`
	PortOffset int `toml:"port-offset"`
	// MaxConnections bounds the connections to one backend, MaxTotalConnections those to all together.
	MaxConnections      int `toml:"connections"`
	MaxTotalConnections int `toml:"connections-in-all"`
	// MaxPipeline bounds the calls pending on one connection. The limit of a connection falls when its calls are
	// abandoned, as after a timeout, and rises again with its replies.
	MaxPipeline int `toml:"pipeline"`
	// CancelMethod is the method of the notification that tells a backend the msgid of an abandoned call; "": none is
	// sent.
	CancelMethod string `toml:"cancel"`
}

// DefaultConfig returns a configuration with RPC off and a default for every limit.
func DefaultConfig() Config {
	return Config{
		MaxConnections: 64, MaxOpenCalls: 1024, MaxMessageBytes: 64 << 10, MaxDepth: 64, MaxQueuedBytes: 1 << 20,
		IdleTimeout: stricttoml.Duration(time.Minute), Backend: Backend{MaxConnections: 4, MaxTotalConnections: 64, MaxPipeline: 32},
	}
}

// Validate checks the values by themselves. Its error names the first invalid key and the values that are valid.
func (c *Config) Validate() error {
	if c.Listen == "" {
		return nil
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return fmt.Errorf("rpc.listen = %q: must be an address and a port, such as \"127.0.0.1:7801\"", c.Listen)
	}
	for _, n := range []struct {
		key         string
		v, low, top int
	}{
		{"connections", c.MaxConnections, 1, 65536},
		{"open-calls", c.MaxOpenCalls, 1, 1 << 20},
		{"message-bytes", c.MaxMessageBytes, 64, 16 << 20},
		{"nesting", c.MaxDepth, 1, 10000},
		{"answer-queue-bytes", c.MaxQueuedBytes, 1024, 1 << 30},
		{"backend.connections", c.Backend.MaxConnections, 1, 1024},
		{"backend.connections-in-all", c.Backend.MaxTotalConnections, 1, 65536},
		{"backend.pipeline", c.Backend.MaxPipeline, 1, 65536},
		{"backend.port", c.Backend.Port, 0, 65535},
		{"backend.port-offset", c.Backend.PortOffset, -65535, 65535},
	} {
		if n.v < n.low || n.v > n.top {
			return fmt.Errorf("rpc.%s = %d: must be from %d to %d", n.key, n.v, n.low, n.top)
		}
	}
	if c.IdleTimeout <= 0 {
		return fmt.Errorf("rpc.idle = %v: must be more than 0", c.IdleTimeout.D())
	}
	if len(c.Methods) == 0 {
		return errors.New("rpc.method: no method is configured, so every call would be rejected: add [[rpc.method]] with name and class")
	}
	for i, m := range c.Methods {
		if m.Name == "" && !m.IsPrefix || m.Class == "" {
			return fmt.Errorf("rpc.method %d: name and class are required", i+1)
		}
	}
	return nil
}

// CheckSettings checks classes and tenants against the platform's settings. Its error names the first unknown one and
// the closest known one.
func (c *Config) CheckSettings(s *balancer.Config) error {
	if c.Listen == "" {
		return nil
	}
	var classes, tenants []string
	for _, k := range s.Classes {
		classes = append(classes, k.Name)
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, t.Name)
	}
	for _, m := range c.Methods {
		if !slices.Contains(classes, m.Class) {
			return fmt.Errorf("rpc.method %q: class = %q%s: the settings have %s", m.Name, m.Class,
				stricttoml.SuggestClosest(m.Class, classes), strings.Join(classes, ", "))
		}
	}
	if c.DefaultTenant != "" && !slices.Contains(tenants, c.DefaultTenant) {
		return fmt.Errorf("rpc.house = %q%s: the settings have %s", c.DefaultTenant, stricttoml.SuggestClosest(c.DefaultTenant, tenants), strings.Join(tenants, ", "))
	}
	return nil
}

// rpcAddr derives a backend's RPC address from its address in the membership.
func (b *Backend) rpcAddr(listed string) (string, error) {
	host, port, err := net.SplitHostPort(listed)
	if err != nil {
		return "", err
	}
	n := b.Port
	if n == 0 {
		p, err := strconv.Atoi(port)
		if err != nil {
			return "", err
		}
		n = p + b.PortOffset
	}
	if n < 1 || n > 65535 {
		return "", fmt.Errorf("RPC port %d is out of range", n)
	}
	return net.JoinHostPort(host, strconv.Itoa(n)), nil
}
