package balancer

// Delay estimates: how long a request takes, by its class and cost hint, and how long a backend takes, as a
// multiple of that.

import (
	"cmp"
	"math"
)

const (
	decayIntervals     = 4   // decayTime is at least this many health check intervals,
	minAnswersInMemory = 8   // and long enough for this many answers of each backend in the subset
	priorAnswers       = 0.5 // weight, in answers, of the others' median in a backend's delay ratio
	maxMeanWindow      = 256 // requests over which means are taken
	loadExponent       = 0.3 // a predicted delay grows with the load to this power
	// Expected delay of a class before its first answer, as a fraction of its latency target.
	guessedDelayRatio = 0.25
)

// delayRatio is the smoothed latency of a backend, as a multiple of the delay expected from its requests'
// classes and cost hints. Attempts in flight count with their age, so that requests that will time out show
// early. Without recent answers it is the median of the others.
func (b *Balancer) delayRatio(t *target) float64 {
	sum, n := t.delays.Value(b.now, b.decayTime), t.answers.Value(b.now, b.decayTime)
	return (sum + t.inFlightAges.at(b.now) + priorAnswers*b.medianDelayRatio) / (n + priorAnswers)
}

// predictDelay is the expected delay in ms of a request at a backend, for the prediction of its success. The
// backend's delay ratio already reflects its load, so the attempts in flight add only a little.
func (b *Balancer) predictDelay(r *request, t *target) float64 {
	expected := b.expectedDelay(r.Class, millis(r.Cost))
	return expected*b.delayRatio(t)*math.Pow(t.load+1, loadExponent) + b.extraDelay(r, t)
}

// expectedDelay is the delay in ms expected at any backend from a request's class and cost hint (ms; 0 is
// none).
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

// extraDelay is the Advice's ExtraDelay of a request at a backend, ms.
func (b *Balancer) extraDelay(r *request, t *target) float64 {
	return b.advice.ExtraDelay(b.now, &r.Request, t.ID)
}

// work is the work in ms that a request causes at a backend: its cost hint, or else its expected delay.
func (b *Balancer) work(r *request) float64 {
	if r.Cost > 0 {
		return millis(r.Cost)
	}
	return b.expectedDelay(r.Class, 0)
}

// meanDelay is the mean delay of a request, ms; before the first answer it is a guess. Later the guesses
// must not count: a proxy that has just started and whose answers come a hundred times sooner than guessed
// would take its few requests for an overload.
func (b *Balancer) meanDelay() float64 { return cmp.Or(b.knownDelay.mean, b.meanExpectedDelay) }

// recordExpectedDelay records the expected delay of a request. known is set if its class has had answers.
func (b *Balancer) recordExpectedDelay(expected float64, known bool) {
	b.meanExpectedDelay = smooth(b.meanExpectedDelay, expected, b.meanWindow)
	if known {
		b.knownDelay.add(expected, maxMeanWindow)
	}
}

// recordDelay records the delay of an answer, ms. The first answer of all also sets knownDelay, so that
// requests already queued are judged by it.
func (b *Balancer) recordDelay(r *request, took float64) {
	b.delayModels[r.Class].add(millis(r.Cost), took)
	if b.knownDelay.n == 0 {
		b.knownDelay.add(b.expectedDelay(r.Class, millis(r.Cost)), maxMeanWindow)
	}
}

// recordDelayRatio records the delay ratio of an attempt with a weight.
func (b *Balancer) recordDelayRatio(a *attempt, ratio, weight float64) {
	t := a.target
	t.delays.Add(ratio*weight, b.now, b.decayTime)
	t.answers.Add(weight, b.now, b.decayTime)
	b.grayFailure.RecordDelayRatio(a.cell(), b.now, ratio, weight)
}

// updateMedians computes the medians with which delay ratios and tails are compared.
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

// identityKey is the same for all requests of one class, tenant and key, among which a client's retry is
// recognized. It is 0 for a request without a key.
func (b *Balancer) identityKey(q Request) uint64 {
	if q.Key == 0 {
		return 0
	}
	return mix(q.Key, BackendID(q.Class<<16|q.Tenant)) | 1
}
