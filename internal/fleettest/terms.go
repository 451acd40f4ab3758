//go:build linux

package fleettest

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"
)

// The terms are the service-level guarantees of any number of processes under any faults. The auditor checks them from
// outside observations: what discovery knew and when it was reachable, what backends received and from whom, what
// clients did, and when processes started. It shares no code with the proxy and relies on no process's own reports.

// Term is one of these guarantees.
type Term string

// The terms.
const (
	TermTold  Term = "told"  // a process that could learn that a backend drains or has gone sends it no new requests
	TermLeft  Term = "left"  // no attempt starts for a client that disconnected
	TermCold  Term = "cold"  // a cold backend gets no more load than it can take, from all processes together
	TermFull  Term = "full"  // while idle clients exhaust the file descriptors, real requests are served and no process spins
	TermReady Term = "ready" // nine in ten started processes are ready in time
	TermOnce  Term = "once"  // each request gets one response, in time; no unsafe request runs twice
)

// Bounds are the limits of the terms.
type Bounds struct {
	Told    time.Duration // for requests to a draining backend, after discovery had the change and was reachable
	Grace   time.Duration // drain grace, added to Told
	Left    time.Duration // from a client's disconnect to the start of the last attempt
	Ready   time.Duration // from the start of a process
	Nine    float64       // the share of started processes that must meet Ready
	Answer  time.Duration // allowed lateness of a response beyond the request's own time limit
	Lost    float64       // the share of real requests that may fail during a crowd
	Spin    float64       // the share of a core that a process may use during a crowd
	Reached time.Duration // from discovery's recovery to the process's first call to it
}

// Agreed returns the bounds agreed with the operators; Spin and Reached are this repository's own.
func Agreed() Bounds {
	return Bounds{
		Told: 6 * time.Second, Grace: 500 * time.Millisecond, Left: 100 * time.Millisecond, Ready: 10 * time.Second, Nine: 0.9,
		Answer: 500 * time.Millisecond, Spin: 0.5, Reached: time.Second,
	}
}

func (s Span) has(at time.Duration) bool { return s.From <= at && (s.To == 0 || at < s.To) }

// Change is a change of a backend's state in discovery.
type Change struct {
	Backend string
	At      time.Duration
	Away    bool // it drains or has gone; otherwise it is ready
}

// Arrival is a request that reached a backend.
type Arrival struct {
	Proxy            int
	Backend, Request string
	Began            time.Duration // time of its first byte
	Unsafe           bool
	Ran              bool // it may have run: it was not rejected before it was read or started
	Work             float64
}

// Asked is a client's request.
type Asked struct {
	Proxy    int
	Request  string
	Sent     time.Duration
	Wait     time.Duration // the request's time limit
	Left     time.Duration // when its client disconnected; 0: it did not
	Answered time.Duration // 0: never
	Answers  int
	Served   bool
	Away     bool // its process was not running the whole time
}

// Cold is the cold-start period of a backend.
type Cold struct {
	Backend string
	Span
	Window time.Duration
	Bears  func(since time.Duration) float64 // mean requests per Window that it can take, by time since its start
}

// Started is a process's start.
type Started struct {
	Proxy     int
	At, Ready time.Duration // Ready 0: never
}

// Crowd is a period in which idle clients exhaust the file descriptors of a process.
type Crowd struct {
	Proxy int
	Span
	CPU time.Duration // used by the process in this period
}

// Call is a call of a process to discovery.
type Call struct {
	Proxy int
	At    time.Duration
}

// Sighting holds all observations of a run, on one clock.
type Sighting struct {
	Bounds
	Pushed  bool // discovery pushes its lists: a new process counts as informed from its start
	Changes []Change
	Outages []Span // periods in which discovery was unreachable
	Calls   []Call
	Arrived []Arrival
	Asked   []Asked
	Colds   []Cold
	Started []Started
	Crowds  []Crowd
}

// Recorder collects a Sighting. It is safe for concurrent use.
type Recorder struct {
	began time.Time
	mu    sync.Mutex
	saw   Sighting
}

// NewRecorder returns an empty recorder whose clock starts now.
func NewRecorder(b Bounds, pushed bool) *Recorder {
	return &Recorder{began: time.Now(), saw: Sighting{Bounds: b, Pushed: pushed}}
}

// Now returns the time on the recorder's clock.
func (r *Recorder) Now() time.Duration { return time.Since(r.began) }

// At converts a time to the recorder's clock.
func (r *Recorder) At(t time.Time) time.Duration { return t.Sub(r.began) }

// See calls note with the Sighting, under the recorder's lock.
func (r *Recorder) See(note func(s *Sighting)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	note(&r.saw)
}

// Audit checks the observations so far against the terms.
func (r *Recorder) Audit() Findings {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.saw.Audit()
}

// Break is a violation of a term.
type Break struct {
	Term Term
	Text string
}

// Figure summarizes the measurements of a term: their number, median and maximum.
type Figure struct {
	Cases    int
	P50, Max float64 // seconds; for TermCold the excess over the allowed load in units of its square root, for TermFull the share of a core
}

// Findings are the result of an audit.
type Findings struct {
	Breaks  []Break
	Figures map[Term]Figure
}

// Audit checks all observations against the terms.
func (s *Sighting) Audit() Findings {
	f := Findings{Figures: map[Term]Figure{}}
	seen := map[Term][]float64{}
	note := func(t Term, figure float64) { seen[t] = append(seen[t], figure) }
	broke := func(t Term, format string, args ...any) {
		f.Breaks = append(f.Breaks, Break{t, fmt.Sprintf(format, args...)})
	}
	s.told(note, broke)
	s.left(note, broke)
	s.cold(note, broke)
	s.full(note, broke)
	s.ready(note, broke)
	s.once(note, broke)
	for t, all := range seen {
		slices.Sort(all)
		f.Figures[t] = Figure{Cases: len(all), P50: all[(len(all)-1)/2], Max: all[len(all)-1]}
	}
	return f
}

// reached returns the time from which discovery was reachable without a break for the Told bound, after a change at the
// given time. An outage in between restarts the count. ever is false if discovery never recovers.
func (s *Sighting) reached(at time.Duration) (from time.Duration, ever bool) {
	outages := slices.Clone(s.Outages)
	slices.SortFunc(outages, func(a, b Span) int { return int(a.From - b.From) })
	for _, o := range outages {
		if o.From >= at+s.Told || o.To != 0 && o.To <= at {
			continue
		}
		if o.To == 0 {
			return 0, false
		}
		at = o.To
	}
	return at, true
}

// told measures for each change the time of the last arrival after it, counted from when the sender could know of it.
func (s *Sighting) told(note func(Term, float64), broke func(Term, string, ...any)) {
	for _, c := range s.Changes {
		if !c.Away {
			continue
		}
		until := time.Duration(math.MaxInt64)
		for _, n := range s.Changes {
			if n.Backend == c.Backend && !n.Away && n.At > c.At {
				until = min(until, n.At)
			}
		}
		known, ever := s.reached(c.At)
		if !ever {
			continue
		}
		last := time.Duration(0)
		for _, a := range s.Arrived {
			if a.Backend != c.Backend || a.Began < c.At || a.Began >= until {
				continue
			}
			from := known // for this process
			for _, p := range s.Started {
				if p.Proxy == a.Proxy && p.At <= a.Began && !s.Pushed {
					from = max(from, p.At)
				}
			}
			last = max(last, a.Began-from)
			if a.Began > from+s.Told+s.Grace {
				broke(TermTold, "%s, which drains, got %s from process %d %v after discovery had the drain and was reachable", a.Backend, a.Request, a.Proxy, a.Began-from)
			}
		}
		note(TermTold, last.Seconds())
	}
}

// left measures for each client that disconnected how long after that its last attempt began, or 0.
func (s *Sighting) left(note func(Term, float64), broke func(Term, string, ...any)) {
	for _, q := range s.Asked {
		if q.Left == 0 {
			continue
		}
		late := time.Duration(0)
		for _, a := range s.Arrived {
			if a.Request != q.Request || a.Began <= q.Left {
				continue
			}
			if late = max(late, a.Began-q.Left); a.Began > q.Left+s.Left {
				broke(TermLeft, "%s got %s %v after its client disconnected", a.Backend, a.Request, a.Began-q.Left)
			}
		}
		note(TermLeft, late.Seconds())
	}
}

// cold measures for each window that ends with an arrival the load beyond what the backend can take, in units of the
// square root of that.
func (s *Sighting) cold(note func(Term, float64), broke func(Term, string, ...any)) {
	for _, c := range s.Colds {
		var in []Arrival
		for _, a := range s.Arrived {
			if a.Backend == c.Backend && c.has(a.Began) {
				in = append(in, a)
			}
		}
		slices.SortFunc(in, func(a, b Arrival) int { return int(a.Began - b.Began) })
		first, work := 0, 0.0
		for _, a := range in {
			for work += a.Work; a.Began-in[first].Began >= c.Window; first++ {
				work -= in[first].Work
			}
			bears := c.Bears(a.Began - c.From)
			note(TermCold, (work-bears)/math.Sqrt(bears))
			if work > bears+2*math.Sqrt(bears)+2 {
				broke(TermCold, "%s got %.1f requests in %v, %v after its start, and can take %.1f", c.Backend, work, c.Window, a.Began-c.From, bears)
			}
		}
	}
}

// full measures for each crowd the share of a core that the process used.
func (s *Sighting) full(note func(Term, float64), broke func(Term, string, ...any)) {
	for _, c := range s.Crowds {
		asked, lost := 0, 0
		for _, q := range s.Asked {
			if q.Proxy == c.Proxy && c.has(q.Sent) && q.Left == 0 && !q.Away {
				if asked++; !q.Served {
					lost++
				}
			}
		}
		if float64(lost) > s.Lost*float64(asked) {
			broke(TermFull, "during a crowd %d of %d requests to process %d were not served", lost, asked, c.Proxy)
		}
		share := c.CPU.Seconds() / (c.To - c.From).Seconds()
		note(TermFull, share)
		if share > s.Spin {
			broke(TermFull, "process %d used %.2f of a core during a crowd", c.Proxy, share)
		}
		for _, o := range s.Outages {
			if o.To == 0 || !c.has(o.From) {
				continue
			}
			if !slices.ContainsFunc(s.Calls, func(k Call) bool {
				return k.Proxy == c.Proxy && k.At >= o.To && k.At <= o.To+s.Reached
			}) {
				broke(TermFull, "process %d did not call discovery within %v of its recovery", c.Proxy, s.Reached)
			}
		}
	}
}

// ready measures how long each start took.
func (s *Sighting) ready(note func(Term, float64), broke func(Term, string, ...any)) {
	in := 0
	for _, p := range s.Started {
		if p.Ready != 0 {
			note(TermReady, (p.Ready - p.At).Seconds())
		}
		if p.Ready != 0 && p.Ready-p.At <= s.Ready {
			in++
		}
	}
	if float64(in) < s.Nine*float64(len(s.Started)) {
		broke(TermReady, "%d of %d processes were ready within %v", in, len(s.Started), s.Ready)
	}
}

// once measures how long each response took.
func (s *Sighting) once(note func(Term, float64), broke func(Term, string, ...any)) {
	ran := map[string]int{}
	for _, a := range s.Arrived {
		if !a.Ran || !a.Unsafe {
			continue
		}
		if ran[a.Request]++; ran[a.Request] == 2 {
			broke(TermOnce, "unsafe request %s ran twice", a.Request)
		}
	}
	for _, q := range s.Asked {
		if q.Left != 0 || q.Away {
			continue
		}
		switch {
		case q.Answers == 0:
			broke(TermOnce, "%s got no response", q.Request)
		case q.Answers > 1:
			broke(TermOnce, "%s got %d responses", q.Request, q.Answers)
		case q.Answered-q.Sent > q.Wait+s.Answer:
			broke(TermOnce, "%s was answered after %v, its time limit was %v", q.Request, q.Answered-q.Sent, q.Wait)
		}
		note(TermOnce, (q.Answered - q.Sent).Seconds())
	}
}

// String summarizes the findings for a test's log.
func (f Findings) String() (text string) {
	for _, t := range []Term{TermTold, TermLeft, TermCold, TermFull, TermReady, TermOnce} {
		if g, seen := f.Figures[t]; seen {
			text += fmt.Sprintf("%s: %d cases, p50 %.3f, max %.3f; ", t, g.Cases, g.P50, g.Max)
		}
	}
	return text + fmt.Sprintf("%d breaks", len(f.Breaks))
}
