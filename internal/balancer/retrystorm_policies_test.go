package balancer

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Three known policies, for comparison: what they do about storms, and nothing else. Each picks the
// less loaded of two backends that are listed and answer.

type plainPolicy struct {
	host     Host
	cfg      Config
	rng      *rand.Rand
	ready    []BackendID
	out      map[BackendID]int
	broken   map[BackendID]time.Duration
	requests map[RequestID]*plainRequest
	budget   float64 // Envoy: share of the open requests that may be retries
	retrying int
	throttle bool    // SRE: adaptive throttling
	asked    float64 // faded
	accepts  float64
	at       time.Duration
}

type plainRequest struct {
	Request
	tried    []BackendID
	attempts int
	retry    bool
	over     bool
}

// noControl sends all there is, once more where the first attempt never ran.
func noControl(w *stormSimulation, rank int, h Host) decider {
	return &plainPolicy{
		host: h, cfg: w.cfg, rng: rand.New(rand.NewPCG(w.scenario.seed, uint64(rank))), out: map[BackendID]int{},
		broken: map[BackendID]time.Duration{}, requests: map[RequestID]*plainRequest{}, budget: 1,
	}
}

// retryBudget is no control, but that no more than a fifth of what is open may be second attempts
// (Envoy's retry budget: 20%, and three at least).
func retryBudget(w *stormSimulation, rank int, h Host) decider {
	p := noControl(w, rank, h).(*plainPolicy)
	p.budget = 0.2
	return p
}

// adaptiveThrottling is that, and turns requests away with the chance (asked - 2 accepts) / (asked + 1),
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

func (p *plainPolicy) fade(now time.Duration) {
	if d := now - p.at; d > 100*milli {
		f := 1 - min(1, d.Seconds()/10)
		p.asked, p.accepts, p.at = p.asked*f, p.accepts*f, now
	}
}

func (p *plainPolicy) OnRequest(now time.Duration, q Request) {
	p.fade(now)
	p.asked++
	if p.throttle && p.rng.Float64() < (p.asked-2*p.accepts)/(p.asked+1) {
		p.host.Reject(q.ID, 0)
		return
	}
	r := &plainRequest{Request: q}
	p.requests[q.ID] = r
	p.send(now, r)
}

func (p *plainPolicy) send(now time.Duration, r *plainRequest) {
	var fit []BackendID
	for _, id := range p.ready {
		if !slices.Contains(r.tried, id) && now >= p.broken[id] {
			fit = append(fit, id)
		}
	}
	if len(fit) == 0 {
		p.end(r)
		return
	}
	a, b := fit[p.rng.IntN(len(fit))], fit[p.rng.IntN(len(fit))]
	if p.out[b] < p.out[a] {
		a = b
	}
	r.tried = append(r.tried, a)
	r.attempts++
	p.out[a]++
	p.host.Send(r.ID, a, 0, 0)
}

func (p *plainPolicy) end(r *plainRequest) {
	if !r.over {
		r.over = true
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
	p.out[o.Backend]--
	r := p.requests[o.ID]
	if r == nil {
		return
	}
	p.fade(now)
	if o.Result == OK {
		p.accepts++
	}
	if o.Result == ConnectFailed {
		p.broken[o.Backend] = now + second
	}
	if o.Final || r.over {
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
	r.over = true
	p.host.Fail(r.ID)
	p.drop(r)
}

func (p *plainPolicy) OnClientGone(now time.Duration, id RequestID) {
	if r := p.requests[id]; r != nil {
		r.over = true
		p.drop(r)
	}
}
