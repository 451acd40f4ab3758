package grayfailure

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// day is one proxy's view of some backends in simulated time, with troubles that are known. The
// proxy is of the simplest sort: it picks evenly among the cells that are not out.
type day struct {
	m        *Model
	rng      *rand.Rand
	cells    [][]Cell // by backend and kind
	ratio    []float64
	rates    []float64 // attempts a second by kind, over all backends
	sigma    []float64
	usual    []float64 // ms
	aim      time.Duration
	bad      func(backend, kind int, now time.Duration) (silent, failing float64)
	failing  float64 // share of all attempts that fail anyway
	now      time.Duration
	open     []*try
	next     []time.Duration
	outs     []event
	sent     []int
	lostTrys int
}

type try struct {
	backend, kind int
	sent, ends    time.Duration
	end           Outcome
	isTry         bool
}

type event struct {
	at            time.Duration
	backend, kind int
	back          bool
}

func newDay(t testing.TB, seed uint64, backends int, rates []float64) *day {
	t.Helper()
	m, err := New(DefaultConfig(len(rates)))
	if err != nil {
		t.Fatal(err)
	}
	m.SetTimeConstant(2 * time.Second)
	d := &day{
		m: m, rng: rand.New(rand.NewPCG(seed, 3)), rates: rates, aim: 175 * ms, failing: 0.005,
		bad: func(int, int, time.Duration) (float64, float64) { return 0, 0 }, now: time.Second,
		next: make([]time.Duration, len(rates)), sent: make([]int, len(rates)),
	}
	for range backends {
		d.cells = append(d.cells, make([]Cell, len(rates)))
		d.ratio = append(d.ratio, 0.7+0.8*d.rng.Float64())
	}
	for k, r := range rates {
		d.sigma, d.usual = append(d.sigma, 0.45), append(d.usual, 45+10*float64(k))
		d.next[k] = d.now + d.gap(r)
	}
	return d
}

func (d *day) gap(rate float64) time.Duration {
	return time.Duration(-math.Log(1-d.rng.Float64()) / rate * float64(time.Second))
}

func (d *day) expect(x *try) Expectation {
	return Expectation{Delay: d.usual[x.kind] * d.ratio[x.backend], Answers: 10}
}

func (d *day) send(k int) {
	to, isTry := -1, false
	var in []int
	for b := range d.cells {
		if _, _, out := d.cells[b][k].EjectionState(); !out {
			in = append(in, b)
		} else if !isTry && d.m.MayTrial(&d.cells[b][k], k) && d.rng.IntN(3) == 0 {
			to, isTry = b, true
		}
	}
	if to < 0 {
		if len(in) == 0 {
			return
		}
		to = in[d.rng.IntN(len(in))]
	}
	x := &try{backend: to, kind: k, sent: d.now, end: Answered, isTry: isTry}
	took := d.usual[k] * d.ratio[to] * math.Exp(d.sigma[k]*d.rng.NormFloat64()-d.sigma[k]*d.sigma[k]/2)
	x.ends = d.now + time.Duration(took*float64(ms))
	silent, failing := d.bad(to, k, d.now)
	switch p := d.rng.Float64(); {
	case p < silent || took > float64(d.aim/ms):
		x.ends, x.end = d.now+d.aim, TimedOut
	case p < silent+failing || d.rng.Float64() < d.failing:
		x.ends, x.end = d.now+2*ms, Failed
	}
	d.open = append(d.open, x)
	d.sent[k]++
	d.m.RecordSent(&d.cells[to][k], k, isTry)
}

func (d *day) land(x *try) {
	c := &d.cells[x.backend][x.kind]
	if x.isTry {
		d.m.RecordTrialOutcome(c, x.kind, x.end, false)
		if x.end != Answered {
			d.lostTrys++
		}
	}
	if x.end == Answered {
		for k := range d.cells[x.backend] {
			if k != x.kind {
				d.cells[x.backend][k].RecordOtherAnswer(x.sent)
			}
		}
	}
	d.m.RecordOutcome(c, x.kind, x.end, x.sent, d.now, d.expect(x))
	if took := float64(d.now-x.sent) / float64(ms); x.end == Answered {
		d.m.RecordDelayRatio(c, d.now, took/d.usual[x.kind], 1)
	}
}

func (d *day) sweep() {
	d.m.BeginComparison()
	for b := range d.cells {
		for k := range d.cells[b] {
			d.cells[b][k].ResetInFlight()
		}
	}
	for _, x := range d.open {
		d.m.AddInFlight(&d.cells[x.backend][x.kind], x.kind, x.sent, d.now, d.expect(x))
	}
	for b := range d.cells {
		for k := range d.cells[b] {
			d.m.AddToComparison(&d.cells[b][k], k, d.now, d.ratio[b])
		}
	}
	d.m.EndComparison()
	for b := range d.cells {
		for k := range d.cells[b] {
			if change := d.m.Evaluate(&d.cells[b][k], k, d.now); change != Unchanged {
				d.outs = append(d.outs, event{d.now, b, k, change == Reinstated})
			}
		}
	}
}

// run plays the day until the time to, in steps of 5 ms, with a sweep every 40.
func (d *day) run(to time.Duration) {
	for ; d.now < to; d.now += 5 * ms {
		d.open = slices.DeleteFunc(d.open, func(x *try) bool {
			if x.ends > d.now {
				return false
			}
			d.land(x)
			return true
		})
		for k := range d.next {
			for d.next[k] <= d.now {
				d.send(k)
				d.next[k] += d.gap(d.rates[k])
			}
		}
		if d.now/ms%40 == 0 {
			d.sweep()
		}
	}
}

func quantile(v []float64, q float64) float64 {
	slices.Sort(v)
	return v[min(len(v)-1, int(q*float64(len(v))))]
}

// Random partial faults against the truth: how soon each is noticed and taken back, in the median and at
// worst, and what trying costs.
func TestNoticesAndTakesBackRandomFaults(t *testing.T) {
	var notice, back []float64
	missed, lost, sent := 0, 0, 0
	for seed := range uint64(60) {
		d := newDay(t, seed, 9, []float64{80, 70, 60, 40})
		kind, from := d.rng.IntN(4), 10*time.Second+time.Duration(d.rng.IntN(1000))*ms
		until := from + time.Duration(3000+d.rng.IntN(7000))*ms
		hit := 1 + d.rng.IntN(4)
		share, errors := 0.7+0.3*d.rng.Float64(), d.rng.IntN(3) == 0
		d.bad = func(b, k int, now time.Duration) (float64, float64) {
			if b >= hit || k != kind || now < from || now >= until {
				return 0, 0
			}
			if errors {
				return 0, share
			}
			return share, 0
		}
		d.run(from)
		d.outs, d.sent[kind], d.lostTrys = nil, 0, 0
		d.run(until)
		lost, sent = lost+d.lostTrys, sent+d.sent[kind]
		d.run(until + 20*time.Second)
		for b := range hit {
			first, last := time.Duration(0), time.Duration(0)
			for _, e := range d.outs {
				if e.backend != b || e.kind != kind {
					continue
				}
				if !e.back && first == 0 {
					first = e.at
				}
				if e.back && e.at > until && last == 0 {
					last = e.at
				}
			}
			if first == 0 || first > until {
				missed++
				continue
			}
			notice = append(notice, (first - from).Seconds())
			if last > 0 {
				back = append(back, (last - until).Seconds())
			}
		}
	}
	t.Logf("noticed %d (missed %d): median %.2f s, worst %.2f s; back %d: median %.2f s, worst %.2f s; tries lost %.4f",
		len(notice), missed, quantile(notice, 0.5), quantile(notice, 1), len(back), quantile(back, 0.5),
		quantile(back, 1), float64(lost)/float64(sent))
	if missed*20 > len(notice) || quantile(notice, 0.5) > 1 || quantile(notice, 1) > 5 {
		t.Errorf("noticed too late or not at all")
	}
	if quantile(back, 0.5) > 2 || quantile(back, 1) > 15 {
		t.Errorf("taken back too late")
	}
	if float64(lost) > 0.02*float64(sent) {
		t.Errorf("%d of %d attempts lost on trying", lost, sent)
	}
}

// Thousands of healthy days, of 10 s each, some long-tailed, some with a class of one request a second: how
// often a cell goes out for nothing.
func TestFalseAlarmsOnHealthyDays(t *testing.T) {
	days, alarms, time_ := 0, 0, 0.0
	byKind := make([]int, 4)
	for seed := range uint64(200) {
		rates := []float64{80, 70, 60, 40}
		if seed%4 == 0 {
			rates[3] = 1
		}
		d := newDay(t, 1000+seed, 9, rates)
		if seed%2 == 0 {
			d.sigma[2] = 0.9
		}
		d.run(101 * time.Second)
		days += 10
		for _, e := range d.outs {
			if !e.back {
				alarms++
				byKind[e.kind]++
			}
		}
		time_ += 100
	}
	t.Logf("%d days of 10 s: %d cells out for nothing, one in %.0f s of a proxy; by kind %d",
		days, alarms, time_/max(1, float64(alarms)), byKind)
	if float64(alarms) > time_/50 {
		t.Errorf("%d false alarms in %.0f s", alarms, time_)
	}
}

// A kind that fails everywhere is bad nowhere.
func TestAKindThatFailsEverywhereIsOutNowhere(t *testing.T) {
	d := newDay(t, 7, 9, []float64{80, 70, 60, 40})
	d.bad = func(b, k int, now time.Duration) (float64, float64) {
		if k == 2 && now > 10*time.Second {
			return 0.87, 0
		}
		return 0, 0
	}
	out, seen := 0, 0
	d.run(13 * time.Second)
	for d.now < 30*time.Second {
		d.run(d.now + 200*ms)
		for b := range d.cells {
			seen++
			if _, _, is := d.cells[b][2].EjectionState(); is {
				out++
			}
		}
	}
	if out*5 > seen {
		t.Errorf("a kind that nobody serves is out at %d of %d cells", out, seen)
	}
	for b := range d.cells {
		for _, k := range []int{0, 1, 3} {
			if _, _, is := d.cells[b][k].EjectionState(); is {
				t.Errorf("backend %d is out for kind %d, which it serves", b, k)
			}
		}
	}
}

// A backend that answers nothing at all is not a matter of a kind: nobody vouches for it.
func TestASilentBackendIsNoMatterOfAKind(t *testing.T) {
	d := newDay(t, 8, 6, []float64{40, 40, 40})
	d.bad = func(b, k int, now time.Duration) (float64, float64) {
		if b == 0 && now > 5*time.Second {
			return 1, 0
		}
		return 0, 0
	}
	d.run(15 * time.Second)
	for k := range d.cells[0] {
		if bad := d.m.FaultProbability(&d.cells[0][k], k, d.now); bad > 0.5 {
			t.Errorf("kind %d: bad with a chance of %.2f on a backend that is silent for all", k, bad)
		}
	}
}

// A bad kind must not be told to the backend: its other kinds would lose it too.
func TestWhatAKindExplainsSaysNothingOfTheBackend(t *testing.T) {
	m, err := New(DefaultConfig(2))
	if err != nil {
		t.Fatal(err)
	}
	var c Cell
	u, now := Expectation{Delay: 50, Answers: 20}, time.Minute
	if w := m.RecordOutcome(&c, 0, TimedOut, now-200*ms, now, u); w < 0.9 {
		t.Errorf("the first silence, with nobody to vouch: weight %.2f", w)
	}
	for range 6 {
		now += 100 * ms
		c.RecordOtherAnswer(now)
		m.RecordOutcome(&c, 0, TimedOut, now-200*ms, now, u)
	}
	if w := m.RecordOutcome(&c, 0, TimedOut, now-200*ms, now, u); w > 0.3 {
		t.Errorf("the eighth, with six answers to others between: weight %.2f", w)
	}
	var d Cell
	if w := m.RecordOutcome(&d, 1, Unknown, now-200*ms, now, u); w != 1 || d.Suspected() {
		t.Errorf("a broken connection speaks of the kind: weight %.2f", w)
	}
	if m.RecordOutcome(&d, 1, TimedOut, now-2*ms, now, u); d.Suspected() {
		t.Error("an attempt that was called off at once speaks against the kind")
	}
}

// Where the backend is slow for all kinds, a kind whose attempts run out of time is expected to.
func TestASlowBackendExplainsWhatRunsOutOfTime(t *testing.T) {
	silent := func(ratio float64) float64 {
		m, err := New(DefaultConfig(1))
		if err != nil {
			t.Fatal(err)
		}
		var c Cell
		now := time.Minute
		for range 3 {
			now += 20 * ms
			c.RecordOtherAnswer(now)
			m.RecordOutcome(&c, 0, TimedOut, now-175*ms, now, Expectation{Delay: 50 * ratio, Answers: 20})
		}
		return m.FaultProbability(&c, 0, now)
	}
	if usual, slow := silent(1), silent(4); usual < 0.5 || slow > 0.2 {
		t.Errorf("bad with a chance of %.2f at the usual delay and %.2f at four times it", usual, slow)
	}
}

// Cells that answer but take longer for one kind are told from chance.
func TestDelayByKindOnlyBeyondChance(t *testing.T) {
	m, err := New(DefaultConfig(1))
	if err != nil {
		t.Fatal(err)
	}
	rng, now := rand.New(rand.NewPCG(1, 1)), time.Minute
	cells := make([]Cell, 8)
	fill := func(slow float64) {
		for i := range cells {
			cells[i] = Cell{}
			for range 30 {
				r := math.Exp(0.5*rng.NormFloat64() - 0.125)
				if i == 0 {
					r *= slow
				}
				m.RecordDelayRatio(&cells[i], now, r, 1)
				m.RecordOutcome(&cells[i], 0, Answered, now-time.Duration(50*r*float64(ms)), now, Expectation{Delay: 50, Answers: 20})
			}
		}
		m.BeginComparison()
		for i := range cells {
			m.AddToComparison(&cells[i], 0, now, 1)
		}
		m.EndComparison()
	}
	fill(1)
	if got := m.DelayRatio(&cells[0], 0, now, 1, 1); math.Abs(got-1) > 0.1 {
		t.Errorf("all alike: %.2f times the backend's own", got)
	}
	fill(3)
	if got := m.DelayRatio(&cells[0], 0, now, 1, 1); got < 2.2 || got > 4 {
		t.Errorf("three times slower for the kind: %.2f expected", got)
	}
	if got := m.DelayRatio(&cells[1], 0, now, 1, 1); got < 0.6 || got > 1.4 {
		t.Errorf("beside it: %.2f expected", got)
	}
	// What is out at the backend counts for the cell as well.
	if calm, crowded := m.DelayRatio(&cells[0], 0, now, 1, 1), m.DelayRatio(&cells[0], 0, now, 3, 1); crowded < 2.9*calm {
		t.Errorf("%.2f expected, and %.2f with three times as much out", calm, crowded)
	}
}

func TestConfigNamesWhatMakesNoSense(t *testing.T) {
	for name, spoil := range map[string]func(*Config){
		"Kinds":    func(c *Config) { c.Classes = 0 },
		"Answered": func(c *Config) { c.AnsweredRatio = 1 },
		"Longest":  func(c *Config) { c.MaxFaultDuration = c.MinFaultDuration - 1 },
		"Memory":   func(c *Config) { c.TimeConstant = 0 },
		"Spend":    func(c *Config) { c.TrialRatio = math.NaN() },
		"Burst":    func(c *Config) { c.TrialBurst = 0 },
	} {
		c := DefaultConfig(3)
		spoil(&c)
		if _, err := New(c); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Whatever comes, in whatever order: chances stay chances, tries are counted off, tokens stay bounded.
func TestAnySequenceKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, err := New(DefaultConfig(2))
		if err != nil {
			t.Fatal(err)
		}
		cells, now := make([][2]Cell, 3), time.Second
		open := map[[2]int]int{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "gap"))
			b, k := rapid.IntRange(0, 2).Draw(t, "backend"), rapid.IntRange(0, 1).Draw(t, "kind")
			c, at := &cells[b][k], [2]int{b, k}
			u := Expectation{Delay: rapid.Float64Range(0, 1e4).Draw(t, "usual"), Answers: rapid.Float64Range(0, 50).Draw(t, "n")}
			sent := max(0, now-time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "age")))
			switch rapid.IntRange(0, 4).Draw(t, "do") {
			case 0:
				end := Outcome(rapid.IntRange(0, 3).Draw(t, "end"))
				if open[at] > 0 {
					open[at]--
					m.RecordTrialOutcome(c, k, end, rapid.Bool().Draw(t, "again"))
				}
				if w := m.RecordOutcome(c, k, end, sent, now, u); !(w >= 0 && w <= 1) {
					t.Fatalf("weight %v", w)
				}
			case 1:
				c.RecordOtherAnswer(sent)
			case 2:
				c.ResetInFlight()
				m.AddInFlight(c, k, sent, now, u)
			case 3:
				if _, _, out := c.EjectionState(); out && m.MayTrial(c, k) {
					open[at]++
					m.RecordSent(c, k, true)
				} else {
					m.RecordSent(c, k, false)
				}
			case 4:
				m.BeginComparison()
				for b := range cells {
					for k := range cells[b] {
						m.AddToComparison(&cells[b][k], k, now, 1)
					}
				}
				m.EndComparison()
				for b := range cells {
					for k := range cells[b] {
						m.Evaluate(&cells[b][k], k, now)
					}
				}
			}
			for b := range cells {
				for k := range cells[b] {
					c := &cells[b][k]
					if p := m.FaultProbability(c, k, now); !(p >= 0 && p <= 1) {
						t.Fatalf("bad with a chance of %v", p)
					}
					if p := m.RelativeSuccess(c, k, now); !(p > 0 && p <= 1) {
						t.Fatalf("answers with a chance of %v", p)
					}
					if d := m.DelayRatio(c, k, now, 1, 1); !(d >= 0) {
						t.Fatalf("delay %v", d)
					}
					if c.trialsInFlight != open[[2]int{b, k}] || c.trialsInFlight > 1 {
						t.Fatalf("%d tries counted, %d are out", c.trialsInFlight, open[[2]int{b, k}])
					}
				}
			}
			for k := range m.classes {
				if g := m.classes[k]; g.trialTokens > m.cfg.TrialBurst || g.trialsInFlight < 0 {
					t.Fatalf("%v tokens, %d tries", g.trialTokens, g.trialsInFlight)
				}
			}
		}
	})
}
