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
	Name    string       `toml:"name"`     // the fleet's; "" turns it off
	Listen  string       `toml:"listen"`   // TCP and UDP, where peers connect
	Peers   []peers.Peer `toml:"peers"`    // the proxies by name, and where this one reaches each
	KeyFile string       `toml:"key-file"` // the same at all proxies
	Keepers []string     `toml:"keepers"`  // three or five of the peers: the consensus members that found the fleet
	// AgreeWithin is the time after which no two proxies act on settings that conflict. It is the same at all proxies,
	// and fixed when the fleet is founded.
	AgreeWithin stricttoml.Duration `toml:"agree-within"`
	Dir         string              `toml:"dir"`   // a folder that outlives the process; "" is none, and no keeper then
	Trace       string              `toml:"trace"` // a file that gets a line for each attempt with its settings; "" is none
}

// DefaultConfig returns a configuration without a fleet.
func DefaultConfig() Config { return Config{AgreeWithin: stricttoml.Duration(5 * time.Second)} }

// On reports whether there is a fleet.
func (c *Config) On() bool { return c.Name != "" }

// Limits of the configuration.
const (
	minAgreeWithin    = time.Second
	maxAgreeWithin    = time.Minute
	maxPeers          = 512
	maxFleetNameBytes = 64
	maxPeerNameBytes  = 128
)

// Validate returns a *ConfigError that names the first invalid key.
func (c *Config) Validate() error {
	if !c.On() {
		if c.Listen != "" || len(c.Peers) > 0 || len(c.Keepers) > 0 {
			return invalid("name", "is missing: a name that all proxies of the fleet have in common is needed")
		}
		return nil
	}
	if len(c.Name) > maxFleetNameBytes {
		return invalid("name", "has %d characters, %d at most are allowed", len(c.Name), maxFleetNameBytes)
	}
	if !isAddress(c.Listen) {
		return invalid("listen", "is %q: an IP address and a port are needed, such as 127.0.0.1:7946", c.Listen)
	}
	if c.KeyFile == "" {
		return invalid("key-file", "is missing: a file with 16, 24 or 32 bytes that all proxies of the fleet have is needed")
	}
	if n := len(c.Keepers); n != 3 && n != 5 {
		return invalid("keepers", "has %d names: three or five of the peers are needed", n)
	}
	if within := c.AgreeWithin.D(); within < minAgreeWithin || within > maxAgreeWithin {
		return invalid("agree-within", "is %v: %v to %v is needed", within, minAgreeWithin, maxAgreeWithin)
	}
	if c.Dir != "" && !filepath.IsAbs(c.Dir) {
		return invalid("dir", "is %q: an absolute path is needed", c.Dir)
	}
	return c.validatePeers()
}

func (c *Config) validatePeers() error {
	if len(c.Peers) > maxPeers {
		return invalid("peers", "are %d: %d at most are allowed", len(c.Peers), maxPeers)
	}
	names := map[string]bool{}
	for i, peer := range c.Peers {
		if peer.Name == "" || len(peer.Name) > maxPeerNameBytes || names[peer.Name] {
			return invalid(fmt.Sprintf("peers[%d].name", i), "is %q: a unique name is needed", peer.Name)
		}
		names[peer.Name] = true
		if !isAddress(peer.Address) {
			return invalid(fmt.Sprintf("peers[%d].address", i), "is %q: an IP address and a port are needed", peer.Address)
		}
	}
	for i, name := range c.Keepers {
		if !names[name] || slices.Index(c.Keepers, name) != i {
			return invalid(fmt.Sprintf("keepers[%d]", i), "is %q: a name of fleet.peers that is no other keeper's is needed", name)
		}
	}
	return nil
}

func invalid(key, format string, args ...any) error {
	return &ConfigError{Key: "fleet." + key, Want: fmt.Sprintf(format, args...)}
}

// isAddress reports whether a text is an IP address with a port.
func isAddress(text string) bool {
	host, _, err := net.SplitHostPort(text)
	return err == nil && net.ParseIP(host) != nil
}
