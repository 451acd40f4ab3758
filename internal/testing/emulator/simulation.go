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

// lateShare is the share of its value that the balancer takes a late answer to earn, as in service.
const lateShare = 0.6

// simulation is the whole state of a deployment during a run.
type simulation struct {
	cfg              Config
	clock            clock
	rng              *rand.Rand
	classes          []balancer.Class
	classOf          map[*RequestKind]int
	backends         []*backend
	byID             map[string]*backend
	proxies          []*proxy
	placer           *placer
	score            *score
	reportedBackends []routing.Backend      // what proxies know of the backends
	reportedLoaded   map[placement.Key]bool // models and adapters that some of them has loaded
	reportsChanged   bool                   // since the last distribution
	relays           []*backlog.Table       // by zone
	leaseHolder      *backlog.Table
	concurrentLoads  int
}

// Run simulates a deployment for its duration. A configuration that can't be simulated gives ErrConfig.
func Run(cfg Config) (*Result, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	w := &simulation{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), classOf: map[*RequestKind]int{}, byID: map[string]*backend{},
		score: newScore(), leaseHolder: backlog.NewTable(),
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
	if cfg.Knowledge == KnownDemand || cfg.Knowledge == PerfectKnowledge {
		w.announceDemand(all)
	}
	w.clock.every(distributionDelay, distributionDelay, w.distributeReports)
	w.clock.playUntil(cfg.Duration)
	return w.score.result(), nil
}

func (w *simulation) makeClasses() {
	for i := range w.cfg.Kinds {
		kind := &w.cfg.Kinds[i]
		w.classOf[kind] = len(w.classes)
		w.classes = append(w.classes, balancer.Class{
			Name: kind.Name, LatencyTarget: kind.LatencyTarget, ClientTimeout: 2 * time.Minute, LateValueRatio: lateShare,
			Value: 1, Generates: true, MaxRuns: 2,
		})
	}
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// networkDelay is how long a message takes between two zones.
func (c *Config) networkDelay(a, b int) time.Duration {
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

// busyCapacityShare is the share of the capacity at which busy models are placed at first.
const busyCapacityShare = 0.27

// makeBackends places models as far as there is capacity: busy ones on several backends, each other one on one.
func (w *simulation) makeBackends() {
	c := &w.cfg
	for i := range c.Zones * c.BackendsPerZone {
		b := &backend{
			sim: w, id: fmt.Sprintf("backend-%d", i), zone: i % c.Zones, loaded: map[string]map[string]bool{},
			everLoaded: map[string]bool{}, cachedPrefixes: map[string]bool{},
		}
		w.backends = append(w.backends, b)
		w.byID[b.id] = b
	}
	capacity := int(c.Engine.CapacityMB / c.ModelMB) // models
	total := 0.0
	for rank := range c.BusyNow {
		total += math.Pow(float64(rank+1), -c.Skew)
	}
	next := 0
	put := func(name string) {
		for range w.backends {
			b := w.backends[next%len(w.backends)]
			next++
			if b.loaded[name] == nil && len(b.loaded) < capacity {
				b.loaded[name], b.everLoaded[name] = map[string]bool{}, true
				return
			}
		}
	}
	for rank := range c.BusyNow {
		part := math.Pow(float64(rank+1), -c.Skew) / total
		for range max(1, int(part*busyCapacityShare*float64(capacity*len(w.backends)))) {
			put(busyName(rank))
		}
	}
	for _, name := range c.models()[c.BusyNow:] {
		put(name)
	}
	w.reportedBackends = make([]routing.Backend, len(w.backends))
	for i, b := range w.backends {
		w.recordLoaded(i, b.loadedNames())
	}
	w.updateReportedLoaded()
}

// recordLoaded records what proxies will know of a backend.
func (w *simulation) recordLoaded(i int, holds map[string][]string) {
	k := routing.Backend{Backend: prefixcache.Backend{ID: balancer.BackendID(i + 1), Slots: w.cfg.Engine.Slots}, Name: w.backends[i].id}
	for model, adapters := range holds {
		k.Loaded = append(k.Loaded, prefixcache.LoadedModel{Model: model, Adapters: adapters})
	}
	w.reportedBackends[i] = k
	w.reportsChanged = true
}

// observeLoaded handles what the planner observes a backend to have loaded.
func (w *simulation) observeLoaded(id string, holds map[string][]string) {
	for i, b := range w.backends {
		if b.id == id {
			w.recordLoaded(i, holds)
		}
	}
}

// distributeReports tells all proxies what backends have loaded, where that has changed.
func (w *simulation) distributeReports() {
	if !w.reportsChanged {
		return
	}
	w.reportsChanged = false
	w.updateReportedLoaded()
	for _, p := range w.proxies {
		p.updateBackends()
	}
}

func (w *simulation) updateReportedLoaded() {
	w.reportedLoaded = map[placement.Key]bool{}
	for _, k := range w.reportedBackends {
		for _, h := range k.Loaded {
			w.reportedLoaded[placement.Key{Model: h.Model}] = true
			for _, adapter := range h.Adapters {
				w.reportedLoaded[placement.Key{Model: h.Model, Adapter: adapter}] = true
			}
		}
	}
}

func (w *simulation) makeProxies() error {
	for zone := range w.cfg.Zones {
		w.relays = append(w.relays, backlog.NewTable())
		for index := range w.cfg.ProxiesPerZone {
			p, err := newProxy(w, zone, index)
			if err != nil {
				return fmt.Errorf("making a proxy: %w", err)
			}
			w.proxies = append(w.proxies, p)
			p.start()
			first := time.Duration(w.rng.Float64() * float64(w.cfg.ReportInterval))
			w.clock.every(w.cfg.ReportInterval, first, func() { w.report(p) })
		}
		w.clock.every(w.cfg.ReportInterval, w.cfg.ReportInterval, func() { w.syncRelay(zone) })
	}
	return nil
}

func (w *simulation) arrive(q *request) { w.proxies[q.zone*w.cfg.ProxiesPerZone+q.proxy].onRequest(q) }

// onRejected lets a client retry once, when it is asked to.
func (w *simulation) onRejected(c *call, retryAfter time.Duration) {
	q, now := c.request, w.clock.now
	left := q.deadline - now
	if q.retried || left <= 0 {
		w.score.recordRejected(c)
		return
	}
	again := *q
	again.retried, again.proxy = true, w.rng.IntN(w.cfg.ProxiesPerZone)
	again.rejectedEarly = now-q.at <= q.kind.LatencyTarget/4
	again.at = now + min(max(retryAfter, time.Millisecond), left/3)
	w.score.Rejections++
	w.clock.after(again.at-now, func() { w.arrive(&again) })
}

// report is one proxy's report: of demand to the planner, of its backlog to its relay, and the answer.
func (w *simulation) report(p *proxy) {
	now := w.clock.now
	waits := p.waiting()
	for _, key := range sortedKeys(p.demand) {
		count := p.demand[key]
		arrived, work := count.arrived, count.workMS
		if w.cfg.Knowledge == KnownDemand || w.cfg.Knowledge == PerfectKnowledge {
			arrived, work = 0, 0
		}
		w.placer.planner.RecordLatencyTarget(key.Model, count.latencyTarget, count.arrived)
		w.placer.planner.RecordDemand(now, p.name, zoneName(p.zone), key, arrived, work, waits[key])
		delete(waits, key)
	}
	for _, key := range sortedKeys(waits) {
		w.placer.planner.RecordDemand(now, p.name, zoneName(p.zone), key, 0, 0, waits[key])
	}
	clear(p.demand)
	if w.cfg.Knowledge == NoPeerBacklogs || w.cfg.Knowledge == PerfectKnowledge {
		return
	}
	speaker := backlog.Reporter{Node: p.name, Zone: zoneName(p.zone)}
	work := p.backlog()
	w.relays[p.zone].RecordReport(now, serviceName, speaker, work)
	w.leaseHolder.RecordReport(now, serviceName, speaker, work)
	others := w.relays[p.zone].Sum(now, serviceName, func(s backlog.Reporter) bool { return s.Node != p.name })
	w.clock.after(2*w.cfg.InZone, func() { p.advisor.RecordPeerBacklog(p.now(), others) })
}

// sortedKeys are the keys of a map in order: a run is the same again.
func sortedKeys[V any](of map[placement.Key]V) []placement.Key {
	return slices.SortedFunc(maps.Keys(of), func(x, y placement.Key) int {
		return cmp.Or(cmp.Compare(x.Model, y.Model), cmp.Compare(x.Adapter, y.Adapter))
	})
}

// syncRelay tells a relay the backlog of other zones.
func (w *simulation) syncRelay(zone int) {
	elsewhere := w.leaseHolder.Sum(w.clock.now, serviceName, func(s backlog.Reporter) bool { return s.Zone != zoneName(zone) })
	w.clock.after(2*w.cfg.CrossZone, func() { w.relays[zone].RecordReport(w.clock.now, serviceName, backlog.OtherZones, elsewhere) })
}

// pending is the pending work of all backends as it is.
func (w *simulation) pending() backlog.Work {
	work := backlog.Work{}
	for _, b := range w.backends {
		if ms := b.pendingPrefillMS(); ms > 0 {
			work[backlog.Key(b.id)] = uint32(max(1, ms))
		}
	}
	return work
}

// announceDemand has the planner know of requests before they come.
func (w *simulation) announceDemand(all []*request) {
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
func (w *simulation) loadTime(had bool) time.Duration {
	span := w.cfg.Engine.LoadTime
	if had {
		return span / 4
	}
	w.concurrentLoads++
	if limit := w.cfg.Engine.MaxConcurrentLoads; limit > 0 && w.concurrentLoads > limit {
		span = span * time.Duration(w.concurrentLoads) / time.Duration(limit)
	}
	w.clock.after(span, func() { w.concurrentLoads-- })
	return span
}
