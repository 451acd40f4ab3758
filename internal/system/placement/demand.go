package placement

import (
	"math"
	"time"
)

const (
	// fastSpan and slowSpan are over what times work is averaged: from their difference
	// follows whether it rises.
	fastSpan = 1500 * time.Millisecond
	slowSpan = 4 * time.Second
	// lookAhead is for when work is foretold: a load takes so long, about.
	lookAhead = 3 * time.Second
	// recentSpan and usageSpan are over what times requests are counted: what is asked
	// often is known by the first, what is asked seldom by the second.
	recentSpan = 4 * time.Second
	usageSpan  = 20 * time.Second
	// seldom is the rate up to which the longer span alone counts.
	seldom = 0.1
	// waitingSpan is how long word of waiting requests holds.
	waitingSpan = 1500 * time.Millisecond
	// forgetAfter is after what time without a request a demand is forgotten.
	forgetAfter = 5 * time.Minute
)

// Key is a model, or an adapter of it.
type Key struct{ Model, Adapter string }

// demand is what is asked of one model or adapter.
type demand struct {
	fast, slow    decayed // ms of backends' time
	recent, usage decayed // requests
	lastAt        time.Duration
	zones         map[string]*decayed // requests, by the zone that they come from
	waiting       map[string]waiting  // by the node that reports
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
func (p *Planner) Asked(now time.Duration, node, zone string, key Key, arrived int, workMS float64, waits int) {
	d := p.demands[key]
	if d == nil {
		if len(p.demands) >= mostDemands {
			return
		}
		d = &demand{waiting: map[string]waiting{}, zones: map[string]*decayed{}}
		p.demands[key] = d
	}
	if arrived > 0 {
		d.fast.add(workMS, now, fastSpan)
		d.slow.add(workMS, now, slowSpan)
		d.recent.add(float64(arrived), now, recentSpan)
		d.usage.add(float64(arrived), now, usageSpan)
		if d.zones[zone] == nil && len(d.zones) < mostZones {
			d.zones[zone] = &decayed{}
		}
		if z := d.zones[zone]; z != nil {
			z.add(float64(arrived), now, recentSpan)
		}
		d.lastAt = now
	}
	if waits > 0 {
		d.waiting[node] = waiting{waits, now}
		d.lastAt = now
	} else {
		delete(d.waiting, node)
	}
}

// mostZones bounds the zones that are told apart.
const mostZones = 64

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

// rate is how many requests a second are asked of it now. What is asked often and then
// falls silent is seen so at once; what is asked seldom is not forgotten between two requests.
func (d *demand) rate(now time.Duration) float64 {
	return min(d.usage.perSecond(now, usageSpan), d.recent.perSecond(now, recentSpan)+seldom)
}

// figures are what is asked of one model with its adapters.
type figures struct {
	rate     float64            // requests a second
	work     float64            // ms of backends' time a second, as foretold
	waits    int                // requests that wait for it
	adapters float64            // requests a second for adapters of it
	zones    map[string]float64 // requests a second by the zone that they come from
}

// figuresOf gives the figures of all models that anything is asked of.
func (p *Planner) figuresOf(now time.Duration) map[string]*figures {
	all := map[string]*figures{}
	fast, slow := map[string]float64{}, map[string]float64{}
	for key, d := range p.demands {
		f := all[key.Model]
		if f == nil {
			f = &figures{zones: map[string]float64{}}
			all[key.Model] = f
		}
		f.rate += d.rate(now)
		if key.Adapter != "" {
			f.adapters += d.rate(now)
		}
		f.waits += d.waits(now)
		for zone, z := range d.zones {
			f.zones[zone] += z.perSecond(now, recentSpan)
		}
		fast[key.Model] += d.fast.perSecond(now, fastSpan)
		slow[key.Model] += d.slow.perSecond(now, slowSpan)
	}
	for name, f := range all {
		rise := max(0, fast[name]-slow[name]) / (slowSpan - fastSpan).Seconds()
		f.work = fast[name] + min(rise*lookAhead.Seconds(), fast[name])
	}
	return all
}

// usage is how many requests a second are asked of one adapter.
func (p *Planner) usage(now time.Duration, key Key) float64 {
	if d := p.demands[key]; d != nil {
		return d.rate(now)
	}
	return 0
}
