package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// world is a Host that plays backends, clients and discovery at random and
// asserts the four rules on every action. It knows nothing of the module's insides.
type world struct {
	t      testing.TB
	cfg    Config
	rng    *rand.Rand
	now    time.Duration
	lives  []*life // processes of the proxy, one after the other
	queue  []event
	serial int
	reqs   map[RequestID]*held
	backs  map[BackendID]*back
	told   map[BackendID]time.Duration // when the module was told that it drains or is gone
	peak   time.Duration               // most work that a backend served within a window of the cold budget
	broken []string
}

const meanCost = 60 * milli

// life is one process of the proxy: the world as it is to that one.
type life struct {
	*world
	b *Balancer
}

// last is the process that takes what comes.
func (w *world) last() *life { return w.lives[len(w.lives)-1] }

// born starts a process.
func (w *world) born(seed uint64) *life {
	l := &life{world: w}
	b, err := New(w.cfg, seed, l)
	if err != nil {
		w.t.Fatal(err)
	}
	l.b = b
	w.lives = append(w.lives, l)
	b.Start(w.now)
	return l
}

type event struct {
	at     time.Duration
	serial int
	do     func()
}

type held struct {
	Request
	by       *life // the process that took it
	tries    []try
	answered bool // a final answer was given or seen
}

type try struct {
	to         BackendID
	zone, cell int
	sent       time.Duration
	done       bool
	result     Result
}

type back struct {
	Backend
	sick Result // what it answers with; OK if well
	sent []coldSend
	done []coldSend
}

type coldSend struct {
	at   time.Duration
	work time.Duration
}

func (w *world) breaks(format string, args ...any) {
	if len(w.broken) < 5 {
		w.broken = append(w.broken, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
	}
}

func (w *world) at(d time.Duration, do func()) {
	w.serial++
	w.queue = append(w.queue, event{w.now + max(d, 0), w.serial, do})
}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 {
		i := 0
		for j, e := range w.queue {
			if e.at < w.queue[i].at || e.at == w.queue[i].at && e.serial < w.queue[i].serial {
				i = j
			}
		}
		e := w.queue[i]
		if e.at > until {
			return
		}
		w.queue = slices.Delete(w.queue, i, i+1)
		w.now = max(w.now, e.at)
		e.do()
	}
}

func (w *world) Send(id RequestID, to BackendID, until, _ time.Duration) {
	r, s := w.reqs[id], w.backs[to]
	if r == nil || s == nil {
		w.breaks("send of request %d to %d, unknown", id, to)
		return
	}
	c := w.cfg.Classes[r.Class]
	if r.answered {
		w.breaks("rule 1: request %d is sent after its end", id)
	}
	if len(r.tries) >= w.cfg.Caps.MaxAttempts {
		w.breaks("request %d has more than %d attempts", id, w.cfg.Caps.MaxAttempts)
	}
	var first time.Duration = -1
	for n, a := range r.tries {
		if !a.done && !w.cfg.Caps.Hedging {
			w.breaks("rule 2: request %d has two attempts out", id)
		}
		if a.done && a.result.NeverRan() || c.Effect == Safe {
			continue
		}
		switch {
		case c.Effect == Unsafe:
			w.breaks("rule 2: unsafe request %d is sent again after attempt %d may have run", id, n)
		case c.Group == GroupZone && a.zone != s.Zone, c.Group == GroupCell && a.cell != s.Cell:
			w.breaks("rule 2: keyed request %d leaves its group", id)
		}
		if first < 0 {
			first = a.sent
		}
	}
	if first >= 0 && w.now-first >= c.IdempotencyWindow {
		w.breaks("rule 2: keyed request %d is sent again after its window", id)
	}
	if told, out := w.told[to]; out && w.now-told > w.cfg.Obligations.DrainGrace {
		w.breaks("rule 3: send to %d, %v after it was told to drain", to, w.now-told)
	}
	w.cold(s, r.Cost)
	n := len(r.tries)
	r.tries = append(r.tries, try{to: to, zone: s.Zone, cell: s.Cell, sent: w.now})
	result, took := s.sick, time.Duration(w.rng.ExpFloat64()*float64(80*milli))
	switch result {
	case Timeout:
		took = time.Hour
	case ConnectFailed:
		took = w.cfg.Caps.ConnectTimeout
	case Rejected, Error, Reset:
		took = time.Duration(w.rng.IntN(5)) * milli
	}
	if until <= 0 || until > r.Deadline {
		until = r.Deadline
	}
	if w.now+took > until {
		result, took = Timeout, max(0, until-w.now)
	}
	w.at(took, func() { w.over(id, n, result) })
}

// cold asserts the budget: multiple x capacity x window. A backend here can do what the busiest one
// was seen to serve within a window, and there is some slack for chance.
func (w *world) cold(s *back, work time.Duration) {
	o := w.cfg.Obligations
	age := w.now - s.Started
	if s.Started == 0 || age >= o.WarmupDuration {
		return
	}
	s.sent = append(s.sent, coldSend{w.now, work})
	var sum time.Duration
	for _, c := range s.sent {
		if w.now-c.at < o.OverloadWindow {
			sum += c.work
		}
	}
	share := o.InitialCapacity + (1-o.InitialCapacity)*max(0, float64(age-o.OverloadWindow))/float64(o.WarmupDuration)
	slack := 4 * meanCost
	if budget := o.OverloadMultiple*share*w.peak.Seconds() + slack.Seconds(); sum.Seconds() > budget {
		w.breaks("rule 4: %d was sent %v of work in %v, %v after its start", s.ID, sum, o.OverloadWindow, age)
	}
}

func (w *world) over(id RequestID, n int, result Result) {
	r := w.reqs[id]
	a := &r.tries[n]
	if a.done {
		return
	}
	a.done, a.result = true, result
	if result == OK {
		r.answered = true
		s := w.backs[a.to]
		s.done = append(s.done, coldSend{w.now, r.Cost})
		var sum time.Duration
		for i := len(s.done) - 1; i >= 0 && w.now-s.done[i].at < w.cfg.Obligations.OverloadWindow; i-- {
			sum += s.done[i].work
		}
		w.peak = max(w.peak, sum)
	}
	r.by.b.OnAttemptEnd(w.now, Outcome{
		ID: id, Attempt: n, Backend: a.to, Result: result, Took: w.now - a.sent,
		Final: r.answered,
	})
}

func (w *world) Reject(id RequestID, _ time.Duration) {
	r := w.reqs[id]
	if r.answered {
		w.breaks("rule 1: request %d gets a second answer", id)
	}
	c := w.cfg.Classes[r.Class]
	for _, a := range r.tries {
		if c.Effect != Safe && (c.Effect != Keyed || c.Group != GroupAll) && !(a.done && a.result.NeverRan()) {
			w.breaks("rule 2: request %d is refused though it may have run", id)
		}
	}
	r.answered = true
}

func (w *world) Fail(id RequestID) {
	if w.reqs[id].answered {
		w.breaks("rule 1: request %d gets a second answer", id)
	}
	w.reqs[id].answered = true
}

func (w *world) Cancel(id RequestID, n int) {
	if n >= len(w.reqs[id].tries) {
		w.breaks("cancel of attempt %d of request %d, never made", n, id)
		return
	}
	w.at(0, func() { w.over(id, n, Cancelled) })
}

func (w *life) CheckHealth(id BackendID) {
	if !w.cfg.Caps.Probes {
		w.breaks("a probe where none is allowed")
	}
	if told, out := w.told[id]; out && w.now-told > w.cfg.Obligations.DrainGrace {
		w.breaks("rule 3: probe of %d after it was told to drain", id)
	}
	s := w.backs[id]
	w.at(2*milli, func() { w.b.OnHealthCheck(w.now, HealthCheckResult{Backend: id, Result: s.sick, Took: 2 * milli}) })
}

func (w *world) Release(BackendID)         {}
func (w *world) SendToPeer(uint32, []byte) {}
func (w *world) Log(string)                {}
func (w *life) Fetch()                     { w.Watch(true) }
func (w *life) Watch(bool) {
	w.at(20*milli, func() {
		if w.rng.IntN(3) == 0 {
			w.b.OnMembership(w.now, Membership{Kind: ListFailed})
			return
		}
		w.tell(ListFull, w.list())
	})
}

func (w *life) StartTimer(d time.Duration, token uint64) {
	// A timer never fires in the batch that sets it.
	w.at(max(d, milli), func() { w.b.OnTimer(w.now, token) })
}

func (w *world) list() []Backend {
	var bs []Backend
	for id := BackendID(1); id < 100; id++ {
		if s := w.backs[id]; s != nil && s.State != Gone {
			bs = append(bs, s.Backend)
		}
	}
	return bs
}

func (w *world) tell(kind ListKind, bs []Backend) {
	if kind != ListDelta {
		for id, s := range w.backs {
			if _, out := w.told[id]; !out && s.State == Gone {
				w.told[id] = w.now
			}
		}
	}
	for _, e := range bs {
		if _, out := w.told[e.ID]; e.State == Ready {
			delete(w.told, e.ID)
		} else if !out {
			w.told[e.ID] = w.now
		}
	}
	for _, l := range w.lives {
		l.b.OnMembership(w.now, Membership{Kind: kind, Backends: bs})
	}
}

// day plays some seconds at random and gives the rules that were broken. Where handOver is given,
// a new process takes over now and then, and that is called with the old one and the new one.
func day(t testing.TB, seed uint64, handOver func(rng *rand.Rand, now time.Duration, from, to *Balancer)) []string {
	rng := rand.New(rand.NewPCG(seed, 1))
	cfg := testConfig()
	cfg.Instances = 1
	cfg.Caps.Hedging = rng.IntN(2) == 0
	cfg.Caps.Probes = rng.IntN(4) > 0
	cfg.PollMembership = rng.IntN(2) == 0
	cfg.KeyAffinity = rng.IntN(2) == 0
	cfg.Classes[unsafe].Group, cfg.Classes[unsafe].IdempotencyWindow = GroupAll, second // neither may matter
	cfg.Classes[keyed].Group = []Group{GroupZone, GroupCell}[rng.IntN(2)]
	cfg.Classes[anywhere].IdempotencyWindow = time.Duration(100+rng.IntN(900)) * milli
	for i := range cfg.Classes {
		if rng.IntN(2) == 0 {
			cfg.Classes[i].LateValueRatio = 0.5
		}
	}
	w := &world{
		t: t, cfg: cfg, rng: rng, now: second, reqs: map[RequestID]*held{}, backs: map[BackendID]*back{},
		told: map[BackendID]time.Duration{},
	}
	for _, e := range list(2 + rng.IntN(8)) {
		w.backs[e.ID] = &back{Backend: e}
	}
	w.born(seed)
	w.tell(ListCached, w.list())
	end := w.now + 8*second
	id := RequestID(0)
	for at := w.now; at < end; at += time.Duration(rng.ExpFloat64() * float64(8*milli)) {
		id++
		req := Request{
			ID: id, Class: rng.IntN(len(cfg.Classes)), Key: uint64(rng.IntN(20)),
			Cost:     time.Duration(rng.ExpFloat64() * float64(meanCost)),
			Deadline: at + time.Duration(rng.IntN(3000))*milli,
		}
		gone := rng.IntN(50) == 0
		w.at(at-w.now, func() {
			r := &held{Request: req, by: w.last()}
			w.reqs[req.ID] = r
			r.by.b.OnRequest(w.now, req)
		})
		w.at(req.Deadline-w.now, func() {
			w.at(cfg.Obligations.AnswerSlack, func() {
				if !w.reqs[req.ID].answered {
					w.breaks("rule 1: request %d has no answer in time", req.ID)
				}
			})
		})
		if gone {
			w.at(at+50*milli-w.now, func() {
				if r := w.reqs[req.ID]; !r.answered {
					r.answered = true
					r.by.b.OnClientGone(w.now, req.ID)
				}
			})
		}
	}
	for at := w.now; at < end; at += time.Duration(rng.IntN(600)) * milli {
		w.at(at-w.now, func() { w.trouble() })
	}
	if handOver != nil {
		for n := range uint64(1 + rng.IntN(3)) {
			w.at(time.Duration(rng.Int64N(int64(8*second))), func() {
				old := w.last().b
				next := w.born(seed + 1000*(n+1))
				next.b.OnMembership(w.now, Membership{Kind: ListFull, Backends: w.list()})
				handOver(rng, w.now, old, next.b)
			})
		}
	}
	w.run(end + 5*second)
	return w.broken
}

func (w *world) trouble() {
	id := BackendID(1 + w.rng.IntN(len(w.backs)))
	s := w.backs[id]
	switch w.rng.IntN(6) {
	case 0, 1: // it falls ill, or gets well
		s.sick = []Result{OK, Error, Rejected, Timeout, ConnectFailed, Reset, OK}[w.rng.IntN(7)]
	case 2: // it drains or leaves
		s.State = []State{Draining, Gone}[w.rng.IntN(2)]
		w.tell(ListDelta, []Backend{s.Backend})
	case 3: // it restarts
		s.State, s.Started, s.sick, s.sent = Ready, w.now, OK, nil
		w.tell(ListDelta, []Backend{s.Backend})
	case 4:
		w.tell(ListFull, w.list())
	case 5: // odd but harmless events
		b := w.last().b
		b.OnHealthCheck(w.now, HealthCheckResult{Backend: 9999})
		b.OnAttemptEnd(w.now, Outcome{ID: 1 << 30, Attempt: 3})
		b.OnClientGone(w.now, 1<<30)
		b.OnPeerMessage(w.now, PeerMessage{From: 7, Body: []byte("odd")})
		b.OnTimer(w.now, w.rng.Uint64())
		b.OnFirstByte(w.now, FirstByte{ID: 1 << 30})
	}
}

func TestTheFourRulesOnRandomDays(t *testing.T) {
	for seed := range uint64(60) {
		for _, broken := range day(t, seed, nil) {
			t.Errorf("seed %d: %s", seed, broken)
		}
		if t.Failed() {
			return
		}
	}
}

func FuzzTheFourRules(f *testing.F) {
	for _, seed := range []uint64{0, 1, 1000, 1 << 40} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		for _, broken := range day(t, seed, nil) {
			t.Error(broken)
		}
	})
}

// Each guard by itself: send must say no, whoever asks.
func TestSendAsksEveryGuard(t *testing.T) {
	for _, c := range []struct {
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
		{"cold without budget", safe, func(b *Balancer, _ *request, o *target) {
			o.warmupStarted, o.warmupTokens = b.now, -1
		}},
	} {
		b, h := newBalancer(t, testConfig(), 2)
		b.OnRequest(second, Request{ID: 1, Class: c.class, Deadline: 5 * second})
		r := b.requests[1]
		other := b.targets[0]
		if other == r.attempts[0].target {
			other = b.targets[1]
		}
		other.Zone, other.Cell = r.attempts[0].location.Zone, r.attempts[0].location.Cell
		h.take()
		c.set(b, r, other)
		if b.send(r, other) || len(h.take("send")) > 0 {
			t.Errorf("%s: sent all the same", c.name)
		}
	}
	b, h := newBalancer(t, testConfig(), 2)
	b.OnRequest(second, Request{ID: 1, Deadline: 5 * second})
	h.take()
	r := b.requests[1]
	other := b.targets[0]
	if other == r.attempts[0].target {
		other = b.targets[1]
	}
	if !b.send(r, other) {
		t.Error("a second copy of a safe request was not sent, so the cases above show nothing")
	}
	b.rejectOrFail(r)
	b.rejectOrFail(r)
	if got := h.take("refuse", "fail"); len(got) != 1 {
		t.Errorf("%d final answers", len(got))
	}
}
