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

// How requests come. Open arrivals are drawn whole before the run, whatever becomes of them; users ask
// anew only when their last request has ended, as their plan's thinking times say.

const (
	arrivalsSteady = "steady"
	arrivalsBursty = "bursty"
	arrivalsWave   = "wave"
	arrivalsTrace  = "trace"
	mostUsers      = 20_000
)

// check names what makes no load.
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
		return fmt.Errorf("traffic.arrivals = %q: bursts, wave and trace each go with the arrivals of their name alone", t.Arrivals)
	case t.Arrivals == arrivalsTrace && t.Trace == "":
		return errors.New("traffic.trace is missing: a file of \"seconds,class\" lines")
	case t.Arrivals == arrivalsTrace && (t.Rate != 0 || len(t.Jumps) > 0):
		return errors.New("traffic.trace says when requests come: no rate and no jumps beside it")
	case (t.Arrivals == arrivalsTrace || u.Count > 0) && !(t.Quota > 0):
		return errors.New("traffic.quota is needed where there is no rate: requests a second that the houses' shares divide")
	case u.Count < 0 || u.Count > mostUsers || u.Count > 0 && u.Think.D() < time.Millisecond || u.Count == 0 && u.Think != 0:
		return fmt.Errorf("traffic.users: count up to %d and think of 1ms or more are needed", mostUsers)
	case u.Count > 0 && (t.Rate != 0 || t.Arrivals != "" || len(t.Jumps) > 0):
		return errors.New("traffic.users ask by themselves: no rate, arrivals or jumps beside them")
	}
	return nil
}

// traced is a line of a trace.
type traced struct {
	at    time.Duration
	class int
}

// readTrace reads a recorded day: "seconds,class" a line, '#' for remarks.
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
		case err != nil || !(seconds >= 0) || math.IsInf(seconds, 0) || seconds > mostLength.Seconds():
			return fmt.Errorf("%s:%d: %q is no time in seconds, from 0 to %.0f", path, n, at, mostLength.Seconds())
		case !known:
			return fmt.Errorf("%s:%d: no class %q", path, n, strings.TrimSpace(name))
		case len(s.Traffic.trace) == mostRequests:
			return fmt.Errorf("%s:%d: more than %d requests", path, n, mostRequests)
		}
		s.Traffic.trace = append(s.Traffic.trace, traced{time.Duration(seconds*1e6+0.5) * time.Microsecond, class})
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s:%d: %w", path, n+1, err)
	}
	if len(s.Traffic.trace) == 0 {
		return fmt.Errorf("%s: no request", path)
	}
	sort.SliceStable(s.Traffic.trace, func(i, j int) bool { return s.Traffic.trace[i].at < s.Traffic.trace[j].at })
	return nil
}

// span is a part of a day.
type spell struct{ from, to time.Duration }

// bursts draws a day's.
func (s *Scenario) bursts(seed uint64) (all []spell) {
	b := s.Traffic.Bursts
	if s.Traffic.Arrivals != arrivalsBursty {
		return nil
	}
	d := newDraws(seed, "bursts")
	for at := d.span(b.Every.D(), 1); at < s.Length.D(); {
		end := at + max(d.span(b.For.D(), 1), time.Millisecond)
		all = append(all, spell{at, end})
		at = end + max(d.span(b.Every.D(), 1), time.Millisecond)
	}
	return all
}

// shape is by how much the rate differs from its mean at a time, in thousandths. It rises and falls in
// straight lines: every machine makes the same of them.
func (s *Scenario) shape(at time.Duration, bursts []spell) float64 {
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
		switch { // from the mean up, down through it, and back
		case part < 0.25:
			return 1 + t.Wave.Swing*4*part
		case part < 0.75:
			return 1 + t.Wave.Swing*(2-4*part)
		}
		return 1 + t.Wave.Swing*(4*part-4)
	}
	return 1
}

// mostShape is the most that shape gives.
func (s *Scenario) mostShape() float64 {
	switch t := &s.Traffic; t.Arrivals {
	case arrivalsBursty:
		return t.Bursts.Times
	case arrivalsWave:
		return 1 + t.Wave.Swing
	}
	return 1
}

// drawUsers plans what each user asks, and how long he thinks before. How far he gets is the run's: the
// plan has as many requests as there would be if every answer came at once.
func (p *Plan) drawUsers(s *Scenario, one func(d draws) PlannedRequest) {
	for u := range s.Traffic.Users.Count {
		d := newDraws(p.Seed, fmt.Sprintf("user %d", u))
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

// shares is how much of its share each house has left: a bucket for each, of a second's quota.
type shares struct {
	quota, left []float64
	filled      []time.Duration
}

func (s *Scenario) shares() *shares {
	total := 0.0
	for _, h := range s.Houses {
		total += h.Share
	}
	b := &shares{make([]float64, len(s.Houses)), make([]float64, len(s.Houses)), make([]time.Duration, len(s.Houses))}
	for i, h := range s.Houses {
		b.quota[i] = s.quota() * h.Share / total
		b.left[i] = b.quota[i]
	}
	return b
}

// over takes a request of a house, and tells whether it is beyond its share.
func (b *shares) over(h int, at time.Duration) bool {
	b.left[h] = min(b.quota[h], b.left[h]+float64(b.quota[h]*(at-b.filled[h]).Seconds()))
	b.filled[h] = at
	if b.left[h] < 1 {
		return true
	}
	b.left[h]--
	return false
}

// played is a closed loop's plan as it came to pass: the requests that were asked, in the order of their
// times, and the tries with their new numbers.
func (p *Plan) played(s *Scenario, began []time.Duration, tries []Try) (*Plan, []Try) {
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
	b := s.shares()
	for n, i := range order {
		r := p.Requests[i]
		r.At = began[i]
		r.Over = b.over(r.House, r.At)
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
