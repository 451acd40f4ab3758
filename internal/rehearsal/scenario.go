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

// Span is a length of time as scenario files write it: "250ms", "8s".
type Span = stricttoml.Duration

// Scenario is a day to rehearse, as its file says.
type Scenario struct {
	Name      string        `toml:"name"`
	About     string        `toml:"about"` // a sentence or two for the operator
	Seed      uint64        `toml:"seed"`  // unless the command line gives one
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

// Fleet is the auction nodes and the network between them and the proxies.
type Fleet struct {
	Zones       []string   `toml:"zones"`
	SameZone    Span       `toml:"same-zone"`  // one way
	CrossZone   Span       `toml:"cross-zone"` // one way
	Handshake   Span       `toml:"handshake"`  // work that a new connection costs a node
	Connections int        `toml:"connections"`
	Idle        Span       `toml:"idle"`
	ProbeWork   Span       `toml:"probe-work"` // 0: no probes
	Cold        Cold       `toml:"cold"`
	Crowd       Crowd      `toml:"crowd"`
	Nodes       []NodeKind `toml:"nodes"`
}

// Cold is how nodes start, and what makes a cold one fall over.
type Cold struct {
	From     float64 `toml:"from"`
	For      Span    `toml:"for"`
	Multiple float64 `toml:"fall-multiple"`
	Over     Span    `toml:"fall-over"`
}

// Crowd is how a crowded node turns slow. Slower = 0: none does.
type Crowd struct {
	At     float64 `toml:"at"`
	Over   Span    `toml:"over"`
	Slower float64 `toml:"slower"`
	Rest   Span    `toml:"rest"`
	Below  float64 `toml:"below"`
	Most   Span    `toml:"most"`
}

// NodeKind is a number of nodes of one kind.
type NodeKind struct {
	Kind  string     `toml:"kind"`
	Count int        `toml:"count"`
	Cores int        `toml:"cores"`
	Speed [2]float64 `toml:"speed"` // drawn between the two
	Slots int        `toml:"slots"`
	Queue int        `toml:"queue"`
}

// Proxies is the tier of proxies and the limits of each.
type Proxies struct {
	Count     int     `toml:"count"`
	Cores     float64 `toml:"cores"`
	MemoryMB  int     `toml:"memory-mb"`
	Sockets   int     `toml:"sockets"`
	DeadAfter Span    `toml:"front-notices-after"` // how long the front goes on sending to a dead one
	// Own is what the daemons are set beyond what the platform says, as deploy/marlreel.toml has it.
	Own map[string]any `toml:"own"`
	// Fleet lets the proxies agree on their settings.
	Fleet Agreed `toml:"fleet"`
}

// DiscoverySpec is how late the list is.
type DiscoverySpec struct {
	Late       [2]Span `toml:"late"`        // drawn for each proxy
	NoticeDead [2]Span `toml:"notice-dead"` // until the list knows that a process has ended
	NoticeGone [2]Span `toml:"notice-gone"` // the same for one that has vanished
}

// Class is a kind of request.
type Class struct {
	Name   string  `toml:"name"`
	Share  float64 `toml:"share"`
	Work   Span    `toml:"work"`   // mean, of a yardstick core
	Wait   Span    `toml:"wait"`   // mean, on others
	Spread float64 `toml:"spread"` // 0: all alike; 1: exponential
	Aim    Span    `toml:"aim"`
	GiveUp Span    `toml:"give-up"`
	Worth  float64 `toml:"worth"`
	Effect string  `toml:"effect"` // safe, keyed, unsafe
	Window Span    `toml:"window"` // keyed: how long the nodes of a zone drop repeats
	Size   int     `toml:"answer-bytes"`
	// Large answers and bodies: beyond 64 KiB an answer's time is that of its first bytes, and a
	// body's time begins with its last one.
	Body     int  `toml:"body-bytes"` // 0: a few
	Gives    int  `toml:"gives"`      // bytes a second at which nodes give a large answer; 0: at once
	Reads    int  `toml:"reads"`      // and at which clients read it
	Writes   int  `toml:"writes"`     // and at which clients write a body
	Chunked  bool `toml:"chunked"`    // large answers and bodies come in chunks
	Appears  Span `toml:"appears"`    // in the settings from then on; 0: from the start
	Vanishes Span `toml:"vanishes"`   // and until then; 0: to the end
	// Protocol is http or rpc: MessagePack-RPC, as method "post.NAME".
	Protocol string `toml:"protocol"`
}

// RPC tells whether any class comes by MessagePack-RPC.
func (s *Scenario) RPC() bool {
	return slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Protocol == "rpc" })
}

// there tells whether a class is in the settings at a time.
func (c *Class) there(at time.Duration) bool {
	return at >= c.Appears.D() && (c.Vanishes == 0 || at < c.Vanishes.D())
}

// usableAfter is how long after a change of the settings clients count on it.
const usableAfter = 1200 * time.Millisecond

// asked tells whether clients ask for a class at a time: a little after it has appeared, until
// it vanishes.
func (c *Class) asked(at time.Duration) bool {
	return c.there(at) && (c.Appears == 0 || at >= c.Appears.D()+usableAfter)
}

// large tells whether an answer's time is that of its first bytes.
func (c *Class) large() bool { return c.Size > standin.LargeFrom }

// held tells whether the kit holds the clients' listeners, as the platform does on days with
// upgrades.
func (s *Scenario) held() bool {
	return slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.What == "upgrade" })
}

// door tells whether the proxies are asked by their doors for readiness and figures.
func (s *Scenario) door() bool {
	return s.held() || s.Proxies.Fleet.Keepers > 0 || slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.What == "retune" }) ||
		slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Appears > 0 || c.Vanishes > 0 })
}

// Agreed is a fleet of proxies that agree: how many keep the log, and within what time. No keepers: they know nothing
// of one another.
type Agreed struct {
	Keepers int  `toml:"keepers"`
	Within  Span `toml:"within"`
}

// House is a customer.
type House struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // of what it may ask for
	Usage float64 `toml:"usage"` // of its share, what it asks for; 0 is 1
}

// Traffic is what is asked for.
type Traffic struct {
	Rate      float64   `toml:"rate"`  // first tries a second
	Quota     float64   `toml:"quota"` // requests a second that the houses' shares divide
	OverWorth float64   `toml:"over-share-worth"`
	Zones     []float64 `toml:"zones"` // shares, in the order of the fleet's zones; none: even
	Jumps     []Jump    `toml:"jumps"`
	// Arrivals is how they come: steady (the default), bursty, wave, trace.
	Arrivals string `toml:"arrivals"`
	Bursts   Bursts `toml:"bursts"`
	Wave     Wave   `toml:"wave"`
	Trace    string `toml:"trace"` // a file of "seconds,class" lines, from the scenario's folder
	Users    Users  `toml:"users"` // in place of arrivals: a closed loop

	trace []traced
}

// Bursts are short times of more traffic, at random. The mean stays the rate.
type Bursts struct {
	Times float64 `toml:"times"`
	For   Span    `toml:"for"`   // mean
	Every Span    `toml:"every"` // mean time between one's end and the next
}

// Wave lets traffic rise and fall evenly. The mean stays the rate.
type Wave struct {
	Swing  float64 `toml:"swing"` // by this part of it, up and down
	Period Span    `toml:"period"`
}

// Users ask one request at a time, and think between its end and the next.
type Users struct {
	Count int  `toml:"count"`
	Think Span `toml:"think"` // mean
}

// closed tells whether the load is a closed loop.
func (t *Traffic) closed() bool { return t.Users.Count > 0 }

// Jump is a time of more traffic, or less.
type Jump struct {
	At    Span    `toml:"at"`
	For   Span    `toml:"for"`
	Times float64 `toml:"times"`
}

// Clients is how clients behave.
type Clients struct {
	Retries     int     `toml:"retries"`
	TryShare    float64 `toml:"try-share"` // of the give-up time that one try is waited for
	Backoff     Span    `toml:"backoff"`
	HonourAfter bool    `toml:"honour-retry-after"`
	MarkRetries bool    `toml:"mark-retries"`
	New         bool    `toml:"new-connections"` // each try has one of its own
	SlowHeads   float64 `toml:"slow-heads"`      // share of the tries that write their head over
	SlowOver    Span    `toml:"slow-over"`       // so long
}

// Rules are the figures of the four rules, and what the settings allow.
type Rules struct {
	DrainGrace    Span `toml:"drain-grace"`
	AnswerSlack   Span `toml:"answer-slack"`
	MaxAttempts   int  `toml:"max-attempts"`
	SecondCopies  bool `toml:"second-copies"`
	RetryAfter    bool `toml:"retry-after"`
	MaxRetryAfter Span `toml:"max-retry-after"`
}

// Fault is something that goes wrong, or is done, at a time.
type Fault struct {
	At          Span    `toml:"at"`
	What        string  `toml:"what"`
	For         Span    `toml:"for"`         // 0: until the end
	Nodes       int     `toml:"nodes"`       // how many, drawn
	Share       float64 `toml:"share"`       // or which share of them
	Kind        string  `toml:"kind"`        // only of this kind
	Zone        string  `toml:"zone"`        // only in this zone
	Times       float64 `toml:"times"`       // slow: how many times slower
	Taken       float64 `toml:"taken"`       // neighbour: the share that it takes
	Rate        float64 `toml:"rate"`        // errors, spoil: share of the answers
	How         string  `toml:"how"`         // spoil: noise, cut, huge, empty; partial: slow, silent, errors
	Class       string  `toml:"class"`       // partial: only this class; none: every one
	Above       int     `toml:"above-bytes"` // partial: only answers of so many bytes or more
	Proxies     []int   `toml:"proxies"`     // numbers from 0; none: all
	Each        Span    `toml:"each"`        // between one proxy and the next
	Known       string  `toml:"known"`       // kill, term: the list it starts with: last, start
	By          Span    `toml:"by"`          // discovery-late: how late
	Idle        Span    `toml:"idle"`        // stale, drops: how long a connection has stood
	Warm        bool    `toml:"warm"`        // die, replace: comes back warm
	Connections int     `toml:"connections"` // crowd: how many to each proxy
	Attempts    int     `toml:"attempts"`    // retune: as many at most from then on
}

// The kinds of fault, with what each does, for help and for errors.
var faultKinds = []struct{ What, Does string }{
	{"die", "nodes' processes end and come back cold after `for`"},
	{"vanish", "nodes are cut off: silence, until `for` is over"},
	{"slow", "nodes run `times` slower"},
	{"neighbour", "another program takes `taken` of the nodes' machines"},
	{"drain", "nodes are listed as terminating, turn new work away, and end after `for`"},
	{"replace", "nodes end; others start cold at their addresses under new ids"},
	{"errors", "nodes answer `rate` of their requests with 500"},
	{"spoil", "nodes spoil `rate` of their answers, `how` = noise, cut, huge or empty"},
	{"partial", "nodes serve `class` badly (or what has `above-bytes` or more), `rate` of it: `how` = slow (`times`), silent or errors"},
	{"stale", "connections idle for `idle` are reset at their next request, `rate` of them"},
	{"new-resets", "`rate` of the new connections are reset in their first request"},
	{"closes", "`rate` of the connections are closed right behind an answer"},
	{"drops", "something between drops connections idle for `idle` without a word"},
	{"kill", "proxies get SIGKILL and start again after `for`, with the list `known` (last or start)"},
	{"term", "proxies get SIGTERM, finish, and start again after `for`"},
	{"upgrade", "a new process of each proxy starts beside the old one on one listener, which then gets SIGTERM"},
	{"crowd", "`connections` are opened to each proxy within `for`, and opened anew where they end; none asks anything whole"},
	{"retune", "the proxies' files change and they get SIGHUP: `attempts`, or broken files by `how` = empty, cut, short, deadline or attempts"},
	{"split", "no word passes between these proxies and the others of their fleet, until `for` is over"},
	{"discovery-late", "the list comes `by` later to the proxies"},
	{"discovery-silent", "the list's watches say nothing"},
	{"discovery-down", "the list's watches end and calls fail"},
	{"registry-lost", "the registry is cut off until `for` is over"},
	{"registry-emptied", "the registry's list is empty until `for` is over"},
	{"registry-restored", "the registry is restored from a backup, `by` old, with another history; put right after `for`"},
	{"registry-compacted", "the registry forgets all changes so far, and its watches end"},
}

// brokenHows are the ways in which a settings file is broken: empty, cut off, short of a key, with
// a deadline or attempts that are not above 0.
var brokenHows = []string{"empty", "cut", "short", "deadline", "attempts"}

// partialHows are the ways in which a node serves a class badly.
var partialHows = []string{"slow", "silent", "errors"}

func (s *Scenario) classNames() (names []string) {
	for _, c := range s.Classes {
		names = append(names, c.Name)
	}
	return names
}

// FaultKinds lists the kinds of fault with what each does.
func FaultKinds() string {
	var b strings.Builder
	for _, k := range faultKinds {
		fmt.Fprintf(&b, "  %-17s %s\n", k.What, k.Does)
	}
	return b.String()
}

// Load reads a scenario file. Every error is one line that names the file, the place
// in it and what would be right.
func Load(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return Parse(path, data)
}

// Parse reads a scenario's text; path is for its errors.
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

// defaults are the figures of borza-main, for what a file doesn't say.
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

// Bounds of what a scenario may ask of one machine.
const (
	mostNodes    = 200
	mostProxies  = 40
	mostLength   = time.Hour
	mostRequests = 2_000_000
	mostFaults   = 1000
	mostBytes    = 32 << 20
	mostCrowd    = 5000
)

// Validate names the first thing that makes no scenario.
func (s *Scenario) Validate() error {
	share := func(v float64) bool { return v > 0 && v <= 1 }
	switch f := &s.Fleet; {
	case s.Length <= 0 || s.Length.D() > mostLength:
		return fmt.Errorf("length = %v: more than 0 and up to %v is needed", s.Length.D(), mostLength)
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
	case s.Proxies.Count < 1 || s.Proxies.Count > mostProxies:
		return fmt.Errorf("proxies.count = %d: 1 to %d is needed", s.Proxies.Count, mostProxies)
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
	case len(s.Faults) > mostFaults:
		return fmt.Errorf("faults: %d, and %d is the most", len(s.Faults), mostFaults)
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
	if nodes > mostNodes {
		return fmt.Errorf("fleet.nodes: %d nodes, and %d is the most", nodes, mostNodes)
	}
	names := map[string]bool{}
	for i, c := range s.Classes {
		switch {
		case c.Name == "" || names[c.Name] || strings.ContainsAny(c.Name, "/ ?#%\"") || c.Name == "ready" || c.Name == "health" || c.Name == "status":
			return fmt.Errorf("classes %d: name %q is empty, taken twice, reserved or no path's part", i+1, c.Name)
		case !(c.Share > 0) || c.Work <= 0 || c.Wait < 0 || c.Spread < 0 || c.Spread > 1 || c.Aim <= 0 || c.GiveUp < c.Aim || !(c.Worth > 0):
			return fmt.Errorf("class %s: share, work, aim and worth above 0, spread from 0 to 1 and give-up of aim or more are needed", c.Name)
		case c.Size < 0 || c.Size > mostBytes || c.Body < 0 || c.Body > mostBytes:
			return fmt.Errorf("class %s: answer-bytes = %d, body-bytes = %d: up to %d is possible", c.Name, c.Size, c.Body, mostBytes)
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
		return errors.New("classes: at least one has to be there all day")
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
	if n := most * s.Length.D().Seconds(); n > mostRequests {
		return fmt.Errorf("traffic: up to %.0f requests, and %d is the most", n, mostRequests)
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
		return fmt.Errorf("kind = %q%s: the fleet has none", f.Kind, stricttoml.SuggestClosest(f.Kind, kinds))
	case f.Zone != "" && !slices.Contains(s.Fleet.Zones, f.Zone):
		return fmt.Errorf("zone = %q%s: the fleet has none", f.Zone, stricttoml.SuggestClosest(f.Zone, s.Fleet.Zones))
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
		return errors.New("class or above-bytes is needed: a node that serves all of it badly is slow, or answers with errors")
	case f.What == "partial" && f.Class != "" && !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == f.Class }):
		return fmt.Errorf("class = %q%s: there is none", f.Class, stricttoml.SuggestClosest(f.Class, s.classNames()))
	case f.What == "partial" && (f.Above < 0 || f.Above > 64<<10):
		return fmt.Errorf("above-bytes = %d: 0 to %d is possible", f.Above, 64<<10)
	case (f.Class != "" || f.Above != 0) && f.What != "partial":
		return errors.New("class and above-bytes belong to what = \"partial\"")
	case (f.What == "kill" || f.What == "term") && !slices.Contains([]string{"", "last", "start"}, f.Known):
		return fmt.Errorf("known = %q: last or start is needed", f.Known)
	case f.What == "crowd" && (f.Connections < 1 || f.Connections > mostCrowd || f.For <= 0):
		return fmt.Errorf("connections from 1 to %d and for above 0 are needed", mostCrowd)
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
		return errors.New("there is one registry: no nodes, share or proxies")
	case f.What == "registry-restored" && f.By <= 0:
		return errors.New("by above 0 is needed: how old the backup is")
	case f.What == "discovery-late" && f.By <= 0:
		return errors.New("by above 0 is needed")
	}
	for _, p := range f.Proxies {
		if p < 0 || p >= s.Proxies.Count {
			return fmt.Errorf("proxies: there is none with number %d (0 to %d)", p, s.Proxies.Count-1)
		}
	}
	return nil
}
