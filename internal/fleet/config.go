package fleet

import (
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"time"

	"marlreel/internal/fleet/peers"
	"marlreel/internal/stricttoml"
)

// Config is [fleet] of deploy/marlreel.toml.
type Config struct {
	Name    string       `toml:"name"`     // the fleet's; "" is off
	Listen  string       `toml:"listen"`   // TCP and UDP, where peers come
	Peers   []peers.Peer `toml:"peers"`    // the proxies by name, and where this one reaches each
	KeyFile string       `toml:"key-file"` // the same at all
	Keepers []string     `toml:"keepers"`  // three or five of the peers, which found the fleet
	// AgreeWithin is beyond what no two proxies act on rules that contradict each other. It is the same at all
	// proxies, and fixed when the fleet is founded.
	AgreeWithin stricttoml.Duration `toml:"agree-within"`
	Dir         string              `toml:"dir"`   // a folder that outlives the process; "" is none: no keeper then
	Trace       string              `toml:"trace"` // a file in which each act is written down with its rules; "" is none
}

// DefaultConfig is a fleet that is off.
func DefaultConfig() Config { return Config{AgreeWithin: stricttoml.Duration(5 * time.Second)} }

// On tells whether there is a fleet.
func (c *Config) On() bool { return c.Name != "" }

// Bounds of the settings.
const (
	leastWithin = time.Second
	mostWithin  = time.Minute
	mostPeers   = 512
)

// Validate names the first key that makes no fleet.
func (c *Config) Validate() error {
	bad := func(key, format string, args ...any) error {
		return &ConfigError{Key: "fleet." + key, Want: fmt.Sprintf(format, args...)}
	}
	if !c.On() {
		if c.Listen != "" || len(c.Peers) > 0 || len(c.Keepers) > 0 {
			return bad("name", "is missing: a name that all proxies of the fleet have in common is needed")
		}
		return nil
	}
	if len(c.Name) > 64 {
		return bad("name", "has %d characters, 64 at most are allowed", len(c.Name))
	}
	if host, _, err := net.SplitHostPort(c.Listen); err != nil || net.ParseIP(host) == nil {
		return bad("listen", "is %q: an IP address and a port are needed, such as 127.0.0.1:7946", c.Listen)
	}
	if c.KeyFile == "" {
		return bad("key-file", "is missing: a file with 16, 24 or 32 bytes that all proxies of the fleet have is needed")
	}
	if n := len(c.Keepers); n != 3 && n != 5 {
		return bad("keepers", "has %d names: three or five of the peers are needed", n)
	}
	if w := c.AgreeWithin.D(); w < leastWithin || w > mostWithin {
		return bad("agree-within", "is %v: %v to %v is needed", w, leastWithin, mostWithin)
	}
	if c.Dir != "" && !filepath.IsAbs(c.Dir) {
		return bad("dir", "is %q: a path from / on is needed", c.Dir)
	}
	if len(c.Peers) > mostPeers {
		return bad("peers", "are %d: %d at most are allowed", len(c.Peers), mostPeers)
	}
	seen := map[string]bool{}
	for i, p := range c.Peers {
		if p.Name == "" || len(p.Name) > 128 || seen[p.Name] {
			return bad(fmt.Sprintf("peers[%d].name", i), "is %q: a name of its own is needed", p.Name)
		}
		seen[p.Name] = true
		if host, _, err := net.SplitHostPort(p.Address); err != nil || net.ParseIP(host) == nil {
			return bad(fmt.Sprintf("peers[%d].address", i), "is %q: an IP address and a port are needed", p.Address)
		}
	}
	for i, k := range c.Keepers {
		if !seen[k] || slices.Index(c.Keepers, k) != i {
			return bad(fmt.Sprintf("keepers[%d]", i), "is %q: a name of fleet.peers that stands there once is needed", k)
		}
	}
	return nil
}

// ConfigError is a key of [fleet] that can't be used.
type ConfigError struct{ Key, Want string }

func (e *ConfigError) Error() string { return e.Key + " " + e.Want }

// Advice says what an operator can do.
func (e *ConfigError) Advice() string {
	return "mend the key in the file of --config; 'marlreel --check' tells whether it is good"
}
