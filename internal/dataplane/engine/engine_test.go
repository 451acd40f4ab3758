package engine

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/testutil"
)

// manualCarrier is a carrier whose attempts the test ends.
type manualCarrier struct{ started []*Attempt }

func (h *manualCarrier) StartAttempt(a *Attempt)    { h.started = append(h.started, a) }
func (h *manualCarrier) ReleaseIdle(*Backend)       {}
func (h *manualCarrier) RemoveBackend(*Backend)     {}
func (h *manualCarrier) CloseExpired(time.Duration) {}

// clientCall is a client's call, with the answers that it got.
type clientCall struct {
	Call
	answers []Answer
}

func (c *clientCall) HandleAnswer(_ *Call, a Answer) { c.answers = append(c.answers, a) }

// manualEngine is an engine that the test drives by hand, timer by timer.
type manualEngine struct {
	*Engine
	carrier *manualCarrier
}

func newManualEngine(t testing.TB, entries ...Entry) *manualEngine {
	t.Helper()
	e, err := New(Config{Settings: testutil.Module(t), Seed: 1, Logf: t.Logf})
	if err != nil {
		t.Fatal(err)
	}
	l := &manualEngine{e, &manualCarrier{}}
	e.AddCarrier(l.carrier)
	l.Dispatch(func() { l.ApplyMembership(Membership{Kind: balancer.MembershipCached, Entries: entries}) })
	return l
}

// ready is a list's entry for a backend at an address.
func ready(name, addr string) Entry {
	return Entry{Name: name, Addr: addr, State: balancer.Ready, Weight: 1}
}

func (l *manualEngine) submit(class int, left time.Duration) *clientCall {
	now := l.Now()
	c := &clientCall{Call: Call{ClientRequestID: fmt.Sprint(len(l.carrier.started), l.lastID), Carrier: l.carrier}}
	c.Front, c.Class, c.Deadline = c, class, now+left
	l.Dispatch(func() { l.HandleCall(&c.Call, now) })
	return c
}

// The balancer may forget a request or be wrong about its time. The client still has its answer before its deadline, and
// nothing is sent for it from then on.
func TestDeadlineTimerAnswersBeforeTheDeadline(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
	c := l.submit(1, time.Minute)
	if len(c.attempts) != 1 {
		t.Fatalf("%d attempts", len(c.attempts))
	}
	var last *Timer
	for len(l.timers) > 0 { // the deadline timer alone: the attempt's timeout and the balancer's timers are passed over
		if last = heap.Pop(&l.timers).(*Timer); last.at == c.Deadline-MaxDeadlineMargin {
			break
		}
	}
	if last.at != c.Deadline-MaxDeadlineMargin {
		t.Fatal("no deadline timer is set")
	}
	l.Dispatch(last.event)
	if len(c.answers) != 1 || c.answers[0].Verdict != TimedOut {
		t.Fatalf("the deadline timer's answer: %+v", c.answers)
	}
	if _, open := l.calls[c.ID]; open {
		t.Error("the call is still in the table")
	}
	l.Dispatch(func() { host{l.Engine}.Send(c.ID, l.backends.id("s-1"), 0, 0) })
	l.Dispatch(func() { host{l.Engine}.Reject(c.ID, 0) })
	if len(c.attempts) != 1 || len(c.answers) != 1 {
		t.Error("something came after the final answer")
	}
}

// An attempt times out early enough for the balancer to hear of it before the deadline timer.
func TestAttemptTimesOutBeforeTheDeadlineTimer(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
	c := l.submit(1, time.Second)
	if until := c.attempts[0].Deadline; until.After(l.WallTime(c.Deadline - MaxDeadlineMargin - time.Millisecond)) {
		t.Errorf("the attempt may last until %v before the deadline", l.WallTime(c.Deadline).Sub(until))
	}
}

// A client that waits for a moment alone has most of that moment: the engine's margin is a
// small part of it, as it is of a long wait.
func TestDeadlineMarginOfShortTimeouts(t *testing.T) {
	t.Parallel()
	for _, wait := range []time.Duration{30 * time.Millisecond, 40 * time.Millisecond, 200 * time.Millisecond, time.Second} {
		l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
		c := l.submit(1, wait)
		if len(c.attempts) != 1 || c.attempts[0].Ended() {
			t.Fatalf("%v: %d attempts", wait, len(c.attempts))
		}
		until := c.attempts[0].Deadline
		if left := l.WallTime(c.Deadline).Sub(until); left > wait/4 || left <= 0 {
			t.Errorf("%v: the attempt ends %v before the client leaves", wait, left)
		}
	}
}

// An answer takes the permit from attempts that are not yet written.
func TestAnswerRevokesUnsentAttempts(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
	c := l.submit(1, time.Minute)
	stopped := false
	a := c.attempts[0]
	a.Stop = func() { stopped = true }
	l.Dispatch(func() { l.answer(&c.Call, Answer{Verdict: Failed}) })
	if a.Permit.TryClaim() || !a.ended || !stopped {
		t.Error("an unsent attempt may still go out after the answer, or has no outcome")
	}
}

// One that was written when its call was answered goes on to its own end, and the
// call's place is kept until then.
func TestWrittenAttemptsOutliveTheAnswer(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
	c := l.submit(1, time.Minute)
	a := c.attempts[0]
	if !a.Permit.TryClaim() {
		t.Fatal("no permit")
	}
	l.Dispatch(func() { l.answer(&c.Call, Answer{Verdict: Failed}) })
	if a.ended || l.OpenCalls() != 1 {
		t.Errorf("done: %v, open: %d", a.ended, l.OpenCalls())
	}
	l.Dispatch(func() { a.End(AttemptEnd{Result: balancer.OK, Reply: "late"}) })
	l.Dispatch(func() { a.End(AttemptEnd{Result: balancer.Reset}) }) // a second end is let be
	if len(c.answers) != 1 || l.OpenCalls() != 0 {
		t.Errorf("answers: %+v, open: %d", c.answers, l.OpenCalls())
	}
}

// A call whose request ID is another's is not accepted; one beyond the limit is rejected.
func TestDuplicateIDsAndMaxOpenCalls(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
	l.cfg.MaxOpenCalls = 2
	first := l.submit(1, time.Minute)
	twin := &clientCall{Call: Call{ClientRequestID: first.ClientRequestID, Carrier: l.carrier}}
	twin.Front, twin.Deadline = twin, l.Now()+time.Minute
	l.Dispatch(func() { l.HandleCall(&twin.Call, l.Now()) })
	if len(twin.answers) != 1 || twin.answers[0].Verdict != DuplicateID {
		t.Errorf("under another's request ID: %+v", twin.answers)
	}
	l.submit(1, time.Minute)
	if third := l.submit(1, time.Minute); len(third.answers) != 1 || third.answers[0].Verdict != Overloaded || third.answers[0].RetryAfter != l.RetryAfter() {
		t.Errorf("beyond the limit: %+v", third.answers)
	}
	l.Dispatch(func() { l.FailAll(true) })
	if len(first.answers) != 1 || first.answers[0].Verdict != Stopped {
		t.Errorf("at the stop: %+v", first.answers)
	}
}

// A client that is rejected before the balancer hears of it gets a Retry-After where the settings allow it, within their
// bound.
func TestRetryAfterOfRejectedCalls(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		may  bool
		most time.Duration
		want time.Duration
	}{
		{false, 2 * time.Second, 0},
		{true, 2 * time.Second, time.Second},
		{true, 300 * time.Millisecond, 300 * time.Millisecond},
	} {
		l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
		b, s := *l.SettingsSnapshot(), *l.Settings()
		s.Caps.RetryAfter, s.Caps.MaxRetryAfter = c.may, c.most
		b.Settings = &s
		l.snapshot.Store(&b)
		l.cfg.MaxOpenCalls = 1
		l.submit(1, time.Minute)
		if got := l.submit(1, time.Minute); len(got.answers) != 1 || got.answers[0].RetryAfter != c.want {
			t.Errorf("%v, at most %v: %+v", c.may, c.most, got.answers)
		}
	}
}

// What its client is still writing at a stop may yet be complete: it ends last.
func TestFailAllEndsReceivingCallsLast(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
	c := &clientCall{Call: Call{ClientRequestID: "coming", Carrier: l.carrier, Receiving: true, Timeout: time.Second}}
	c.Front = c
	l.Dispatch(func() { l.HandleCall(&c.Call, l.Now()) })
	l.Dispatch(func() { l.FailAll(false) })
	if len(c.answers) != 0 {
		t.Errorf("still coming, and answered: %+v", c.answers)
	}
	l.Dispatch(func() { l.FailAll(true) })
	if len(c.answers) != 1 || c.answers[0].Verdict != Stopped {
		t.Errorf("at the end: %+v", c.answers)
	}
}

// Backends come under new names all day. The ones that have gone are forgotten.
func TestRemovedBackendsAreForgotten(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
	for i := range 50 {
		l.Dispatch(func() {
			l.ApplyMembership(Membership{Kind: balancer.MembershipFull, Version: uint32(i + 2), Entries: []Entry{ready(fmt.Sprintf("s-new-%d", i), "127.0.0.1:1")}})
		})
	}
	if len(l.backends.ids) != 1 || len(l.backends.names) != 1 || len(l.backends.byID) != 1 {
		t.Errorf("%d names and %d backends are kept for a list of one", len(l.backends.ids), len(l.backends.byID))
	}
}

// Nothing goes to a backend from the moment at which it is listed as draining; its
// idle connections are given back.
func TestDrainingBackendGetsNothing(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
	b := l.Backend("s-1")
	e := ready("s-1", "127.0.0.1:1")
	e.State = balancer.Draining
	l.Dispatch(func() { l.ApplyMembership(Membership{Kind: balancer.MembershipDelta, Version: 2, Entries: []Entry{e}}) })
	if b.Ready() {
		t.Error("a draining backend may still be written to")
	}
	if c := l.submit(1, time.Minute); len(c.attempts) != 0 {
		t.Error("a draining backend was sent a request")
	}
}

// Start times are Unix times; the module's are on the engine's clock, where 0 is long ago.
func TestStartTimes(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
	for _, c := range []struct {
		at   time.Time
		want time.Duration
	}{
		{time.Time{}, 0},
		{l.start.Add(-3 * time.Second), ClockStart - 3*time.Second},
		{time.UnixMilli(1), 1}, // before the clock's own start: long ago, but known
	} {
		e := ready("s-1", "127.0.0.1:1")
		e.Started = c.at
		l.Dispatch(func() { l.ApplyMembership(Membership{Kind: balancer.MembershipDelta, Version: 2, Entries: []Entry{e}}) })
		if got := l.Backend("s-1").Started; got != c.want {
			t.Errorf("started at %v: %v, want %v", c.at, got, c.want)
		}
	}
}

// A panic in one event does not end the engine, nor the calls in hand.
func TestPanicInOneEventEndsNothing(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
	c := l.submit(1, time.Minute)
	l.Dispatch(func() { panic("one bad event") })
	l.Dispatch(func() { c.attempts[0].End(AttemptEnd{Result: balancer.OK, Reply: "good"}) })
	if len(c.answers) != 1 || c.answers[0].Reply != "good" {
		t.Errorf("%+v", c.answers)
	}
}

func TestRecentNamesForget(t *testing.T) {
	t.Parallel()
	r := newRecentNames(time.Second)
	for i := range 5000 {
		at := time.Duration(i) * 10 * time.Millisecond
		if !r.add(fmt.Sprint(i), at) {
			t.Fatalf("%d is new and taken for known", i)
		}
		if i >= 90 && r.add(fmt.Sprint(i-90), at) {
			t.Fatalf("%d is forgotten too early", i-90)
		}
	}
	if n := len(r.current) + len(r.previous); n > 200 {
		t.Errorf("%d names are kept of 200 in two spans", n)
	}
	if !r.add("1", time.Minute) {
		t.Error("a name of long ago is still known")
	}
}

// Where no second copy is allowed, the next attempt waits until the connection of the one that was given up is closed:
// until then that one is still out, and the backend may yet begin it.
func TestNextAttemptWaitsForCancelledOnesEnd(t *testing.T) {
	t.Parallel()
	for name, giveUp := range map[string]func(l *manualEngine, a *Attempt){
		"expired":   func(l *manualEngine, a *Attempt) { a.expire() },
		"cancelled": func(l *manualEngine, a *Attempt) { host{l.Engine}.Cancel(a.Call.ID, a.Index) },
	} {
		l := newManualEngine(t, ready("s-1", "127.0.0.1:1"), ready("s-2", "127.0.0.1:2"))
		cfg := testutil.Module(t)
		cfg.Caps.Hedging = false
		if err := l.Reconfigure(cfg); err != nil {
			t.Fatal(err)
		}
		c := l.submit(0, time.Minute)
		a, stopped := c.attempts[0], 0
		a.Stop = func() { stopped++ }
		if !a.Permit.TryClaim() {
			t.Fatal("no permit")
		}
		l.Dispatch(func() { giveUp(l, a) })
		l.Dispatch(func() { giveUp(l, a) }) // twice is as good as once
		if stopped != 1 || a.Ended() || len(l.carrier.started) != 1 {
			t.Errorf("%s: stopped %d times, ended %v, %d attempts, and its connection is open", name, stopped, a.Ended(), len(l.carrier.started))
		}
		l.Dispatch(func() { a.End(AttemptEnd{Result: balancer.Reset}) }) // the break is this side's own
		if !a.Ended() || len(l.carrier.started) != 2 {
			t.Errorf("%s: ended %v, %d attempts once its connection is closed", name, a.Ended(), len(l.carrier.started))
		}
	}
}

// What the carrier finds when it is called off goes before the call: an answer that had come, or the proof that
// nothing ran.
func TestCancelledAttemptsOwnEndGoesFirst(t *testing.T) {
	t.Parallel()
	for result, want := range map[balancer.Result]int{balancer.OK: 1, balancer.NotSent: 0} {
		l := newManualEngine(t, ready("s-1", "127.0.0.1:1"), ready("s-2", "127.0.0.1:2"))
		c := l.submit(1, time.Minute) // unsafe
		a := c.attempts[0]
		a.Stop = func() {}
		a.Permit.TryClaim()
		l.Dispatch(a.expire)
		l.Dispatch(func() { a.End(AttemptEnd{Result: result, Reply: "good"}) })
		if result == balancer.OK && (len(c.answers) != want || c.answers[0].Reply != "good") || result == balancer.NotSent && len(l.carrier.started) != 2 {
			t.Errorf("%v: answers %+v, %d attempts", result, c.answers, len(l.carrier.started))
		}
	}
}

// A request that was read by settings in which its tenant's place was another's is refused: it has not run.
func TestCallOfATenantWhoseIndexChanged(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
	cfg := testutil.Module(t)
	cfg.Tenants = []balancer.Tenant{{Name: "obala", TrafficShare: 0.5}, {Name: "solina", TrafficShare: 0.5}}
	if err := l.Reconfigure(cfg); err != nil {
		t.Fatal(err)
	}
	read := l.SettingsSnapshot()
	cfg.Tenants = []balancer.Tenant{{Name: "lovec", TrafficShare: 0.5}, {Name: "solina", TrafficShare: 0.5}}
	if err := l.Reconfigure(cfg); err != nil {
		t.Fatal(err)
	}
	for tenant, want := range []int{0, 1} {
		c := &clientCall{Call: Call{ClientRequestID: fmt.Sprint("t", tenant), Carrier: l.carrier, Snapshot: read}}
		c.Front, c.Tenant, c.Deadline = c, tenant, l.Now()+time.Minute
		l.Dispatch(func() { l.HandleCall(&c.Call, l.Now()) })
		if len(c.attempts) != want || want == 0 && (len(c.answers) != 1 || c.answers[0].Verdict != Rejected) {
			t.Errorf("tenant %d: %d attempts, %+v", tenant, len(c.attempts), c.answers)
		}
	}
}

// Guards against routes that were added and never served: settings with more classes than there was room for at the start
// were refused, and so was every request of a class that came with them.
func TestClassesBeyondTheRoomAtTheStartAreServed(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
	for generation := range 3 { // each with other names, right behind the one before: those rest before they are reused
		cfg := testutil.Module(t)
		for i := range maxClasses {
			class := cfg.Classes[0]
			class.Name = fmt.Sprintf("added %d %d", generation, i)
			cfg.Classes = append(cfg.Classes, class)
		}
		if err := l.Reconfigure(cfg); err != nil {
			t.Fatal(err)
		}
		last, known := l.SettingsSnapshot().ClassIndexes[fmt.Sprintf("added %d %d", generation, maxClasses-1)]
		if !known {
			t.Fatalf("generation %d: a class is not known", generation)
		}
		if c := l.submit(last, time.Minute); len(c.attempts) != 1 {
			t.Errorf("generation %d: %d attempts of a request of an added class", generation, len(c.attempts))
		}
	}
}
