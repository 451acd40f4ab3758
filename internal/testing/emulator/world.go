package emulator

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/balancer/prefixcache"
	"marlreel/internal/dataplane/backlog"
	"marlreel/internal/dataplane/routing"
	"marlreel/internal/placement"
)

// serviceName is that of the one service.
const serviceName = "models"

// lateShare is what the decision module takes a late answer to be worth, as in service.
const lateShare = 0.6

// world is all of a deployment while a day is played.
type world struct {
	cfg       Config
	clock     clock
	rng       *rand.Rand
	classes   []balancer.Class
	classOf   map[*Kind]int
	backends  []*backend
	byID      map[string]*backend
	proxies   []*proxy
	placer    *placer
	score     *score
	known     []routing.Backend // what proxies know of what backends hold
	heldByAny map[placement.Key]bool
	news      bool // it has changed since they were told
	homes     []*backlog.Table
	holder    *backlog.Table
	loading   int
}

// Play plays a day.
func Play(cfg Config) (*Result, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	w := &world{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), classOf: map[*Kind]int{}, byID: map[string]*backend{},
		score: newScore(&cfg), holder: backlog.NewTable(),
	}
	w.makeClasses()
	w.makeBackends()
	if err := w.makeProxies(); err != nil {
		return nil, err
	}
	w.placer = newPlacer(w)
	w.placer.start()
	all := arrivals(&w.cfg, rand.New(rand.NewPCG(cfg.Seed, 2)))
	for _, q := range all {
		w.clock.after(q.at, func() { w.arrive(q) })
	}
	if cfg.Knowledge == DemandAhead || cfg.Knowledge == AllAtOnce {
		w.foretell(all)
	}
	w.clock.every(newsTime, newsTime, w.tell)
	w.clock.playUntil(cfg.Length)
	return w.score.result(), nil
}

func (w *world) makeClasses() {
	for i := range w.cfg.Kinds {
		kind := &w.cfg.Kinds[i]
		w.classOf[kind] = len(w.classes)
		w.classes = append(w.classes, balancer.Class{
			Name: kind.Name, LatencyTarget: kind.Aim, ClientTimeout: 2 * time.Minute, LateValueRatio: lateShare,
			Value: 1, Generates: true, MaxRuns: 2,
		})
	}
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// way is how long a message takes between two zones.
func (c *Config) way(a, b int) time.Duration {
	if a == b {
		return c.InZone
	}
	return c.CrossZone
}

// models are the names of all models, busy ones first.
func (c *Config) models() []string {
	var names []string
	for i := range c.BusyModels {
		names = append(names, busyName(i))
	}
	for i := range c.RareModels {
		names = append(names, fmt.Sprintf("rare-%d", i))
	}
	return names
}

// busyPart is the part of the room at which busy models are placed at first.
const busyPart = 0.27

// makeBackends places models as far as there is room: busy ones on several backends, each other one on one.
func (w *world) makeBackends() {
	c := &w.cfg
	for i := range c.Zones * c.BackendsEach {
		b := &backend{
			world: w, id: fmt.Sprintf("backend-%d", i), zone: i % c.Zones, held: map[string]map[string]bool{},
			had: map[string]bool{}, kept: map[string]bool{},
		}
		w.backends = append(w.backends, b)
		w.byID[b.id] = b
	}
	places := int(c.Engine.CapacityMB / c.ModelMB)
	total := 0.0
	for rank := range c.BusyNow {
		total += math.Pow(float64(rank+1), -c.Skew)
	}
	next := 0
	put := func(name string) {
		for range w.backends {
			b := w.backends[next%len(w.backends)]
			next++
			if b.held[name] == nil && len(b.held) < places {
				b.held[name], b.had[name] = map[string]bool{}, true
				return
			}
		}
	}
	for rank := range c.BusyNow {
		part := math.Pow(float64(rank+1), -c.Skew) / total
		for range max(1, int(part*busyPart*float64(places*len(w.backends)))) {
			put(busyName(rank))
		}
	}
	for _, name := range c.models()[c.BusyNow:] {
		put(name)
	}
	w.known = make([]routing.Backend, len(w.backends))
	for i, b := range w.backends {
		w.know(i, b.holdings())
	}
	w.countHeld()
}

// know notes what proxies will be told of a backend.
func (w *world) know(i int, holds map[string][]string) {
	k := routing.Backend{Backend: prefixcache.Backend{ID: balancer.BackendID(i + 1), Slots: w.cfg.Engine.Slots}, Name: w.backends[i].id}
	for model, adapters := range holds {
		k.Loaded = append(k.Loaded, prefixcache.LoadedModel{Model: model, Adapters: adapters})
	}
	w.known[i] = k
	w.news = true
}

// observe is the holder's word on what a backend holds.
func (w *world) observe(id string, holds map[string][]string) {
	for i, b := range w.backends {
		if b.id == id {
			w.know(i, holds)
		}
	}
}

// tell brings news of what backends hold to all proxies.
func (w *world) tell() {
	if !w.news {
		return
	}
	w.news = false
	w.countHeld()
	for _, p := range w.proxies {
		p.list()
	}
}

func (w *world) countHeld() {
	w.heldByAny = map[placement.Key]bool{}
	for _, k := range w.known {
		for _, h := range k.Loaded {
			w.heldByAny[placement.Key{Model: h.Model}] = true
			for _, adapter := range h.Adapters {
				w.heldByAny[placement.Key{Model: h.Model, Adapter: adapter}] = true
			}
		}
	}
}

func (w *world) makeProxies() error {
	for zone := range w.cfg.Zones {
		w.homes = append(w.homes, backlog.NewTable())
		for index := range w.cfg.ProxiesPerZone {
			p, err := newProxy(w, zone, index)
			if err != nil {
				return fmt.Errorf("making a proxy: %w", err)
			}
			w.proxies = append(w.proxies, p)
			p.start()
			first := time.Duration(w.rng.Float64() * float64(w.cfg.ReportEvery))
			w.clock.every(w.cfg.ReportEvery, first, func() { w.report(p) })
		}
		w.clock.every(w.cfg.ReportEvery, w.cfg.ReportEvery, func() { w.askHolder(zone) })
	}
	return nil
}

func (w *world) arrive(q *request) { w.proxies[q.zone*w.cfg.ProxiesPerZone+q.proxy].take(q) }

// refused lets a client come again once, as it is told.
func (w *world) refused(c *call, retryAfter time.Duration) {
	q, now := c.request, w.clock.now
	left := q.deadline - now
	if q.retried || left <= 0 {
		w.score.refused(now, c)
		return
	}
	again := *q
	again.retried, again.proxy = true, w.rng.IntN(w.cfg.ProxiesPerZone)
	again.refusedSoon = now-q.at <= q.kind.Aim/4
	again.at = now + min(max(retryAfter, time.Millisecond), left/3)
	w.score.Refusals++
	w.clock.after(again.at-now, func() { w.arrive(&again) })
}

// report is one proxy's report: of demand to the planner, of its work to its home, and the answer.
func (w *world) report(p *proxy) {
	now := w.clock.now
	waits := p.waiting()
	for _, key := range sortedKeys(p.asked) {
		count := p.asked[key]
		arrived, work := count.arrived, count.workMS
		if w.cfg.Knowledge == DemandAhead || w.cfg.Knowledge == AllAtOnce {
			arrived, work = 0, 0
		}
		w.placer.planner.RecordLatencyTarget(key.Model, count.aim, count.arrived)
		w.placer.planner.RecordDemand(now, p.name, zoneName(p.zone), key, arrived, work, waits[key])
		delete(waits, key)
	}
	for _, key := range sortedKeys(waits) {
		w.placer.planner.RecordDemand(now, p.name, zoneName(p.zone), key, 0, 0, waits[key])
	}
	clear(p.asked)
	if w.cfg.Knowledge == Alone || w.cfg.Knowledge == AllAtOnce {
		return
	}
	speaker := backlog.Reporter{Node: p.name, Zone: zoneName(p.zone)}
	work := p.backlog()
	w.homes[p.zone].RecordReport(now, serviceName, speaker, work)
	w.holder.RecordReport(now, serviceName, speaker, work)
	others := w.homes[p.zone].Sum(now, serviceName, func(s backlog.Reporter) bool { return s.Node != p.name })
	w.clock.after(2*w.cfg.InZone, func() { p.advisor.RecordPeerBacklog(p.now(), others) })
}

// sortedKeys are the keys of a map in order: a day is played the same again.
func sortedKeys[V any](of map[placement.Key]V) []placement.Key {
	return slices.SortedFunc(maps.Keys(of), func(x, y placement.Key) int {
		return cmp.Or(cmp.Compare(x.Model, y.Model), cmp.Compare(x.Adapter, y.Adapter))
	})
}

// askHolder brings a home what other zones have sent.
func (w *world) askHolder(zone int) {
	elsewhere := w.holder.Sum(w.clock.now, serviceName, func(s backlog.Reporter) bool { return s.Zone != zoneName(zone) })
	w.clock.after(2*w.cfg.CrossZone, func() { w.homes[zone].RecordReport(w.clock.now, serviceName, backlog.OtherZones, elsewhere) })
}

// pending is the work of all backends as it is.
func (w *world) pending() backlog.Work {
	work := backlog.Work{}
	for _, b := range w.backends {
		if ms := b.pending(); ms > 0 {
			work[backlog.Key(b.id)] = uint32(max(1, ms))
		}
	}
	return work
}

// foretell tells the planner of requests before they come.
func (w *world) foretell(all []*request) {
	lead := w.cfg.Engine.LoadTime
	for _, q := range all {
		cost := routing.EstimateWork(q.promptTokens+q.kind.SharedTokens, q.outputTokens)
		w.clock.after(q.at-lead, func() {
			w.placer.planner.RecordDemand(w.clock.now, "ahead", zoneName(q.zone), placement.Key{Model: q.model, Adapter: q.adapter}, 1,
				float64(cost)/float64(time.Millisecond), 0)
		})
	}
}

// loadTime is how long a load takes that begins now.
func (w *world) loadTime(had bool) time.Duration {
	span := w.cfg.Engine.LoadTime
	if had {
		return span / 4
	}
	w.loading++
	if most := w.cfg.Engine.LoadsAtOnce; most > 0 && w.loading > most {
		span = span * time.Duration(w.loading) / time.Duration(most)
	}
	w.clock.after(span, func() { w.loading-- })
	return span
}
