package rehearsal

import (
	"bufio"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

// The arrival of requests. Open-loop arrivals are all drawn before the run, whatever their outcome. In a closed
// loop a user sends the next request only after the last one has ended and the planned pause is over.

const (
	arrivalsSteady = "steady"
	arrivalsBursty = "bursty"
	arrivalsWave   = "wave"
	arrivalsTrace  = "trace"
	maxUsers       = 20_000
)

// check returns an error for the first invalid value.
func (t *Traffic) check() error {
	kinds := []string{"", arrivalsSteady, arrivalsBursty, arrivalsWave, arrivalsTrace}
	b, w, u := t.Bursts, t.Wave, t.Users
	switch {
	case !slices.Contains(kinds, t.Arrivals):
		return fmt.Errorf("traffic.arrivals = %q: %s is needed", t.Arrivals, strings.Join(kinds[1:], ", "))
	case t.Arrivals == arrivalsBursty && (!(b.Times > 1) || b.Times > 100 || b.For < Span(time.Millisecond) || b.Every < Span(time.Millisecond)):
		return errors.New("traffic.bursts: times from above 1 to 100, for and every of 1ms or more are needed")
	case t.Arrivals == arrivalsWave && (!(w.Swing > 0) || w.Swing > 1 || w.Period < Span(10*time.Millisecond)):
		return errors.New("traffic.wave: swing above 0 and up to 1 and a period of 10ms or more are needed")
	case t.Arrivals != arrivalsBursty && b != (Bursts{}), t.Arrivals != arrivalsWave && w != (Wave{}), t.Arrivals != arrivalsTrace && t.Trace != "":
		return fmt.Errorf("traffic.arrivals = %q: bursts, wave and trace are allowed only with the arrivals of the same name", t.Arrivals)
	case t.Arrivals == arrivalsTrace && t.Trace == "":
		return errors.New("traffic.trace is missing: a file of \"seconds,class\" lines")
	case t.Arrivals == arrivalsTrace && (t.Rate != 0 || len(t.Jumps) > 0):
		return errors.New("traffic.trace sets the times of requests: rate and jumps must be left out")
	case (t.Arrivals == arrivalsTrace || u.Count > 0) && !(t.Quota > 0):
		return errors.New("traffic.quota is needed without a rate: requests per second, divided among the houses by their shares")
	case u.Count < 0 || u.Count > maxUsers || u.Count > 0 && u.Think.D() < time.Millisecond || u.Count == 0 && u.Think != 0:
		return fmt.Errorf("traffic.users: count up to %d and think of 1ms or more are needed", maxUsers)
	case u.Count > 0 && (t.Rate != 0 || t.Arrivals != "" || len(t.Jumps) > 0):
		return errors.New("traffic.users is a closed loop: rate, arrivals and jumps must be left out")
	}
	return nil
}

// traceEntry is one request of a trace.
type traceEntry struct {
	at    time.Duration
	class int
}

// readTrace reads a recorded load: one "seconds,class" per line; '#' starts a comment line.
func (s *Scenario) readTrace(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	classes := map[string]int{}
	for i, c := range s.Classes {
		classes[c.Name] = i
	}
	lines, n := bufio.NewScanner(f), 0
	for lines.Scan() {
		n++
		line := strings.TrimSpace(lines.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		at, name, _ := strings.Cut(line, ",")
		seconds, err := strconv.ParseFloat(strings.TrimSpace(at), 64)
		class, known := classes[strings.TrimSpace(name)]
		switch {
		case err != nil || !(seconds >= 0) || math.IsInf(seconds, 0) || seconds > maxLength.Seconds():
			return fmt.Errorf("%s:%d: %q is not a time in seconds from 0 to %.0f", path, n, at, maxLength.Seconds())
		case !known:
			return fmt.Errorf("%s:%d: unknown class %q", path, n, strings.TrimSpace(name))
		case len(s.Traffic.trace) == maxRequests:
			return fmt.Errorf("%s:%d: more than %d requests", path, n, maxRequests)
		}
		s.Traffic.trace = append(s.Traffic.trace, traceEntry{time.Duration(seconds*1e6+0.5) * time.Microsecond, class})
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s:%d: %w", path, n+1, err)
	}
	if len(s.Traffic.trace) == 0 {
		return fmt.Errorf("%s: no requests", path)
	}
	sort.SliceStable(s.Traffic.trace, func(i, j int) bool { return s.Traffic.trace[i].at < s.Traffic.trace[j].at })
	return nil
}

// interval is a period of the run.
type interval struct{ from, to time.Duration }

// bursts draws the bursts of a run.
func (s *Scenario) bursts(seed uint64) (all []interval) {
	b := s.Traffic.Bursts
	if s.Traffic.Arrivals != arrivalsBursty {
		return nil
	}
	d := newRandomStream(seed, "bursts")
	for at := d.span(b.Every.D(), 1); at < s.Length.D(); {
		end := at + max(d.span(b.For.D(), 1), time.Millisecond)
		all = append(all, interval{at, end})
		at = end + max(d.span(b.Every.D(), 1), time.Millisecond)
	}
	return all
}

// rateFactor returns the rate at the given time relative to its mean. It is piecewise linear, so that every
// machine computes the same value.
func (s *Scenario) rateFactor(at time.Duration, bursts []interval) float64 {
	t := &s.Traffic
	switch t.Arrivals {
	case arrivalsBursty:
		usual := float64(t.Bursts.For+t.Bursts.Every) / (t.Bursts.Times*float64(t.Bursts.For) + float64(t.Bursts.Every))
		i := sort.Search(len(bursts), func(i int) bool { return bursts[i].to > at })
		if i < len(bursts) && at >= bursts[i].from {
			return usual * t.Bursts.Times
		}
		return usual
	case arrivalsWave:
		part := float64(at%t.Wave.Period.D()) / float64(t.Wave.Period.D())
		switch { // up from the mean, down through it, and back up to it
		case part < 0.25:
			return 1 + t.Wave.Swing*4*part
		case part < 0.75:
			return 1 + t.Wave.Swing*(2-4*part)
		}
		return 1 + t.Wave.Swing*(4*part-4)
	}
	return 1
}

// maxRateFactor returns the maximum of rateFactor.
func (s *Scenario) maxRateFactor() float64 {
	switch t := &s.Traffic; t.Arrivals {
	case arrivalsBursty:
		return t.Bursts.Times
	case arrivalsWave:
		return 1 + t.Wave.Swing
	}
	return 1
}

// drawUsers plans the requests of each user and the pauses before them. How many are sent depends on the run: the
// plan holds as many requests as there would be if every answer came at once.
func (p *Plan) drawUsers(s *Scenario, one func(d randomStream) PlannedRequest) {
	for u := range s.Traffic.Users.Count {
		d := newRandomStream(p.Seed, fmt.Sprintf("user %d", u))
		at := time.Duration(0)
		for {
			think := max(d.span(s.Traffic.Users.Think.D(), 1), time.Millisecond)
			if at += think; at >= p.Length {
				break
			}
			r := one(d)
			r.At, r.Think, r.User = at, think, u+1
			if c := s.Classes[r.Class]; c.Effect != "keyed" {
				r.Key = ""
			}
			p.Requests = append(p.Requests, r)
		}
	}
}

// quotaBuckets holds a token bucket for each house, with a capacity of one second of the house's quota.
type quotaBuckets struct {
	quota, left []float64
	filled      []time.Duration
}

func (s *Scenario) quotaBuckets() *quotaBuckets {
	total := 0.0
	for _, h := range s.Houses {
		total += h.Share
	}
	b := &quotaBuckets{make([]float64, len(s.Houses)), make([]float64, len(s.Houses)), make([]time.Duration, len(s.Houses))}
	for i, h := range s.Houses {
		b.quota[i] = s.quota() * h.Share / total
		b.left[i] = b.quota[i]
	}
	return b
}

// exceeds takes a token for a request of house h, and reports whether the house has exceeded its share.
func (b *quotaBuckets) exceeds(h int, at time.Duration) bool {
	b.left[h] = min(b.quota[h], b.left[h]+float64(b.quota[h]*(at-b.filled[h]).Seconds()))
	b.filled[h] = at
	if b.left[h] < 1 {
		return true
	}
	b.left[h]--
	return false
}

// asPlayed returns the plan of a closed loop as it was executed: only the requests that were sent, ordered by time, and
// the tries renumbered accordingly.
func (p *Plan) asPlayed(s *Scenario, began []time.Duration, tries []Try) (*Plan, []Try) {
	q := *p
	q.Requests = nil
	var order []int
	for i, at := range began {
		if at > 0 && at < p.Length {
			order = append(order, i)
		}
	}
	sort.SliceStable(order, func(i, j int) bool { return began[order[i]] < began[order[j]] })
	number := make(map[int]int, len(order))
	b := s.quotaBuckets()
	for n, i := range order {
		r := p.Requests[i]
		r.At = began[i]
		r.Over = b.exceeds(r.House, r.At)
		number[i] = n
		q.Requests = append(q.Requests, r)
	}
	kept := tries[:0:0]
	for _, t := range tries {
		if n, there := number[t.Request]; there {
			t.Request = n
			kept = append(kept, t)
		}
	}
	sort.SliceStable(kept, func(i, j int) bool {
		if kept[i].Request != kept[j].Request {
			return kept[i].Request < kept[j].Request
		}
		return kept[i].N < kept[j].N
	})
	return &q, kept
}
