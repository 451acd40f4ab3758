package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// fastSpan is over what time work is averaged.
	fastSpan = 1500 * time.Millisecond
	// reactionTime is how long it takes, beside the load itself, until proxies send requests to a copy that
	// demand has called for.
	reactionTime = 700 * time.Millisecond
	// spareLoads is how much longer than a load, in loads, an aim must be for a load to be done in time for sure.
	spareLoads = 0.25
	// soon is for when the worth of what is held already is foretold: an unload takes so long, about.
	soon = 500 * time.Millisecond
	// riseTime is in what time a model comes to be asked for as busy models are, about, in loads.
	riseTime = 2.0
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
	fast          decayed // ms of backends' time
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

// perSecond is the rate that the sum stands for, where it is kept since a time.
func (d *decayed) perSecond(now, span, since time.Duration) float64 {
	kept := 1 - math.Exp(-float64(max(now-since, leastKept))/float64(span))
	return d.value(now, span) / span.Seconds() / kept
}

// leastKept is for how long a sum counts as kept at least: a rate over less would be chance.
const leastKept = time.Second

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

// RecordDemand takes in what a node reports of one model or adapter.
func (p *Planner) RecordDemand(now time.Duration, node, zone string, key Key, arrived int, workMS float64, waits int) {
	d := p.demands[key]
	if d == nil {
		if len(p.demands) >= mostDemands {
			return
		}
		d = &demand{waiting: map[string]waiting{}, zones: map[string]*decayed{}}
		p.demands[key], p.keys = d, nil
	}
	if arrived > 0 {
		d.fast.add(workMS, now, fastSpan)
		p.trendOf(now, key.Model).add(now, float64(arrived), p.slopes)
		p.meanWork(key.Model).learn(workMS, float64(arrived))
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

// RecordLatencyTarget takes in within what time the requests for a model that have come are to be answered, on average. 0 is not
// known.
func (p *Planner) RecordLatencyTarget(model string, aim time.Duration, requests int) {
	if aim <= 0 || requests <= 0 {
		return
	}
	m := p.meanWork(model)
	m.aim += (aim.Seconds() - m.aim) * min(1, float64(requests)/max(1, m.count))
}

// mostZones bounds the zones that are told apart.
const mostZones = 64

// mostDemands bounds the models and adapters that are kept count of.
const mostDemands = 1 << 16

func (p *Planner) forgetDemands(now time.Duration) {
	for key, d := range p.demands {
		if now-d.lastAt > forgetAfter {
			delete(p.demands, key)
			p.keys = nil
			if key.Adapter == "" {
				delete(p.trends, key.Model)
				delete(p.works, key.Model)
			}
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
func (d *demand) rate(now, since time.Duration) float64 {
	return min(d.usage.perSecond(now, usageSpan, since), d.recent.perSecond(now, recentSpan, since)+seldom)
}

// sortedKeys are the keys of all demands in order: sums that are taken over them are the same again. They must not be
// changed.
func (p *Planner) sortedKeys() []Key {
	if p.keys == nil {
		p.keys = slices.SortedFunc(maps.Keys(p.demands), func(x, y Key) int {
			return cmp.Or(cmp.Compare(x.Model, y.Model), cmp.Compare(x.Adapter, y.Adapter))
		})
	}
	return p.keys
}

// figures are what is asked of one model with its adapters.
type figures struct {
	rate     float64            // requests a second
	recent   float64            // the same, over the last seconds alone
	work     float64            // ms of backends' time a second, as foretold for when a load would be done
	workSoon float64            // the same, for when an unload would be done
	missed   float64            // what a request loses that comes while nobody holds the model
	each     float64            // ms of a backend's time that a request takes
	waits    int                // requests that wait for it
	adapters float64            // requests a second for adapters of it
	zones    map[string]float64 // requests a second by the zone that they come from
}

// figuresOf gives the figures of all models that anything is asked of.
func (p *Planner) figuresOf(now time.Duration) map[string]*figures {
	all := map[string]*figures{}
	for _, key := range p.sortedKeys() {
		d, f := p.demands[key], all[key.Model]
		if f == nil {
			f = &figures{zones: map[string]float64{}}
			all[key.Model] = f
		}
		f.rate += d.rate(now, p.began)
		f.recent += d.recent.perSecond(now, recentSpan, p.began)
		if key.Adapter != "" {
			f.adapters += d.rate(now, p.began)
		}
		f.waits += d.waits(now)
		for zone, z := range d.zones {
			f.zones[zone] += z.perSecond(now, recentSpan, p.began)
		}
	}
	for name, f := range all {
		t := p.trendOf(now, name)
		t.advance(now, p.slopes)
		work := p.meanWork(name).mean()
		f.each = max(work, leastWork)
		f.missed = p.missedOf(name)
		f.work = work * t.at(p.service.Models[name].LoadTime+reactionTime)
		f.workSoon = work * t.at(soon)
	}
	p.slopes = p.findSlopes(all)
	return all
}

// leastWork is the least that a request is taken to ask for, ms.
const leastWork = 1

// missedOf is what a request for a model loses that comes while nobody holds it: little where a load is done within
// its aim.
func (p *Planner) missedOf(model string) float64 {
	aim := p.meanWork(model).aim
	need := (p.service.Models[model].LoadTime + reactionTime).Seconds()
	if aim <= 0 || need <= 0 {
		return missed
	}
	spare := (aim - need) / (spareLoads * need)
	return missed - (missed-missedInTime)*min(max(spare, 0), 1)
}

// findSlopes is how fast rates change, as a deviation: a model may come to be asked for as the others are within
// some loads.
func (p *Planner) findSlopes(all map[string]*figures) float64 {
	sum, squares := 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(all)) {
		recent := all[name].recent
		sum += recent
		squares += recent * recent
	}
	loadTimes, count := 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(p.service.Models)) {
		loadTimes += p.service.Models[name].LoadTime.Seconds()
		count++
	}
	if sum <= 0 || loadTimes <= 0 {
		return leastRate
	}
	return max(leastRate, squares/sum/(riseTime*loadTimes/count))
}

// trendOf is the trend of a model.
func (p *Planner) trendOf(now time.Duration, model string) *trend {
	t := p.trends[model]
	if t == nil {
		t = newTrend(now, p.began, p.slopes)
		p.trends[model] = t
	}
	return t
}

// meanWork is the mean work of a model's requests.
func (p *Planner) meanWork(model string) *meanWork {
	m := p.works[model]
	if m == nil {
		m = &meanWork{}
		p.works[model] = m
	}
	return m
}

// meanWork is what a model's requests are like: means in which old requests fade as new ones come.
type meanWork struct {
	sum, count float64
	aim        float64 // seconds within which they are to be answered; 0 is not known
}

// workMemory is how many requests a mean of work is taken over.
const workMemory = 200

func (m *meanWork) learn(work, count float64) {
	keep := math.Exp(-count / workMemory)
	m.sum, m.count = m.sum*keep+work, m.count*keep+count
}

func (m *meanWork) mean() float64 {
	if m.count <= 0 {
		return 0
	}
	return m.sum / m.count
}

// usage is how many requests a second are asked of one adapter.
func (p *Planner) usage(now time.Duration, key Key) float64 {
	if d := p.demands[key]; d != nil {
		return d.rate(now, p.began)
	}
	return 0
}
