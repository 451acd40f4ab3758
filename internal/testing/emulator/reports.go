package emulator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/balancer/prefixcache"
	"marlreel/internal/dataplane/backlog"
	"marlreel/internal/dataplane/routing"
	"marlreel/internal/placement"
)

// recordLoaded records the loaded models of a backend for the next distribution to proxies.
func (s *simulation) recordLoaded(i int, loaded map[string][]string) {
	k := routing.Backend{Backend: prefixcache.Backend{ID: balancer.BackendID(i + 1), Slots: s.cfg.Engine.Slots}, Name: s.backends[i].id}
	for model, adapters := range loaded {
		k.Loaded = append(k.Loaded, prefixcache.LoadedModel{Model: model, Adapters: adapters})
	}
	s.reportedBackends[i] = k
	s.reportsChanged = true
}

// observeLoaded handles a planner observation of a backend's loaded models.
func (s *simulation) observeLoaded(id string, loaded map[string][]string) {
	for i, b := range s.backends {
		if b.id == id {
			s.recordLoaded(i, loaded)
		}
	}
}

// distributeReports updates the backends' loaded models at all proxies if they have changed.
func (s *simulation) distributeReports() {
	if !s.reportsChanged {
		return
	}
	s.reportsChanged = false
	s.updateReportedLoaded()
	for _, p := range s.proxies {
		p.updateBackends()
	}
}

func (s *simulation) updateReportedLoaded() {
	s.reportedLoaded = map[placement.Key]bool{}
	for _, k := range s.reportedBackends {
		for _, h := range k.Loaded {
			s.reportedLoaded[placement.Key{Model: h.Model}] = true
			for _, adapter := range h.Adapters {
				s.reportedLoaded[placement.Key{Model: h.Model, Adapter: adapter}] = true
			}
		}
	}
}

// report sends one proxy's demand to the planner and its backlog to its relay, which replies with its peers' backlog.
func (s *simulation) report(p *proxy) {
	now := s.clock.now
	waiting := p.waiting()
	for _, key := range sortedKeys(p.demand) {
		count := p.demand[key]
		arrived, work := count.arrived, count.workMS
		if s.cfg.Knowledge == KnownDemand || s.cfg.Knowledge == PerfectKnowledge {
			arrived, work = 0, 0
		}
		s.placer.planner.RecordLatencyTarget(key.Model, count.latencyTarget, count.arrived)
		s.placer.planner.RecordDemand(now, p.name, zoneName(p.zone), key, arrived, work, waiting[key])
		delete(waiting, key)
	}
	for _, key := range sortedKeys(waiting) {
		s.placer.planner.RecordDemand(now, p.name, zoneName(p.zone), key, 0, 0, waiting[key])
	}
	clear(p.demand)
	if s.cfg.Knowledge == NoPeerBacklogs || s.cfg.Knowledge == PerfectKnowledge {
		return
	}
	reporter := backlog.Reporter{Node: p.name, Zone: zoneName(p.zone)}
	work := p.backlog()
	s.relays[p.zone].RecordReport(now, serviceName, reporter, work)
	s.leaseHolder.RecordReport(now, serviceName, reporter, work)
	peers := s.relays[p.zone].Sum(now, serviceName, func(r backlog.Reporter) bool { return r.Node != p.name })
	s.clock.after(2*s.cfg.InZone, func() { p.advisor.RecordPeerBacklog(p.now(), peers) })
}

// sortedKeys returns the keys of a map in order, so that runs are deterministic.
func sortedKeys[V any](of map[placement.Key]V) []placement.Key {
	return slices.SortedFunc(maps.Keys(of), func(x, y placement.Key) int {
		return cmp.Or(cmp.Compare(x.Model, y.Model), cmp.Compare(x.Adapter, y.Adapter))
	})
}

// syncRelay sends the backlog of the other zones to a zone's relay.
func (s *simulation) syncRelay(zone int) {
	elsewhere := s.leaseHolder.Sum(s.clock.now, serviceName, func(r backlog.Reporter) bool { return r.Zone != zoneName(zone) })
	s.clock.after(2*s.cfg.CrossZone, func() { s.relays[zone].RecordReport(s.clock.now, serviceName, backlog.OtherZones, elsewhere) })
}

// pending returns the current pending work of all backends.
func (s *simulation) pending() backlog.Work {
	work := backlog.Work{}
	for _, b := range s.backends {
		if ms := b.pendingPrefillMS(); ms > 0 {
			work[backlog.Key(b.id)] = uint32(max(1, ms))
		}
	}
	return work
}

// announceDemand records each request at the planner one load time before it arrives.
func (s *simulation) announceDemand(all []*request) {
	lead := s.cfg.Engine.LoadTime
	for _, q := range all {
		cost := routing.EstimateWork(q.promptTokens+q.kind.SharedTokens, q.outputTokens)
		s.clock.after(q.at-lead, func() {
			s.placer.planner.RecordDemand(s.clock.now, "ahead", zoneName(q.zone), placement.Key{Model: q.model, Adapter: q.adapter}, 1,
				float64(cost)/float64(time.Millisecond), 0)
		})
	}
}
