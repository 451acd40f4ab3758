//go:build linux

package fleettest

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"
)

// The terms that hold of any number of processes whatever fails, as an auditor that sees all sides can tell: what
// discovery had and when it could be reached, what backends got and from whom, what clients did, and when processes
// were started. It shares no code with the proxy, and takes no process's word.

// Term is one of them.
type Term string

// The terms.
const (
	TermTold  Term = "told"  // who is told that a backend drains or has gone sends it nothing new
	TermLeft  Term = "left"  // a client that left gets no attempt
	TermCold  Term = "cold"  // a cold backend gets no more than it bears, from all together
	TermFull  Term = "full"  // while idle clients fill the descriptors true requests are served, and nothing spins
	TermReady Term = "ready" // nine in ten restarted processes are ready in time
	TermOnce  Term = "once"  // one answer, in time; nothing unsafe runs twice
)

// Bounds are what the terms name.
type Bounds struct {
	Told    time.Duration // after discovery had a change and could be reached
	Grace   time.Duration // of drains, on top
	Left    time.Duration // from a client's leave to the last attempt's beginning
	Ready   time.Duration // from the start of a process
	Nine    float64       // the share of the restarted that has to keep it
	Answer  time.Duration // beyond a request's own time
	Lost    float64       // the share of true requests that may go unserved beside a crowd
	Spin    float64       // the share of a core that may go into turning a crowd away
	Reached time.Duration // from discovery's return to the first call
}

// Agreed are the operators' bounds; what is not theirs (Spin, Reached) is this repository's own.
func Agreed() Bounds {
	return Bounds{
		Told: 6 * time.Second, Grace: 500 * time.Millisecond, Left: 100 * time.Millisecond, Ready: 10 * time.Second, Nine: 0.9,
		Answer: 500 * time.Millisecond, Spin: 0.5, Reached: time.Second,
	}
}

func (s Span) has(at time.Duration) bool { return s.From <= at && (s.To == 0 || at < s.To) }

// Change is a word of discovery's on a backend.
type Change struct {
	Backend string
	At      time.Duration
	Away    bool // it drains, or has gone; else it is ready
}

// Arrival is a request that reached a backend.
type Arrival struct {
	Proxy            int
	Backend, Request string
	Began            time.Duration // its first byte
	Unsafe           bool
	Ran              bool // it may have: it was not turned away unread or unstarted
	Work             float64
}

// Asked is a client's request.
type Asked struct {
	Proxy    int
	Request  string
	Sent     time.Duration
	Wait     time.Duration // for which it has time
	Left     time.Duration // when its client left; 0: it stayed
	Answered time.Duration // 0: never
	Answers  int
	Served   bool
	Away     bool // its process was not there for all of it
}

// Cold is a backend's cold time.
type Cold struct {
	Backend string
	Span
	Window time.Duration
	Bears  func(since time.Duration) float64 // mean requests in a window, so long after the start
}

// Started is a process's start.
type Started struct {
	Proxy     int
	At, Ready time.Duration // Ready 0: never
}

// Crowd is a time in which idle clients fill the descriptors of a process.
type Crowd struct {
	Proxy int
	Span
	CPU time.Duration // that the process used in it
}

// Call is one to discovery.
type Call struct {
	Proxy int
	At    time.Duration
}

// Sighting is all that was seen, on one clock.
type Sighting struct {
	Bounds
	Pushed  bool // lists are pushed: a new process counts as told from its first moment
	Changes []Change
	Outages []Span // in which discovery could not be reached
	Calls   []Call
	Arrived []Arrival
	Asked   []Asked
	Colds   []Cold
	Started []Started
	Crowds  []Crowd
}

// Recorder is a sighting while it is made, by any number of goroutines.
type Recorder struct {
	began time.Time
	mu    sync.Mutex
	saw   Sighting
}

// NewRecorder starts the clock.
func NewRecorder(b Bounds, pushed bool) *Recorder {
	return &Recorder{began: time.Now(), saw: Sighting{Bounds: b, Pushed: pushed}}
}

// Now is the time on the sighting's clock.
func (r *Recorder) Now() time.Duration { return time.Since(r.began) }

// At is a moment's.
func (r *Recorder) At(t time.Time) time.Duration { return t.Sub(r.began) }

// See lets the caller note what it saw.
func (r *Recorder) See(note func(s *Sighting)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	note(&r.saw)
}

// Audit holds what was seen so far against the terms.
func (r *Recorder) Audit() Findings {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.saw.Audit()
}

// Break is a term that did not hold.
type Break struct {
	Term Term
	Text string
}

// Figure is what a term came to: cases are what it was looked at for.
type Figure struct {
	Cases    int
	P50, Max float64 // seconds; for TermCold roots of what is borne beyond it, for TermFull the share of a core
}

// Findings are an audit's.
type Findings struct {
	Breaks  []Break
	Figures map[Term]Figure
}

// Audit holds all that was seen against the terms.
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

// reached is from when on discovery had a change and could be reached, and stayed so for as long as counts. An outage
// in between begins the count anew.
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

// told: the figure of each change is by when the last arrival came after it, counted from when it could be known.
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
			from := known // of this process
			for _, p := range s.Started {
				if p.Proxy == a.Proxy && p.At <= a.Began && !s.Pushed {
					from = max(from, p.At)
				}
			}
			last = max(last, a.Began-from)
			if a.Began > from+s.Told+s.Grace {
				broke(TermTold, "%s, which drains, got %s from process %d %v after discovery had that and could be reached", a.Backend, a.Request, a.Proxy, a.Began-from)
			}
		}
		note(TermTold, last.Seconds())
	}
}

// left: the figure of each client that left is how long after it an attempt began, or 0.
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
				broke(TermLeft, "%s got %s %v after its client had left", a.Backend, a.Request, a.Began-q.Left)
			}
		}
		note(TermLeft, late.Seconds())
	}
}

// cold: the figure of each window that ends with an arrival is what came beyond what is borne, in roots of that.
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
				broke(TermCold, "%s got %.1f requests in %v, %v after its start, and bears %.1f", c.Backend, work, c.Window, a.Began-c.From, bears)
			}
		}
	}
}

// full: the figure of each crowd is the share of a core that went into it.
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
			broke(TermFull, "beside a crowd %d of %d requests to process %d were not served", lost, asked, c.Proxy)
		}
		share := c.CPU.Seconds() / (c.To - c.From).Seconds()
		note(TermFull, share)
		if share > s.Spin {
			broke(TermFull, "process %d used %.2f of a core beside a crowd", c.Proxy, share)
		}
		for _, o := range s.Outages {
			if o.To == 0 || !c.has(o.From) {
				continue
			}
			if !slices.ContainsFunc(s.Calls, func(k Call) bool {
				return k.Proxy == c.Proxy && k.At >= o.To && k.At <= o.To+s.Reached
			}) {
				broke(TermFull, "process %d did not ask discovery within %v of its return", c.Proxy, s.Reached)
			}
		}
	}
}

// ready: the figure of each start is how long it took.
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

// once: the figure of each answer is how long it took.
func (s *Sighting) once(note func(Term, float64), broke func(Term, string, ...any)) {
	ran := map[string]int{}
	for _, a := range s.Arrived {
		if !a.Ran || !a.Unsafe {
			continue
		}
		if ran[a.Request]++; ran[a.Request] == 2 {
			broke(TermOnce, "%s ran twice, and must not", a.Request)
		}
	}
	for _, q := range s.Asked {
		if q.Left != 0 || q.Away {
			continue
		}
		switch {
		case q.Answers == 0:
			broke(TermOnce, "%s has no answer", q.Request)
		case q.Answers > 1:
			broke(TermOnce, "%s has %d answers", q.Request, q.Answers)
		case q.Answered-q.Sent > q.Wait+s.Answer:
			broke(TermOnce, "%s was answered after %v, and had %v", q.Request, q.Answered-q.Sent, q.Wait)
		}
		note(TermOnce, (q.Answered - q.Sent).Seconds())
	}
}

// String words findings for a test's log.
func (f Findings) String() (text string) {
	for _, t := range []Term{TermTold, TermLeft, TermCold, TermFull, TermReady, TermOnce} {
		if g, seen := f.Figures[t]; seen {
			text += fmt.Sprintf("%s: %d cases, p50 %.3f, max %.3f; ", t, g.Cases, g.P50, g.Max)
		}
	}
	return text + fmt.Sprintf("%d breaks", len(f.Breaks))
}
