// Package config reads what the platform tells a proxy ($NODE_CONFIG) and what an
// operator sets (deploy/marlreel.toml), strictly: what can't be used is one error that
// names the file, the key and what would be right. It opens nothing but these files.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/discovery/platformwatch"
	"marlreel/internal/simwire"
)

// Platform is what the platform tells a proxy at its start.
type Platform struct {
	Name, Listen, Discovery string
	Control                 string // where the platform asks for readiness and figures; "" is nowhere
	// ListenFD is the descriptor by which the platform hands the clients' listener on;
	// -1 is none, and Listen is to be listened at.
	ListenFD int
	// TempDir is common to this process and the one before it or after it, where the
	// platform hands a listener on.
	TempDir string

	Seed     uint64
	Sockets  int // file descriptors that the process may hold
	MemoryMB int
	Cores    float64
	Known    *platformwatch.List // the list as last held; nil is none
	Settings balancer.Config

	settings any // as they stand in the file

	Names   platformwatch.Names
	Report  []string // names of the values of a load report
	MaxOpen int      // open requests; 0 is no limit
	// AcceptLonger is how long after the signal to stop connections are taken.
	AcceptLonger time.Duration
}

// After the signal to stop, new connections go on coming for up to 0.4 s. One that is
// closed unaccepted is a lost request.
const acceptLonger = 500 * time.Millisecond

// EnvDiscovery is the environment's name for discovery's address.
const EnvDiscovery = "NODE_DISCOVERY"

// The environment's other names.
const (
	envControl  = "NODE_CONTROL"
	envListenFD = "NODE_SOCKET_FD"
	envTempDir  = "TMPDIR"
)

// LoadPlatform reads the configuration file. NODE_NAME, NODE_LISTEN,
// NODE_DISCOVERY and NODE_CONTROL, where getenv has them, go before what the file says.
func LoadPlatform(path string, getenv func(string) string) (*Platform, error) {
	if path == "" {
		return nil, &FileError{}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{path, err}
	}
	c, err := ParsePlatform(data, getenv)
	if err != nil {
		return nil, &PlatformError{path, err}
	}
	return c, nil
}

// ParsePlatform reads the configuration's text; getenv as with LoadPlatform.
func ParsePlatform(data []byte, getenv func(string) string) (*Platform, error) {
	var file struct {
		Name, Listen, Discovery, Control, Seed string

		Limits struct {
			Cores    float64 `json:"cores"`
			MemoryMB int     `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		}
		Known    *platformwatch.List
		Settings json.RawMessage
	}
	if err := json.Unmarshal(data, &file); err != nil {
		return nil, err
	}
	c := &Platform{
		Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Control: file.Control, ListenFD: -1,
		TempDir: getenv(envTempDir), Cores: file.Limits.Cores,
		MemoryMB: file.Limits.MemoryMB, Sockets: file.Limits.Sockets, Known: file.Known, AcceptLonger: acceptLonger,
	}
	for _, v := range []struct {
		env  string
		into *string
	}{{"NODE_NAME", &c.Name}, {"NODE_LISTEN", &c.Listen}, {EnvDiscovery, &c.Discovery}, {envControl, &c.Control}} {
		if s := getenv(v.env); s != "" {
			*v.into = s
		}
	}
	for what, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, &KeyError{what, err}
		}
	}
	if c.Control != "" {
		if _, _, err := net.SplitHostPort(c.Control); err != nil {
			return nil, &KeyError{"control ($" + envControl + ")", err}
		}
	}
	if fd := getenv(envListenFD); fd != "" {
		n, err := strconv.Atoi(fd)
		if err != nil || n <= 2 { // 0 to 2 are the standard streams
			return nil, &KeyError{"$" + envListenFD, fmt.Errorf("%q, must be the number of a descriptor above 2", fd)}
		}
		c.ListenFD = n
	}
	if l := file.Limits; l.Cores < 0 || l.MemoryMB < 0 || l.Sockets < 0 || l.Sockets > 0 && l.Sockets < LeastSockets {
		return nil, &KeyError{"limits", fmt.Errorf("%+v leave nothing to work with", l)}
	}
	var err error
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, &KeyError{"seed", err}
	}
	if err := c.readSettings(file.Settings); err != nil {
		return nil, err
	}
	if c.Known != nil {
		if _, err := c.Known.Check(c.Names); err != nil {
			return nil, &KeyError{"known", err}
		}
	}
	return c, nil
}

// readSettings reads the object of settings, and checks all of it.
func (c *Platform) readSettings(text []byte) error {
	if len(text) == 0 {
		return &KeyError{"settings", errors.New("none given")}
	}
	var err error
	if c.Settings, err = simwire.ParseSettings(text); err != nil {
		return err
	}
	if len(c.Settings.Classes) == 0 {
		return &KeyError{"settings: Services", errors.New("none given")}
	}
	for _, class := range c.Settings.Classes {
		if class.Stream { // answers are read whole here
			return &KeyError{"settings", fmt.Errorf("class %s is streamed, which is not supported", class.Name)}
		}
	}
	if err := c.Settings.Validate(); err != nil {
		return &KeyError{"settings", err}
	}
	if err := json.Unmarshal(text, &c.settings); err != nil {
		return &KeyError{"settings", err}
	}
	if c.Settings.Caps.MaxAttempts < 1 {
		return &KeyError{"settings", fmt.Errorf("Caps.MaxAttempts is %d, must be 1 or more", c.Settings.Caps.MaxAttempts)}
	}
	seen := map[string]bool{}
	for i, class := range c.Settings.Classes {
		if class.Name == "" || seen[class.Name] {
			return &KeyError{"settings", fmt.Errorf("Services[%d].Name is %q, must be a name of its own", i, class.Name)}
		}
		seen[class.Name] = true
	}
	var names struct { // what only a real proxy needs: on the wire all names are positions
		FailureDomains, Kinds []string
		Feedback              struct{ Names []string }
		Caps                  struct{ MaxOpen int }
	}
	if err := json.Unmarshal(text, &names); err != nil {
		return &KeyError{"settings", err}
	}
	c.Names = platformwatch.Names{Zones: positions(names.FailureDomains), Kinds: positions(names.Kinds)}
	c.Report, c.MaxOpen = names.Feedback.Names, names.Caps.MaxOpen
	return nil
}

func positions(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, n := range names {
		m[n] = i
	}
	return m
}

// The shares of the descriptors: of 256, backends have 64, the process itself 40, and
// clients the rest, 152. Good clients hold a third at most (85), so silent ones always find
// some places to push each other out of.
const (
	defaultSockets = 1024
	// LeastSockets is the fewest descriptors that a proxy can work with.
	LeastSockets = 64
)

func (c *Platform) sockets() int {
	if c.Sockets == 0 {
		return defaultSockets
	}
	return c.Sockets
}

// ownDescriptors is what a process needs beside clients and backends: the standard streams,
// listeners, the poller, two watches of the list, the door's callers.
const ownDescriptors = 40

// ClientConns is how many client connections are kept: half of the descriptors, or all that
// neither backends nor the process itself may need, where that is more.
func (c *Platform) ClientConns() int {
	return max(c.sockets()/2, c.sockets()-c.UpstreamConns()-ownDescriptors)
}

// DoorCalls is how many of the platform's calls are open at a time.
func (c *Platform) DoorCalls() int { return min(max(c.sockets()/16, 4), 16) }

// defaultMemoryMB is what a process may take where nothing is said.
const defaultMemoryMB = 64

// BodyBytes is how much of the memory bodies may take. What is left is for the program,
// the connections' own buffers, and garbage, which may come to as much as what lives.
func (c *Platform) BodyBytes() int {
	mb := c.MemoryMB
	if mb == 0 {
		mb = defaultMemoryMB
	}
	return mb << 20 / 4
}

// UpstreamConns bounds the connections to backends.
func (c *Platform) UpstreamConns() int { return c.sockets() / 4 }

// The platform ends a process no sooner than its longest deadline after the signal to stop, and
// 0.7 s more; a deadline beyond this counts as this (the protocol's page, Figures).
const longestStop = 3 * time.Second

// StopWithin is how long after AcceptLonger what is open may take at a stop. What the end of
// the process finds open is lost, so a class that waits longer has to be answered before.
func (c *Platform) StopWithin() time.Duration { return min(c.LongestGiveUp(), longestStop) }

// stopSlack is what the platform gives beyond the longest deadline, and stopSpare what is
// kept of it for the end of the process itself.
const (
	stopSlack = 700 * time.Millisecond
	stopSpare = 120 * time.Millisecond
)

// StopLater is how long after AcceptLonger and StopWithin the process may still be there.
func (c *Platform) StopLater() time.Duration { return max(0, stopSlack-stopSpare-c.AcceptLonger) }

// LongestGiveUp is the longest time that a client waits.
func (c *Platform) LongestGiveUp() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.ClientTimeout)
	}
	return longest
}
