package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// obligationHost is a Host that simulates backends, clients and discovery at random and asserts the four rules of
// Obligations on every action. It uses no internals of the package.
type obligationHost struct {
	t                testing.TB
	cfg              Config
	rng              *rand.Rand
	now              time.Duration
	processes        []*proxyProcess // processes of the proxy, each replacing the one before
	events           []hostEvent
	serial           int
	requests         map[RequestID]*hostRequest
	backends         map[BackendID]*hostBackend
	unavailableSince map[BackendID]time.Duration // when the Balancer was told that the backend is draining or gone
	peakWork         time.Duration               // most work that any backend served within an overload window
	violations       []string
}

const meanCost = 60 * milli

// proxyProcess is one process of the proxy, with the Host that its Balancer uses.
type proxyProcess struct {
	*obligationHost
	b *Balancer
}

// current is the process that gets new events.
func (w *obligationHost) current() *proxyProcess { return w.processes[len(w.processes)-1] }

// startProcess starts a process.
func (w *obligationHost) startProcess(seed uint64) *proxyProcess {
	l := &proxyProcess{obligationHost: w}
	b, err := New(w.cfg, seed, l)
	if err != nil {
		w.t.Fatal(err)
	}
	l.b = b
	w.processes = append(w.processes, l)
	b.Start(w.now)
	return l
}

type hostEvent struct {
	at     time.Duration
	serial int
	do     func()
}

type hostRequest struct {
	Request
	process  *proxyProcess // the process that received it
	attempts []hostAttempt
	answered bool // a final answer was given or seen
}

type hostAttempt struct {
	backend    BackendID
	zone, cell int
	sent       time.Duration
	done       bool
	result     Result
}

type hostBackend struct {
	Backend
	result Result // the result of its attempts; OK if it is healthy
	sent   []sentWork
	done   []sentWork
}

type sentWork struct {
	at   time.Duration
	work time.Duration
}

func (w *obligationHost) report(format string, args ...any) {
	if len(w.violations) < 5 {
		w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
	}
}

func (w *obligationHost) after(d time.Duration, do func()) {
	w.serial++
	w.events = append(w.events, hostEvent{w.now + max(d, 0), w.serial, do})
}

func (w *obligationHost) run(until time.Duration) {
	for len(w.events) > 0 {
		i := 0
		for j, e := range w.events {
			if e.at < w.events[i].at || e.at == w.events[i].at && e.serial < w.events[i].serial {
				i = j
			}
		}
		e := w.events[i]
		if e.at > until {
			return
		}
		w.events = slices.Delete(w.events, i, i+1)
		w.now = max(w.now, e.at)
		e.do()
	}
}

// Send asserts the rules for an attempt, and schedules its end.
func (w *obligationHost) Send(id RequestID, to BackendID, until, _ time.Duration) {
	r, s := w.requests[id], w.backends[to]
	if r == nil || s == nil {
		w.report("send of request %d to backend %d: one of them is unknown", id, to)
		return
	}
	if r.answered {
		w.report("rule 1: request %d is sent after its end", id)
	}
	if len(r.attempts) >= w.cfg.Caps.MaxAttempts {
		w.report("request %d has more than %d attempts", id, w.cfg.Caps.MaxAttempts)
	}
	w.checkRerun(r, s)
	if since, unavailable := w.unavailableSince[to]; unavailable && w.now-since > w.cfg.Obligations.DrainGrace {
		w.report("rule 3: send to backend %d, %v after it was announced as draining or gone", to, w.now-since)
	}
	w.checkWarmupBudget(s, r.Cost)
	n := len(r.attempts)
	r.attempts = append(r.attempts, hostAttempt{backend: to, zone: s.Zone, cell: s.Cell, sent: w.now})
	result, took := w.draw(s)
	if until <= 0 || until > r.Deadline {
		until = r.Deadline
	}
	if w.now+took > until {
		result, took = Timeout, max(0, until-w.now)
	}
	w.after(took, func() { w.endAttempt(id, n, result) })
}

// checkRerun asserts rule 2 for another attempt of a request at a backend.
func (w *obligationHost) checkRerun(r *hostRequest, s *hostBackend) {
	c := w.cfg.Classes[r.Class]
	var first time.Duration = -1
	for n, a := range r.attempts {
		if !a.done && !w.cfg.Caps.Hedging {
			w.report("rule 2: request %d has two attempts in flight", r.ID)
		}
		if a.done && a.result.NeverRan() || c.Effect == Safe {
			continue
		}
		switch {
		case c.Effect == Unsafe:
			w.report("rule 2: unsafe request %d is sent again after attempt %d may have run", r.ID, n)
		case c.Group == GroupZone && a.zone != s.Zone, c.Group == GroupCell && a.cell != s.Cell:
			w.report("rule 2: keyed request %d is sent again outside its group", r.ID)
		}
		if first < 0 {
			first = a.sent
		}
	}
	if first >= 0 && w.now-first >= c.IdempotencyWindow {
		w.report("rule 2: keyed request %d is sent again after its window", r.ID)
	}
}

// draw returns how an attempt at a backend ends, and after how long.
func (w *obligationHost) draw(s *hostBackend) (Result, time.Duration) {
	took := time.Duration(w.rng.ExpFloat64() * float64(80*milli))
	switch s.result {
	case Timeout:
		took = time.Hour
	case ConnectFailed:
		took = w.cfg.Caps.ConnectTimeout
	case Rejected, Error, Reset:
		took = time.Duration(w.rng.IntN(5)) * milli
	}
	return s.result, took
}

// checkWarmupBudget asserts rule 4, the budget of a warming backend: multiple x capacity x window. The capacity in a
// window is the most work that any backend was seen to serve in one. Some slack allows for chance.
func (w *obligationHost) checkWarmupBudget(s *hostBackend, work time.Duration) {
	o := w.cfg.Obligations
	age := w.now - s.Started
	if s.Started == 0 || age >= o.WarmupDuration {
		return
	}
	s.sent = append(s.sent, sentWork{w.now, work})
	var sum time.Duration
	for _, c := range s.sent {
		if w.now-c.at < o.OverloadWindow {
			sum += c.work
		}
	}
	capacity := o.InitialCapacity + (1-o.InitialCapacity)*max(0, float64(age-o.OverloadWindow))/float64(o.WarmupDuration)
	slack := 4 * meanCost
	if budget := o.OverloadMultiple*capacity*w.peakWork.Seconds() + slack.Seconds(); sum.Seconds() > budget {
		w.report("rule 4: backend %d was sent %v of work in %v, %v after its start", s.ID, sum, o.OverloadWindow, age)
	}
}

func (w *obligationHost) endAttempt(id RequestID, n int, result Result) {
	r := w.requests[id]
	a := &r.attempts[n]
	if a.done {
		return
	}
	a.done, a.result = true, result
	if result == OK {
		r.answered = true
		s := w.backends[a.backend]
		s.done = append(s.done, sentWork{w.now, r.Cost})
		var sum time.Duration
		for i := len(s.done) - 1; i >= 0 && w.now-s.done[i].at < w.cfg.Obligations.OverloadWindow; i-- {
			sum += s.done[i].work
		}
		w.peakWork = max(w.peakWork, sum)
	}
	r.process.b.OnAttemptEnd(w.now, Outcome{
		ID: id, Attempt: n, Backend: a.backend, Result: result, Took: w.now - a.sent,
		Final: r.answered,
	})
}

func (w *obligationHost) Reject(id RequestID, _ time.Duration) {
	r := w.requests[id]
	if r.answered {
		w.report("rule 1: request %d gets a second answer", id)
	}
	c := w.cfg.Classes[r.Class]
	for _, a := range r.attempts {
		if c.Effect != Safe && (c.Effect != Keyed || c.Group != GroupAll) && (!a.done || !a.result.NeverRan()) {
			w.report("rule 2: request %d is rejected though it may have run", id)
		}
	}
	r.answered = true
}

func (w *obligationHost) Fail(id RequestID) {
	if w.requests[id].answered {
		w.report("rule 1: request %d gets a second answer", id)
	}
	w.requests[id].answered = true
}

func (w *obligationHost) Cancel(id RequestID, n int) {
	if n >= len(w.requests[id].attempts) {
		w.report("cancel of attempt %d of request %d, which was never sent", n, id)
		return
	}
	w.after(0, func() { w.endAttempt(id, n, Cancelled) })
}

func (w *proxyProcess) CheckHealth(id BackendID) {
	if !w.cfg.Caps.HealthChecks {
		w.report("a health check although Caps does not allow any")
	}
	if since, unavailable := w.unavailableSince[id]; unavailable && w.now-since > w.cfg.Obligations.DrainGrace {
		w.report("rule 3: health check of backend %d after it was announced as draining or gone", id)
	}
	s := w.backends[id]
	w.after(2*milli, func() { w.b.OnHealthCheck(w.now, HealthCheckResult{Backend: id, Result: s.result, Took: 2 * milli}) })
}

func (w *obligationHost) Release(BackendID)         {}
func (w *obligationHost) SendToPeer(uint32, []byte) {}
func (w *obligationHost) Log(string)                {}
func (w *proxyProcess) Fetch()                      { w.Watch(true) }
func (w *proxyProcess) Watch(bool) {
	w.after(20*milli, func() {
		if w.rng.IntN(3) == 0 {
			w.b.OnMembership(w.now, Membership{Kind: MembershipFailed})
			return
		}
		w.announce(MembershipFull, w.membership())
	})
}

func (w *proxyProcess) StartTimer(d time.Duration, token uint64) {
	// A timer never fires within the event that starts it.
	w.after(max(d, milli), func() { w.b.OnTimer(w.now, token) })
}

func (w *obligationHost) membership() []Backend {
	var bs []Backend
	for id := BackendID(1); id < 100; id++ {
		if s := w.backends[id]; s != nil && s.State != Gone {
			bs = append(bs, s.Backend)
		}
	}
	return bs
}

func (w *obligationHost) announce(kind MembershipKind, bs []Backend) {
	if kind != MembershipDelta {
		for id, s := range w.backends {
			if _, out := w.unavailableSince[id]; !out && s.State == Gone {
				w.unavailableSince[id] = w.now
			}
		}
	}
	for _, e := range bs {
		if _, out := w.unavailableSince[e.ID]; e.State == Ready {
			delete(w.unavailableSince, e.ID)
		} else if !out {
			w.unavailableSince[e.ID] = w.now
		}
	}
	for _, l := range w.processes {
		l.b.OnMembership(w.now, Membership{Kind: kind, Backends: bs})
	}
}

// randomConfig returns random settings.
func randomConfig(rng *rand.Rand) Config {
	cfg := testConfig()
	cfg.Instances = 1
	cfg.Caps.Hedging = rng.IntN(2) == 0
	cfg.Caps.HealthChecks = rng.IntN(4) > 0
	cfg.PollMembership = rng.IntN(2) == 0
	cfg.KeyAffinity = rng.IntN(2) == 0
	cfg.Classes[unsafe].Group, cfg.Classes[unsafe].IdempotencyWindow = GroupAll, second // must have no effect on an unsafe class
	cfg.Classes[keyed].Group = []Group{GroupZone, GroupCell}[rng.IntN(2)]
	cfg.Classes[anywhere].IdempotencyWindow = time.Duration(100+rng.IntN(900)) * milli
	for i := range cfg.Classes {
		if rng.IntN(2) == 0 {
			cfg.Classes[i].LateValueRatio = 0.5
		}
	}
	return cfg
}

// handover passes state from a process to the next one.
type handover func(rng *rand.Rand, now time.Duration, from, to *Balancer)

// playRandomScenario simulates some seconds of random events and returns the violations of the rules. If handOver is
// given, a new process takes over now and then.
func playRandomScenario(t testing.TB, seed uint64, handOver handover) []string {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	w := &obligationHost{
		t: t, cfg: randomConfig(rng), rng: rng, now: second, requests: map[RequestID]*hostRequest{},
		backends: map[BackendID]*hostBackend{}, unavailableSince: map[BackendID]time.Duration{},
	}
	for _, e := range list(2 + rng.IntN(8)) {
		w.backends[e.ID] = &hostBackend{Backend: e}
	}
	w.startProcess(seed)
	w.announce(MembershipCached, w.membership())
	end := w.now + 8*second
	id := RequestID(0)
	for at := w.now; at < end; at += time.Duration(rng.ExpFloat64() * float64(8*milli)) {
		id++
		w.scheduleRequest(id, at)
	}
	for at := w.now; at < end; at += time.Duration(rng.IntN(600)) * milli {
		w.after(at-w.now, func() { w.injectFault() })
	}
	if handOver != nil {
		w.scheduleHandovers(seed, handOver)
	}
	w.run(end + 5*second)
	return w.violations
}

// scheduleRequest schedules a random request at a time, and asserts that it gets its answer in time.
func (w *obligationHost) scheduleRequest(id RequestID, at time.Duration) {
	req := Request{
		ID: id, Class: w.rng.IntN(len(w.cfg.Classes)), Key: uint64(w.rng.IntN(20)),
		Cost:     time.Duration(w.rng.ExpFloat64() * float64(meanCost)),
		Deadline: at + time.Duration(w.rng.IntN(3000))*milli,
	}
	clientLeaves := w.rng.IntN(50) == 0
	w.after(at-w.now, func() {
		r := &hostRequest{Request: req, process: w.current()}
		w.requests[req.ID] = r
		r.process.b.OnRequest(w.now, req)
	})
	w.after(req.Deadline-w.now, func() {
		w.after(w.cfg.Obligations.AnswerSlack, func() {
			if !w.requests[req.ID].answered {
				w.report("rule 1: request %d got no answer in time", req.ID)
			}
		})
	})
	if clientLeaves {
		w.after(at+50*milli-w.now, func() {
			if r := w.requests[req.ID]; !r.answered {
				r.answered = true
				r.process.b.OnClientGone(w.now, req.ID)
			}
		})
	}
}

// scheduleHandovers schedules one to three handovers to a new process.
func (w *obligationHost) scheduleHandovers(seed uint64, handOver handover) {
	for n := range uint64(1 + w.rng.IntN(3)) {
		w.after(time.Duration(w.rng.Int64N(int64(8*second))), func() {
			old := w.current().b
			next := w.startProcess(seed + 1000*(n+1))
			next.b.OnMembership(w.now, Membership{Kind: MembershipFull, Backends: w.membership()})
			handOver(w.rng, w.now, old, next.b)
		})
	}
}

func (w *obligationHost) injectFault() {
	id := BackendID(1 + w.rng.IntN(len(w.backends)))
	s := w.backends[id]
	switch w.rng.IntN(6) {
	case 0, 1: // it begins to fail, or recovers
		s.result = []Result{OK, Error, Rejected, Timeout, ConnectFailed, Reset, OK}[w.rng.IntN(7)]
	case 2: // it drains or leaves
		s.State = []State{Draining, Gone}[w.rng.IntN(2)]
		w.announce(MembershipDelta, []Backend{s.Backend})
	case 3: // it restarts
		s.State, s.Started, s.result, s.sent = Ready, w.now, OK, nil
		w.announce(MembershipDelta, []Backend{s.Backend})
	case 4:
		w.announce(MembershipFull, w.membership())
	case 5: // invalid events, which must have no effect
		b := w.current().b
		b.OnHealthCheck(w.now, HealthCheckResult{Backend: 9999})
		b.OnAttemptEnd(w.now, Outcome{ID: 1 << 30, Attempt: 3})
		b.OnClientGone(w.now, 1<<30)
		b.OnPeerMessage(w.now, PeerMessage{From: 7, Body: []byte("odd")})
		b.OnTimer(w.now, w.rng.Uint64())
		b.OnFirstByte(w.now, FirstByte{ID: 1 << 30})
	}
}

func TestObligationsInRandomScenarios(t *testing.T) {
	for seed := range uint64(60) {
		for _, broken := range playRandomScenario(t, seed, nil) {
			t.Errorf("seed %d: %s", seed, broken)
		}
		if t.Failed() {
			return
		}
	}
}

func FuzzObligations(f *testing.F) {
	for _, seed := range []uint64{0, 1, 1000, 1 << 40} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		for _, broken := range playRandomScenario(t, seed, nil) {
			t.Error(broken)
		}
	})
}

// sendGuards are the conditions that forbid an attempt of a request at the other backend.
var sendGuards = []struct {
	name  string
	class int
	set   func(b *Balancer, r *request, other *target)
}{
	{"ended", safe, func(_ *Balancer, r *request, _ *target) { r.ended = true }},
	{"streaming", safe, func(_ *Balancer, r *request, _ *target) { r.streaming = true }},
	{"past the deadline", safe, func(b *Balancer, r *request, _ *target) { b.now = r.Deadline }},
	{"draining", safe, func(_ *Balancer, _ *request, o *target) { o.State = Draining }},
	{"gone", safe, func(_ *Balancer, _ *request, o *target) { o.State = Gone }},
	{"second copy", safe, func(b *Balancer, _ *request, _ *target) { b.cfg.Caps.Hedging = false }},
	{"attempts used up", safe, func(b *Balancer, _ *request, _ *target) { b.cfg.Caps.MaxAttempts = 1 }},
	{"unsafe that may run", unsafe, func(*Balancer, *request, *target) {}},
	{"other zone", keyed, func(_ *Balancer, r *request, o *target) { o.Zone = r.attempts[0].location.Zone + 1 }},
	{"other cell", keyed, func(b *Balancer, r *request, o *target) {
		b.cfg.Classes[keyed].Group, o.Cell = GroupCell, r.attempts[0].location.Cell+1
		r.terms = b.cfg.Classes[keyed].terms()
	}},
	{"after the window", anywhere, func(b *Balancer, _ *request, _ *target) { b.now += 2 * second }},
	{"warming without budget", safe, func(b *Balancer, _ *request, o *target) {
		o.warmupStarted, o.warmupTokens = b.now, -1
	}},
}

// startedRequest returns a Balancer, a request of a class with one attempt in flight, and the backend without it.
func startedRequest(t *testing.T, class int) (*Balancer, *recorder, *request, *target) {
	t.Helper()
	b, h := newBalancer(t, testConfig(), 2)
	b.OnRequest(second, Request{ID: 1, Class: class, Deadline: 5 * second})
	r := b.requests[1]
	other := b.targets[0]
	if other == r.attempts[0].target {
		other = b.targets[1]
	}
	h.take()
	return b, h, r, other
}

// Each guard alone must make send refuse the attempt, whoever calls it.
func TestSendChecksEveryGuard(t *testing.T) {
	for _, c := range sendGuards {
		t.Run(c.name, func(t *testing.T) {
			b, h, r, other := startedRequest(t, c.class)
			other.Zone, other.Cell = r.attempts[0].location.Zone, r.attempts[0].location.Cell
			c.set(b, r, other)
			if b.send(r, other) || len(h.take("send")) > 0 {
				t.Error("the attempt was sent")
			}
		})
	}
	b, h, r, other := startedRequest(t, safe)
	if !b.send(r, other) {
		t.Error("a hedged attempt of a safe request was not sent, so the cases above show nothing")
	}
	b.rejectOrFail(r)
	b.rejectOrFail(r)
	if got := h.take("refuse", "fail"); len(got) != 1 {
		t.Errorf("%d final answers", len(got))
	}
}
