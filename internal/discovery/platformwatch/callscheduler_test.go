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

// The longest way from a change to its being known is summed from the constants in force. Whoever makes one of them
// longer finds out here, before the operators do.
func TestAChangeIsKnownInTime(t *testing.T) {
	t.Parallel()
	for _, onRequest := range []bool{false, true} {
		margin := 6 * time.Second
		for _, proxies := range []int{0, 1, 4, 30, 300, 5000} {
			sum := TimingsFor(onRequest, proxies).MaxUpdateDelay()
			if margin = min(margin, maxUpdateDelay-sum); margin < 0 {
				t.Errorf("asked for: %v, %d proxies: known after %v, and %v is allowed", onRequest, proxies, sum, maxUpdateDelay)
			}
		}
		t.Logf("asked for: %v: margin %v", onRequest, margin)
	}
}

// wrong is how a call goes wrong: when it fails, and when its head comes (0: never).
type wrong struct {
	name          string
	refused, head time.Duration
}

var wrongs = []wrong{
	{name: "is lost"},
	{name: "is refused", refused: time.Millisecond},
	{name: "fails late", refused: 700 * time.Millisecond},
	{name: "has a head alone", head: 5 * time.Millisecond},
	{name: "has a late head alone", head: 790 * time.Millisecond},
}

// play runs a scheduler whose first calls go wrong and whose others are answered at once, from a moment on at which
// the watch falls silent or ends, and returns how long it takes until a line comes.
func play(t *testing.T, timings Timings, silent bool, seed float64, first ...wrong) time.Duration {
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
			t.Fatalf("it looks again at %v, and it is %v", wake, now)
		}
		next = wake
		slices.SortFunc(s.events, func(x, y simulatedEvent) int { return int(x.at - y.at) })
		if len(s.events) > 0 {
			next = min(next, s.events[0].at)
		}
		if now > time.Minute {
			t.Fatal("nothing is ever heard")
		}
	}
	if s.maxPending > maxCalls {
		t.Fatalf("%d calls at once", s.maxPending)
	}
	return s.lineAt
}

// simulation is a scheduler and what its calls will bring.
type simulation struct {
	scheduler  callScheduler
	first      []wrong // how the first calls go wrong
	started    int
	events     []simulatedEvent
	lineAt     time.Duration // when a line came; 0: not yet
	maxPending int
}

type simulatedEvent struct {
	at   time.Duration
	do   func(now time.Duration)
	call int
}

// runEvent runs an event that is due, if any, and returns the time of it.
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

// startCall plans what a call brings.
func (s *simulation) startCall(now time.Duration, id int) {
	s.started++
	switch {
	case s.started > len(s.first):
		s.plan(now+50*time.Millisecond, id, func(now time.Duration) { s.lineAt = now })
	case s.first[s.started-1].refused > 0:
		s.plan(now+s.first[s.started-1].refused, id, func(now time.Duration) { s.scheduler.onEnd(now, id) })
	case s.first[s.started-1].head > 0:
		s.plan(now+s.first[s.started-1].head, id, func(now time.Duration) { s.scheduler.onHead(now, id) })
	}
	s.maxPending = max(s.maxPending, len(s.scheduler.pending))
}

func (s *simulation) plan(at time.Duration, id int, do func(now time.Duration)) {
	s.events = append(s.events, simulatedEvent{at, do, id})
}

// Whatever goes wrong with the watch and with two calls after it, alone and in a row, the sum holds; played, not
// summed.
func TestTheSumIsAnUpperBound(t *testing.T) {
	t.Parallel()
	for _, onRequest := range []bool{false, true} {
		for _, proxies := range []int{1, 30, 300} {
			holdsTo(t, TimingsFor(onRequest, proxies), fmt.Sprintf("asked for: %v, %d proxies", onRequest, proxies))
		}
	}
}

func holdsTo(t *testing.T, timings Timings, name string) {
	t.Helper()
	worst := time.Duration(0)
	for _, silent := range []bool{true, false} {
		for _, seed := range []float64{0, 0.5, 0.999} {
			for _, a := range wrongs {
				worst = max(worst, play(t, timings, silent, seed, a))
				for _, b := range wrongs {
					took := play(t, timings, silent, seed, a, b)
					if worst = max(worst, took); took > timings.maxDelayByWatch() {
						t.Errorf("%s, watch silent: %v, a call %s, then one %s: known after %v, summed %v", name, silent, a.name, b.name, took, timings.maxDelayByWatch())
					}
				}
			}
		}
	}
	t.Logf("%s: %v at most, %v summed", name, worst, timings.maxDelayByWatch())
	if worst < timings.maxDelayByWatch()/2 {
		t.Errorf("%s: the sum is %v, and nothing takes more than %v: it says nothing", name, timings.maxDelayByWatch(), worst)
	}
}

// However long discovery was down, it is called again soon after its return.
func TestALongOutageIsNotSleptOut(t *testing.T) {
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
				t.Errorf("asked for: %v, down for %v: called %v after its return", onRequest, down, now-down)
			}
		}
	}
}

// While discovery is down for 8 s a fleet's calls are bounded, and spread: they don't all come in one moment.
func TestAFleetDoesNotHammerDiscovery(t *testing.T) {
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
		t.Logf("asked for: %v: %v calls a second; at most %d in 50 ms at the end", onRequest, perSecond[:8], burst)
		// Pushed, each has an agent of its own, and 8 calls a second there are nothing. Asked for, each calls once in
		// the first second, and all together some hundred times a second from then on.
		if most := 200; onRequest && (slices.Max(perSecond[2:8]) > most || rate > proxies*11/10) || !onRequest && rate > 8*proxies {
			t.Errorf("asked for: %v: %d calls a second from %d proxies", onRequest, perSecond, proxies)
		}
		if onRequest && burst > 30 {
			t.Errorf("%d calls within 50 ms", burst)
		}
	}
}

// turns is a discovery that takes calls in turn, each for so long, and turns away what would wait longer than its
// patience. What turns one call of a proxy away fails all that this proxy has asked: the answer does not say which call
// it was for.
type turns struct {
	each, patience time.Duration
	free           time.Duration // when the calls that it has taken are done
}

// A whole fleet's watches end together, beside a discovery that takes all of them in 2, 4 or 8 s: each proxy is
// answered within little more than that and its own turn. A second call beside the first would cost it its turn, and
// that of all others the time that it takes.
func TestAFleetGetsItsTurn(t *testing.T) {
	t.Parallel()
	for _, proxies := range []int{12, 32, 300} {
		for _, all := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
			for _, patience := range []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second} {
				takesTurns(t, proxies, all, patience)
			}
		}
	}
}

func takesTurns(t *testing.T, proxies int, all, patience time.Duration) {
	t.Helper()
	f := newQueuedFleet(proxies, &turns{each: all / time.Duration(proxies), patience: patience, free: patience}) // it has just been busy
	for now := time.Duration(0); f.left > 0 && now < time.Minute; now += time.Millisecond {
		for _, p := range f.proxies {
			if !p.heard {
				f.look(p, now)
			}
		}
	}
	t.Logf("%d proxies, %v for all, %v of patience: the last is answered after %v, %d calls", proxies, all, patience, f.last, f.calls)
	enough := patience + all + 2*time.Second
	if patience > TimingsFor(true, proxies).QueueWait {
		enough *= 3 // how long its calls wait has to be learnt
	}
	if f.left > 0 || f.last > enough {
		t.Errorf("%d proxies, %v for all, %v of patience: %d were never answered, the last after %v, and %v is enough", proxies, all, patience, f.left, f.last, enough)
	}
}

// queuedFleet is a fleet whose calls wait in turn.
type queuedFleet struct {
	discovery *turns
	proxies   []*queuedProxy
	calls     int
	last      time.Duration // when one was last answered
	left      int           // not answered yet
}

type queuedProxy struct {
	callScheduler
	wake  time.Duration
	turn  map[int]time.Duration // when its calls are answered
	heard bool
}

// newQueuedFleet makes proxies whose watches have all just ended.
func newQueuedFleet(proxies int, discovery *turns) *queuedFleet {
	f := &queuedFleet{discovery: discovery, left: proxies}
	for i := range proxies {
		p := &queuedProxy{turn: map[int]time.Duration{}, callScheduler: callScheduler{timings: TimingsFor(true, proxies), liveID: 1, lastID: 1, jitter: jitterOf(i)}}
		p.onEnd(0, 1)
		f.proxies = append(f.proxies, p)
	}
	return f
}

// jitterOf is the random numbers of one proxy (xorshift).
func jitterOf(proxy int) func() float64 {
	state := uint64(proxy)*0x9e3779b97f4a7c15 + 1
	return func() float64 {
		state ^= state << 13
		state ^= state >> 7
		state ^= state << 17
		return float64(state>>11) / (1 << 53)
	}
}

// look is what a proxy does at a moment.
func (f *queuedFleet) look(p *queuedProxy, now time.Duration) {
	for id, at := range p.turn {
		if at <= now {
			p.onLine(now, id)
			p.heard, f.last = true, now
			f.left--
			return
		}
	}
	if now < p.wake {
		return
	}
	cancelled, start, wake := p.step(now)
	for _, id := range cancelled {
		delete(p.turn, id)
	}
	p.wake = wake
	if start == 0 {
		return
	}
	f.calls++
	d := f.discovery
	if wait := max(d.free-now, 0) + d.each; wait <= d.patience {
		d.free = now + wait
		p.turn[start] = d.free
		return
	}
	p.onEnd(now, start)
	for id := range p.turn {
		p.onEnd(now, id)
	}
	clear(p.turn)
	_, _, p.wake = p.step(now)
}

// Lists come over one line or several, with blank lines between them, and are cut anywhere by the network.
func TestListsOverLines(t *testing.T) {
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
			case 2: // also within strings, which is no JSON, and still one list
				list = strings.ReplaceAll(strings.ReplaceAll(list, "{", "{\n"), "}", "\n}")
			}
			want, text = append(want, list), text+list+"\n"
		}
		l := listReader{in: bufio.NewReaderSize(iotestReader{strings.NewReader(text), rapid.IntRange(1, 40).Draw(t, "piece")}, 16)}
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

// iotestReader gives a few bytes at a time.
type iotestReader struct {
	in    io.Reader
	piece int
}

func (r iotestReader) Read(p []byte) (int, error) { return r.in.Read(p[:min(len(p), r.piece)]) }

// What has no end is refused within its bound.
func TestAListWithoutEnd(t *testing.T) {
	t.Parallel()
	endless := io.MultiReader(strings.NewReader(`{"generation":1,"instances":[`), strings.NewReader(strings.Repeat("{},\n", maxListBytes/4)))
	l := listReader{in: bufio.NewReader(endless)}
	if _, err := l.next(); !errors.Is(err, errListTooLong) {
		t.Errorf("%v", err)
	}
}
