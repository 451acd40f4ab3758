package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"marlreel/internal/api"
)

const (
	// waitingReportDelay is how long the report of a request that waits for a model is delayed, to report others with
	// it.
	waitingReportDelay = 5 * time.Millisecond
	// maxReportedModels bounds the models and adapters in one report.
	maxReportedModels = 4096
)

// demandRecorder counts the requests for models, for the planner that places models on backends. Its methods are safe
// for concurrent use.
type demandRecorder struct {
	mu             sync.Mutex
	counts         map[modelKey]*api.Demand   // since the last report
	latencyTargets map[modelKey]time.Duration // summed over the counted requests
	waiting        map[modelKey]int           // requests waiting now
	wake           chan struct{}
}

func newDemandRecorder() *demandRecorder {
	return &demandRecorder{
		counts: map[modelKey]*api.Demand{}, latencyTargets: map[modelKey]time.Duration{}, waiting: map[modelKey]int{},
		wake: make(chan struct{}, 1),
	}
}

// recordRequest counts a request with its work and latency target.
func (d *demandRecorder) recordRequest(key modelKey, work, latencyTarget time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	demand := d.counts[key]
	if demand == nil {
		if len(d.counts) >= maxReportedModels {
			return
		}
		demand = newDemand(key)
		d.counts[key] = demand
	}
	demand.Arrived++
	d.latencyTargets[key] += latencyTarget
	demand.WorkMs += float64(work) / float64(time.Millisecond)
}

func newDemand(key modelKey) *api.Demand {
	return &api.Demand{Service: key.service, Model: key.model, Adapter: key.adapter}
}

// recordWaiting counts a request that waits because no backend has its model loaded, until done is called.
func (d *demandRecorder) recordWaiting(key modelKey) (done func()) {
	d.mu.Lock()
	d.waiting[key]++
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.waiting[key]--
		if d.waiting[key] <= 0 {
			delete(d.waiting, key)
		}
	}
}

// takeReport returns the demand since the last report, and starts counting anew.
func (d *demandRecorder) takeReport() []*api.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, count := range d.waiting {
		demand := d.counts[key]
		if demand == nil {
			demand = newDemand(key)
			d.counts[key] = demand
		}
		demand.Waiting = uint32(count)
	}
	demands := make([]*api.Demand, 0, len(d.counts))
	for key, demand := range d.counts {
		if demand.Arrived > 0 {
			demand.LatencyTargetMs = uint32((d.latencyTargets[key] / time.Duration(demand.Arrived)).Milliseconds())
		}
		demands = append(demands, demand)
	}
	d.counts, d.latencyTargets = map[modelKey]*api.Demand{}, map[modelKey]time.Duration{}
	return demands
}

// run calls report with the demand at an interval, and soon after a request has begun to wait, until ctx ends.
func (d *demandRecorder) run(ctx context.Context, interval func() time.Duration, report func([]*api.Demand)) {
	for d.awaitReport(ctx, interval()) {
		report(d.takeReport())
	}
}

// awaitReport waits until the next report is due. It returns false if ctx has ended.
func (d *demandRecorder) awaitReport(ctx context.Context, interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-d.wake:
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
	timer.Stop()
	soon := time.NewTimer(waitingReportDelay)
	defer soon.Stop()
	select {
	case <-soon.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// reportDemand reports demand and backlogs to the agent, and records the peers' backlogs that it replies, until ctx ends.
func (g *Gateway) reportDemand(ctx context.Context, agent api.Agent) {
	idle := false
	g.demand.run(ctx, g.reportInterval, func(demands []*api.Demand) {
		backlogs := g.backlogs()
		wasIdle := idle // an emptied backlog has to be reported once
		idle = len(demands) == 0 && !slices.ContainsFunc(backlogs, func(b *api.Backlog) bool { return len(b.Backends) > 0 })
		if idle && wasIdle {
			return
		}
		call, cancel := context.WithTimeout(ctx, agentMaxWait)
		defer cancel()
		reply, err := agent.ReportDemand(call, &api.DemandReport{Node: g.identity.name, Demands: demands, Backlogs: backlogs})
		if err != nil {
			return // a lost report is made up for by the next requests, or no longer matters
		}
		g.recordPeerBacklogs(reply)
	})
}
