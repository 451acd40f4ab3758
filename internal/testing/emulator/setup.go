package emulator

import (
	"fmt"
	"math"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/backlog"
	"marlreel/internal/dataplane/routing"
)

// lateShare is the fraction of a request's value that the balancer assigns to a late response, as in production.
const lateShare = 0.6

func (s *simulation) makeClasses() {
	for i := range s.cfg.Kinds {
		kind := &s.cfg.Kinds[i]
		s.classOf[kind] = len(s.classes)
		s.classes = append(s.classes, balancer.Class{
			Name: kind.Name, LatencyTarget: kind.LatencyTarget, ClientTimeout: 2 * time.Minute, LateValueRatio: lateShare,
			Value: 1, Generates: true, MaxRuns: 2,
		})
	}
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// networkDelay returns the one-way delay between two zones.
func (c *Config) networkDelay(a, b int) time.Duration {
	if a == b {
		return c.InZone
	}
	return c.CrossZone
}

// models returns the names of all models, busy ones first.
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

// busyCapacityShare is the fraction of the capacity that the initial placement gives to busy models.
const busyCapacityShare = 0.27

// makeBackends creates the backends and places models while there is capacity: a busy model on several backends, any
// other model on one.
func (s *simulation) makeBackends() {
	c := &s.cfg
	for i := range c.Zones * c.BackendsPerZone {
		b := &backend{
			sim: s, id: fmt.Sprintf("backend-%d", i), zone: i % c.Zones, loaded: map[string]map[string]bool{},
			everLoaded: map[string]bool{}, cachedPrefixes: map[string]bool{},
		}
		s.backends = append(s.backends, b)
		s.byID[b.id] = b
	}
	capacity := int(c.Engine.CapacityMB / c.ModelMB) // number of models
	total := 0.0
	for rank := range c.BusyNow {
		total += math.Pow(float64(rank+1), -c.Skew)
	}
	next := 0
	place := func(name string) {
		for range s.backends {
			b := s.backends[next%len(s.backends)]
			next++
			if b.loaded[name] == nil && len(b.loaded) < capacity {
				b.loaded[name], b.everLoaded[name] = map[string]bool{}, true
				return
			}
		}
	}
	for rank := range c.BusyNow {
		part := math.Pow(float64(rank+1), -c.Skew) / total
		for range max(1, int(part*busyCapacityShare*float64(capacity*len(s.backends)))) {
			place(busyName(rank))
		}
	}
	for _, name := range c.models()[c.BusyNow:] {
		place(name)
	}
	s.reportedBackends = make([]routing.Backend, len(s.backends))
	for i, b := range s.backends {
		s.recordLoaded(i, b.loadedNames())
	}
	s.updateReportedLoaded()
}

func (s *simulation) makeProxies() error {
	for zone := range s.cfg.Zones {
		s.relays = append(s.relays, backlog.NewTable())
		for index := range s.cfg.ProxiesPerZone {
			p, err := newProxy(s, zone, index)
			if err != nil {
				return fmt.Errorf("making a proxy: %w", err)
			}
			s.proxies = append(s.proxies, p)
			p.start()
			first := time.Duration(s.rng.Float64() * float64(s.cfg.ReportInterval))
			s.clock.every(s.cfg.ReportInterval, first, func() { s.report(p) })
		}
		s.clock.every(s.cfg.ReportInterval, s.cfg.ReportInterval, func() { s.syncRelay(zone) })
	}
	return nil
}
