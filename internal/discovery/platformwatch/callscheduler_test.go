package platformwatch

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// MaxUpdateDelay is derived from the constants in force. This test fails if one of them is raised so far that a change
// may be known too late.
func TestMaxUpdateDelayIsWithinBound(t *testing.T) {
	t.Parallel()
	for _, onRequest := range []bool{false, true} {
		margin := 6 * time.Second
		for _, proxies := range []int{0, 1, 4, 30, 300, 5000} {
			delay := TimingsFor(onRequest, proxies).MaxUpdateDelay()
			if margin = min(margin, maxUpdateDelay-delay); margin < 0 {
				t.Errorf("on request: %v, %d proxies: known after %v, and %v is allowed", onRequest, proxies, delay, maxUpdateDelay)
			}
		}
		t.Logf("on request: %v: margin %v", onRequest, margin)
	}
}

// callFault is how a call fails: when it is rejected, and when its response head is received (0: never).
type callFault struct {
	name           string
	rejected, head time.Duration
}

var callFaults = []callFault{
	{name: "is lost"},
	{name: "is rejected", rejected: time.Millisecond},
	{name: "fails late", rejected: 700 * time.Millisecond},
	{name: "gets only a head", head: 5 * time.Millisecond},
	{name: "gets only a late head", head: 790 * time.Millisecond},
}

// simulate runs a scheduler from the moment when its watch falls silent or ends. Its first calls have the given faults,
// all others are answered at once. It returns how long it takes until a line is received.
func simulate(t *testing.T, timings Timings, silent bool, seed float64, first ...callFault) time.Duration {
	t.Helper()
	s := &simulation{first: first, scheduler: callScheduler{timings: timings, jitter: func() float64 { return seed }, liveID: 1, lastID: 1}}
	if !silent {
		s.scheduler.onEnd(0, 1)
	}
	for next := time.Duration(0); s.lineAt == 0; {
		now := s.runEvent(next)
		cancelled, start, wake := s.scheduler.step(now)
		s.events = slices.DeleteFunc(s.events, func(e simulatedEvent) bool { return slices.Contains(cancelled, e.call) })
		if start != 0 {
			s.startCall(now, start)
		}
		if wake <= now && start == 0 {
			t.Fatalf("the next step is at %v, but it is already %v", wake, now)
		}
		next = wake
		slices.SortFunc(s.events, func(x, y simulatedEvent) int { return int(x.at - y.at) })
		if len(s.events) > 0 {
			next = min(next, s.events[0].at)
		}
		if now > time.Minute {
			t.Fatal("no line is received")
		}
	}
	if s.maxPending > maxCalls {
		t.Fatalf("%d calls at once", s.maxPending)
	}
	return s.lineAt
}

// simulation is a scheduler and the planned events of its calls.
type simulation struct {
	scheduler  callScheduler
	first      []callFault // of the first calls
	started    int
	events     []simulatedEvent
	lineAt     time.Duration // when a line was received; 0: not yet
	maxPending int
}

type simulatedEvent struct {
	at   time.Duration
	do   func(now time.Duration)
	call int
}

// runEvent runs an event that is due, if any, and returns its time, or now if there is none.
func (s *simulation) runEvent(now time.Duration) time.Duration {
	index := slices.IndexFunc(s.events, func(e simulatedEvent) bool { return e.at <= now })
	if index < 0 {
		return now
	}
	event := s.events[index]
	s.events = slices.Delete(s.events, index, index+1)
	event.do(event.at)
	return event.at
}

// startCall plans the events of a call.
func (s *simulation) startCall(now time.Duration, id int) {
	s.started++
	switch {
	case s.started > len(s.first):
		s.plan(now+50*time.Millisecond, id, func(now time.Duration) { s.lineAt = now })
	case s.first[s.started-1].rejected > 0:
		s.plan(now+s.first[s.started-1].rejected, id, func(now time.Duration) { s.scheduler.onEnd(now, id) })
	case s.first[s.started-1].head > 0:
		s.plan(now+s.first[s.started-1].head, id, func(now time.Duration) { s.scheduler.onHead(now, id) })
	}
	s.maxPending = max(s.maxPending, len(s.scheduler.pending))
}

func (s *simulation) plan(at time.Duration, id int, do func(now time.Duration)) {
	s.events = append(s.events, simulatedEvent{at, do, id})
}

// maxDelayByWatch holds in simulations of all faults of the watch and of one or two calls after it.
func TestMaxDelayByWatchIsAnUpperBound(t *testing.T) {
	t.Parallel()
	for _, onRequest := range []bool{false, true} {
		for _, proxies := range []int{1, 30, 300} {
			checkDelayBound(t, TimingsFor(onRequest, proxies), fmt.Sprintf("on request: %v, %d proxies", onRequest, proxies))
		}
	}
}

func checkDelayBound(t *testing.T, timings Timings, name string) {
	t.Helper()
	worst := time.Duration(0)
	for _, silent := range []bool{true, false} {
		for _, seed := range []float64{0, 0.5, 0.999} {
			for _, a := range callFaults {
				worst = max(worst, simulate(t, timings, silent, seed, a))
				for _, b := range callFaults {
					took := simulate(t, timings, silent, seed, a, b)
					if worst = max(worst, took); took > timings.maxDelayByWatch() {
						t.Errorf("%s, watch silent: %v, a call %s, then one %s: known after %v, bound %v", name, silent, a.name, b.name, took, timings.maxDelayByWatch())
					}
				}
			}
		}
	}
	t.Logf("%s: %v at most, bound %v", name, worst, timings.maxDelayByWatch())
	if worst < timings.maxDelayByWatch()/2 {
		t.Errorf("%s: the bound is %v, but nothing takes more than %v: the bound is too loose", name, timings.maxDelayByWatch(), worst)
	}
}

// However long discovery was down, it is called again within MaxBackoff of its return.
func TestBackoffIsBoundedAfterOutage(t *testing.T) {
	t.Parallel()
	for _, onRequest := range []bool{false, true} {
		for _, down := range []time.Duration{time.Second, 8 * time.Second, time.Hour} {
			timings := TimingsFor(onRequest, 30)
			p := callScheduler{timings: timings, jitter: func() float64 { return 0.999 }, liveID: 1, lastID: 1}
			p.onEnd(0, 1)
			now := time.Duration(0)
			for now <= down {
				_, start, wake := p.step(now)
				if start != 0 {
					p.onEnd(now, start) // refused
					_, _, wake = p.step(now)
				}
				now = wake
			}
			if now-down > timings.MaxBackoff {
				t.Errorf("on request: %v, down for %v: called %v after its return", onRequest, down, now-down)
			}
		}
	}
}

// While discovery is down for 8 s, the call rate of a fleet is bounded, and its calls are spread over time.
func TestFleetCallRateIsBounded(t *testing.T) {
	t.Parallel()
	for _, onRequest := range []bool{false, true} {
		const proxies, down = 300, 8 * time.Second
		perSecond, last := make([]int, 9), map[time.Duration]int{}
		for proxy := range proxies {
			p := callScheduler{timings: TimingsFor(onRequest, proxies), liveID: 1, lastID: 1, jitter: jitterOf(proxy)}
			p.onEnd(0, 1) // all watches end at once
			for now := time.Duration(0); now < down; {
				_, start, wake := p.step(now)
				if start != 0 {
					perSecond[now/time.Second]++
					if now > 6*time.Second {
						last[now/(50*time.Millisecond)]++
					}
					p.onEnd(now, start) // refused
					_, _, wake = p.step(now)
				}
				now = max(wake, now+time.Millisecond)
			}
		}
		rate, burst := slices.Max(perSecond[:8]), 0
		for _, n := range last {
			burst = max(burst, n)
		}
		t.Logf("on request: %v: %v calls a second; at most %d in 50 ms at the end", onRequest, perSecond[:8], burst)
		// With pushed lists each proxy has its own agent, for which 8 calls a second are negligible. On request, each
		// proxy calls once in the first second, and all together make some hundred calls a second from then on.
		if most := 200; onRequest && (slices.Max(perSecond[2:8]) > most || rate > proxies*11/10) || !onRequest && rate > 8*proxies {
			t.Errorf("on request: %v: %d calls a second from %d proxies", onRequest, perSecond, proxies)
		}
		if onRequest && burst > 30 {
			t.Errorf("%d calls within 50 ms", burst)
		}
	}
}

// queueingDiscovery serves calls one after the other and rejects those that would wait longer than maxWait. A rejection
// fails all calls of the proxy, as the answer does not tell which call it is for.
type queueingDiscovery struct {
	callTime, maxWait time.Duration
	freeAt            time.Duration // when all accepted calls are done
}

// All watches of a fleet end together, and discovery needs 2, 4 or 8 s to serve all proxies. Each proxy has to be
// answered within little more than that and discovery's maximum wait. A hedged call would cost the proxy its place in
// the queue, and delay all others.
func TestFleetIsServedByQueueingDiscovery(t *testing.T) {
	t.Parallel()
	for _, proxies := range []int{12, 32, 300} {
		for _, all := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
			for _, maxWait := range []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second} {
				checkFleetIsServed(t, proxies, all, maxWait)
			}
		}
	}
}

func checkFleetIsServed(t *testing.T, proxies int, all, maxWait time.Duration) {
	t.Helper()
	f := newQueuedFleet(proxies, &queueingDiscovery{callTime: all / time.Duration(proxies), maxWait: maxWait, freeAt: maxWait}) // its queue is full
	for now := time.Duration(0); f.left > 0 && now < time.Minute; now += time.Millisecond {
		for _, p := range f.proxies {
			if !p.answered {
				f.advance(p, now)
			}
		}
	}
	t.Logf("%d proxies, %v for all, maximum wait %v: the last is answered after %v, %d calls", proxies, all, maxWait, f.last, f.calls)
	limit := maxWait + all + 2*time.Second
	if maxWait > TimingsFor(true, proxies).QueueWait {
		limit *= 3 // exclusiveWait first has to grow to discovery's maximum wait
	}
	if f.left > 0 || f.last > limit {
		t.Errorf("%d proxies, %v for all, maximum wait %v: %d were never answered, the last after %v, and the limit is %v", proxies, all, maxWait, f.left, f.last, limit)
	}
}

// queuedFleet is a fleet whose calls are queued at discovery.
type queuedFleet struct {
	discovery *queueingDiscovery
	proxies   []*queuedProxy
	calls     int
	last      time.Duration // when the last proxy was answered
	left      int           // proxies not answered yet
}

type queuedProxy struct {
	callScheduler
	wake     time.Duration
	answers  map[int]time.Duration // when its calls are answered
	answered bool
}

// newQueuedFleet returns proxies whose watches have all just ended.
func newQueuedFleet(proxies int, discovery *queueingDiscovery) *queuedFleet {
	f := &queuedFleet{discovery: discovery, left: proxies}
	for i := range proxies {
		p := &queuedProxy{answers: map[int]time.Duration{}, callScheduler: callScheduler{timings: TimingsFor(true, proxies), liveID: 1, lastID: 1, jitter: jitterOf(i)}}
		p.onEnd(0, 1)
		f.proxies = append(f.proxies, p)
	}
	return f
}

// jitterOf returns the random numbers of one proxy (xorshift).
func jitterOf(proxy int) func() float64 {
	state := uint64(proxy)*0x9e3779b97f4a7c15 + 1
	return func() float64 {
		state ^= state << 13
		state ^= state >> 7
		state ^= state << 17
		return float64(state>>11) / (1 << 53)
	}
}

// advance runs one proxy at the time now.
func (f *queuedFleet) advance(p *queuedProxy, now time.Duration) {
	for id, at := range p.answers {
		if at <= now {
			p.onLine(now, id)
			p.answered, f.last = true, now
			f.left--
			return
		}
	}
	if now < p.wake {
		return
	}
	cancelled, start, wake := p.step(now)
	for _, id := range cancelled {
		delete(p.answers, id)
	}
	p.wake = wake
	if start == 0 {
		return
	}
	f.calls++
	d := f.discovery
	if wait := max(d.freeAt-now, 0) + d.callTime; wait <= d.maxWait {
		d.freeAt = now + wait
		p.answers[start] = d.freeAt
		return
	}
	p.onEnd(now, start)
	for id := range p.answers {
		p.onEnd(now, id)
	}
	clear(p.answers)
	_, _, p.wake = p.step(now)
}

// Lists span one line or several, with blank lines between them, and the network may split them anywhere.
func TestMultilineLists(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var want []string
		text := ""
		for range rapid.IntRange(1, 6).Draw(t, "lists") {
			list := fmt.Sprintf(`{"generation":%d,"a":"}\"{[","instances":[{"x":1},{"y":"\\"}]}`, rapid.IntRange(1, 9).Draw(t, "n"))
			switch rapid.IntRange(0, 3).Draw(t, "form") {
			case 0:
				want, text = append(want, ""), text+rapid.SampledFrom([]string{"\n", "\r\n", " \n"}).Draw(t, "blank")
				continue
			case 1:
				list = strings.ReplaceAll(list, ",", rapid.SampledFrom([]string{",\n", ",\r\n  ", ",\n\n\t"}).Draw(t, "indent"))
			case 2: // also within strings, which is not valid JSON but still one list
				list = strings.ReplaceAll(strings.ReplaceAll(list, "{", "{\n"), "}", "\n}")
			}
			want, text = append(want, list), text+list+"\n"
		}
		l := listReader{in: bufio.NewReaderSize(chunkReader{strings.NewReader(text), rapid.IntRange(1, 40).Draw(t, "piece")}, 16)}
		for i, w := range want {
			got, err := l.next()
			if err != nil || string(got) != strings.TrimSpace(w) {
				t.Fatalf("list %d of %q: %q, %v, want %q", i, text, got, err, w)
			}
		}
		if _, err := l.next(); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("the end: %v", err)
		}
	})
}

// chunkReader returns a few bytes at a time.
type chunkReader struct {
	in    io.Reader
	piece int
}

func (r chunkReader) Read(p []byte) (int, error) { return r.in.Read(p[:min(len(p), r.piece)]) }

// A list that never ends is rejected once it exceeds maxListBytes.
func TestEndlessListIsRejected(t *testing.T) {
	t.Parallel()
	endless := io.MultiReader(strings.NewReader(`{"generation":1,"instances":[`), strings.NewReader(strings.Repeat("{},\n", maxListBytes/4)))
	l := listReader{in: bufio.NewReader(endless)}
	if _, err := l.next(); !errors.Is(err, errListTooLong) {
		t.Errorf("%v", err)
	}
}
