package proxy

import (
	"container/heap"
	"context"
	"hash/fnv"
	"io"
	"net/http"
	"runtime/debug"
	"time"

	"marlreel"
)

const (
	// The clock starts here, so that starts of backends from before this process's
	// own stay above 0, which means long ago.
	clockStart = time.Hour
	// The backstop answers so long before the client's time runs out. An attempt
	// ends as long before that, so that the module hears of it first.
	backstop    = 15 * time.Millisecond
	retireEvery = time.Second
	probeLonger = 1.25 // times the connect time-out that a probe may take
	eventBuffer = 1024
)

// request is a client's request in the loop's table.
type request struct {
	marlreel.Request
	name     string // the client's own, new with each request
	arrived  time.Duration
	msg      *message
	answers  chan answer // has room for the one answer
	answered bool        // or the client has left: nothing more goes out
	attempts []*attempt
	open     int // attempts without an outcome
	backstop *timer
}

type attempt struct {
	exchange
	req  *request
	n    int
	sent time.Duration
	done bool // the module has its outcome
	end  *timer
}

// loop is the one goroutine that owns the Balancer, the request table and the
// pool. Everything else reaches it by post.
type loop struct {
	cfg       *Config
	logf      func(string, ...any)
	start     time.Time
	balancer  *marlreel.Balancer
	events    chan func()
	stopped   chan struct{}
	later     []func() // what the current event causes: Host calls never call back
	timers    timerHeap
	lastTimer uint64
	pool      pool
	ids       map[string]marlreel.BackendID
	names     map[marlreel.BackendID]string // ids, the other way round
	requests  map[marlreel.RequestID]*request
	asked     *recent // clients' names of requests
	lastID    marlreel.RequestID
	ctx       context.Context // of all that the loop starts
	list      listWatch
	version   uint32
	listed    func() // the first list has come
}

func newLoop(cfg *Config, logf func(string, ...any), listed func()) (*loop, error) {
	l := &loop{cfg: cfg, logf: logf, start: time.Now(), events: make(chan func(), eventBuffer),
		stopped: make(chan struct{}), ids: map[string]marlreel.BackendID{},
		names:    map[marlreel.BackendID]string{},
		requests: map[marlreel.RequestID]*request{}, listed: listed}
	// What is open has come within the longest wait.
	l.asked = newRecent(cfg.longestGiveUp() + time.Second)
	idle := cfg.Settings.Caps.ConnIdle
	l.pool = pool{most: cfg.upstreamConns(), maxIdle: idle - idle/4, backends: map[marlreel.BackendID]*backend{}}
	l.list = listWatch{addr: cfg.Discovery, client: newDiscoveryClient()}
	var err error
	l.balancer, err = marlreel.New(cfg.Settings, cfg.Seed, host{l})
	return l, err
}

func (l *loop) now() time.Duration { return clockStart + time.Since(l.start) }

// wall is the time at which the loop's clock shows d.
func (l *loop) wall(d time.Duration) time.Time { return l.start.Add(d - clockStart) }

// post hands the loop an event. It gives up when the loop has ended.
func (l *loop) post(event func()) {
	select {
	case l.events <- event:
	case <-l.stopped:
	}
}

// run works until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.stopped)
	l.ctx = ctx
	l.do(func() {
		l.balancer.Start(l.now())
		known := l.cfg.Known
		if known == nil {
			known = &endpointList{Reset: true}
		}
		entries, _ := known.check(l.cfg) // it was checked with the configuration
		l.membership(marlreel.ListCached, known, entries)
		if !l.cfg.Settings.OnRequest {
			host{l}.Watch(true)
		}
		l.retire()
	})
	wake := time.NewTimer(0)
	for {
		now := l.now()
		for len(l.timers) > 0 && l.timers[0].at <= now {
			l.do(heap.Pop(&l.timers).(*timer).event)
		}
		wait := time.Hour
		if len(l.timers) > 0 {
			wait = l.timers[0].at - l.now()
		}
		wake.Reset(wait)
		select {
		case event := <-l.events:
			l.do(event)
		case <-wake.C:
		case <-ctx.Done():
			return
		}
	}
}

// do carries an event out, and then what it causes.
func (l *loop) do(event func()) {
	l.guard(event)
	for len(l.later) > 0 {
		event, l.later = l.later[0], l.later[1:]
		l.guard(event)
	}
}

// guard keeps one bad event from ending the process, and with it all requests
// in hand. The one concerned is left to its backstop.
func (l *loop) guard(event func()) {
	defer func() {
		if p := recover(); p != nil {
			l.logf("panic: %v\n%s", p, debug.Stack())
		}
	}()
	event()
}

func (l *loop) at(when time.Duration, event func()) *timer {
	l.lastTimer++
	t := &timer{at: when, order: l.lastTimer, event: event}
	heap.Push(&l.timers, t)
	return t
}

// disarm takes a timer back. What clients name as their time may be long: left
// in the heap, timers would keep requests in memory that were answered long ago.
func (l *loop) disarm(t *timer) {
	if t != nil && t.place >= 0 {
		heap.Remove(&l.timers, t.place)
	}
}

func (l *loop) retire() {
	l.pool.retire(l.now())
	l.at(l.now()+retireEvery, l.retire)
}

// ---- the list ----

func (l *loop) membership(kind marlreel.ListKind, list *endpointList, entries []marlreel.Backend) {
	l.version = list.Generation
	kept, gone := map[marlreel.BackendID]bool{}, []marlreel.BackendID(nil)
	for i, e := range list.Instances {
		entries[i].ID = l.backendID(e.InstanceID)
		b := l.pool.backends[entries[i].ID]
		if entries[i].State == marlreel.Gone {
			if b != nil {
				entries[i] = b.Backend
				entries[i].State = marlreel.Gone
			}
			gone = append(gone, entries[i].ID)
			continue // it leaves below
		}
		if e.StartedAtMs != 0 {
			entries[i].Started = max(1, clockStart+time.UnixMilli(e.StartedAtMs).Sub(l.start))
		}
		// A backend at the address of one that has gone is another one: connections
		// belong to the name, and are dropped with it or with its old address.
		if b == nil || b.addr != e.HostPort {
			l.drop(b)
			b = &backend{name: e.InstanceID, addr: e.HostPort}
			l.pool.backends[entries[i].ID] = b
		}
		b.Backend = entries[i]
		b.ready.Store(b.State == marlreel.Ready)
		if b.State != marlreel.Ready {
			l.pool.release(b)
		}
		kept[b.ID] = true
	}
	if kind != marlreel.ListDelta {
		for id := range l.pool.backends {
			if !kept[id] {
				gone = append(gone, id)
			}
		}
	}
	// Names are ever new all day: what has gone is forgotten, or the maps grow for good.
	for _, id := range gone {
		if b := l.pool.backends[id]; b != nil {
			l.drop(b)
			delete(l.pool.backends, id)
		}
		delete(l.ids, l.names[id]) // the same name gets the same identifier again
		delete(l.names, id)
	}
	l.balancer.Membership(l.now(), marlreel.Membership{Kind: kind, Version: list.Generation, Backends: entries})
	if kind != marlreel.ListCached && l.listed != nil {
		l.listed()
		l.listed = nil
	}
}

// drop sees to it that nothing more is sent to a backend that has left.
func (l *loop) drop(b *backend) {
	if b != nil {
		b.ready.Store(false)
		l.pool.release(b)
	}
}

// backendID gives the module's identifier for a name: the same at every proxy,
// but for two names of one hash.
func (l *loop) backendID(name string) marlreel.BackendID {
	id, known := l.ids[name]
	if known {
		return id
	}
	f := fnv.New32a()
	io.WriteString(f, name)
	id = marlreel.BackendID(f.Sum32())
	for _, taken := l.names[id]; taken; _, taken = l.names[id] {
		id++
	}
	l.ids[name], l.names[id] = id, name
	return id
}

// ---- requests ----

// request takes a client's request in.
func (l *loop) request(r *request) {
	if r.answered { // its client left before
		return
	}
	if most := l.cfg.maxOpen; most > 0 && len(l.requests) >= most {
		r.answered = true
		r.answers <- ownAnswer(http.StatusServiceUnavailable, "too many requests")
		return
	}
	// Backends tell requests apart by this name. Under the name of another's request
	// this one would get that one's answer, or give it its own.
	if !l.asked.add(r.name, l.now()) {
		r.answered = true
		r.answers <- badRequest(http.StatusConflict, "%s is in use", headerID)
		return
	}
	l.lastID++
	r.ID = l.lastID
	l.requests[r.ID] = r
	// Whatever the module does, the client has its answer before its time is up.
	r.backstop = l.at(r.Deadline-backstop, func() {
		if l.answer(r, ownAnswer(http.StatusGatewayTimeout, "out of time")) {
			l.balancer.Gone(l.now(), r.ID)
		}
	})
	l.balancer.Request(l.now(), r.Request)
}

// answer gives the final answer, unless there was one.
func (l *loop) answer(r *request, a answer) bool {
	if r.answered {
		return false
	}
	r.answers <- a
	l.over(r)
	return true
}

// over ends a request: what is not yet written for it never will be.
func (l *loop) over(r *request) {
	r.answered = true
	l.disarm(r.backstop)
	for _, a := range r.attempts {
		if !a.done && a.permit.revoke() {
			a.cancel()
			l.later = append(l.later, func() { l.outcome(a, reply{result: marlreel.Moot}) })
		}
	}
	l.forget(r)
}

func (l *loop) forget(r *request) {
	if r.answered && r.open == 0 {
		delete(l.requests, r.ID)
	}
}

// failAll ends what is still open when the process has to go. Some of it may
// have run, so none of it is refused.
func (l *loop) failAll() {
	for _, r := range l.requests {
		if l.answer(r, ownAnswer(http.StatusBadGateway, "the proxy stops")) {
			l.balancer.Gone(l.now(), r.ID)
		}
	}
}

// gone takes the leave of a client.
func (l *loop) gone(r *request) {
	if r.answered {
		return
	}
	l.over(r)
	l.balancer.Gone(l.now(), r.ID)
}

// outcome tells the module how an attempt ended, once. The first good answer is the client's.
func (l *loop) outcome(a *attempt, end reply) {
	if a.done {
		return
	}
	r := a.req
	a.done = true
	r.open--
	l.disarm(a.end)
	if end.result == marlreel.OK {
		l.answer(r, answer{status: http.StatusOK, header: passedOn(end.header), body: end.body})
	}
	l.forget(r)
	now := l.now()
	l.balancer.Outcome(now, marlreel.Outcome{ID: r.ID, Attempt: a.n, Backend: a.to.ID, Result: end.result,
		Took: now - a.sent, Final: r.answered, Load: end.load})
}

func passedOn(h http.Header) http.Header {
	h = endToEnd(h)
	h.Del(headerLoad)
	return h
}

// launch starts an exchange and brings its end back to the loop. The connection
// is counted from here on, and until end has it.
func (l *loop) launch(x *exchange, end func(reply)) {
	x.addr = x.to.addr
	if x.conn = l.pool.take(x.to, l.now()); x.conn == nil && !l.pool.mayDial() {
		l.later = append(l.later, func() { end(reply{result: marlreel.ConnectFailed}) })
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	x.cancel = cancel
	go func() {
		defer cancel()
		r := x.run(ctx, l.cfg.Settings.Caps.ConnectTimeout, l.cfg.report)
		l.post(func() {
			l.pool.put(x.to, r.conn, l.now())
			end(r)
		})
	}()
}

// ---- the module's host ----

// host implements marlreel.Host. No method blocks or calls the module.
type host struct{ *loop }

// Send starts an attempt.
func (l host) Send(id marlreel.RequestID, to marlreel.BackendID, until time.Duration) {
	r := l.requests[id]
	if r == nil {
		l.logf("send for request %d, which is over", id)
		return
	}
	a := &attempt{req: r, n: len(r.attempts), sent: l.now()}
	a.cancel = func() {}
	r.attempts = append(r.attempts, a)
	r.open++
	if latest := r.Deadline - 2*backstop; until == 0 || until > latest {
		until = latest
	}
	a.to = l.pool.backends[to]
	unsent := marlreel.OK
	switch {
	case r.answered || until <= a.sent || a.n >= l.cfg.Settings.Caps.MaxAttempts:
		unsent = marlreel.Moot
	case a.to == nil:
		unsent = marlreel.ConnectFailed
	}
	if unsent != marlreel.OK {
		if a.to == nil {
			a.to = &backend{Backend: marlreel.Backend{ID: to}}
		}
		a.permit.revoke()
		l.later = append(l.later, func() { l.outcome(a, reply{result: unsent}) })
		return
	}
	a.msg, a.until = r.msg, l.wall(until)
	a.end = l.at(until, func() { l.expire(a) })
	l.launch(&a.exchange, func(end reply) { l.outcome(a, end) })
}

// expire gives an attempt up when its time has run out.
func (l *loop) expire(a *attempt) {
	if a.done {
		return
	}
	result := marlreel.Timeout
	if a.permit.revoke() {
		result = marlreel.ConnectFailed // it was still dialling
	}
	a.cancel()
	l.outcome(a, reply{result: result})
}

// Refuse answers that coming again is harmless.
func (l host) Refuse(id marlreel.RequestID, retryAfter time.Duration) {
	if r := l.requests[id]; r != nil {
		a := ownAnswer(http.StatusServiceUnavailable, "refused")
		a.retryAfter = retryAfter
		l.answer(r, a)
	}
}

// Fail answers without a promise.
func (l host) Fail(id marlreel.RequestID) {
	if r := l.requests[id]; r != nil {
		l.answer(r, ownAnswer(http.StatusBadGateway, "failed"))
	}
}

// Cancel calls an attempt off by closing its connection.
func (l host) Cancel(id marlreel.RequestID, n int) {
	r := l.requests[id]
	if r == nil || n < 0 || n >= len(r.attempts) || r.attempts[n].done {
		return
	}
	a := r.attempts[n]
	result := marlreel.Cancelled
	if a.permit.revoke() {
		result = marlreel.Moot
	}
	a.cancel()
	l.later = append(l.later, func() { l.outcome(a, reply{result: result}) })
}

// Probe asks for a backend's health.
func (l host) Probe(id marlreel.BackendID) {
	b := l.pool.backends[id]
	sent := l.now()
	end := func(r reply) {
		now := l.now()
		l.balancer.Probed(now, marlreel.ProbeResult{Backend: id, Result: r.result, Took: now - sent, Load: r.load})
	}
	if b == nil {
		l.later = append(l.later, func() { end(reply{result: marlreel.Moot}) })
		return
	}
	wait := time.Duration(probeLonger * float64(l.cfg.Settings.Caps.ConnectTimeout))
	l.launch(&exchange{to: b, msg: probeMessage(b.addr), until: time.Now().Add(wait)}, end)
}

func probeMessage(addr string) *message {
	return &message{method: http.MethodGet, head: []byte("GET /health HTTP/1.1\r\nHost: " + addr + "\r\n")}
}

// Release closes the idle connections to a backend.
func (l host) Release(id marlreel.BackendID) {
	if b := l.pool.backends[id]; b != nil {
		l.pool.release(b)
	}
}

// Watch follows the list, or ceases to.
func (l host) Watch(on bool) { l.watchList(on) }

// Fetch asks for the whole list once.
func (l host) Fetch() { go l.discovery(nil).fetch(l.ctx) }

// Tell would reach other proxies. The module has nothing to tell them.
func (l host) Tell(peer uint32, body []byte) {
	l.logf("%d bytes for peer %d dropped: there is no way to it", len(body), peer)
}

// After asks for a Timer event.
func (l host) After(d time.Duration, token uint64) {
	l.at(l.now()+d, func() { l.balancer.Timer(l.now(), token) })
}

// Log writes a line of the module's; it is sparing by itself.
func (l host) Log(line string) { l.logf("%s", line) }

// ---- timers ----

type timer struct {
	at    time.Duration
	order uint64 // of two at one time the older comes first
	place int    // in the heap; -1 is out of it
	event func()
}

type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.place = len(*h)
	*h = append(*h, t)
}
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	last.place = -1
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
