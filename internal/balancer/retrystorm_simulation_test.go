package balancer

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"marlreel/internal/standin/machine"
)

// A closed-loop simulation of clients that retry, proxies, and machines that crash, return and warm up. A client's
// request and its retries count as one, from the first arrival, as operators count them.

// stormScenario has the parameters of a simulation.
type stormScenario struct {
	seed                       uint64
	backends, proxies          int
	load                       float64 // as a fraction of the capacity of all machines
	retries                    int     // by a client, in addition to its first attempt
	backoff                    time.Duration
	exponential                bool
	followRatio                float64 // fraction of the clients that follow Retry-After
	marks                      bool    // clients mark their retries
	retryAfter                 bool    // the settings allow Retry-After
	failsAt, returnsAt, length time.Duration
	failedRatio                float64 // fraction of the machines that crash
	slowWhenOverloaded         bool    // overloaded machines become slow
	otherProxyRatio            float64 // fraction of the attempts that go to a random proxy, not that of the client's zone
	stormingTenant             int     // its clients retry immediately and often; -1: none
	policy                     func(d *stormSimulation, rank int, h Host) decider
}

// decider is a Balancer or one of the policies that it is compared with.
type decider interface {
	Start(now time.Duration)
	OnMembership(now time.Duration, m Membership)
	OnRequest(now time.Duration, q Request)
	OnAttemptEnd(now time.Duration, o Outcome)
	OnClientGone(now time.Duration, id RequestID)
	OnHealthCheck(now time.Duration, p HealthCheckResult)
	OnTimer(now time.Duration, token uint64)
}

type stormSimulation struct {
	scenario       stormScenario
	cfg            Config
	rng            *rand.Rand
	now            time.Duration
	due            eventHeap
	machines       []*machine.Machine
	listed         []Backend
	down           []bool
	proxies        []*stormProxy
	jobs           map[uint64]*stormRequest
	capacity       float64 // ms of work per ms, of all machines
	work           []float64
	nextID         RequestID
	nextJob        uint64
	clientRequests []*stormClientRequest

	seconds      []stormSecond // by the second of the first arrival
	overloads    int
	sends        int
	ranTwice     int // unsafe requests that ran twice
	tenantValues [][2]float64

	admitted float64 // ms of work accepted by machines, from 4 s on
}

type stormSecond struct {
	offered, served float64
	requests        int // attempts
}

// stormClientRequest is one request of a client with all its attempts.
type stormClientRequest struct {
	class, tenant     int
	homeProxy         int // the proxy of its zone
	key               uint64
	arrived           time.Duration
	attempts          int
	inTime            bool // it was served within the latency target
	followsRetryAfter bool // its client waits for the time in Retry-After
	ended             bool
	ran               int
	value             float64
}

type stormProxy struct {
	w    *stormSimulation
	b    decider
	rank int
	reqs map[RequestID]*stormRequest
	logs []string
}

// stormRequest is a client's attempt at a proxy, with the proxy's own attempts.
type stormRequest struct {
	p        *stormProxy
	u        *stormClientRequest
	id       RequestID
	leavesAt time.Duration
	ended    bool
	attempts []*stormAttempt
}

type stormAttempt struct {
	t     *stormRequest
	n     int
	to    BackendID
	until time.Duration
	sent  time.Duration
	job   uint64
	ended bool
}

func (w *stormSimulation) after(d time.Duration, f func()) {
	w.due.seq++
	heap.Push(&w.due, scheduledEvent{w.now + max(d, 0), w.due.seq, f})
}

const stormTenants = 4

func newStormSimulation(t testing.TB, d stormScenario) *stormSimulation {
	t.Helper()
	cfg := testConfig()
	cfg.Instances, cfg.Classes = d.proxies, auctionClasses()
	for i := range cfg.Classes { // latency targets and timeouts of the auction
		cfg.Classes[i].LatencyTarget = []time.Duration{600, 800, 400, 600}[i] * milli
		cfg.Classes[i].ClientTimeout = []time.Duration{1200, 2000, 2000, 2000}[i] * milli
	}
	cfg.ClientsMarkRetries = d.marks
	cfg.Caps.RetryAfter, cfg.Caps.MaxRetryAfter, cfg.Caps.ConnectTimeout = d.retryAfter, 2*second, 100*milli
	cfg.Goal = Goal{Total: 0.45, WorstClass: 0.3, WorstTenant: 0.1, WorstWindow: 0.15}
	cfg.Obligations.WarmupDuration, cfg.Obligations.OverloadWindow, cfg.Obligations.OverloadMultiple, cfg.Obligations.InitialCapacity = 8*second, 3*second, 2.5, 0.32
	cfg.OverQuotaValue = 0.1
	w := &stormSimulation{
		scenario: d, cfg: cfg, rng: rand.New(rand.NewPCG(d.seed, 31)), now: second, jobs: map[uint64]*stormRequest{},
		work: []float64{45, 60, 55, 46}, tenantValues: make([][2]float64, stormTenants),
	}
	for i := range d.backends {
		speed := []float64{1.3, 0.95, 0.7}[i%3] * (0.9 + 0.2*w.rng.Float64())
		w.capacity += 2 * speed
		mc := machine.Config{
			Cores: 2, Speed: speed, Slots: 20, Queue: 5,
			Warmup: machine.Warmup{InitialCapacity: 0.32, Duration: 8 * second, OverloadMultiple: 2.5, OverloadWindow: 3 * second},
		}
		if d.slowWhenOverloaded {
			mc.Congestion = machine.Congestion{Headroom: 7, Window: 2500 * milli, Slowdown: 2.5, RecoveryWindow: 3 * second, RecoveryUtilization: 0.4, MaxDuration: 20 * second}
		}
		w.machines = append(w.machines, machine.New(mc, w.now, true))
		w.listed = append(w.listed, Backend{ID: BackendID(i + 1), Zone: i % 3, State: Ready, Weight: 1})
	}
	w.down = make([]bool, d.backends)
	total := d.capacityRate(w)
	for i := range stormTenants {
		w.cfg.Tenants = append(w.cfg.Tenants, Tenant{Name: string(rune('a' + i)), TrafficShare: 0.25, QuotaPerS: total * 0.9 / stormTenants})
	}
	w.seconds = make([]stormSecond, int(d.length/second)+10)
	for i := range d.proxies {
		p := &stormProxy{w: w, rank: i, reqs: map[RequestID]*stormRequest{}}
		w.proxies = append(w.proxies, p)
		p.b = d.policy(w, i, p)
		p.b.Start(w.now)
		p.b.OnMembership(w.now, Membership{Kind: MembershipFull, Version: 1, Backends: slices.Clone(w.listed)})
	}
	w.arrive(total * d.load)
	w.outage()
	return w
}

// capacityRate is how many mean requests per second all machines can serve.
func (d *stormScenario) capacityRate(w *stormSimulation) float64 {
	return w.capacity * 1000 / 51.3
}

// marlreelPolicy is the Balancer itself.
func marlreelPolicy(w *stormSimulation, rank int, h Host) decider {
	one := w.cfg
	one.Rank, one.Zone = rank, rank%3
	b, err := New(one, w.scenario.seed*100+uint64(rank), h)
	if err != nil {
		panic(err)
	}
	return b
}

var stormShares = []float64{0.32, 0.28, 0.24, 0.16}

func (w *stormSimulation) arrive(rate float64) {
	gap := time.Duration(-math.Log(1-w.rng.Float64()) / rate * float64(second))
	w.after(gap, func() {
		if w.now > w.scenario.length {
			return
		}
		x, class := w.rng.Float64(), 0
		for class < 3 && x > stormShares[class] {
			x, class = x-stormShares[class], class+1
		}
		u := &stormClientRequest{
			class: class, tenant: w.rng.IntN(stormTenants), homeProxy: w.rng.IntN(len(w.proxies)), key: uint64(1 + w.rng.IntN(4000)), arrived: w.now,
			value: w.cfg.Classes[class].Value,
		}
		u.followsRetryAfter = w.rng.Float64() < w.scenario.followRatio
		w.clientRequests = append(w.clientRequests, u)
		w.at(u.arrived).offered += u.value
		w.tenantValues[u.tenant][0] += u.value
		w.sendRequest(u)
		w.arrive(rate)
	})
}

func (w *stormSimulation) at(t time.Duration) *stormSecond {
	return &w.seconds[min(int(t/second), len(w.seconds)-1)]
}

// sendRequest sends an attempt of a client to its home proxy or to a random one.
func (w *stormSimulation) sendRequest(u *stormClientRequest) {
	p := w.proxies[u.homeProxy]
	if w.rng.Float64() < w.scenario.otherProxyRatio {
		p = w.proxies[w.rng.IntN(len(w.proxies))]
	}
	c := &w.cfg.Classes[u.class]
	w.nextID++
	t := &stormRequest{p: p, u: u, id: w.nextID, leavesAt: w.now + c.ClientTimeout*85/100}
	t.leavesAt = min(t.leavesAt, u.arrived+c.ClientTimeout)
	u.attempts++
	w.at(w.now).requests++
	p.reqs[t.id] = t
	w.after(t.leavesAt-w.now, func() {
		if !t.ended {
			t.ended = true
			p.b.OnClientGone(w.now, t.id)
			w.retry(t, 0, c.Effect == Safe)
		}
	})
	p.b.OnRequest(w.now, Request{
		ID: t.id, Class: u.class, Tenant: u.tenant, Key: u.key, Deadline: t.leavesAt,
		IsRetry: w.scenario.marks && u.attempts > 1,
	})
}

// retry schedules a client's retry, if it may retry and has time and retries left.
func (w *stormSimulation) retry(t *stormRequest, after time.Duration, may bool) {
	u, retries, wait := t.u, w.scenario.retries, w.scenario.backoff
	if u.tenant == w.scenario.stormingTenant {
		retries, wait = 12, 10*milli
	} else if w.scenario.exponential {
		wait <<= u.attempts - 1
	}
	if u.followsRetryAfter {
		wait = max(wait, after)
	}
	if !may || u.ended || u.attempts > retries || w.now+wait >= u.arrived+w.cfg.Classes[u.class].ClientTimeout {
		return
	}
	w.after(wait, func() { w.sendRequest(u) })
}

// restart kills a proxy and starts it again with a stale membership and no other state. The clients of its requests have
// to retry.
func (w *stormSimulation) restart(i int, stale []Backend) {
	old := w.proxies[i]
	for _, t := range old.reqs {
		if t.ended {
			continue
		}
		t.ended = true
		for _, a := range t.attempts {
			if !a.ended && a.job != 0 {
				w.machines[a.to-1].Cancel(w.now, a.job)
				delete(w.jobs, a.job)
			}
			a.ended = true
		}
		w.after(milli, func() { w.retry(t, 0, w.cfg.Classes[t.u.class].Effect == Safe) })
	}
	p := &stormProxy{w: w, rank: i, reqs: map[RequestID]*stormRequest{}}
	p.b = w.scenario.policy(w, i, p)
	w.proxies[i] = p
	p.b.Start(w.now)
	p.b.OnMembership(w.now, Membership{Kind: MembershipCached, Version: 1, Backends: stale})
	w.after(time.Duration(300+w.rng.IntN(600))*milli, func() {
		p.b.OnMembership(w.now, Membership{Kind: MembershipFull, Version: 2, Backends: slices.Clone(w.listed)})
	})
}

// outage schedules the crash, return and warm-up of a part of the machines, which discovery reports late.
func (w *stormSimulation) outage() {
	d := w.scenario
	if d.failedRatio <= 0 {
		return
	}
	n := max(1, int(d.failedRatio*float64(d.backends)+0.5))
	for _, i := range w.rng.Perm(d.backends)[:n] {
		w.after(d.failsAt-w.now, func() {
			w.down[i] = true
			for id, t := range w.jobs {
				for _, a := range t.attempts {
					if a.job == id && int(a.to) == i+1 {
						w.machines[i].Cancel(w.now, id)
						delete(w.jobs, id)
						a.end(Reset)
					}
				}
			}
			w.after(time.Duration(2200+w.rng.IntN(1800))*milli, func() {
				if w.down[i] {
					w.announce(i, Gone)
				}
			})
		})
		back := d.returnsAt + time.Duration(w.rng.IntN(2000))*milli
		w.after(back-w.now, func() {
			w.down[i] = false
			w.machines[i].Restart(w.now, false)
			w.listed[i].Started = w.now
			w.after(time.Duration(1100+w.rng.IntN(1300))*milli, func() { w.announce(i, Ready) })
		})
	}
}

func (w *stormSimulation) announce(i int, s State) {
	w.listed[i].State = s
	for k := range w.proxies {
		e := w.listed[i]
		w.after(time.Duration(300+w.rng.IntN(600))*milli, func() {
			w.proxies[k].b.OnMembership(w.now, Membership{Kind: MembershipDelta, Backends: []Backend{e}})
		})
	}
}

// The methods of Host.

func (p *stormProxy) Send(id RequestID, to BackendID, until, _ time.Duration) {
	w, t := p.w, p.reqs[id]
	if t == nil {
		return
	}
	if until <= 0 || until > t.leavesAt {
		until = t.leavesAt
	}
	a := &stormAttempt{t: t, n: len(t.attempts), to: to, sent: w.now, until: until}
	t.attempts = append(t.attempts, a)
	w.sends++
	w.after(until-w.now, func() { a.end(Timeout) })
	w.after(milli, func() { w.submit(a) })
}

func (p *stormProxy) Reject(id RequestID, after time.Duration) {
	if t := p.reqs[id]; t != nil && !t.ended {
		t.ended = true
		p.forget(t)
		p.w.after(milli, func() { p.w.retry(t, after, true) })
	}
}

func (p *stormProxy) Fail(id RequestID) {
	if t := p.reqs[id]; t != nil && !t.ended {
		t.ended = true
		p.forget(t)
		p.w.after(milli, func() { p.w.retry(t, 0, p.w.cfg.Classes[t.u.class].Effect == Safe) })
	}
}

func (p *stormProxy) forget(t *stormRequest) {
	if !slices.ContainsFunc(t.attempts, func(a *stormAttempt) bool { return !a.ended }) {
		delete(p.reqs, t.id)
	}
}

func (p *stormProxy) Cancel(id RequestID, n int) {
	if t := p.reqs[id]; t != nil && n < len(t.attempts) {
		p.w.after(0, func() { t.attempts[n].end(Cancelled) })
	}
}

func (p *stormProxy) CheckHealth(to BackendID) {
	p.w.after(2*milli, func() {
		r := OK
		if i := int(to) - 1; p.w.down[i] || p.w.machines[i].Crashed() {
			r = ConnectFailed
		}
		p.b.OnHealthCheck(p.w.now, HealthCheckResult{Backend: to, Result: r, Took: 2 * milli})
	})
}
func (p *stormProxy) Release(BackendID)         {}
func (p *stormProxy) Watch(bool)                {}
func (p *stormProxy) Fetch()                    {}
func (p *stormProxy) SendToPeer(uint32, []byte) {}
func (p *stormProxy) Log(line string)           { p.logs = append(p.logs, line) }
func (p *stormProxy) StartTimer(d time.Duration, token uint64) {
	p.w.after(d, func() { p.b.OnTimer(p.w.now, token) })
}

// submit handles the arrival of an attempt's last byte at its backend.
func (w *stormSimulation) submit(a *stormAttempt) {
	if a.ended {
		return
	}
	i := int(a.to) - 1
	m := w.machines[i]
	if w.down[i] || m.Crashed() {
		w.after(milli, func() { a.end(ConnectFailed) })
		return
	}
	u := a.t.u
	work := min(w.work[u.class]*-math.Log(1-w.rng.Float64()), 8*w.work[u.class])
	w.nextJob++
	a.job = w.nextJob
	w.jobs[a.job] = a.t
	switch m.Submit(w.now, a.job, machine.Job{Work: fromMillis(work), Wait: fromMillis(1.2 * w.work[u.class]), Deadline: a.until}) {
	case machine.Accepted:
		if w.now >= 4*second && w.now < w.scenario.length {
			w.admitted += millis(fromMillis(work))
		}
		if u.ran++; u.ran > 1 && w.cfg.Classes[u.class].Effect == Unsafe {
			w.ranTwice++
		}
	case machine.Unavailable:
		w.overloads++
		delete(w.jobs, a.job)
		w.after(0, func() { a.end(Reset) })
	default:
		delete(w.jobs, a.job)
		w.after(milli, func() { a.end(Rejected) })
	}
}

func (a *stormAttempt) end(result Result) {
	if a.ended {
		return
	}
	a.ended = true
	t, w := a.t, a.t.p.w
	if a.job != 0 && result != OK {
		if _, there := w.jobs[a.job]; there {
			w.machines[a.to-1].Cancel(w.now, a.job)
			delete(w.jobs, a.job)
			if result == Cancelled || result == Timeout {
				t.u.ran-- // does not count for the client, as nobody got its answer
			}
		}
	}
	final := result == OK && !t.ended
	if final {
		t.ended = true
		if u := t.u; !u.ended {
			u.ended = true
			if w.now <= u.arrived+w.cfg.Classes[u.class].LatencyTarget {
				u.inTime = true
				w.at(u.arrived).served += u.value
				w.tenantValues[u.tenant][1] += u.value
			}
		}
	}
	t.p.b.OnAttemptEnd(w.now, Outcome{ID: t.id, Attempt: a.n, Backend: a.to, Result: result, Took: w.now - a.sent, Final: final || t.ended})
	if t.ended {
		t.p.forget(t)
	}
}

// run runs the simulation to its end.
func (w *stormSimulation) run() *stormSimulation {
	for w.now < w.scenario.length+5*second {
		next, m := w.scenario.length+5*second, -1
		if len(w.due.list) > 0 {
			next = min(next, w.due.list[0].at)
		}
		for i, x := range w.machines {
			if at, ok := x.NextEvent(); ok && at < next {
				next, m = at, i
			}
		}
		w.now = max(w.now, next)
		if m >= 0 {
			for _, e := range w.machines[m].Advance(w.now) {
				t := w.jobs[e.ID]
				if t == nil {
					continue
				}
				delete(w.jobs, e.ID)
				for _, a := range t.attempts {
					if a.job != e.ID {
						continue
					}
					switch e.Outcome {
					case machine.Completed:
						w.after(milli, func() { a.end(OK) })
					case machine.Killed:
						w.after(0, func() { a.end(Reset) })
					}
				}
			}
			continue
		}
		if len(w.due.list) == 0 || w.due.list[0].at > w.now {
			continue
		}
		heap.Pop(&w.due).(scheduledEvent).f()
	}
	return w
}

// service is the fraction of the value offered within a span that was served. Retries count at the first arrival.
func (w *stormSimulation) service(from, to time.Duration) float64 {
	offered, served := 0.0, 0.0
	for s := int(from / second); s < int(to/second); s++ {
		offered, served = offered+w.seconds[s].offered, served+w.seconds[s].served
	}
	return served / max(offered, 1e-9)
}

// recovery is the time from the machines' return to the first five seconds in which the service reaches 95% of that
// before the outage.
func (w *stormSimulation) recovery() time.Duration {
	before := w.service(4*second, w.scenario.failsAt)
	for from := w.scenario.returnsAt; from+5*second <= w.scenario.length; from += second {
		if w.service(from, from+5*second) >= 0.95*before {
			return from - w.scenario.returnsAt
		}
	}
	return w.scenario.length - w.scenario.returnsAt
}
