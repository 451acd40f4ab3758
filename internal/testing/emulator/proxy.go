package emulator

import (
	"fmt"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/balancer/budgetshare"
	"marlreel/internal/dataplane/backlog"
	"marlreel/internal/dataplane/routing"
	"marlreel/internal/placement"
)

// clockStart is the balancer's time at the start of a run. It is above 0 so that backends may have started earlier.
const clockStart = time.Hour

// reportSoon delays the report of the first request that waits for a model, so that others can join the same report.
const reportSoon = 5 * time.Millisecond

// connectionIdleTimeout is the idle time after which a connection to a backend is closed.
const connectionIdleTimeout = 20 * time.Second

// proxy simulates a proxy with its balancer, and implements the balancer's host.
type proxy struct {
	sim             *simulation
	name            string
	zone            int
	balancer        *balancer.Balancer
	advisor         *routing.Advisor
	calls           map[balancer.RequestID]*call
	lastID          balancer.RequestID
	reportScheduled bool // an early report is scheduled for a waiting request
	demand          map[placement.Key]*demandCount
	idleConnections map[balancer.BackendID][]time.Duration // start of the idle time of each connection
}

// demandCount is the demand for a model since the last report.
type demandCount struct {
	arrived       int
	workMS        float64
	latencyTarget time.Duration // of the last request
}

// call is a pending request.
type call struct {
	request  *request
	cost     time.Duration
	attempts []*attempt
	answered bool
	firstAt  time.Duration // time of the first byte
	paused   bool          // a pause exceeded Engine.MaxPause
	waits    bool          // no backend had its model loaded on arrival
}

type attempt struct {
	run  *execution
	to   balancer.BackendID
	done bool
}

var _ balancer.Host = (*proxy)(nil)

func newProxy(w *simulation, zone, index int) (*proxy, error) {
	name := fmt.Sprintf("proxy-%d-%d", zone, index)
	p := &proxy{
		sim: w, name: name, zone: zone, calls: map[balancer.RequestID]*call{}, demand: map[placement.Key]*demandCount{},
		idleConnections: map[balancer.BackendID][]time.Duration{},
	}
	p.advisor = routing.New(routing.Config{
		Self: name, ServesModels: true, Warmup: budgetshare.WarmupConfig{PerSecond: 1e6, Excess: 1},
		RetryBudget: budgetshare.RetryConfig{Ratio: 1, Slack: 1e6, Window: 10 * time.Second},
	}, clockStart)
	p.advisor.SetSharers(clockStart, []string{name}, true)
	rank := zone*w.cfg.ProxiesPerZone + index
	settings := routing.BalancerConfig(w.classes, w.cfg.Zones*w.cfg.ProxiesPerZone, rank, zone, p.advisor)
	var err error
	p.balancer, err = balancer.New(settings, w.cfg.Seed<<16+uint64(rank), p)
	return p, err
}

func (p *proxy) now() time.Duration { return p.sim.clock.now + clockStart }

// start starts the balancer and gives it all backends.
func (p *proxy) start() {
	p.updateBackends()
	p.balancer.Start(p.now())
	var list []balancer.Backend
	for i, b := range p.sim.backends {
		list = append(list, balancer.Backend{ID: balancer.BackendID(i + 1), Zone: b.zone, Kind: -1, Cell: -1, State: balancer.Ready})
	}
	p.balancer.OnMembership(p.now(), balancer.Membership{Kind: balancer.MembershipFull, Backends: list})
}

// updateBackends gives the advisor the reported models of the backends.
func (p *proxy) updateBackends() { p.advisor.SetBackends(p.now(), p.sim.reportedBackends) }

// onRequest handles a client's request.
func (p *proxy) onRequest(q *request) {
	w := p.sim
	cost := routing.EstimateWork(q.promptTokens+q.kind.SharedTokens, q.outputTokens)
	key := placement.Key{Model: q.model, Adapter: q.adapter}
	count := p.demand[key]
	if count == nil {
		count = &demandCount{}
		p.demand[key] = count
	}
	count.arrived++
	count.latencyTarget = q.kind.LatencyTarget
	count.workMS += float64(cost) / float64(time.Millisecond)
	if w.cfg.Knowledge == PerfectKnowledge {
		p.advisor.RecordPeerBacklog(p.now(), w.pending())
	}
	p.lastID++
	id := p.lastID
	c := &call{request: q, cost: cost, waits: !w.reportedLoaded[key]}
	p.calls[id] = c
	if c.waits && !p.reportScheduled {
		p.reportScheduled = true
		w.clock.after(reportSoon, func() {
			p.reportScheduled = false
			w.report(p)
		})
	}
	w.clock.after(q.deadline-w.clock.now, func() { p.onClientTimeout(id) })
	p.balancer.OnRequest(p.now(), balancer.Request{
		ID: id, Class: w.classOf[q.kind], Cost: cost, Deadline: q.deadline + clockStart,
		Needs: &balancer.Needs{Model: q.model, Adapter: q.adapter, MaxOutputTokens: q.outputTokens},
	})
}

// onClientTimeout ends a request whose response has not begun at its deadline.
func (p *proxy) onClientTimeout(id balancer.RequestID) {
	c := p.calls[id]
	if c == nil || c.answered {
		return
	}
	c.answered = true
	p.sim.score.recordLost(c)
	for _, a := range c.attempts {
		a.run.cancelled = true
	}
	delete(p.calls, id)
	p.balancer.OnClientGone(p.now(), id)
}

// Send implements balancer.Host.
func (p *proxy) Send(id balancer.RequestID, to balancer.BackendID, _, _ time.Duration) {
	c := p.calls[id]
	if c == nil {
		return
	}
	w, n := p.sim, len(c.attempts)
	b := w.backends[to-1]
	delay := w.cfg.networkDelay(p.zone, b.zone)
	a := &attempt{to: to}
	c.attempts = append(c.attempts, a)
	p.connect(to)
	if b.zone != p.zone {
		w.score.CrossZoneAttempts++
	}
	end := func(result balancer.Result) {
		if a.done {
			return
		}
		a.done = true
		p.idleConnections[to] = append(p.idleConnections[to], w.clock.now)
		p.balancer.OnAttemptEnd(p.now(), balancer.Outcome{ID: id, Attempt: n, Backend: to, Result: result, Final: c.answered})
		if c.answered {
			delete(p.calls, id)
		}
	}
	kind := c.request.kind
	a.run = &execution{
		request: c.request, priority: routing.BackendPriority(kind.LatencyTarget, kind.Priority, w.clock.now-c.request.at),
		onFirstToken: func() { w.clock.after(delay, func() { p.onFirstByte(id, n) }) },
		onPause:      func() { c.paused = true },
		onEnd: func() {
			w.clock.after(delay, func() {
				w.score.recordServed(c)
				end(balancer.OK)
			})
		},
		onReject: func() { w.clock.after(delay, func() { end(balancer.Rejected) }) },
	}
	w.clock.after(delay, func() {
		if !a.run.cancelled {
			b.accept(a.run)
		}
	})
}

// connect takes an idle connection to a backend or opens a new one.
func (p *proxy) connect(to balancer.BackendID) {
	idle := p.idleConnections[to]
	for len(idle) > 0 {
		last := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		if p.sim.clock.now-last <= connectionIdleTimeout {
			p.idleConnections[to] = idle
			return
		}
	}
	p.idleConnections[to] = idle
	p.sim.score.Connections++
}

// onFirstByte handles the first token of a response.
func (p *proxy) onFirstByte(id balancer.RequestID, n int) {
	c := p.calls[id]
	if c == nil || c.answered {
		return
	}
	c.answered = true
	c.firstAt = p.sim.clock.now
	p.balancer.OnFirstByte(p.now(), balancer.FirstByte{ID: id, Attempt: n, Backend: c.attempts[n].to})
}

// Reject implements balancer.Host.
func (p *proxy) Reject(id balancer.RequestID, retryAfter time.Duration) {
	c := p.calls[id]
	if c == nil || c.answered {
		return
	}
	c.answered = true
	p.sim.clock.after(0, func() { delete(p.calls, id) })
	p.sim.onRejected(c, retryAfter)
}

// Fail implements balancer.Host.
func (p *proxy) Fail(id balancer.RequestID) {
	c := p.calls[id]
	if c == nil || c.answered {
		return
	}
	c.answered = true
	p.sim.clock.after(0, func() { delete(p.calls, id) })
	p.sim.score.recordLost(c)
}

// Cancel implements balancer.Host.
func (p *proxy) Cancel(id balancer.RequestID, n int) {
	c := p.calls[id]
	if c == nil || n >= len(c.attempts) {
		return
	}
	a := c.attempts[n]
	a.run.cancelled = true
	p.sim.clock.after(0, func() {
		if !a.done {
			a.done = true
			p.balancer.OnAttemptEnd(p.now(), balancer.Outcome{ID: id, Attempt: n, Backend: a.to, Result: balancer.Cancelled, Final: c.answered})
		}
	})
}

// CheckHealth implements balancer.Host. All backends are healthy.
func (p *proxy) CheckHealth(b balancer.BackendID) {
	p.sim.clock.after(2*p.sim.cfg.CrossZone, func() {
		p.balancer.OnHealthCheck(p.now(), balancer.HealthCheckResult{Backend: b, Result: balancer.OK})
	})
}

// StartTimer implements balancer.Host.
func (p *proxy) StartTimer(span time.Duration, token uint64) {
	p.sim.clock.after(span, func() { p.balancer.OnTimer(p.now(), token) })
}

// Release implements balancer.Host.
func (p *proxy) Release(b balancer.BackendID) { p.idleConnections[b] = nil }

// Watch implements balancer.Host.
func (p *proxy) Watch(bool) {}

// Fetch implements balancer.Host.
func (p *proxy) Fetch() {}

// SendToPeer implements balancer.Host.
func (p *proxy) SendToPeer(uint32, []byte) {}

// Log implements balancer.Host.
func (p *proxy) Log(string) {}

// backlog returns the work in flight to each backend, without requests whose response has begun.
func (p *proxy) backlog() backlog.Work {
	work := backlog.Work{}
	for _, c := range p.calls {
		if c.answered {
			continue
		}
		for _, a := range c.attempts {
			if !a.done {
				work[backlog.Key(p.sim.backends[a.to-1].id)] += uint32(max(1, c.cost.Milliseconds()))
			}
		}
	}
	return work
}

// waiting counts, by model, the pending requests whose model no backend had loaded on their arrival.
func (p *proxy) waiting() map[placement.Key]int {
	waits := map[placement.Key]int{}
	for _, c := range p.calls {
		if c.waits && !c.answered {
			waits[placement.Key{Model: c.request.model, Adapter: c.request.adapter}]++
		}
	}
	return waits
}
