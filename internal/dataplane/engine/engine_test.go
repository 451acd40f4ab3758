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

// clientCall is a client's call and the answers to it.
type clientCall struct {
	Call
	answers []Answer
}

func (c *clientCall) HandleAnswer(_ *Call, a Answer) { c.answers = append(c.answers, a) }

// manualEngine is an engine without Run: the test dispatches events and timers itself.
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

// ready returns a membership entry for a ready backend at an address.
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

// Even if the balancer loses a request or misjudges its deadline, the client gets an answer before the deadline, and
// nothing is sent for the request afterwards.
func TestDeadlineTimerAnswersBeforeTheDeadline(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
	c := l.submit(1, time.Minute)
	if len(c.attempts) != 1 {
		t.Fatalf("%d attempts", len(c.attempts))
	}
	var last *Timer
	for len(l.timers) > 0 { // skips the attempt's timeout and the balancer's timers
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
		t.Error("an attempt or a second answer followed the final answer")
	}
}

// An attempt times out early enough for the balancer to be notified before the deadline timer fires.
func TestAttemptTimesOutBeforeTheDeadlineTimer(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
	c := l.submit(1, time.Second)
	if until := c.attempts[0].Deadline; until.After(l.WallTime(c.Deadline - MaxDeadlineMargin - time.Millisecond)) {
		t.Errorf("the attempt may last until %v before the deadline", l.WallTime(c.Deadline).Sub(until))
	}
}

// The engine's deadline margin takes only a small part of the client's timeout, also of a short one.
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

// The answer to a call revokes the permits of its attempts that are not yet written.
func TestAnswerRevokesUnsentAttempts(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
	c := l.submit(1, time.Minute)
	stopped := false
	a := c.attempts[0]
	a.Stop = func() { stopped = true }
	l.Dispatch(func() { l.answer(&c.Call, Answer{Verdict: Failed}) })
	if a.Permit.TryClaim() || !a.ended || !stopped {
		t.Error("after the answer, an unsent attempt can be claimed, has not ended, or was not stopped")
	}
}

// An attempt that was written before its call was answered continues until its own end, and the call stays in the table
// until then.
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
		t.Errorf("attempt ended: %v, open calls: %d", a.ended, l.OpenCalls())
	}
	l.Dispatch(func() { a.End(AttemptEnd{Result: balancer.OK, Reply: "late"}) })
	l.Dispatch(func() { a.End(AttemptEnd{Result: balancer.Reset}) }) // the second End has no effect
	if len(c.answers) != 1 || l.OpenCalls() != 0 {
		t.Errorf("answers: %+v, open calls: %d", c.answers, l.OpenCalls())
	}
}

// A call with the request ID of another call is not accepted; one beyond the limit of open calls is rejected.
func TestDuplicateIDsAndMaxOpenCalls(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
	l.cfg.MaxOpenCalls = 2
	first := l.submit(1, time.Minute)
	duplicate := &clientCall{Call: Call{ClientRequestID: first.ClientRequestID, Carrier: l.carrier}}
	duplicate.Front, duplicate.Deadline = duplicate, l.Now()+time.Minute
	l.Dispatch(func() { l.HandleCall(&duplicate.Call, l.Now()) })
	if len(duplicate.answers) != 1 || duplicate.answers[0].Verdict != DuplicateID {
		t.Errorf("answers to a duplicate request ID: %+v", duplicate.answers)
	}
	l.submit(1, time.Minute)
	if third := l.submit(1, time.Minute); len(third.answers) != 1 || third.answers[0].Verdict != Overloaded || third.answers[0].RetryAfter != l.RetryAfter() {
		t.Errorf("answers to a call beyond the limit: %+v", third.answers)
	}
	l.Dispatch(func() { l.FailAll(true) })
	if len(first.answers) != 1 || first.answers[0].Verdict != Stopped {
		t.Errorf("answers after FailAll: %+v", first.answers)
	}
}

// A call that is rejected before it reaches the balancer gets a Retry-After if the settings allow it, limited by their
// maximum.
func TestRetryAfterOfRejectedCalls(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		enabled bool
		limit   time.Duration
		want    time.Duration
	}{
		{false, 2 * time.Second, 0},
		{true, 2 * time.Second, time.Second},
		{true, 300 * time.Millisecond, 300 * time.Millisecond},
	} {
		l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
		b, s := *l.SettingsSnapshot(), *l.Settings()
		s.Caps.RetryAfter, s.Caps.MaxRetryAfter = c.enabled, c.limit
		b.Settings = &s
		l.snapshot.Store(&b)
		l.cfg.MaxOpenCalls = 1
		l.submit(1, time.Minute)
		if got := l.submit(1, time.Minute); len(got.answers) != 1 || got.answers[0].RetryAfter != c.want {
			t.Errorf("Retry-After enabled %v, at most %v: %+v", c.enabled, c.limit, got.answers)
		}
	}
}

// A request that is still being received when the process stops may yet complete, so it is not ended in the first step.
func TestFailAllEndsReceivingCallsLast(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
	c := &clientCall{Call: Call{ClientRequestID: "coming", Carrier: l.carrier, Receiving: true, Timeout: time.Second}}
	c.Front = c
	l.Dispatch(func() { l.HandleCall(&c.Call, l.Now()) })
	l.Dispatch(func() { l.FailAll(false) })
	if len(c.answers) != 0 {
		t.Errorf("answers to a call that is still being received: %+v", c.answers)
	}
	l.Dispatch(func() { l.FailAll(true) })
	if len(c.answers) != 1 || c.answers[0].Verdict != Stopped {
		t.Errorf("answers after FailAll with receiving calls: %+v", c.answers)
	}
}

// Backends get new names all day. Those that have left must not stay in memory.
func TestRemovedBackendsAreForgotten(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
	for i := range 50 {
		l.Dispatch(func() {
			l.ApplyMembership(Membership{Kind: balancer.MembershipFull, Version: uint32(i + 2), Entries: []Entry{ready(fmt.Sprintf("s-new-%d", i), "127.0.0.1:1")}})
		})
	}
	if len(l.backends.ids) != 1 || len(l.backends.names) != 1 || len(l.backends.byID) != 1 {
		t.Errorf("%d names and %d backends in memory for a membership of one", len(l.backends.ids), len(l.backends.byID))
	}
}

// Nothing is sent to a backend once the membership reports it as draining.
func TestDrainingBackendGetsNothing(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
	b := l.Backend("s-1")
	e := ready("s-1", "127.0.0.1:1")
	e.State = balancer.Draining
	l.Dispatch(func() { l.ApplyMembership(Membership{Kind: balancer.MembershipDelta, Version: 2, Entries: []Entry{e}}) })
	if b.Ready() {
		t.Error("a draining backend is still ready")
	}
	if c := l.submit(1, time.Minute); len(c.attempts) != 0 {
		t.Error("a request was sent to a draining backend")
	}
}

// Start times in memberships are wall-clock times. The balancer gets them on the engine's clock, where 0 means long
// ago.
func TestStartTimes(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
	for _, c := range []struct {
		at   time.Time
		want time.Duration
	}{
		{time.Time{}, 0},
		{l.start.Add(-3 * time.Second), ClockStart - 3*time.Second},
		{time.UnixMilli(1), 1}, // before the start of the engine's clock, but known
	} {
		e := ready("s-1", "127.0.0.1:1")
		e.Started = c.at
		l.Dispatch(func() { l.ApplyMembership(Membership{Kind: balancer.MembershipDelta, Version: 2, Entries: []Entry{e}}) })
		if got := l.Backend("s-1").Started; got != c.want {
			t.Errorf("start time %v is %v on the engine's clock, want %v", c.at, got, c.want)
		}
	}
}

// A panic in one event ends neither the engine nor its open calls.
func TestPanicInOneEventEndsNothing(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
	c := l.submit(1, time.Minute)
	l.Dispatch(func() { panic("one bad event") })
	l.Dispatch(func() { c.attempts[0].End(AttemptEnd{Result: balancer.OK, Reply: "good"}) })
	if len(c.answers) != 1 || c.answers[0].Reply != "good" {
		t.Errorf("answers after a panic in another event: %+v", c.answers)
	}
}

func TestRecentIDsExpire(t *testing.T) {
	t.Parallel()
	r := newRecentIDs(time.Second)
	for i := range 5000 {
		at := time.Duration(i) * 10 * time.Millisecond
		if !r.add(fmt.Sprint(i), at) {
			t.Fatalf("new ID %d is taken for a known one", i)
		}
		if i >= 90 && r.add(fmt.Sprint(i-90), at) {
			t.Fatalf("ID %d is forgotten too early", i-90)
		}
	}
	if n := len(r.current) + len(r.previous); n > 200 {
		t.Errorf("%d IDs in memory, want at most the 200 of two spans", n)
	}
	if !r.add("1", time.Minute) {
		t.Error("an ID of long ago is still known")
	}
}

// Without hedging, the next attempt starts only after the connection of the cancelled or expired one is closed: until
// then that one is in flight, and the backend may still run it.
func TestNextAttemptWaitsForCancelledOnesEnd(t *testing.T) {
	t.Parallel()
	for name, cancel := range map[string]func(l *manualEngine, a *Attempt){
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
		l.Dispatch(func() { cancel(l, a) })
		l.Dispatch(func() { cancel(l, a) }) // the second time has no effect
		if stopped != 1 || a.Ended() || len(l.carrier.started) != 1 {
			t.Errorf("%s: stopped %d times, ended %v, %d attempts before its connection is closed", name, stopped, a.Ended(), len(l.carrier.started))
		}
		l.Dispatch(func() { a.End(AttemptEnd{Result: balancer.Reset}) }) // the carrier closed the connection itself
		if !a.Ended() || len(l.carrier.started) != 2 {
			t.Errorf("%s: ended %v, %d attempts after its connection is closed", name, a.Ended(), len(l.carrier.started))
		}
	}
}

// If a cancelled attempt turns out to have been answered, or provably has not run, that outcome takes precedence over
// the cancellation.
func TestCancelledAttemptKeepsProvenOutcome(t *testing.T) {
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

// A call is rejected if its tenant's index means another tenant now than in the settings it was parsed with.
func TestCallOfATenantWhoseIndexChanged(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
	cfg := testutil.Module(t)
	cfg.Tenants = []balancer.Tenant{{Name: "obala", TrafficShare: 0.5}, {Name: "solina", TrafficShare: 0.5}}
	if err := l.Reconfigure(cfg); err != nil {
		t.Fatal(err)
	}
	parsedWith := l.SettingsSnapshot()
	cfg.Tenants = []balancer.Tenant{{Name: "lovec", TrafficShare: 0.5}, {Name: "solina", TrafficShare: 0.5}}
	if err := l.Reconfigure(cfg); err != nil {
		t.Fatal(err)
	}
	for tenant, want := range []int{0, 1} {
		c := &clientCall{Call: Call{ClientRequestID: fmt.Sprint("t", tenant), Carrier: l.carrier, Snapshot: parsedWith}}
		c.Front, c.Tenant, c.Deadline = c, tenant, l.Now()+time.Minute
		l.Dispatch(func() { l.HandleCall(&c.Call, l.Now()) })
		if len(c.attempts) != want || want == 0 && (len(c.answers) != 1 || c.answers[0].Verdict != Rejected) {
			t.Errorf("tenant %d: %d attempts, %+v", tenant, len(c.attempts), c.answers)
		}
	}
}

// Guards against settings with more classes than the initial capacity being rejected, and with them every request of an
// added class.
func TestClassesBeyondTheInitialCapacityAreServed(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
	for generation := range 3 { // each with new names; the indexes of the previous ones can't be reused so soon
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
			t.Fatalf("generation %d: the last added class has no index", generation)
		}
		if c := l.submit(last, time.Minute); len(c.attempts) != 1 {
			t.Errorf("generation %d: %d attempts for a request of an added class, want 1", generation, len(c.attempts))
		}
	}
}
