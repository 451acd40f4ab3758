package rehearsal

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/bits"
	"sort"
	"strings"
	"time"

	"marlreel/internal/standin"
)

var spoils = map[string]standin.Spoil{
	"noise": standin.SpoilNoise, "cut": standin.SpoilCut,
	"huge": standin.SpoilHuge, "empty": standin.SpoilEmpty,
}

// Plan is the schedule of a run: its nodes, requests and events. It is drawn from a scenario and a seed
// only, and depends neither on what happens during the run nor on the machine.
type Plan struct {
	Scenario string
	Seed     uint64
	Length   time.Duration
	Nodes    []PlannedNode
	Late     []time.Duration // delay of the node list, for each proxy
	Seeds    []string        // the daemon's seed, for each proxy
	Requests []PlannedRequest
	Events   []Event // ordered by time
}

// PlannedNode is a node of a plan. Replacements for other nodes come after the initial nodes.
type PlannedNode struct {
	ID, Zone, Kind string
	Cores          int
	Permille       int // speed in thousandths
	Slots, Queue   int
	Replaces       int // index of the node whose addresses it takes over, or -1
}

// PlannedRequest is a client's request with the ids of all its tries.
type PlannedRequest struct {
	At           time.Duration
	Class, House int
	Zone         int
	About        string
	Key          string
	IDs          []string
	Work, Wait   time.Duration
	Over         bool // exceeds its house's share
	// Closed loop only: the number of the user, from 1, and the user's pause before the request.
	User  int           `json:",omitzero"`
	Think time.Duration `json:",omitzero"`
}

// Event is one action on a node or proxy, or one change of the node list.
type Event struct {
	At          time.Duration
	What        string // a kind of fault, "end " and a kind, "list", "start" or "settings"
	Fault       int    // index in the scenario, or -1
	Node        int    // index, or -1
	Proxy       int    // index, or -1
	Entry       string // list: the new lifecycle state
	Until       time.Duration
	Amount      int // times, taken or rate, in thousandths
	How         string
	Warm        bool
	Known       string
	By          time.Duration
	Class       string        `json:",omitzero"` // partial: the class, the minimum size and the slowdown factor
	Above       int           `json:",omitzero"`
	Times       int           `json:",omitzero"` // thousandths
	Connections int           `json:",omitzero"` // crowd
	Attempts    int           `json:",omitzero"` // retune
	Proxies     []int         `json:",omitzero"` // split: one side of the partition
	Idle        time.Duration `json:",omitzero"` // omitted when zero, so that digests of schedules without it don't change
}

// Draw returns the plan for a scenario and a seed.
func Draw(s *Scenario, seed uint64) *Plan {
	p := &Plan{Scenario: s.Name, Seed: seed, Length: s.Length.D()}
	p.drawNodes(s)
	p.drawProxies(s)
	p.drawRequests(s)
	p.drawFaults(s)
	return p
}

// Digest returns the SHA-256 of the plan in hexadecimal digits.
func (p *Plan) Digest() string {
	h := sha256.New()
	// A plan holds structs and slices but no maps, so its encoding is deterministic.
	if err := json.NewEncoder(h).Encode(p); err != nil {
		panic(fmt.Sprintf("encoding plan as JSON: %v", err)) // no field can cause it
	}
	return hex.EncodeToString(h.Sum(nil))
}

func (p *Plan) drawNodes(s *Scenario) {
	d := newRandomStream(p.Seed, "nodes")
	for _, k := range s.Fleet.Nodes {
		for range k.Count {
			p.Nodes = append(p.Nodes, PlannedNode{
				Kind: k.Kind, Cores: k.Cores, Permille: d.permille(k.Speed[0], k.Speed[1]),
				Slots: k.Slots, Queue: k.Queue, Replaces: -1,
			})
		}
	}
	// Shuffle, so that kinds are spread over the zones at random: assigned in the order of the file,
	// all fast nodes could get into one zone.
	d.r.Shuffle(len(p.Nodes), func(i, j int) { p.Nodes[i], p.Nodes[j] = p.Nodes[j], p.Nodes[i] })
	for i := range p.Nodes {
		p.Nodes[i].Zone = s.Fleet.Zones[i%len(s.Fleet.Zones)]
		p.Nodes[i].ID = "s-" + d.id()[:8]
	}
}

func (p *Plan) drawProxies(s *Scenario) {
	d := newRandomStream(p.Seed, "proxies")
	for range s.Proxies.Count {
		p.Late = append(p.Late, d.duration(s.Discovery.Late[0].D(), s.Discovery.Late[1].D()))
		p.Seeds = append(p.Seeds, d.id())
	}
}

// rate returns the request rate at the given time, in thousandths of a request per second.
func (s *Scenario) rate(at time.Duration, bursts []interval) uint64 {
	r := s.Traffic.Rate
	for _, j := range s.Traffic.Jumps {
		if at >= j.At.D() && at < (j.At+j.For).D() {
			r *= j.Times
		}
	}
	return uint64(float64(r*s.rateFactor(at, bursts)*1000) + 0.5)
}

func (p *Plan) drawRequests(s *Scenario) {
	classes := weights(s.Classes, func(c Class) float64 { return c.Share })
	houses := weights(s.Houses, func(h House) float64 {
		if h.Usage == 0 {
			return h.Share
		}
		return h.Share * h.Usage
	})
	zones := weights(s.Fleet.Zones, func(string) float64 { return 1 })
	if len(s.Traffic.Zones) > 0 {
		zones = weights(s.Traffic.Zones, func(z float64) float64 { return z })
	}
	// one draws a request without its time.
	one := func(d randomStream) PlannedRequest {
		r := PlannedRequest{
			Class: d.weighted(classes), House: d.weighted(houses), Zone: d.weighted(zones),
			About: d.id(), Key: d.id() + d.id(),
		}
		c := s.Classes[r.Class]
		r.Work, r.Wait = max(d.span(c.Work.D(), c.Spread), time.Microsecond), d.span(c.Wait.D(), c.Spread)
		for range s.Clients.Retries + 1 {
			r.IDs = append(r.IDs, d.id())
		}
		return r
	}
	share := s.quotaBuckets()
	add := func(r PlannedRequest) {
		c := s.Classes[r.Class]
		if !c.requested(r.At) {
			return
		}
		if c.Effect != "keyed" {
			r.Key = ""
		}
		r.Over = share.exceeds(r.House, r.At)
		p.Requests = append(p.Requests, r)
	}
	if s.Traffic.closed() {
		p.drawUsers(s, one)
		return
	}
	d := newRandomStream(p.Seed, "requests")
	if s.Traffic.Arrivals == arrivalsTrace {
		for _, t := range s.Traffic.trace {
			r := one(d)
			c := s.Classes[t.class]
			r.At, r.Class = t.at, t.class
			r.Work, r.Wait = max(d.span(c.Work.D(), c.Spread), time.Microsecond), d.span(c.Wait.D(), c.Spread)
			if t.at < p.Length {
				add(r)
			}
		}
		return
	}
	bursts := s.bursts(p.Seed)
	most := s.rate(0, nil)
	for _, j := range s.Traffic.Jumps {
		most = max(most, s.rate(j.At.D(), nil)) // overlapping jumps reach their maximum where one of them begins
	}
	if s.maxRateFactor() != 1 {
		most = uint64(float64(most)/s.rateFactor(0, nil)*s.maxRateFactor()) + 1
		for _, j := range s.Traffic.Jumps {
			most = max(most, uint64(float64(s.rate(j.At.D(), nil))/s.rateFactor(j.At.D(), nil)*s.maxRateFactor())+1)
		}
	}
	at := time.Duration(0)
	for {
		// Thinning: draw the next arrival at the maximum rate, and keep it with the probability
		// of the rate at its time relative to the maximum.
		hi, lo := bits.Mul64(d.exp(), 1_000_000_000)
		gap, _ := bits.Div64(hi, lo, most) // microseconds, in 1/2^32; no overflow, as hi is below 100 and most is not
		at += time.Duration(gap>>32) * time.Microsecond
		if at >= p.Length {
			return
		}
		keep := d.r.Uint64N(most) < s.rate(at, bursts)
		r := one(d)
		if r.At = at; keep {
			add(r)
		}
	}
}

// quota returns the requests per second that are divided among the houses: as configured, or 1.2 times the rate.
func (s *Scenario) quota() float64 {
	if s.Traffic.Quota > 0 {
		return s.Traffic.Quota
	}
	return s.Traffic.Rate * 1.2
}

func (p *Plan) drawFaults(s *Scenario) {
	first := len(p.Nodes) // faults hit only the initial nodes; replacements are appended behind them
	for i, f := range s.Faults {
		d := newRandomStream(p.Seed, fmt.Sprintf("fault %d", i))
		e := Event{
			At: f.At.D(), What: f.What, Fault: i, Node: -1, Proxy: -1, How: f.How, Warm: f.Warm, Known: f.Known, By: f.By.D(), Idle: f.Idle.D(),
			Amount: int(float64((f.Times+f.Taken+f.Rate)*1000) + 0.5),
		}
		if f.What == "partial" {
			e.Class, e.Above, e.Times = f.Class, f.Above, int(f.Times*1000+0.5)
			e.Amount = int(f.Rate*1000 + 0.5)
		}
		if f.For > 0 {
			e.Until = (f.At + f.For).D()
		}
		e.Connections, e.Attempts = f.Connections, f.Attempts
		switch f.What {
		case "kill", "term", "upgrade", "crowd", "retune", "discovery-late", "discovery-silent", "discovery-down":
			proxies := f.Proxies
			if len(proxies) == 0 {
				for n := range s.Proxies.Count {
					proxies = append(proxies, n)
				}
			}
			for k, n := range proxies {
				e.Proxy = n
				e.At = (f.At + Span(k)*f.Each).D()
				e.Until = 0
				if f.For > 0 {
					e.Until = e.At + f.For.D()
				}
				p.addFault(e)
			}
			continue
		}
		if f.What == "split" {
			e.Proxies = f.Proxies
			p.addFault(e)
			continue
		}
		if strings.HasPrefix(f.What, "registry-") {
			p.addFault(e)
			continue
		}
		var fit []int
		for n := range first {
			if (f.Kind == "" || p.Nodes[n].Kind == f.Kind) && (f.Zone == "" || p.Nodes[n].Zone == f.Zone) {
				fit = append(fit, n)
			}
		}
		n := f.Nodes
		if f.Share > 0 {
			n = int(float64(f.Share*float64(len(fit))) + 0.5)
		}
		for _, k := range d.choose(min(n, len(fit)), len(fit)) {
			e.Node = fit[k]
			p.nodeFault(s, d, e)
		}
	}
	// When a class appears or vanishes, the settings of all proxies change.
	for _, c := range s.Classes {
		for _, at := range [2]time.Duration{c.Appears.D(), c.Vanishes.D()} {
			for n := range s.Proxies.Count {
				if at > 0 && at < p.Length {
					p.Events = append(p.Events, Event{At: at, What: "settings", Fault: -1, Node: -1, Proxy: n})
				}
			}
		}
	}
	sort.SliceStable(p.Events, func(i, j int) bool { return p.Events[i].At < p.Events[j].At })
}

// addFault adds a fault and its end to the plan.
func (p *Plan) addFault(e Event) {
	p.Events = append(p.Events, e)
	if e.Until > 0 && e.Proxy < 0 || e.Until > 0 && e.What != "kill" && e.What != "term" && e.What != "crowd" {
		end := e
		end.At, end.What = e.Until, "end "+e.What
		p.Events = append(p.Events, end)
	}
}

// addListChange adds a change of a node's entry in the node list to the plan.
func (p *Plan) addListChange(at time.Duration, e Event, lifecycle string) {
	e.At, e.What, e.Entry = at, "list", lifecycle
	p.Events = append(p.Events, e)
}

// nodeFault adds a fault of one node to the plan, with the list changes that follow from it.
func (p *Plan) nodeFault(s *Scenario, d randomStream, e Event) {
	dead := d.duration(s.Discovery.NoticeDead[0].D(), s.Discovery.NoticeDead[1].D())
	vanished := d.duration(s.Discovery.NoticeGone[0].D(), s.Discovery.NoticeGone[1].D())
	switch e.What {
	case "die":
		p.addFault(e)
		p.addListChange(e.At+dead, e, "Gone")
		if e.Until > 0 {
			p.addListChange(max(e.Until, e.At+dead)+time.Millisecond, e, "Ready")
		}
	case "vanish":
		p.addFault(e)
		if e.Until == 0 || e.At+vanished < e.Until {
			p.addListChange(e.At+vanished, e, "Gone")
			if e.Until > 0 {
				p.addListChange(e.Until+dead/2, e, "Ready")
			}
		}
	case "drain":
		p.addListChange(e.At, e, "Terminating")
		p.addFault(e)
		if e.Until > 0 {
			p.addListChange(e.Until+dead/2, e, "Gone")
		}
	case "replace":
		old := p.Nodes[e.Node]
		successor := old
		successor.ID, successor.Replaces = "s-"+d.id()[:8], e.Node
		p.Nodes = append(p.Nodes, successor)
		p.addFault(e)
		p.addListChange(e.At+dead, e, "Gone")
		e.Node = len(p.Nodes) - 1
		e.What = "start"
		e.At += time.Millisecond
		p.Events = append(p.Events, e)
		p.addListChange(e.At+dead, e, "Ready")
	default:
		p.addFault(e)
	}
}
