package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"marlreel"
	"marlreel/internal/wire"
)

// Config is what the platform tells a proxy at its start.
type Config struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Sockets                 int // file descriptors that the process may hold
	MemoryMB                int
	Cores                   float64
	Known                   *endpointList // the list as last held; nil is none
	Settings                marlreel.Config

	zones, kinds map[string]int // positions, by name
	report       []string       // names of the values of a load report
	maxOpen      int            // open requests; 0 is no limit
	acceptLonger time.Duration  // how long after the signal to stop connections are taken
}

const envDiscovery = "NODE_DISCOVERY"

// LoadConfig reads the configuration file. NODE_NAME, NODE_LISTEN and
// NODE_DISCOVERY, where getenv has them, go before what the file says.
func LoadConfig(path string, getenv func(string) string) (*Config, error) {
	if path == "" {
		return nil, errors.New("NODE_CONFIG is not set")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, err := parseConfig(data, getenv)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

func parseConfig(data []byte, getenv func(string) string) (*Config, error) {
	var file struct {
		Name, Listen, Discovery, Seed string

		Limits struct {
			Cores    float64 `json:"cores"`
			MemoryMB int     `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		}
		Known    *endpointList
		Settings json.RawMessage
	}
	if err := json.Unmarshal(data, &file); err != nil {
		return nil, err
	}
	c := &Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Cores: file.Limits.Cores,
		MemoryMB: file.Limits.MemoryMB, Sockets: file.Limits.Sockets, Known: file.Known, acceptLonger: acceptLonger}
	for _, v := range []struct {
		env  string
		into *string
	}{{"NODE_NAME", &c.Name}, {"NODE_LISTEN", &c.Listen}, {envDiscovery, &c.Discovery}} {
		if s := getenv(v.env); s != "" {
			*v.into = s
		}
	}
	for what, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("%s: %w", what, err)
		}
	}
	if l := file.Limits; l.Cores < 0 || l.MemoryMB < 0 || l.Sockets < 0 || l.Sockets > 0 && l.Sockets < leastSockets {
		return nil, fmt.Errorf("limits: %+v leave nothing to work with", l)
	}
	var err error
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if len(file.Settings) == 0 {
		return nil, errors.New("settings: none given")
	}
	if c.Settings, err = wire.ParseSettings(file.Settings); err != nil {
		return nil, err
	}
	if len(c.Settings.Classes) == 0 {
		return nil, errors.New("settings: Services: none given")
	}
	for _, class := range c.Settings.Classes {
		if class.Stream { // answers are read whole here
			return nil, fmt.Errorf("settings: class %s is streamed, which is not supported", class.Name)
		}
	}
	var names struct { // what only a real proxy needs: on the wire all names are positions
		FailureDomains, Kinds []string
		Feedback              struct{ Names []string }
		Caps                  struct{ MaxOpen int }
	}
	if err := json.Unmarshal(file.Settings, &names); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c.zones, c.kinds = positions(names.FailureDomains), positions(names.Kinds)
	c.report, c.maxOpen = names.Feedback.Names, names.Caps.MaxOpen
	if c.Known != nil {
		if _, err := c.Known.check(c); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}

func positions(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, n := range names {
		m[n] = i
	}
	return m
}

// The shares of the descriptors: of 256, clients have 128 and backends 64. Good
// clients hold a third at most (85), so silent ones always find some 40 places to
// push each other out of. The rest serves discovery (two watches during a change),
// the listener, the runtime and the standard streams.
const (
	defaultSockets = 1024
	leastSockets   = 64
)

func (c *Config) sockets() int {
	if c.Sockets == 0 {
		return defaultSockets
	}
	return c.Sockets
}

// clientConns is how many client connections are kept; upstreamConns bounds those to backends.
func (c *Config) clientConns() int   { return c.sockets() / 2 }
func (c *Config) upstreamConns() int { return c.sockets() / 4 }

// longestGiveUp is the longest time that a client waits.
func (c *Config) longestGiveUp() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.GiveUp)
	}
	return longest
}

// parseSpan reads a number with the unit m (milliseconds) or u (microseconds).
func parseSpan(s string) (time.Duration, error) {
	unit := time.Duration(0)
	if s != "" {
		switch s[len(s)-1] {
		case 'm':
			unit = time.Millisecond
		case 'u':
			unit = time.Microsecond
		}
	}
	if unit == 0 {
		return 0, fmt.Errorf("%q has no unit m or u", s)
	}
	n, err := strconv.ParseFloat(s[:len(s)-1], 64)
	if err != nil || !(n > 0 && n*float64(unit) <= float64(longestSpan)) {
		return 0, fmt.Errorf("%q is no span above 0 and up to %v", s, longestSpan)
	}
	return time.Duration(n * float64(unit)), nil
}

const longestSpan = time.Hour
