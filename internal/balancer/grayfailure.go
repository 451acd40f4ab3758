package balancer

// Gray failures: a backend serves one class of requests badly while it serves the others well. The model is
// in package grayfailure; this file feeds it and decides its effects on selection, retries and admission.

import (
	"fmt"
	"slices"
	"time"

	"marlreel/internal/balancer/grayfailure"
)

const (
	trialInterval = 100 * time.Millisecond // between two trials of one class at one backend
	// Multiplies trialInterval for a request of full value that can't be retried.
	fullValueTrialFactor = 5
	maxClassLogLines     = 6 // log lines about classes in each logInterval
)

// classHealth is the state of one class at one backend.
type classHealth struct {
	grayfailure.Cell
	inFlightAges ages // of the attempts in flight
	isolated     bool // its ages don't count for the backend, as only the class is slow
	lastTrial    time.Duration
}

// cell returns the gray failure state of an attempt's class at its backend.
func (a *attempt) cell() *grayfailure.Cell { return &a.target.classHealth[a.request.Class].Cell }

// trackAge adds an attempt to the ages in flight (sign 1) or removes it (-1).
func (t *target) trackAge(a *attempt, sign float64) {
	health := &t.classHealth[a.request.Class]
	age := ages{millis(a.sent) / a.expected, 1 / a.expected}
	health.inFlightAges.add(age, sign)
	if !health.isolated {
		t.inFlightAges.add(age, sign)
	}
	if len(t.inFlight) == 0 { // drops accumulated rounding errors
		t.inFlightAges, health.inFlightAges = ages{}, ages{}
	}
}

// setIsolated removes the ages of a class from the backend's, or adds them back.
func (t *target) setIsolated(health *classHealth, isolated bool) {
	if health.isolated == isolated {
		return
	}
	sign := 1.0
	if isolated {
		sign = -1
	}
	t.inFlightAges.add(health.inFlightAges, sign)
	health.isolated = isolated
}

// delayExpectation is the delay expected of an attempt at its backend, from the current delays of the other
// classes there.
func (b *Balancer) delayExpectation(a *attempt) grayfailure.Expectation {
	t, health := a.target, &a.target.classHealth[a.request.Class]
	sum, n := t.delays.Value(b.now, b.decayTime), t.answers.Value(b.now, b.decayTime)
	ownSum, ownN := b.grayFailure.DelayRatios(&health.Cell, b.now)
	others := t.inFlightAges
	if !health.isolated {
		others.add(health.inFlightAges, -1)
	}
	sum = max(0, sum-ownSum) + others.at(b.now)
	n = max(0, n-ownN)
	ratio := a.expected * (sum + priorAnswers*b.medianDelayRatio) / (n + priorAnswers)
	return grayfailure.Expectation{Delay: ratio, Answers: n}
}

// recordGrayFailure records the end of an attempt as evidence about its class at its backend. It returns
// how much the end says about the backend as a whole, 0 to 1.
func (b *Balancer) recordGrayFailure(a *attempt, result Result) float64 {
	class, outcome := a.request.Class, grayFailureOutcome(result)
	if result == OK {
		for i := range a.target.classHealth {
			if i != class {
				a.target.classHealth[i].RecordOtherAnswer(a.sent)
			}
		}
	}
	if a.trial {
		b.grayFailure.RecordTrialOutcome(a.cell(), class, outcome, a.request.class.Effect != Unsafe)
	}
	return b.grayFailure.RecordOutcome(a.cell(), class, outcome, a.sent, b.now, b.delayExpectation(a))
}

// grayFailureOutcome is what the end of an attempt says about its class at its backend. A broken connection
// or a rejection says nothing about the class.
func grayFailureOutcome(r Result) grayfailure.Outcome {
	switch r {
	case OK:
		return grayfailure.Answered
	case Error:
		return grayfailure.Failed
	case Timeout, Cancelled:
		return grayfailure.TimedOut
	}
	return grayfailure.Unknown
}

// evaluateGrayFailures ejects and reinstates classes in each sweep; attempts in flight count by their age.
func (b *Balancer) evaluateGrayFailures() {
	b.grayFailure.BeginComparison()
	for _, t := range b.ready {
		b.compareClasses(t)
	}
	b.grayFailure.EndComparison()
	for _, t := range b.subset {
		for class := range t.classHealth {
			b.evaluateClass(t, class)
		}
		b.cancelOnEjected(t)
	}
}

// compareClasses adds the classes of a backend to the comparison.
func (b *Balancer) compareClasses(t *target) {
	for i := range t.classHealth {
		t.classHealth[i].ResetInFlight()
	}
	for _, a := range t.inFlight {
		if a.firstByteAt == 0 && b.now-a.sent > fromMillis(a.expected) {
			b.grayFailure.AddInFlight(a.cell(), a.request.Class, a.sent, b.now, b.delayExpectation(a))
		}
	}
	mean := t.delays.Mean(&t.answers, b.now, b.decayTime)
	if !t.inSubset || !b.isHealthy(t) {
		return
	}
	for i := range t.classHealth {
		b.grayFailure.AddToComparison(&t.classHealth[i].Cell, i, b.now, mean)
	}
}

// evaluateClass ejects a class at a backend, or reinstates it.
func (b *Balancer) evaluateClass(t *target, class int) {
	health := &t.classHealth[class]
	since, _, _ := health.EjectionState()
	name := b.cfg.Classes[class].Name
	switch b.grayFailure.Evaluate(&health.Cell, class, b.now) {
	case grayfailure.Ejected:
		_, failures, _ := health.EjectionState()
		t.setIsolated(health, true)
		health.lastTrial = b.now
		b.logClass(fmt.Sprintf("backend %d gets no %s: %d in a row had no answer, others had",
			t.ID, name, failures))
	case grayfailure.Reinstated:
		t.setIsolated(health, false)
		ejectedFor := (b.now - since).Round(time.Millisecond)
		b.logClass(fmt.Sprintf("backend %d gets %s again after %v: it answers them", t.ID, name, ejectedFor))
	}
}

// cancelOnEjected cancels attempts in flight at a backend where their class is ejected, if they may be
// retried and there is time: once its attempt has ended, the request is sent to another backend.
func (b *Balancer) cancelOnEjected(t *target) {
	for _, a := range t.inFlight {
		if b.mayCancelForRetry(a) && b.otherBackendLeft(a) {
			b.cancel(a)
		}
	}
}

func (b *Balancer) mayCancelForRetry(a *attempt) bool {
	r := a.request
	if a.cancelled || r.ended || r.streaming || r.class.Effect == Unsafe {
		return false
	}
	if !b.isClassEjected(r, a.target) || b.retryTokens < 1 {
		return false
	}
	needed := fromMillis(a.expected * b.medianDelayRatio)
	return b.now-a.sent >= needed && b.usefulUntil(r)-b.now >= 2*needed
}

// otherBackendLeft tells whether another backend of the subset may get the request and serves its class.
func (b *Balancer) otherBackendLeft(a *attempt) bool {
	r := a.request
	return slices.ContainsFunc(b.subset, func(t *target) bool {
		return t != a.target && b.isHealthy(t) && b.maySend(r, t) && !b.isClassEjected(r, t)
	})
}

// isClassEjected tells whether a request's class is ejected at a backend, which then gets only trials of it.
func (b *Balancer) isClassEjected(r *request, t *target) bool {
	_, _, ejected := t.classHealth[r.Class].EjectionState()
	return ejected
}

// pickTrial returns a backend at which a request's class may be tried again, or nil: of those that are due,
// the one with the oldest last trial. A trial may lose a request that can't be retried. So those of less
// than full value are tried first, and one of full value only if there has been no trial for some time.
func (b *Balancer) pickTrial(r *request, work float64) *target {
	if len(r.attempts) > 0 || !b.grayFailure.AnyEjected(r.Class) {
		return nil
	}
	interval := trialInterval
	if r.class.Effect == Unsafe && r.utility >= r.class.Value {
		interval *= fullValueTrialFactor
	}
	var best *target
	for _, t := range b.subset {
		if !b.trialDue(r, t, interval) {
			continue
		}
		if best != nil && best.classHealth[r.Class].lastTrial <= t.classHealth[r.Class].lastTrial {
			continue
		}
		if b.isHealthy(t) && b.maySend(r, t) && b.mayReceive(t, work) && b.underLimit(r, t) {
			best = t
		}
	}
	if best != nil {
		best.classHealth[r.Class].lastTrial = b.now
	}
	return best
}

func (b *Balancer) trialDue(r *request, t *target, interval time.Duration) bool {
	health := &t.classHealth[r.Class]
	if !b.isClassEjected(r, t) || b.now-health.lastTrial < interval {
		return false
	}
	return b.grayFailure.MayTrial(&health.Cell, r.Class)
}

// queueTooLong tells whether so many requests of the class are queued ahead of a request that the backends
// which still serve the class can't serve it in time. Queuing it until half its time is over would leave
// another proxy too little time to serve it.
func (b *Balancer) queueTooLong(r *request, ahead int) bool {
	if !b.grayFailure.AnyEjected(r.Class) {
		return false
	}
	rate := b.servedByClass[r.Class].Rate(b.now, b.healthCheckInterval)
	return float64(ahead) > rate*(r.waitUntil-b.now).Seconds()+1
}
