package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// workSpan is the time constant over which work is averaged.
	workSpan = 1500 * time.Millisecond
	// recentSpan and longSpan are the time constants over which requests are counted: the first suits models and
	// adapters that are requested often, the second those that are requested rarely.
	recentSpan = 4 * time.Second
	longSpan   = 20 * time.Second
	// maxSeldomRate is the rate, in requests a second, up to which only the long span counts.
	maxSeldomRate = 0.1
	// waitingTTL is how long a report of waiting requests is valid.
	waitingTTL = 1500 * time.Millisecond
	// demandTTL is the time without a request after which a demand record is dropped.
	demandTTL = 5 * time.Minute
	// maxZones limits the zones that one demand record counts requests by.
	maxZones = 64
	// maxDemands limits the models and adapters that demand is recorded for.
	maxDemands = 1 << 16
)

// Key is a model, or an adapter of it.
type Key struct{ Model, Adapter string }

// demandRecord is the recorded demand for one model or adapter.
type demandRecord struct {
	work           decayingSum // ms of backends' time, over workSpan
	recentRequests decayingSum // over recentSpan
	longRequests   decayingSum // over longSpan
	lastSeen       time.Duration
	zoneRequests   map[string]*decayingSum  // over recentSpan, by the zone that they come from
	waiting        map[string]waitingReport // by the reporting node
}

// waitingReport is the number of requests that wait at a node.
type waitingReport struct {
	count      int
	reportedAt time.Duration
}

// waitingRequests returns how many requests wait at all nodes with a valid report, and drops expired reports.
func (d *demandRecord) waitingRequests(now time.Duration) int {
	total := 0
	for node, w := range d.waiting {
		if now-w.reportedAt > waitingTTL {
			delete(d.waiting, node)
			continue
		}
		total += w.count
	}
	return total
}

// rate estimates the present request rate, in requests a second. The short span shows quickly that frequent requests
// have stopped; the long span keeps the rate of rare requests from dropping to 0 between two of them.
func (d *demandRecord) rate(now, since time.Duration) float64 {
	return min(d.longRequests.ratePerSecond(now, longSpan, since), d.recentRequests.ratePerSecond(now, recentSpan, since)+maxSeldomRate)
}

// addRequests counts requests that came from a zone.
func (d *demandRecord) addRequests(now time.Duration, zone string, requests int, workMS float64) {
	d.work.add(workMS, now, workSpan)
	d.recentRequests.add(float64(requests), now, recentSpan)
	d.longRequests.add(float64(requests), now, longSpan)
	if d.zoneRequests[zone] == nil && len(d.zoneRequests) < maxZones {
		d.zoneRequests[zone] = &decayingSum{}
	}
	if z := d.zoneRequests[zone]; z != nil {
		z.add(float64(requests), now, recentSpan)
	}
	d.lastSeen = now
}

// RecordDemand records a node's report on one model or adapter: the requests that came from a zone since its last
// report, their work in ms of a backend's time, and how many requests wait at the node because no backend has the model
// or adapter loaded.
// Demand for more than 65,536 models and adapters is not recorded.
func (p *Planner) RecordDemand(now time.Duration, node, zone string, key Key, requests int, workMS float64, waiting int) {
	d := p.demands[key]
	if d == nil {
		if len(p.demands) >= maxDemands {
			return
		}
		d = &demandRecord{waiting: map[string]waitingReport{}, zoneRequests: map[string]*decayingSum{}}
		p.demands[key], p.sortedKeys = d, nil
	}
	if requests > 0 {
		d.addRequests(now, zone, requests, workMS)
		p.filterOf(now, key.Model).observe(now, float64(requests), p.slopeDeviation)
		p.profileOf(key.Model).record(workMS, float64(requests))
	}
	if waiting <= 0 {
		delete(d.waiting, node)
		return
	}
	d.waiting[node] = waitingReport{waiting, now}
	d.lastSeen = now
}

// RecordLatencyTarget records the mean latency target of a number of new requests for a model. A target of 0 means
// unknown and is ignored.
func (p *Planner) RecordLatencyTarget(model string, target time.Duration, requests int) {
	if target <= 0 || requests <= 0 {
		return
	}
	profile := p.profileOf(model)
	profile.latencyTargetS += (target.Seconds() - profile.latencyTargetS) * min(1, float64(requests)/max(1, profile.requests))
}

// expireDemands drops the records of models and adapters without a request for demandTTL.
func (p *Planner) expireDemands(now time.Duration) {
	for key, d := range p.demands {
		if now-d.lastSeen <= demandTTL {
			continue
		}
		delete(p.demands, key)
		p.sortedKeys = nil
		if key.Adapter == "" {
			delete(p.filters, key.Model)
			delete(p.profiles, key.Model)
		}
	}
}

// waitingFor returns how many requests wait for a model or adapter.
func (p *Planner) waitingFor(now time.Duration, key Key) int {
	if d := p.demands[key]; d != nil {
		return d.waitingRequests(now)
	}
	return 0
}

// rateOf returns the request rate for one model or adapter, in requests a second.
func (p *Planner) rateOf(now time.Duration, key Key) float64 {
	if d := p.demands[key]; d != nil {
		return d.rate(now, p.startedAt)
	}
	return 0
}

// modelRate returns the request rate for a model and its adapters together, in requests a second.
func (p *Planner) modelRate(now time.Duration, model string) float64 {
	rate := 0.0
	for _, key := range p.demandKeys() {
		if key.Model == model {
			rate += p.demands[key].rate(now, p.startedAt)
		}
	}
	return rate
}

// demandKeys returns the keys of all demand records, sorted, so that sums of floats over them are reproducible. The
// caller must not change the slice.
func (p *Planner) demandKeys() []Key {
	if p.sortedKeys == nil {
		p.sortedKeys = slices.SortedFunc(maps.Keys(p.demands), func(x, y Key) int {
			return cmp.Or(cmp.Compare(x.Model, y.Model), cmp.Compare(x.Adapter, y.Adapter))
		})
	}
	return p.sortedKeys
}
