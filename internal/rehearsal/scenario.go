package rehearsal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"marlreel/internal/standin"
	"marlreel/internal/stricttoml"
)

// Span is a duration as scenario files write it: "250ms", "8s".
type Span = stricttoml.Duration

// Scenario is the content of a scenario file.
type Scenario struct {
	Name      string        `toml:"name"`
	About     string        `toml:"about"` // a sentence or two for the operator
	Seed      uint64        `toml:"seed"`  // default; the command line may override it
	Length    Span          `toml:"length"`
	Fleet     Fleet         `toml:"fleet"`
	Proxies   Proxies       `toml:"proxies"`
	Discovery DiscoverySpec `toml:"discovery"`
	Registry  RegistrySpec  `toml:"registry"`
	Classes   []Class       `toml:"classes"`
	Houses    []House       `toml:"houses"`
	Traffic   Traffic       `toml:"traffic"`
	Clients   Clients       `toml:"clients"`
	Rules     Rules         `toml:"rules"`
	Faults    []Fault       `toml:"faults"`
}

// Fleet describes the auction nodes and the network between them and the proxies.
type Fleet struct {
	Zones       []string   `toml:"zones"`
	SameZone    Span       `toml:"same-zone"`  // one-way delay
	CrossZone   Span       `toml:"cross-zone"` // one-way delay
	Handshake   Span       `toml:"handshake"`  // work of a node for each new connection
	Connections int        `toml:"connections"`
	Idle        Span       `toml:"idle"`
	ProbeWork   Span       `toml:"probe-work"` // work of a node for each probe; 0: no probes
	Cold        Cold       `toml:"cold"`
	Crowd       Crowd      `toml:"crowd"`
	Nodes       []NodeKind `toml:"nodes"`
}

// Cold describes the warmup of nodes after a cold start, and the overload that makes a cold node fail.
// A node starts with the part From of its capacity and reaches all of it after For. It fails when it gets more than
// Multiple times what it can do, over a window of Over.
type Cold struct {
	From     float64 `toml:"from"`
	For      Span    `toml:"for"`
	Multiple float64 `toml:"fall-multiple"`
	Over     Span    `toml:"fall-over"`
}

// Crowd describes how a node becomes slow under congestion. Slower = 0 turns this off.
type Crowd struct {
	At     float64 `toml:"at"`
	Over   Span    `toml:"over"`
	Slower float64 `toml:"slower"`
	Rest   Span    `toml:"rest"`
	Below  float64 `toml:"below"`
	Most   Span    `toml:"most"`
}

// NodeKind describes a group of nodes of the same kind.
type NodeKind struct {
	Kind  string     `toml:"kind"`
	Count int        `toml:"count"`
	Cores int        `toml:"cores"`
	Speed [2]float64 `toml:"speed"` // range from which each node's speed is drawn
	Slots int        `toml:"slots"`
	Queue int        `toml:"queue"`
}

// Proxies describes the proxies and the resource limits of each.
type Proxies struct {
	Count     int     `toml:"count"`
	Cores     float64 `toml:"cores"`
	MemoryMB  int     `toml:"memory-mb"`
	Sockets   int     `toml:"sockets"`
	DeadAfter Span    `toml:"front-notices-after"` // how long the front keeps sending connections to a proxy that has failed
	// Own holds the operator's settings of the daemons, in the form of deploy/marlreel.toml.
	Own map[string]any `toml:"own"`
	// Fleet makes the proxies a fleet that agrees on its settings.
	Fleet Agreed `toml:"fleet"`
}

// DiscoverySpec describes the delays of the node list.
type DiscoverySpec struct {
	Late       [2]Span `toml:"late"`        // delay of updates; range, drawn for each proxy
	NoticeDead [2]Span `toml:"notice-dead"` // delay until the list shows that a node's process has ended
	NoticeGone [2]Span `toml:"notice-gone"` // the same for a node that is cut off
}

// Class describes a class of requests.
type Class struct {
	Name   string  `toml:"name"`
	Share  float64 `toml:"share"`
	Work   Span    `toml:"work"`   // mean CPU time on a core of speed 1
	Wait   Span    `toml:"wait"`   // mean time that a node waits on other services
	Spread float64 `toml:"spread"` // of work and wait; 0: constant, 1: exponential
	Aim    Span    `toml:"aim"`
	GiveUp Span    `toml:"give-up"`
	Worth  float64 `toml:"worth"`
	Effect string  `toml:"effect"` // safe, keyed, unsafe
	Window Span    `toml:"window"` // keyed: how long the nodes of a zone deduplicate repeated requests
	Size   int     `toml:"answer-bytes"`
	// For answers over 64 KiB, latency is measured to the first bytes. For requests with a body, it is
	// measured from the last byte of the body.
	Body     int  `toml:"body-bytes"` // 0: a small fixed body
	Gives    int  `toml:"gives"`      // bytes per second at which nodes send a large answer; 0: at once
	Reads    int  `toml:"reads"`      // bytes per second at which clients read it
	Writes   int  `toml:"writes"`     // bytes per second at which clients write a body
	Chunked  bool `toml:"chunked"`    // large answers and bodies use chunked encoding
	Appears  Span `toml:"appears"`    // when the class is added to the settings; 0: from the start
	Vanishes Span `toml:"vanishes"`   // when it is removed; 0: never
	// Protocol is http, the default, or rpc: MessagePack-RPC, as method "post.NAME".
	Protocol string `toml:"protocol"`
}

// RPC reports whether any class uses MessagePack-RPC.
func (s *Scenario) RPC() bool {
	return slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Protocol == "rpc" })
}

// inSettings reports whether the class is in the settings at the given time.
func (c *Class) inSettings(at time.Duration) bool {
	return at >= c.Appears.D() && (c.Vanishes == 0 || at < c.Vanishes.D())
}

// settingsDelay is how long clients wait after a change of the settings before they rely on it.
const settingsDelay = 1200 * time.Millisecond

// requested reports whether clients request the class at the given time: from settingsDelay after it was added
// until it is removed.
func (c *Class) requested(at time.Duration) bool {
	return c.inSettings(at) && (c.Appears == 0 || at >= c.Appears.D()+settingsDelay)
}

// large reports whether answers of this class are large: their latency is measured to the first bytes.
func (c *Class) large() bool { return c.Size > standin.LargeFrom }

// kitOwnsListeners reports whether this process opens the listeners for clients and passes them to the proxies, as the
// platform does in scenarios with upgrades.
func (s *Scenario) kitOwnsListeners() bool {
	return slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.What == "upgrade" })
}

// usesControl reports whether the proxies' control endpoints are used, to read readiness and counters.
func (s *Scenario) usesControl() bool {
	return s.kitOwnsListeners() || s.Proxies.Fleet.Keepers > 0 || slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.What == "retune" }) ||
		slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Appears > 0 || c.Vanishes > 0 })
}

// Agreed describes how the proxies agree on their settings: how many of them keep the replicated log, and within what
// time all follow. With no keepers the proxies don't know of each other.
type Agreed struct {
	Keepers int  `toml:"keepers"`
	Within  Span `toml:"within"`
}

// House describes a customer (tenant).
type House struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // its part of the quota, relative to the other houses
	Usage float64 `toml:"usage"` // its actual traffic relative to its share; 0 means 1
}

// Traffic describes the load.
type Traffic struct {
	Rate      float64   `toml:"rate"`  // requests per second, without retries
	Quota     float64   `toml:"quota"` // requests per second, divided among the houses by their shares
	OverWorth float64   `toml:"over-share-worth"`
	Zones     []float64 `toml:"zones"` // shares, in the order of the fleet's zones; empty: even
	Jumps     []Jump    `toml:"jumps"`
	// Arrivals is the arrival process: steady (the default), bursty, wave or trace.
	Arrivals string `toml:"arrivals"`
	Bursts   Bursts `toml:"bursts"`
	Wave     Wave   `toml:"wave"`
	Trace    string `toml:"trace"` // file of "seconds,class" lines, relative to the scenario's folder
	Users    Users  `toml:"users"` // closed loop, instead of arrivals

	trace []traceEntry
}

// Bursts describes short random periods of higher traffic. The mean rate is unchanged.
type Bursts struct {
	Times float64 `toml:"times"`
	For   Span    `toml:"for"`   // mean
	Every Span    `toml:"every"` // mean time from the end of a burst to the start of the next
}

// Wave describes traffic that rises and falls linearly. The mean rate is unchanged.
type Wave struct {
	Swing  float64 `toml:"swing"` // amplitude, relative to the rate
	Period Span    `toml:"period"`
}

// Users describes closed-loop clients: each has one request at a time, and pauses before the next.
type Users struct {
	Count int  `toml:"count"`
	Think Span `toml:"think"` // mean
}

// closed reports whether the load is a closed loop.
func (t *Traffic) closed() bool { return t.Users.Count > 0 }

// Jump describes a period in which the rate is multiplied by Times.
type Jump struct {
	At    Span    `toml:"at"`
	For   Span    `toml:"for"`
	Times float64 `toml:"times"`
}

// Clients describes the behaviour of clients.
type Clients struct {
	Retries     int     `toml:"retries"`
	TryShare    float64 `toml:"try-share"` // timeout of one try, as a part of the give-up time
	Backoff     Span    `toml:"backoff"`
	HonourAfter bool    `toml:"honour-retry-after"`
	MarkRetries bool    `toml:"mark-retries"`
	New         bool    `toml:"new-connections"` // each try opens its own connection
	SlowHeads   float64 `toml:"slow-heads"`      // share of the tries that write their request head slowly,
	SlowOver    Span    `toml:"slow-over"`       // over this time
}

// Rules holds the limits of the four rules, and what the settings allow.
type Rules struct {
	DrainGrace    Span `toml:"drain-grace"`
	AnswerSlack   Span `toml:"answer-slack"`
	MaxAttempts   int  `toml:"max-attempts"`
	SecondCopies  bool `toml:"second-copies"`
	RetryAfter    bool `toml:"retry-after"`
	MaxRetryAfter Span `toml:"max-retry-after"`
}

// Fault describes a failure, or an operator's action, at a given time.
type Fault struct {
	At          Span    `toml:"at"`
	What        string  `toml:"what"`
	For         Span    `toml:"for"`         // 0: until the end of the run
	Nodes       int     `toml:"nodes"`       // number of nodes, drawn at random
	Share       float64 `toml:"share"`       // or the share of the nodes
	Kind        string  `toml:"kind"`        // only nodes of this kind
	Zone        string  `toml:"zone"`        // only nodes in this zone
	Times       float64 `toml:"times"`       // slow, partial: factor by which service slows down
	Taken       float64 `toml:"taken"`       // neighbour: share of the machine that it takes
	Rate        float64 `toml:"rate"`        // errors, spoil: share of the answers
	How         string  `toml:"how"`         // spoil: noise, cut, huge, empty; partial: slow, silent, errors
	Class       string  `toml:"class"`       // partial: only this class; empty: all
	Above       int     `toml:"above-bytes"` // partial: only answers of at least this size
	Proxies     []int   `toml:"proxies"`     // indices from 0; empty: all
	Each        Span    `toml:"each"`        // delay between one proxy and the next
	Known       string  `toml:"known"`       // kill, term: node list after the restart: last or start
	By          Span    `toml:"by"`          // discovery-late: added delay; registry-restored: age of the backup
	Idle        Span    `toml:"idle"`        // stale, drops: how long a connection has been idle
	Warm        bool    `toml:"warm"`        // die, replace: the node returns warm
	Connections int     `toml:"connections"` // crowd: connections to each proxy
	Attempts    int     `toml:"attempts"`    // retune: the new limit of attempts
}

// faultKinds lists the kinds of fault with a description of each, for help and error messages.
var faultKinds = []struct{ What, Does string }{
	{"die", "nodes' processes end and come back cold after `for`"},
	{"vanish", "nodes are cut off from the network until `for` is over"},
	{"slow", "nodes run `times` slower"},
	{"neighbour", "another program takes `taken` of the nodes' machines"},
	{"drain", "nodes are listed as terminating, reject new work, and end after `for`"},
	{"replace", "nodes end; others start cold at their addresses under new ids"},
	{"errors", "nodes answer `rate` of their requests with 500"},
	{"spoil", "nodes corrupt `rate` of their answers, `how` = noise, cut, huge or empty"},
	{"partial", "nodes fail for `rate` of `class` (or of answers of `above-bytes` or more): `how` = slow (`times`), silent or errors"},
	{"stale", "connections idle for `idle` are reset at their next request, `rate` of them"},
	{"new-resets", "`rate` of the new connections are reset during their first request"},
	{"closes", "`rate` of the connections are closed right after an answer"},
	{"drops", "a middlebox silently drops connections idle for `idle`"},
	{"kill", "proxies get SIGKILL and start again after `for`, with the list `known` (last or start)"},
	{"term", "proxies get SIGTERM, shut down gracefully, and start again after `for`"},
	{"upgrade", "a new process of each proxy starts on the listener of the old one, which then gets SIGTERM"},
	{"crowd", "`connections` are opened to each proxy within `for`, and reopened when closed; none sends a complete request"},
	{"retune", "the proxies' settings files change and they get SIGHUP: a new limit `attempts`, or a broken file, `how` = empty, cut, short, deadline or attempts"},
	{"split", "these proxies are partitioned from the others of their fleet until `for` is over"},
	{"discovery-late", "updates of the node list reach the proxies `by` later"},
	{"discovery-silent", "watches of the node list send nothing"},
	{"discovery-down", "watches of the node list end and calls fail"},
	{"registry-lost", "the registry is cut off until `for` is over"},
	{"registry-emptied", "the registry's list is empty until `for` is over"},
	{"registry-restored", "the registry is restored from a backup, `by` old, with another history; repaired after `for`"},
	{"registry-compacted", "the registry compacts its history, and its watches end"},
}

// brokenHows lists the ways to break a settings file: empty, truncated, without a required key, or with
// a deadline or a number of attempts that is not above 0.
var brokenHows = []string{"empty", "cut", "short", "deadline", "attempts"}

// partialHows lists the ways in which a node fails for a class.
var partialHows = []string{"slow", "silent", "errors"}

func (s *Scenario) classNames() (names []string) {
	for _, c := range s.Classes {
		names = append(names, c.Name)
	}
	return names
}

// FaultKinds returns the help text with the kinds of fault, one per line.
func FaultKinds() string {
	var b strings.Builder
	for _, k := range faultKinds {
		fmt.Fprintf(&b, "  %-17s %s\n", k.What, k.Does)
	}
	return b.String()
}

// Load reads a scenario file. Every error is one line that names the file, the place
// in it and the values that are allowed.
func Load(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return Parse(path, data)
}

// Parse decodes the text of a scenario; path is used in errors, and to find a trace file.
func Parse(path string, data []byte) (*Scenario, error) {
	s := defaults()
	if err := stricttoml.Decode(path, data, s); err != nil {
		return nil, err
	}
	if s.Name == "" {
		s.Name = strings.TrimSuffix(filepath.Base(path), ".toml")
	}
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if s.Traffic.Arrivals == "trace" {
		if err := s.readTrace(filepath.Join(filepath.Dir(path), s.Traffic.Trace)); err != nil {
			return nil, fmt.Errorf("%s: traffic.trace: %w", path, err)
		}
	}
	return s, nil
}

// defaults returns the values for keys that a file leaves out: the figures of borza-main.
func defaults() *Scenario {
	return &Scenario{
		Seed: 1, Length: Span(30 * time.Second),
		Fleet: Fleet{
			Zones: []string{"koper", "ljubljana", "maribor"}, SameZone: Span(200 * time.Microsecond),
			CrossZone: Span(7 * time.Millisecond), Handshake: Span(12 * time.Millisecond), Connections: 90,
			Idle: Span(time.Minute), ProbeWork: Span(300 * time.Microsecond),
			Cold: Cold{From: 0.32, For: Span(8 * time.Second), Multiple: 2.5, Over: Span(3 * time.Second)},
		},
		Proxies: Proxies{Count: 3, Cores: 1, MemoryMB: 192, Sockets: 1024, DeadAfter: Span(2 * time.Second)},
		Discovery: DiscoverySpec{
			Late:       [2]Span{Span(300 * time.Millisecond), Span(900 * time.Millisecond)},
			NoticeDead: [2]Span{Span(2200 * time.Millisecond), Span(4 * time.Second)},
			NoticeGone: [2]Span{Span(4400 * time.Millisecond), Span(9 * time.Second)},
		},
		Traffic: Traffic{OverWorth: 0.1},
		Clients: Clients{TryShare: 0.85, Backoff: Span(80 * time.Millisecond)},
		Rules: Rules{
			DrainGrace: Span(500 * time.Millisecond), AnswerSlack: Span(20 * time.Millisecond), MaxAttempts: 4,
			SecondCopies: true, MaxRetryAfter: Span(2 * time.Second),
		},
	}
}

// Limits on the size of a scenario, so that one machine can run it.
const (
	maxNodes     = 200
	maxProxies   = 40
	maxLength    = time.Hour
	maxRequests  = 2_000_000
	maxFaults    = 1000
	maxBodyBytes = 32 << 20
	maxCrowd     = 5000
)

// Validate returns an error for the first invalid value.
func (s *Scenario) Validate() error {
	share := func(v float64) bool { return v > 0 && v <= 1 }
	switch f := &s.Fleet; {
	case s.Length <= 0 || s.Length.D() > maxLength:
		return fmt.Errorf("length = %v: more than 0 and up to %v is needed", s.Length.D(), maxLength)
	case len(f.Zones) == 0 || len(f.Zones) > 16:
		return errors.New("fleet.zones: 1 to 16 names are needed")
	case f.SameZone < 0 || f.CrossZone < 0 || f.SameZone.D() > time.Second || f.CrossZone.D() > time.Second:
		return errors.New("fleet.same-zone, fleet.cross-zone: spans from 0 to 1s are needed")
	case f.Handshake < 0 || f.ProbeWork < 0 || f.Idle < 0 || f.Connections < 0:
		return errors.New("fleet: handshake, probe-work, idle and connections can't be below 0")
	case len(f.Nodes) == 0:
		return errors.New("fleet.nodes: at least one [[fleet.nodes]] is needed")
	case !share(f.Cold.From) || f.Cold.For < 0 || f.Cold.Multiple < 1 || f.Cold.Over <= 0:
		return errors.New("fleet.cold: from in (0, 1], for of 0 or more, fall-multiple of 1 or more and fall-over above 0 are needed")
	case f.Crowd.Slower != 0 && (f.Crowd.Slower < 1 || f.Crowd.Over <= 0 || f.Crowd.Rest <= 0 || f.Crowd.Most <= 0 || !share(f.Crowd.Below)):
		return errors.New("fleet.crowd: slower of 1 or more, over, rest and most above 0 and below in (0, 1] are needed")
	case s.Proxies.Fleet.Keepers != 0 && (s.Proxies.Fleet.Keepers != 3 && s.Proxies.Fleet.Keepers != 5 || s.Proxies.Fleet.Keepers > s.Proxies.Count || s.Proxies.Fleet.Within.D() < time.Second):
		return errors.New("proxies.fleet: keepers = 3 or 5, of as many proxies or more, and within of 1s or more are needed")
	case s.Proxies.Count < 1 || s.Proxies.Count > maxProxies:
		return fmt.Errorf("proxies.count = %d: 1 to %d is needed", s.Proxies.Count, maxProxies)
	case s.Proxies.Cores <= 0 || s.Proxies.MemoryMB < 16 || s.Proxies.Sockets < 64 || s.Proxies.DeadAfter < 0:
		return errors.New("proxies: cores above 0, memory-mb of 16 or more and sockets of 64 or more are needed")
	case s.Discovery.Late[0] < 0 || s.Discovery.Late[1] < s.Discovery.Late[0] ||
		s.Discovery.NoticeDead[0] < 0 || s.Discovery.NoticeDead[1] < s.Discovery.NoticeDead[0] ||
		s.Discovery.NoticeGone[0] < 0 || s.Discovery.NoticeGone[1] < s.Discovery.NoticeGone[0]:
		return errors.New("discovery: each of late, notice-dead and notice-gone needs two spans, the smaller first")
	case len(s.Classes) == 0 || len(s.Classes) > 64:
		return errors.New("classes: 1 to 64 [[classes]] are needed")
	case len(s.Houses) == 0 || len(s.Houses) > 64:
		return errors.New("houses: 1 to 64 [[houses]] are needed")
	case s.Traffic.check() != nil:
		return s.Traffic.check()
	case s.Traffic.Arrivals != "trace" && !s.Traffic.closed() && !(s.Traffic.Rate >= 0.1) || s.Traffic.Quota < 0 || s.Traffic.OverWorth < 0:
		return errors.New("traffic.rate: 0.1 requests a second or more are needed, and no other figure below 0")
	case len(s.Traffic.Zones) != 0 && len(s.Traffic.Zones) != len(f.Zones):
		return fmt.Errorf("traffic.zones: %d shares for %d zones", len(s.Traffic.Zones), len(f.Zones))
	case s.Clients.Retries < 0 || s.Clients.Retries > 5 || !share(s.Clients.TryShare) || s.Clients.Backoff < 0:
		return errors.New("clients: retries from 0 to 5, try-share in (0, 1] and backoff of 0 or more are needed")
	case s.Clients.SlowHeads < 0 || s.Clients.SlowHeads > 1 || s.Clients.SlowOver < 0 || s.Clients.SlowHeads > 0 && s.Clients.SlowOver == 0:
		return errors.New("clients: slow-heads is a share up to 1, and needs slow-over, such as \"2s\"")
	case s.Rules.DrainGrace < 0 || s.Rules.AnswerSlack < 0 || s.Rules.MaxAttempts < 1 || s.Rules.MaxRetryAfter < 0:
		return errors.New("rules: spans of 0 or more and max-attempts of 1 or more are needed")
	case len(s.Faults) > maxFaults:
		return fmt.Errorf("faults: %d faults, at most %d are possible", len(s.Faults), maxFaults)
	}
	if r := s.Registry; !slices.Contains([]string{"", "etcd", "consul"}, r.Kind) || r.Patience < 0 || r.Settle < 0 {
		return fmt.Errorf("registry.kind = %q: etcd or consul is needed, and patience and settle of 0 or more", r.Kind)
	}
	nodes, kinds := 0, []string{}
	for i, k := range s.Fleet.Nodes {
		if k.Kind == "" || k.Count < 1 || k.Cores < 1 || k.Slots < 1 || k.Queue < 0 || !(k.Speed[0] > 0) || k.Speed[1] < k.Speed[0] {
			return fmt.Errorf("fleet.nodes %d: kind, count, cores and slots of 1 or more, and speed = [low, high] above 0 are needed", i+1)
		}
		nodes += k.Count
		kinds = append(kinds, k.Kind)
	}
	if nodes > maxNodes {
		return fmt.Errorf("fleet.nodes: %d nodes, at most %d are possible", nodes, maxNodes)
	}
	names := map[string]bool{}
	for i, c := range s.Classes {
		switch {
		case c.Name == "" || names[c.Name] || strings.ContainsAny(c.Name, "/ ?#%\"") || c.Name == "ready" || c.Name == "health" || c.Name == "status":
			return fmt.Errorf("classes %d: name %q is empty, a duplicate, reserved or not allowed in a path", i+1, c.Name)
		case !(c.Share > 0) || c.Work <= 0 || c.Wait < 0 || c.Spread < 0 || c.Spread > 1 || c.Aim <= 0 || c.GiveUp < c.Aim || !(c.Worth > 0):
			return fmt.Errorf("class %s: share, work, aim and worth above 0, spread from 0 to 1 and give-up of aim or more are needed", c.Name)
		case c.Size < 0 || c.Size > maxBodyBytes || c.Body < 0 || c.Body > maxBodyBytes:
			return fmt.Errorf("class %s: answer-bytes = %d, body-bytes = %d: up to %d is possible", c.Name, c.Size, c.Body, maxBodyBytes)
		case c.Protocol == "rpc" && (c.Size > standin.LargeFrom || c.Body > 0):
			return fmt.Errorf("class %s: by rpc answer-bytes of up to %d are possible, and no body-bytes", c.Name, standin.LargeFrom)
		case c.Body > 0 && c.Effect == "safe":
			return fmt.Errorf("class %s: body-bytes = %d: a safe class has no body", c.Name, c.Body)
		case c.Gives < 0 || c.Reads < 0 || c.Writes < 0:
			return fmt.Errorf("class %s: gives, reads and writes are bytes a second, 0 for at once", c.Name)
		case c.Appears < 0 || c.Vanishes < 0 || c.Vanishes > 0 && c.Vanishes <= c.Appears:
			return fmt.Errorf("class %s: appears = %v, vanishes = %v: the second has to be later, or left out", c.Name, c.Appears.D(), c.Vanishes.D())
		case !slices.Contains([]string{"safe", "keyed", "unsafe"}, c.Effect):
			return fmt.Errorf("class %s: effect = %q: safe, keyed or unsafe is needed", c.Name, c.Effect)
		case !slices.Contains([]string{"", "http", "rpc"}, c.Protocol):
			return fmt.Errorf("class %s: protocol = %q: http or rpc is needed", c.Name, c.Protocol)
		case c.Effect == "keyed" && c.Window <= 0:
			return fmt.Errorf("class %s: a keyed class needs a window, such as \"10s\"", c.Name)
		}
		names[c.Name] = true
	}
	if !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Appears == 0 && c.Vanishes == 0 }) {
		return errors.New("classes: at least one without appears and vanishes is needed")
	}
	for i, h := range s.Houses {
		if h.Name == "" || !(h.Share > 0) || h.Usage < 0 || strings.ContainsAny(h.Name, "\r\n") {
			return fmt.Errorf("houses %d: name and a share above 0 are needed", i+1)
		}
	}
	most := s.Traffic.Rate * max(1, s.Traffic.Bursts.Times, 1+s.Traffic.Wave.Swing)
	if s.Traffic.closed() {
		most = float64(s.Traffic.Users.Count) / max(s.Traffic.Users.Think.D().Seconds(), 1e-3)
	}
	base := most
	for i, j := range s.Traffic.Jumps {
		if j.At < 0 || j.For <= 0 || !(j.Times >= 0.01 && j.Times <= 1000) {
			return fmt.Errorf("traffic.jumps %d: at, for above 0 and times from 0.01 to 1000 are needed", i+1)
		}
		most = max(most, base*j.Times)
	}
	if n := most * s.Length.D().Seconds(); n > maxRequests {
		return fmt.Errorf("traffic: up to %.0f requests, at most %d are possible", n, maxRequests)
	}
	for i, f := range s.Faults {
		if err := s.checkFault(f, kinds); err != nil {
			return fmt.Errorf("faults %d (%s at %v): %w", i+1, f.What, f.At.D(), err)
		}
	}
	return nil
}

func (s *Scenario) checkFault(f Fault, kinds []string) error {
	known := slices.ContainsFunc(faultKinds, func(k struct{ What, Does string }) bool { return k.What == f.What })
	ofProxies := strings.HasPrefix(f.What, "discovery-") || strings.HasPrefix(f.What, "registry-") || slices.Contains([]string{"kill", "term", "upgrade", "crowd", "retune", "split"}, f.What)
	switch {
	case !known:
		var names []string
		for _, k := range faultKinds {
			names = append(names, k.What)
		}
		return fmt.Errorf("what = %q%s: one of %s is needed", f.What, stricttoml.SuggestClosest(f.What, names), strings.Join(names, ", "))
	case f.At < 0 || f.At > s.Length || f.For < 0 || f.Each < 0:
		return fmt.Errorf("at has to lie within the length of %v; for and each can't be below 0", s.Length.D())
	case !ofProxies && (f.Nodes < 0 || f.Share < 0 || f.Share > 1 || (f.Nodes > 0) == (f.Share > 0)):
		return errors.New("either nodes = a number or share = a part up to 1 is needed")
	case f.Kind != "" && !slices.Contains(kinds, f.Kind):
		return fmt.Errorf("kind = %q%s: no such kind in the fleet", f.Kind, stricttoml.SuggestClosest(f.Kind, kinds))
	case f.Zone != "" && !slices.Contains(s.Fleet.Zones, f.Zone):
		return fmt.Errorf("zone = %q%s: no such zone in the fleet", f.Zone, stricttoml.SuggestClosest(f.Zone, s.Fleet.Zones))
	case f.What == "slow" && f.Times <= 1:
		return errors.New("times above 1 is needed")
	case f.What == "neighbour" && (f.Taken <= 0 || f.Taken >= 1):
		return errors.New("taken between 0 and 1 is needed")
	case (f.What == "stale" || f.What == "drops") && f.Idle <= 0:
		return errors.New("idle above 0 is needed")
	case slices.Contains([]string{"errors", "spoil", "partial", "stale", "new-resets", "closes"}, f.What) && (f.Rate <= 0 || f.Rate > 1):
		return errors.New("rate above 0 and up to 1 is needed")
	case f.What == "spoil" && spoils[f.How] == 0:
		return fmt.Errorf("how = %q: noise, cut, huge or empty is needed", f.How)
	case f.What == "partial" && !slices.Contains(partialHows, f.How):
		return fmt.Errorf("how = %q%s: %s is needed", f.How, stricttoml.SuggestClosest(f.How, partialHows), strings.Join(partialHows, ", "))
	case f.What == "partial" && f.How == "slow" && f.Times <= 1:
		return errors.New("times above 1 is needed")
	case f.What == "partial" && f.Class == "" && f.Above == 0:
		return errors.New("class or above-bytes is needed; for all requests of a node use what = \"slow\" or \"errors\"")
	case f.What == "partial" && f.Class != "" && !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == f.Class }):
		return fmt.Errorf("class = %q%s: no such class", f.Class, stricttoml.SuggestClosest(f.Class, s.classNames()))
	case f.What == "partial" && (f.Above < 0 || f.Above > 64<<10):
		return fmt.Errorf("above-bytes = %d: 0 to %d is possible", f.Above, 64<<10)
	case (f.Class != "" || f.Above != 0) && f.What != "partial":
		return errors.New("class and above-bytes belong to what = \"partial\"")
	case (f.What == "kill" || f.What == "term") && !slices.Contains([]string{"", "last", "start"}, f.Known):
		return fmt.Errorf("known = %q: last or start is needed", f.Known)
	case f.What == "crowd" && (f.Connections < 1 || f.Connections > maxCrowd || f.For <= 0):
		return fmt.Errorf("connections from 1 to %d and for above 0 are needed", maxCrowd)
	case f.What == "retune" && (f.How == "") == (f.Attempts == 0):
		return errors.New("either how or attempts is needed")
	case f.What == "retune" && f.How != "" && !slices.Contains(brokenHows, f.How):
		return fmt.Errorf("how = %q%s: %s is needed", f.How, stricttoml.SuggestClosest(f.How, brokenHows), strings.Join(brokenHows, ", "))
	case f.What == "retune" && (f.Attempts < 0 || f.Attempts > s.Rules.MaxAttempts):
		return fmt.Errorf("attempts = %d: 1 to rules.max-attempts (%d) is possible", f.Attempts, s.Rules.MaxAttempts)
	case f.Connections != 0 && f.What != "crowd" || f.Attempts != 0 && f.What != "retune":
		return errors.New("connections belongs to what = \"crowd\", attempts to \"retune\"")
	case f.What == "split" && (s.Proxies.Fleet.Keepers == 0 || len(f.Proxies) == 0 || len(f.Proxies) >= s.Proxies.Count):
		return errors.New("proxies.fleet and proxies, some and not all of them, are needed")
	case strings.HasPrefix(f.What, "registry-") && s.Registry.Kind == "":
		return errors.New("registry.kind is missing: etcd or consul is needed")
	case strings.HasPrefix(f.What, "registry-") && (f.Nodes != 0 || f.Share != 0 || len(f.Proxies) > 0):
		return errors.New("registry faults have no nodes, share or proxies")
	case f.What == "registry-restored" && f.By <= 0:
		return errors.New("by above 0, the age of the backup, is needed")
	case f.What == "discovery-late" && f.By <= 0:
		return errors.New("by above 0 is needed")
	}
	for _, p := range f.Proxies {
		if p < 0 || p >= s.Proxies.Count {
			return fmt.Errorf("proxies: no proxy with number %d (0 to %d)", p, s.Proxies.Count-1)
		}
	}
	return nil
}
