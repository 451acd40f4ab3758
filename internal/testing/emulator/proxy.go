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

// clockStart is what the decision module's clock shows at the start: starts of backends from before are above 0.
const clockStart = time.Hour

// reportSoon is how long the first request that waits for a model waits for others to be reported with it.
const reportSoon = 5 * time.Millisecond

// connectionIdle is how long a connection to a backend may rest until it is closed.
const connectionIdle = 20 * time.Second

// proxy runs one decision module.
type proxy struct {
	world    *world
	name     string
	zone     int
	balancer *balancer.Balancer
	advisor  *routing.Advisor
	calls    map[balancer.RequestID]*call
	lastID   balancer.RequestID
	woken    bool // a report is due soon: a request waits
	asked    map[placement.Key]*asked
	idle     map[balancer.BackendID][]time.Duration // when connections came to rest
}

// asked is what was asked of a model since the last report.
type asked struct {
	arrived int
	workMS  float64
	aim     time.Duration // of those that came last
}

// call is a request in hand.
type call struct {
	request  *request
	cost     time.Duration
	attempts []*attempt
	answered bool
	firstAt  time.Duration // when its answer began
	paused   bool          // it paused for longer than is allowed
	waits    bool          // nobody held its model when it came
}

type attempt struct {
	run  *run
	to   balancer.BackendID
	done bool
}

func newProxy(w *world, zone, index int) (*proxy, error) {
	name := fmt.Sprintf("proxy-%d-%d", zone, index)
	p := &proxy{
		world: w, name: name, zone: zone, calls: map[balancer.RequestID]*call{}, asked: map[placement.Key]*asked{},
		idle: map[balancer.BackendID][]time.Duration{},
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

func (p *proxy) now() time.Duration { return p.world.clock.now + clockStart }

// start begins the module's timers with the list of backends.
func (p *proxy) start() {
	p.list()
	p.balancer.Start(p.now())
	var list []balancer.Backend
	for i, b := range p.world.backends {
		list = append(list, balancer.Backend{ID: balancer.BackendID(i + 1), Zone: b.zone, Kind: -1, Cell: -1, State: balancer.Ready})
	}
	p.balancer.OnMembership(p.now(), balancer.Membership{Kind: balancer.ListFull, Backends: list})
}

// list tells the advice what backends hold, by what is known of them.
func (p *proxy) list() { p.advisor.SetBackends(p.now(), p.world.known) }

// take takes a client's request.
func (p *proxy) take(q *request) {
	w := p.world
	cost := routing.EstimateWork(q.promptTokens+q.kind.SharedTokens, q.outputTokens)
	key := placement.Key{Model: q.model, Adapter: q.adapter}
	count := p.asked[key]
	if count == nil {
		count = &asked{}
		p.asked[key] = count
	}
	count.arrived++
	count.aim = q.kind.Aim
	count.workMS += float64(cost) / float64(time.Millisecond)
	if w.cfg.Knowledge == AllAtOnce {
		p.advisor.RecordPeerBacklog(p.now(), w.pending())
	}
	p.lastID++
	id := p.lastID
	c := &call{request: q, cost: cost, waits: !w.heldByAny[key]}
	p.calls[id] = c
	if c.waits && !p.woken {
		p.woken = true
		w.clock.after(reportSoon, func() {
			p.woken = false
			w.report(p)
		})
	}
	w.clock.after(q.deadline-w.clock.now, func() { p.leave(id) })
	p.balancer.OnRequest(p.now(), balancer.Request{
		ID: id, Class: w.classOf[q.kind], Cost: cost, Deadline: q.deadline + clockStart,
		Needs: &balancer.Needs{Model: q.model, Adapter: q.adapter, Output: q.outputTokens},
	})
}

// leave is a client's end: its time is up.
func (p *proxy) leave(id balancer.RequestID) {
	c := p.calls[id]
	if c == nil || c.answered {
		return
	}
	c.answered = true
	p.world.score.lost(p.world.clock.now, c)
	for _, a := range c.attempts {
		a.run.off = true
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
	w, n := p.world, len(c.attempts)
	b := w.backends[to-1]
	way := w.cfg.way(p.zone, b.zone)
	a := &attempt{to: to}
	c.attempts = append(c.attempts, a)
	p.connect(to)
	if b.zone != p.zone {
		w.score.Crossings++
	}
	end := func(result balancer.Result) {
		if a.done {
			return
		}
		a.done = true
		p.idle[to] = append(p.idle[to], w.clock.now)
		p.balancer.OnAttemptEnd(p.now(), balancer.Outcome{ID: id, Attempt: n, Backend: to, Result: result, Final: c.answered})
		if c.answered {
			delete(p.calls, id)
		}
	}
	kind := c.request.kind
	a.run = &run{
		request: c.request, priority: routing.BackendPriority(kind.Aim, kind.Priority, w.clock.now-c.request.at),
		first:  func() { w.clock.after(way, func() { p.first(id, n) }) },
		paused: func() { c.paused = true },
		last: func() {
			w.clock.after(way, func() {
				w.score.served(c)
				end(balancer.OK)
			})
		},
		rejected: func() { w.clock.after(way, func() { end(balancer.Rejected) }) },
	}
	w.clock.after(way, func() {
		if !a.run.off {
			b.take(a.run)
		}
	})
}

// connect takes a connection to a backend, a resting one where there is one.
func (p *proxy) connect(to balancer.BackendID) {
	resting := p.idle[to]
	for len(resting) > 0 {
		last := resting[len(resting)-1]
		resting = resting[:len(resting)-1]
		if p.world.clock.now-last <= connectionIdle {
			p.idle[to] = resting
			return
		}
	}
	p.idle[to] = resting
	p.world.score.Connections++
}

// first is an answer's first token.
func (p *proxy) first(id balancer.RequestID, n int) {
	c := p.calls[id]
	if c == nil || c.answered {
		return
	}
	c.answered = true
	c.firstAt = p.world.clock.now
	p.balancer.OnFirstByte(p.now(), balancer.FirstByte{ID: id, Attempt: n, Backend: c.attempts[n].to})
}

// Reject implements balancer.Host.
func (p *proxy) Reject(id balancer.RequestID, retryAfter time.Duration) {
	c := p.calls[id]
	if c == nil || c.answered {
		return
	}
	c.answered = true
	p.world.clock.after(0, func() { delete(p.calls, id) })
	p.world.refused(c, retryAfter)
}

// Fail implements balancer.Host.
func (p *proxy) Fail(id balancer.RequestID) {
	c := p.calls[id]
	if c == nil || c.answered {
		return
	}
	c.answered = true
	p.world.clock.after(0, func() { delete(p.calls, id) })
	p.world.score.lost(p.world.clock.now, c)
}

// Cancel implements balancer.Host.
func (p *proxy) Cancel(id balancer.RequestID, n int) {
	c := p.calls[id]
	if c == nil || n >= len(c.attempts) {
		return
	}
	a := c.attempts[n]
	a.run.off = true
	p.world.clock.after(0, func() {
		if !a.done {
			a.done = true
			p.balancer.OnAttemptEnd(p.now(), balancer.Outcome{ID: id, Attempt: n, Backend: a.to, Result: balancer.Cancelled, Final: c.answered})
		}
	})
}

// CheckHealth implements balancer.Host: all backends are well.
func (p *proxy) CheckHealth(b balancer.BackendID) {
	p.world.clock.after(2*p.world.cfg.CrossZone, func() {
		p.balancer.OnHealthCheck(p.now(), balancer.HealthCheckResult{Backend: b, Result: balancer.OK})
	})
}

// StartTimer implements balancer.Host.
func (p *proxy) StartTimer(span time.Duration, token uint64) {
	p.world.clock.after(span, func() { p.balancer.OnTimer(p.now(), token) })
}

// Release implements balancer.Host.
func (p *proxy) Release(b balancer.BackendID) { p.idle[b] = nil }

// Watch implements balancer.Host.
func (p *proxy) Watch(bool) {}

// Fetch implements balancer.Host.
func (p *proxy) Fetch() {}

// SendToPeer implements balancer.Host.
func (p *proxy) SendToPeer(uint32, []byte) {}

// Log implements balancer.Host.
func (p *proxy) Log(string) {}

// backlog is the work that was sent and has not begun to be answered.
func (p *proxy) backlog() backlog.Work {
	work := backlog.Work{}
	for _, c := range p.calls {
		if c.answered {
			continue
		}
		for _, a := range c.attempts {
			if !a.done {
				work[backlog.Key(p.world.backends[a.to-1].id)] += uint32(max(1, c.cost.Milliseconds()))
			}
		}
	}
	return work
}

// waiting counts the requests that nobody could run when they came, by model.
func (p *proxy) waiting() map[placement.Key]int {
	waits := map[placement.Key]int{}
	for _, c := range p.calls {
		if c.waits && !c.answered {
			waits[placement.Key{Model: c.request.model, Adapter: c.request.adapter}]++
		}
	}
	return waits
}
