package balancer

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Three known policies for comparison, reduced to what they do about retry storms. Each picks the less loaded of two
// backends that are listed and accept connections.

type plainPolicy struct {
	host       Host
	cfg        Config
	rng        *rand.Rand
	ready      []BackendID
	inFlight   map[BackendID]int
	avoidUntil map[BackendID]time.Duration
	requests   map[RequestID]*plainRequest
	budget     float64 // Envoy: fraction of the requests under way that may be retries
	retrying   int
	throttle   bool    // SRE: adaptive throttling
	offered    float64 // decayed number of requests
	accepts    float64 // decayed number of answers
	decayedAt  time.Duration
}

type plainRequest struct {
	Request
	tried    []BackendID
	attempts int
	retry    bool
	ended    bool
}

// noControl sends all requests, and once more those whose first attempt never ran.
func noControl(w *stormSimulation, rank int, h Host) decider {
	return &plainPolicy{
		host: h, cfg: w.cfg, rng: rand.New(rand.NewPCG(w.scenario.seed, uint64(rank))), inFlight: map[BackendID]int{},
		avoidUntil: map[BackendID]time.Duration{}, requests: map[RequestID]*plainRequest{}, budget: 1,
	}
}

// retryBudget is noControl with a limit on second attempts: a fifth of the requests under way
// (Envoy's retry budget: 20%, and three at least).
func retryBudget(w *stormSimulation, rank int, h Host) decider {
	p := noControl(w, rank, h).(*plainPolicy)
	p.budget = 0.2
	return p
}

// adaptiveThrottling is retryBudget, and rejects requests with the probability (offered - 2 accepts) / (offered + 1),
// over ten seconds (Site Reliability Engineering, "Handling Overload"; there it is two minutes).
func adaptiveThrottling(w *stormSimulation, rank int, h Host) decider {
	p := retryBudget(w, rank, h).(*plainPolicy)
	p.throttle = true
	return p
}

func (p *plainPolicy) Start(time.Duration)                            {}
func (p *plainPolicy) OnHealthCheck(time.Duration, HealthCheckResult) {}
func (p *plainPolicy) OnTimer(time.Duration, uint64)                  {}
func (p *plainPolicy) OnMembership(_ time.Duration, m Membership) {
	for _, e := range m.Backends {
		p.ready = slices.DeleteFunc(p.ready, func(id BackendID) bool { return id == e.ID })
		if e.State == Ready {
			p.ready = append(p.ready, e.ID)
		}
	}
}

func (p *plainPolicy) decay(now time.Duration) {
	if d := now - p.decayedAt; d > 100*milli {
		f := 1 - min(1, d.Seconds()/10)
		p.offered, p.accepts, p.decayedAt = p.offered*f, p.accepts*f, now
	}
}

func (p *plainPolicy) OnRequest(now time.Duration, q Request) {
	p.decay(now)
	p.offered++
	if p.throttle && p.rng.Float64() < (p.offered-2*p.accepts)/(p.offered+1) {
		p.host.Reject(q.ID, 0)
		return
	}
	r := &plainRequest{Request: q}
	p.requests[q.ID] = r
	p.send(now, r)
}

func (p *plainPolicy) send(now time.Duration, r *plainRequest) {
	var eligible []BackendID
	for _, id := range p.ready {
		if !slices.Contains(r.tried, id) && now >= p.avoidUntil[id] {
			eligible = append(eligible, id)
		}
	}
	if len(eligible) == 0 {
		p.end(r)
		return
	}
	a, b := eligible[p.rng.IntN(len(eligible))], eligible[p.rng.IntN(len(eligible))]
	if p.inFlight[b] < p.inFlight[a] {
		a = b
	}
	r.tried = append(r.tried, a)
	r.attempts++
	p.inFlight[a]++
	p.host.Send(r.ID, a, 0, 0)
}

func (p *plainPolicy) end(r *plainRequest) {
	if !r.ended {
		r.ended = true
		p.host.Reject(r.ID, 0)
	}
	p.drop(r)
}

func (p *plainPolicy) drop(r *plainRequest) {
	if r.retry {
		p.retrying--
	}
	delete(p.requests, r.ID)
}

func (p *plainPolicy) OnAttemptEnd(now time.Duration, o Outcome) {
	p.inFlight[o.Backend]--
	r := p.requests[o.ID]
	if r == nil {
		return
	}
	p.decay(now)
	if o.Result == OK {
		p.accepts++
	}
	if o.Result == ConnectFailed {
		p.avoidUntil[o.Backend] = now + second
	}
	if o.Final || r.ended {
		p.drop(r)
		return
	}
	if o.Result.NeverRan() && r.attempts < 2 && (p.retrying < 3 || float64(p.retrying) < p.budget*float64(len(p.requests))) {
		if !r.retry {
			r.retry = true
			p.retrying++
		}
		p.send(now, r)
		return
	}
	if o.Result.NeverRan() || p.cfg.Classes[r.Class].Effect == Safe {
		p.end(r)
		return
	}
	r.ended = true
	p.host.Fail(r.ID)
	p.drop(r)
}

func (p *plainPolicy) OnClientGone(now time.Duration, id RequestID) {
	if r := p.requests[id]; r != nil {
		r.ended = true
		p.drop(r)
	}
}
