package msgpackrpc

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/stricttoml"
)

// Config is the [rpc] part of deploy/marlreel.toml. DefaultConfig has what is not said.
type Config struct {
	// Listen is where callers connect; "" is nowhere: RPC is off.
	Listen string `toml:"listen"`
	// MaxConnections is how many callers' connections are kept. More costs descriptors;
	// with fewer, the longest silent one makes room sooner.
	MaxConnections int `toml:"connections"`
	// MaxOpenCalls bounds the calls open on one connection. One more is refused.
	MaxOpenCalls int `toml:"open-calls"`
	// MaxMessageBytes bounds a message, in both directions. A longer one ends its connection.
	MaxMessageBytes int `toml:"message-bytes"`
	// MaxDepth bounds arrays and maps within one another.
	MaxDepth int `toml:"nesting"`
	// MaxQueuedBytes bounds the answers that wait for a caller who does not read. One who
	// lets more wait is dropped.
	MaxQueuedBytes int `toml:"answer-queue-bytes"`
	// IdleTimeout is how long a connection may stand with no call open.
	IdleTimeout stricttoml.Duration `toml:"idle"`
	// DefaultTenant is the tenant of calls whose metadata name none; "" refuses them, where the
	// settings have tenants.
	DefaultTenant string `toml:"house"`
	// AnnounceDrain sends the notification "$drain" on each connection when this
	// process is told to end. Off, as a plain client need not expect notifications.
	AnnounceDrain bool     `toml:"announce-drain"`
	Methods       []Method `toml:"method"`
	Backend       Backend  `toml:"backend"`
}

// Method says which class a method's calls are of.
type Method struct {
	Name                string `toml:"name"`
	IsPrefix            bool   `toml:"prefix"` // the name is the beginning of methods' names
	Class               string `toml:"class"`
	AcceptNotifications bool   `toml:"notify"` // notifications of it are taken, and sent at most once
}

// Backend says how backends are reached.
type Backend struct {
	// Port is where every backend speaks RPC, or 0: then PortOffset is added to the
	// port at which the list has it.
	Port       int `toml:"port"`
	PortOffset int `toml:"port-offset"`
	// MaxConnections is how many are opened to one backend at most, All to all together.
	MaxConnections      int `toml:"connections"`
	MaxTotalConnections int `toml:"connections-in-all"`
	// MaxPipeline is how many calls may be open on one connection at most. It is fewer on
	// one whose calls run out of time, and rises again with its answers.
	MaxPipeline int `toml:"pipeline"`
	// CancelMethod is the notification that tells a backend of a call that nobody waits for
	// any more, with its msgid; "" sends none.
	CancelMethod string `toml:"cancel"`
}

// DefaultConfig is off, and has a bound for everything.
func DefaultConfig() Config {
	return Config{
		MaxConnections: 64, MaxOpenCalls: 1024, MaxMessageBytes: 64 << 10, MaxDepth: 64, MaxQueuedBytes: 1 << 20,
		IdleTimeout: stricttoml.Duration(time.Minute), Backend: Backend{MaxConnections: 4, MaxTotalConnections: 64, MaxPipeline: 32},
	}
}

// Validate names the first key that makes no sense.
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

// CheckSettings names what does not fit the platform's settings.
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
		if !contains(classes, m.Class) {
			return fmt.Errorf("rpc.method %q: class = %q%s: the settings have %s", m.Name, m.Class,
				stricttoml.SuggestClosest(m.Class, classes), strings.Join(classes, ", "))
		}
	}
	if c.DefaultTenant != "" && !contains(houses, c.DefaultTenant) {
		return fmt.Errorf("rpc.house = %q%s: the settings have %s", c.DefaultTenant, stricttoml.SuggestClosest(c.DefaultTenant, houses), strings.Join(houses, ", "))
	}
	return nil
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// rpcAddr is where a backend of the list speaks RPC.
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
