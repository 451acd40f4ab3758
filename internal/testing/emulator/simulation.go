package emulator

import (
	"math/rand/v2"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/backlog"
	"marlreel/internal/dataplane/routing"
	"marlreel/internal/placement"
)

// serviceName is the name of the only service.
const serviceName = "models"

// simulation holds the state of a deployment during a run.
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
	reportedBackends []routing.Backend      // the proxies' view of the backends
	reportedLoaded   map[placement.Key]bool // models and adapters that at least one of them has loaded
	reportsChanged   bool                   // since the last distribution
	relays           []*backlog.Table       // by zone
	leaseHolder      *backlog.Table
	concurrentLoads  int
}

// Run simulates a deployment for its duration. It returns ErrConfig for a configuration that can't be simulated.
func Run(cfg Config) (*Result, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	s := &simulation{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), classOf: map[*RequestKind]int{}, byID: map[string]*backend{},
		score: newScore(), leaseHolder: backlog.NewTable(),
	}
	s.makeClasses()
	s.makeBackends()
	if err := s.makeProxies(); err != nil {
		return nil, err
	}
	s.placer = newPlacer(s)
	s.placer.start()
	all := arrivals(&s.cfg, rand.New(rand.NewPCG(cfg.Seed, 2)))
	for _, q := range all {
		s.clock.after(q.at, func() { s.arrive(q) })
	}
	if cfg.Knowledge == KnownDemand || cfg.Knowledge == PerfectKnowledge {
		s.announceDemand(all)
	}
	s.clock.every(distributionDelay, distributionDelay, s.distributeReports)
	s.clock.runUntil(cfg.Duration)
	return s.score.result(), nil
}

func (s *simulation) arrive(q *request) { s.proxies[q.zone*s.cfg.ProxiesPerZone+q.proxy].onRequest(q) }

// onRejected has the client retry once, after retryAfter or a third of its remaining time, whichever is less.
func (s *simulation) onRejected(c *call, retryAfter time.Duration) {
	q, now := c.request, s.clock.now
	left := q.deadline - now
	if q.retried || left <= 0 {
		s.score.recordRejected(c)
		return
	}
	retry := *q
	retry.retried, retry.proxy = true, s.rng.IntN(s.cfg.ProxiesPerZone)
	retry.rejectedEarly = now-q.at <= q.kind.LatencyTarget/4
	retry.at = now + min(max(retryAfter, time.Millisecond), left/3)
	s.score.Rejections++
	s.clock.after(retry.at-now, func() { s.arrive(&retry) })
}

// loadTime returns the duration of a load that begins now. It is a quarter for a model loaded there before, and longer
// beyond the limit of concurrent loads.
func (s *simulation) loadTime(loadedBefore bool) time.Duration {
	span := s.cfg.Engine.LoadTime
	if loadedBefore {
		return span / 4
	}
	s.concurrentLoads++
	if limit := s.cfg.Engine.MaxConcurrentLoads; limit > 0 && s.concurrentLoads > limit {
		span = span * time.Duration(s.concurrentLoads) / time.Duration(limit)
	}
	s.clock.after(span, func() { s.concurrentLoads-- })
	return span
}
