package placement

import (
	"math"
	"time"
)

const (
	// workSpan is over what time work is averaged: short, since what is popular changes
	// within seconds.
	workSpan = 3 * time.Second
	// usageSpan is over what time the worth of what is resident is averaged.
	usageSpan = 20 * time.Second
	// waitingSpan is how long word of waiting requests holds.
	waitingSpan = 1500 * time.Millisecond
	// forgetAfter is after what time without a request a demand is forgotten.
	forgetAfter = 5 * time.Minute
)

// Key is a model, or an adapter of it.
type Key struct{ Model, Adapter string }

// demand is what is asked of one model or adapter.
type demand struct {
	work     decayed // ms of backends' time
	requests decayed
	lastAt   time.Duration
	waiting  map[string]waiting // by the node that reports
}

type waiting struct {
	count int
	at    time.Duration
}

// decayed is a sum whose parts fade with their age.
type decayed struct {
	sum float64
	at  time.Duration
}

func (d *decayed) add(value float64, now, span time.Duration) {
	d.sum = d.value(now, span) + value
	d.at = now
}

// value is the sum as it has faded by now.
func (d *decayed) value(now, span time.Duration) float64 {
	return d.sum * math.Exp(-float64(now-d.at)/float64(span))
}

// perSecond is the rate that the sum stands for.
func (d *decayed) perSecond(now, span time.Duration) float64 {
	return d.value(now, span) / span.Seconds()
}

func (d *demand) waits(now time.Duration) int {
	total := 0
	for node, w := range d.waiting {
		if now-w.at > waitingSpan {
			delete(d.waiting, node)
			continue
		}
		total += w.count
	}
	return total
}

// Asked takes in what a node reports of one model or adapter.
func (p *Planner) Asked(now time.Duration, node string, key Key, arrived int, workMS float64, waits int) {
	d := p.demands[key]
	if d == nil {
		if len(p.demands) >= mostDemands {
			return
		}
		d = &demand{waiting: map[string]waiting{}}
		p.demands[key] = d
	}
	if arrived > 0 {
		d.work.add(workMS, now, workSpan)
		d.requests.add(float64(arrived), now, usageSpan)
		d.lastAt = now
	}
	if waits > 0 {
		d.waiting[node] = waiting{waits, now}
		d.lastAt = now
	} else {
		delete(d.waiting, node)
	}
}

// mostDemands bounds the models and adapters that are kept count of.
const mostDemands = 1 << 16

func (p *Planner) forgetDemands(now time.Duration) {
	for key, d := range p.demands {
		if now-d.lastAt > forgetAfter {
			delete(p.demands, key)
		}
	}
}

func (p *Planner) waitsFor(now time.Duration, key Key) int {
	if d := p.demands[key]; d != nil {
		return d.waits(now)
	}
	return 0
}

// workOn is the work asked of a model and its adapters, ms a second.
func (p *Planner) workOn(now time.Duration) map[string]float64 {
	work := map[string]float64{}
	for key, d := range p.demands {
		work[key.Model] += d.work.perSecond(now, workSpan)
	}
	return work
}

// usage is how many requests a second are asked of a model or adapter, over the longer span.
func (p *Planner) usage(now time.Duration, key Key) float64 {
	if d := p.demands[key]; d != nil {
		return d.requests.perSecond(now, usageSpan)
	}
	return 0
}

// modelUsage is usage of a model with all its adapters.
func (p *Planner) modelUsage(now time.Duration) map[string]float64 {
	usage := map[string]float64{}
	for key, d := range p.demands {
		usage[key.Model] += d.requests.perSecond(now, usageSpan)
	}
	return usage
}
