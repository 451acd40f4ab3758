package balancer

// Delay estimates: how long a request takes, by its class and hint; how long a backend takes, as a multiple
// of that.

import (
	"cmp"
	"math"
)

const (
	decayIntervals     = 4   // health check intervals over which measurements decay at least,
	minAnswersInMemory = 8   // and long enough for so many answers of each backend in the subset
	priorAnswers       = 0.5 // answers that the others' median counts for in a backend's delay ratio
	maxMeanWindow      = 256 // requests over which means are taken
	loadExponent       = 0.3 // of the load, with which a predicted delay rises
	// Of its latency target that a class is expected to take before its first answer.
	guessedDelayRatio = 0.25
)

// delayRatio is the smoothed latency of a backend, as a multiple of what its requests' classes and hints
// lead one to expect. What is still in flight counts with its age, so that a timeout shows at once; with no
// answers left in memory it is the others' median.
func (b *Balancer) delayRatio(t *target) float64 {
	sum, n := t.delays.Value(b.now, b.decayTime), t.answers.Value(b.now, b.decayTime)
	return (sum + t.inFlightAges.at(b.now) + priorAnswers*b.medianDelayRatio) / (n + priorAnswers)
}

// predictDelay is the delay in ms to expect of a request there, for the prediction of its success: what the
// backend takes already has its load in it, so what is in flight counts for little more.
func (b *Balancer) predictDelay(r *request, t *target) float64 {
	expected := b.expectedDelay(r.Class, millis(r.Cost))
	return expected*b.delayRatio(t)*math.Pow(t.load+1, loadExponent) + b.extraDelay(r, t)
}

// expectedDelay is the delay in ms that class and hint (ms; 0 is none) lead one to expect of any backend.
func (b *Balancer) expectedDelay(class int, cost float64) float64 {
	model := &b.delayModels[class]
	if model.n < 1 {
		return millis(b.cfg.Classes[class].LatencyTarget) * guessedDelayRatio
	}
	if cost <= 0 {
		return model.mean()
	}
	return max(model.mean()/4, model.at(cost))
}

// extraDelay is what the advice says that a request waits there beyond its usual delay, ms.
func (b *Balancer) extraDelay(r *request, t *target) float64 {
	return b.advice.ExtraDelay(b.now, &r.Request, t.ID)
}

// work is what a request asks of a backend, ms.
func (b *Balancer) work(r *request) float64 {
	if r.Cost > 0 {
		return millis(r.Cost)
	}
	return b.expectedDelay(r.Class, 0)
}

// meanDelay is what a request takes, ms; before the first answer, by guess. With guesses in the mean, a
// proxy that has just started, and whose answers come a hundred times sooner, would take its few requests
// for an overload.
func (b *Balancer) meanDelay() float64 { return cmp.Or(b.knownDelay.mean, b.meanExpectedDelay) }

// recordExpectedDelay takes in the delay that a request is expected to have; known: its class has had
// answers.
func (b *Balancer) recordExpectedDelay(expected float64, known bool) {
	b.meanExpectedDelay = smooth(b.meanExpectedDelay, expected, b.meanWindow)
	if known {
		b.knownDelay.add(expected, maxMeanWindow)
	}
}

// recordDelay takes in what an answer took, ms. What is queued at the first one of all is judged by it.
func (b *Balancer) recordDelay(r *request, took float64) {
	b.delayModels[r.Class].add(millis(r.Cost), took)
	if b.knownDelay.n == 0 {
		b.knownDelay.add(b.expectedDelay(r.Class, millis(r.Cost)), maxMeanWindow)
	}
}

// recordDelayRatio takes in a delay ratio of an attempt with a weight.
func (b *Balancer) recordDelayRatio(a *attempt, ratio, weight float64) {
	t := a.target
	t.delays.Add(ratio*weight, b.now, b.decayTime)
	t.answers.Add(weight, b.now, b.decayTime)
	b.grayFailure.RecordDelayRatio(a.cell(), b.now, ratio, weight)
}

// updateMedians takes the medians that delay ratios and tails are compared with.
func (b *Balancer) updateMedians() {
	b.ratios = b.ratios[:0]
	for _, t := range b.subset {
		sum, n := t.delays.Value(b.now, b.decayTime), t.answers.Value(b.now, b.decayTime)
		if t.healthy && n > priorAnswers {
			b.ratios = append(b.ratios, sum/n)
		}
	}
	b.medianDelayRatio = median(b.ratios, 1)
	b.ratios = b.ratios[:0]
	for _, t := range b.ready {
		t.tail.updateMin()
		if t.tail.min > 0 {
			b.ratios = append(b.ratios, t.tail.min)
		}
	}
	b.medianTail = median(b.ratios, 0)
}

// identityKey is the same for requests that a retry can be taken for: of one class, tenant and key; 0 for
// one without a key.
func (b *Balancer) identityKey(q Request) uint64 {
	if q.Key == 0 {
		return 0
	}
	return mix(q.Key, BackendID(q.Class<<16|q.Tenant)) | 1
}
