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

// Config is the [rpc] part of deploy/marlreel.toml. DefaultConfig has the values of what is not given.
type Config struct {
	// Listen is the address at which clients connect; "": RPC is off.
	Listen string `toml:"listen"`
	// MaxConnections bounds clients' connections. More cost descriptors; with fewer, idle ones are closed for new
	// ones sooner.
	MaxConnections int `toml:"connections"`
	// MaxOpenCalls bounds the calls pending on one connection. One more is rejected.
	MaxOpenCalls int `toml:"open-calls"`
	// MaxMessageBytes bounds a message, in both directions, in bytes. A longer one ends its connection.
	MaxMessageBytes int `toml:"message-bytes"`
	// MaxDepth bounds arrays and maps within one another.
	MaxDepth int `toml:"nesting"`
	// MaxQueuedBytes bounds the answers that wait for a client that does not read, in bytes. One that lets more wait
	// is disconnected.
	MaxQueuedBytes int `toml:"answer-queue-bytes"`
	// IdleTimeout is how long a connection may stay open with no call pending.
	IdleTimeout stricttoml.Duration `toml:"idle"`
	// DefaultTenant is the tenant of calls whose metadata name none; "": they are rejected where the settings have
	// tenants.
	DefaultTenant string `toml:"house"`
	// AnnounceDrain sends the notification "$drain" on each connection when this process begins to shut down. It is
	// off by default, as a plain client need not expect notifications.
	AnnounceDrain bool     `toml:"announce-drain"`
	Methods       []Method `toml:"method"`
	Backend       Backend  `toml:"backend"`
}

// Method says which class a method's calls are of.
type Method struct {
	Name                string `toml:"name"`
	IsPrefix            bool   `toml:"prefix"` // Name is the beginning of methods' names
	Class               string `toml:"class"`
	AcceptNotifications bool   `toml:"notify"` // notifications of it are forwarded, at most once
}

// Backend says how backends are reached.
type Backend struct {
	// Port is where every backend speaks RPC. With 0, PortOffset is added to the port that the membership gives.
	Port       int `toml:"port"`
	PortOffset int `toml:"port-offset"`
	// MaxConnections bounds the connections to one backend, MaxTotalConnections those to all together.
	MaxConnections      int `toml:"connections"`
	MaxTotalConnections int `toml:"connections-in-all"`
	// MaxPipeline bounds the calls pending on one connection. On one whose calls run out of time there are fewer;
	// with its answers there are more again.
	MaxPipeline int `toml:"pipeline"`
	// CancelMethod is the method of the notification that tells a backend the msgid of a call that nobody waits for
	// any more; "": none is sent.
	CancelMethod string `toml:"cancel"`
}

// DefaultConfig has RPC off, and a bound for everything.
func DefaultConfig() Config {
	return Config{
		MaxConnections: 64, MaxOpenCalls: 1024, MaxMessageBytes: 64 << 10, MaxDepth: 64, MaxQueuedBytes: 1 << 20,
		IdleTimeout: stricttoml.Duration(time.Minute), Backend: Backend{MaxConnections: 4, MaxTotalConnections: 64, MaxPipeline: 32},
	}
}

// Validate checks the values by themselves. Its error names the first key that can't be used, and what can.
func (c *Config) Validate() error {
	if c.Listen == "" {
		return nil
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return fmt.Errorf("rpc.listen = %q: an address and a port are needed, such as \"127.0.0.1:7801\"", c.Listen)
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
			return fmt.Errorf("rpc.%s = %d: %d to %d is possible", n.key, n.v, n.low, n.top)
		}
	}
	if c.IdleTimeout <= 0 {
		return fmt.Errorf("rpc.idle = %v: more than 0 is needed", c.IdleTimeout.D())
	}
	if len(c.Methods) == 0 {
		return errors.New("rpc.method: no method has a class, so no call could be taken: give [[rpc.method]] name and class")
	}
	for i, m := range c.Methods {
		if m.Name == "" && !m.IsPrefix || m.Class == "" {
			return fmt.Errorf("rpc.method %d: name and class are needed", i+1)
		}
	}
	return nil
}

// CheckSettings checks classes and tenants against the platform's settings. Its error names the first that these
// don't have, and the closest that they do.
func (c *Config) CheckSettings(s *balancer.Config) error {
	if c.Listen == "" {
		return nil
	}
	var classes, houses []string
	for _, k := range s.Classes {
		classes = append(classes, k.Name)
	}
	for _, t := range s.Tenants {
		houses = append(houses, t.Name)
	}
	for _, m := range c.Methods {
		if !slices.Contains(classes, m.Class) {
			return fmt.Errorf("rpc.method %q: class = %q%s: the settings have %s", m.Name, m.Class,
				stricttoml.SuggestClosest(m.Class, classes), strings.Join(classes, ", "))
		}
	}
	if c.DefaultTenant != "" && !slices.Contains(houses, c.DefaultTenant) {
		return fmt.Errorf("rpc.house = %q%s: the settings have %s", c.DefaultTenant, stricttoml.SuggestClosest(c.DefaultTenant, houses), strings.Join(houses, ", "))
	}
	return nil
}

// rpcAddr is the address at which a backend speaks RPC, from its address in the membership.
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
		return "", fmt.Errorf("port %d", n)
	}
	return net.JoinHostPort(host, strconv.Itoa(n)), nil
}
