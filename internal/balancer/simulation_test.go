package balancer

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"marlreel/internal/standin/machine"
)

// A closed-loop simulation of proxies, machines and faults of single classes. The effect of each fault is known here, so
// that the balancer's decisions can be compared with the actual state.

// fault describes what happens to requests of a class at some backends in a span of time.
type fault struct {
	class                       int
	backends                    []int
	from, to                    time.Duration
	unansweredRatio, errorRatio float64       // fraction that gets no answer, and fraction that gets an error
	slowdown                    float64       // factor of the work and the wait; 0 means 1
	resetRatio                  float64       // fraction of the requests of any class whose connection breaks
	minLoad                     int           // only while the machine has at least so many requests
	every                       time.Duration // if set, the fault moves on to the next machine at this interval
}

type simulation struct {
	cfg           Config
	rng           *rand.Rand
	proxies       []*simulatedProxy
	machines      []*machine.Machine
	listed        []Backend
	faults        []fault
	rate          float64 // requests per second and proxy
	shares        []float64
	work          []float64 // mean work by class, ms; a request also waits 1.2 times that
	longTailClass int       // class whose work is long-tailed; -1: none
	due           eventHeap
	now           time.Duration
	jobs          map[uint64]*simulatedAttempt
	nextID        RequestID
	nextJob       uint64

	offered, served []float64 // value by class
	sends           map[[2]int][]time.Duration
	lost            map[[2]int]int // attempts that got no answer or an error by a fault,
	lostTrials      int            // of which so many were trials
	onSend          func(*simulatedProxy, *simulatedRequest)
	onSent          func(to BackendID) // may be nil
}

type simulatedProxy struct {
	w    *simulation
	b    *Balancer
	reqs map[RequestID]*simulatedRequest
	logs []string
	next *simulatedProxy // the process that has taken over, or nil

	factor float64 // of its traffic; 0 means 1
}

type simulatedRequest struct {
	class    int
	arrived  time.Duration
	attempts []*simulatedAttempt
	ended    bool
}

type simulatedAttempt struct {
	p      *simulatedProxy
	id     RequestID
	n      int
	to     BackendID
	class  int
	sent   time.Duration
	until  time.Duration
	job    uint64
	ended  bool
	result Result
}

type scheduledEvent struct {
	at  time.Duration
	seq uint64
	f   func()
}
type eventHeap struct {
	list []scheduledEvent
	seq  uint64
}

func (h *eventHeap) Len() int { return len(h.list) }
func (h *eventHeap) Less(i, j int) bool {
	return h.list[i].at < h.list[j].at || h.list[i].at == h.list[j].at && h.list[i].seq < h.list[j].seq
}
func (h *eventHeap) Swap(i, j int) { h.list[i], h.list[j] = h.list[j], h.list[i] }
func (h *eventHeap) Push(x any)    { h.list = append(h.list, x.(scheduledEvent)) }
func (h *eventHeap) Pop() any {
	last := h.list[len(h.list)-1]
	h.list = h.list[:len(h.list)-1]
	return last
}

func (w *simulation) after(d time.Duration, f func()) {
	w.due.seq++
	heap.Push(&w.due, scheduledEvent{w.now + d, w.due.seq, f})
}

func (p *simulatedProxy) Send(id RequestID, to BackendID, until, _ time.Duration) {
	w, r := p.w, p.reqs[id]
	j := &simulatedAttempt{p: p, id: id, n: len(r.attempts), to: to, class: r.class, sent: w.now, until: until}
	if w.onSend != nil {
		w.onSend(p, r)
	}
	r.attempts = append(r.attempts, j)
	key := [2]int{int(to), r.class}
	w.sends[key] = append(w.sends[key], w.now)
	w.after(until-w.now, func() { j.end(Timeout) })
	w.after(milli, func() { w.arrive(j) })
	if w.onSent != nil {
		w.onSent(to)
	}
}
func (p *simulatedProxy) Reject(id RequestID, _ time.Duration) { delete(p.reqs, id) }
func (p *simulatedProxy) Fail(id RequestID)                    { delete(p.reqs, id) }
func (p *simulatedProxy) Cancel(id RequestID, n int) {
	if r := p.reqs[id]; r != nil {
		j := r.attempts[n]
		p.w.after(0, func() { j.end(Cancelled) })
	}
}

func (p *simulatedProxy) CheckHealth(to BackendID) {
	p.w.after(2*milli, func() { p.b.OnHealthCheck(p.w.now, HealthCheckResult{Backend: to, Result: OK, Took: 2 * milli}) })
}
func (p *simulatedProxy) Release(BackendID)         {}
func (p *simulatedProxy) Watch(bool)                {}
func (p *simulatedProxy) Fetch()                    {}
func (p *simulatedProxy) SendToPeer(uint32, []byte) {}
func (p *simulatedProxy) Log(line string)           { p.logs = append(p.logs, line) }
func (p *simulatedProxy) StartTimer(d time.Duration, token uint64) {
	p.w.after(d, func() { p.b.OnTimer(p.w.now, token) })
}

// arrive handles the arrival of an attempt's last byte at its backend.
func (w *simulation) arrive(j *simulatedAttempt) {
	if j.ended {
		return
	}
	m := w.machines[j.to-1]
	slowdown := 1.0
	for i := range w.faults {
		f := &w.faults[i]
		if w.now < f.from || w.now >= f.to || m.Outstanding() < f.minLoad {
			continue
		}
		if w.rng.Float64() < f.resetRatio {
			w.after(time.Duration(w.rng.IntN(20))*milli, func() { j.end(Reset) })
			return
		}
		at := f.backends
		if f.every > 0 {
			at = []int{int((w.now-f.from)/f.every)%len(w.machines) + 1}
		}
		if f.class != j.class || !slices.Contains(at, int(j.to)) {
			continue
		}
		switch x := w.rng.Float64(); {
		case x < f.unansweredRatio:
			w.recordLost(j)
			return
		case x < f.unansweredRatio+f.errorRatio:
			w.recordLost(j)
			w.after(2*milli, func() { j.end(Error) })
			return
		}
		slowdown = max(slowdown, f.slowdown)
	}
	work := w.work[j.class] * -math.Log(1-w.rng.Float64())
	if j.class == w.longTailClass {
		work = w.work[j.class] * math.Exp(1.2*w.rng.NormFloat64()-0.72)
	}
	w.nextJob++
	j.job = w.nextJob
	w.jobs[j.job] = j
	work = min(work, 8*w.work[j.class])
	verdict := m.Submit(w.now, j.job, machine.Job{
		Work: fromMillis(work * slowdown),
		Wait: fromMillis(1.2 * w.work[j.class] * slowdown), Deadline: j.until,
	})
	if verdict != machine.Accepted {
		delete(w.jobs, j.job)
		w.after(milli, func() { j.end(Rejected) })
	}
}

func (w *simulation) recordLost(j *simulatedAttempt) {
	w.lost[[2]int{int(j.to), j.class}]++
	if r := j.p.b.requests[j.id]; r != nil && r.attempts[j.n].trial {
		w.lostTrials++
	}
}

func (j *simulatedAttempt) end(result Result) {
	r := j.p.reqs[j.id]
	if j.ended {
		return
	}
	j.ended, j.result = true, result
	w := j.p.w
	if j.job != 0 && result != OK {
		w.machines[j.to-1].Cancel(w.now, j.job)
		delete(w.jobs, j.job)
	}
	final := result == OK && r != nil && !r.ended
	if final {
		r.ended = true
		c := &w.cfg.Classes[j.class]
		if w.now <= r.arrived+c.LatencyTarget {
			w.served[j.class] += c.Value
		}
	}
	j.p.b.OnAttemptEnd(w.now, Outcome{
		ID: j.id, Attempt: j.n, Backend: j.to, Result: result, Took: w.now - j.sent,
		Final: final || r == nil,
	})
	if final {
		delete(j.p.reqs, j.id)
	}
}

// auctionClasses returns classes like those of an auction with some 250 requests a second per proxy.
func auctionClasses() []Class {
	return []Class{
		{Name: "lot-list", LatencyTarget: 260 * milli, ClientTimeout: 520 * milli, Effect: Safe, Value: 1},
		{Name: "catch-sheet", LatencyTarget: 350 * milli, ClientTimeout: 870 * milli, Effect: Safe, Value: 1},
		{Name: "bid", LatencyTarget: 175 * milli, ClientTimeout: 870 * milli, Effect: Unsafe, Value: 8},
		{
			Name: "pickup", LatencyTarget: 260 * milli, ClientTimeout: 870 * milli, Effect: Keyed, Group: GroupZone,
			IdempotencyWindow: 4 * second, Value: 2,
		},
	}
}

const (
	lotList = iota
	catchSheet
	bid
	pickup
)

func newSimulation(t testing.TB, seed uint64, backends, proxies int, load float64) *simulation {
	cfg := testConfig()
	cfg.Instances, cfg.Classes, cfg.Caps.RetryAfter = proxies, auctionClasses(), false
	cfg.Caps.ConnectTimeout = 100 * milli
	cfg.Goal = Goal{Total: 0.45, WorstClass: 0.3, WorstTenant: 0.1, WorstWindow: 0.15}
	w := &simulation{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 9)), now: second, longTailClass: -1,
		shares: []float64{0.32, 0.28, 0.24, 0.16}, work: []float64{19, 26, 23, 20},
		jobs: map[uint64]*simulatedAttempt{}, sends: map[[2]int][]time.Duration{}, lost: map[[2]int]int{},
		offered: make([]float64, 4), served: make([]float64, 4),
	}
	capacity := 0.0
	all := list(backends)
	for i := range all {
		speed := []float64{1.3, 0.95, 0.7}[i%3] * (0.9 + 0.2*w.rng.Float64())
		capacity += 2 * speed
		all[i].Zone = i % 3
		w.machines = append(w.machines, machine.New(machine.Config{Cores: 2, Speed: speed, Slots: 16, Queue: 40}, w.now, true))
	}
	w.listed = all
	w.rate = load * capacity / float64(proxies) / 0.0222
	for i := range proxies {
		p := &simulatedProxy{w: w, reqs: map[RequestID]*simulatedRequest{}}
		one := cfg
		one.Rank, one.Zone = i, i%3
		b, err := New(one, seed*100+uint64(i), p)
		if err != nil {
			t.Fatal(err)
		}
		p.b = b
		w.proxies = append(w.proxies, p)
		b.Start(w.now)
		b.OnMembership(w.now, Membership{Kind: MembershipFull, Version: 1, Backends: all})
		w.scheduleArrival(p)
	}
	return w
}

func (w *simulation) scheduleArrival(p *simulatedProxy) {
	gap := time.Duration(-math.Log(1-w.rng.Float64()) / (w.rate * cmp.Or(p.factor, 1)) * float64(second))
	w.after(gap, func() {
		for p.next != nil {
			p = p.next
		}
		x, class := w.rng.Float64(), 0
		for class < 3 && x > w.shares[class] {
			x, class = x-w.shares[class], class+1
		}
		c := &w.cfg.Classes[class]
		w.nextID++
		p.reqs[w.nextID] = &simulatedRequest{class: class, arrived: w.now}
		w.offered[class] += c.Value
		p.b.OnRequest(w.now, Request{ID: w.nextID, Class: class, Deadline: w.now + c.ClientTimeout})
		w.scheduleArrival(p)
	})
}

// run runs the simulation until the time to.
func (w *simulation) run(to time.Duration) {
	for w.now < to {
		next, m := to, -1
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
				if j := w.jobs[e.ID]; j != nil {
					delete(w.jobs, e.ID)
					if e.Outcome == machine.Completed {
						j.job = 0
						w.after(milli, func() { j.end(OK) })
					}
				}
			}
			continue
		}
		if len(w.due.list) > 0 && w.due.list[0].at <= w.now {
			heap.Pop(&w.due).(scheduledEvent).f()
		}
	}
}

// handOver starts a new process for each proxy, which gets all further requests. It calls with for the old and the new
// Balancer.
func (w *simulation) handOver(t testing.TB, with func(from, to *Balancer)) {
	t.Helper()
	for i, old := range w.proxies {
		p := &simulatedProxy{w: w, reqs: map[RequestID]*simulatedRequest{}, factor: old.factor}
		one := w.cfg
		one.Rank, one.Zone = i, i%3
		b, err := New(one, uint64(7000+i), p)
		if err != nil {
			t.Fatal(err)
		}
		p.b = b
		b.Start(w.now)
		b.OnMembership(w.now, Membership{Kind: MembershipFull, Version: 1, Backends: w.listed})
		with(old.b, b)
		old.next, w.proxies[i] = p, p
	}
}

func (w *simulation) reset() {
	clear(w.offered)
	clear(w.served)
	clear(w.sends)
	clear(w.lost)
	w.lostTrials = 0
}

// service is the fraction of the value that was answered in time, of one class, or of all if class is below 0.
func (w *simulation) service(class int) float64 {
	if class >= 0 {
		return w.served[class] / w.offered[class]
	}
	a, s := 0.0, 0.0
	for i := range w.offered {
		a, s = a+w.offered[i], s+w.served[i]
	}
	return s / a
}

// sent counts attempts of a class at a backend in a span of time.
func (w *simulation) sent(to, class int, from, until time.Duration) (n int) {
	for _, at := range w.sends[[2]int{to, class}] {
		if at >= from && at < until {
			n++
		}
	}
	return n
}
