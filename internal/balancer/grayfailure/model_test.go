package grayfailure

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// simulation simulates one proxy, and some backends with known faults. The proxy picks evenly among the cells that are
// not ejected.
type simulation struct {
	model         *Model
	rng           *rand.Rand
	cells         [][]Cell // by backend and class
	delayRatios   []float64
	rates         []float64 // attempts a second by class, over all backends
	sigma         []float64
	usualDelays   []float64 // ms
	latencyTarget time.Duration
	fault         func(backend, class int, now time.Duration) (silent, failing float64)
	failureRatio  float64 // of all attempts, whatever the fault
	now           time.Duration
	inFlight      []*attempt
	nextArrival   []time.Duration
	changes       []change
	sent          []int
	lostTrials    int
}

type attempt struct {
	backend, class int
	sent, endsAt   time.Duration
	outcome        Outcome
	trial          bool
}

type change struct {
	at             time.Duration
	backend, class int
	reinstated     bool
}

func newSimulation(t testing.TB, seed uint64, backends int, rates []float64) *simulation {
	t.Helper()
	m, err := New(DefaultConfig(len(rates)))
	if err != nil {
		t.Fatal(err)
	}
	m.SetTimeConstant(2 * time.Second)
	d := &simulation{
		model: m, rng: rand.New(rand.NewPCG(seed, 3)), rates: rates, latencyTarget: 175 * ms, failureRatio: 0.005,
		fault: func(int, int, time.Duration) (float64, float64) { return 0, 0 }, now: time.Second,
		nextArrival: make([]time.Duration, len(rates)), sent: make([]int, len(rates)),
	}
	for range backends {
		d.cells = append(d.cells, make([]Cell, len(rates)))
		d.delayRatios = append(d.delayRatios, 0.7+0.8*d.rng.Float64())
	}
	for k, r := range rates {
		d.sigma, d.usualDelays = append(d.sigma, 0.45), append(d.usualDelays, 45+10*float64(k))
		d.nextArrival[k] = d.now + d.gap(r)
	}
	return d
}

func (d *simulation) gap(rate float64) time.Duration {
	return time.Duration(-math.Log(1-d.rng.Float64()) / rate * float64(time.Second))
}

func (d *simulation) expect(x *attempt) Expectation {
	return Expectation{Delay: d.usualDelays[x.class] * d.delayRatios[x.backend], Answers: 10}
}

func (d *simulation) send(k int) {
	to, isTrial := -1, false
	var candidates []int
	for b := range d.cells {
		if _, _, ejected := d.cells[b][k].EjectionState(); !ejected {
			candidates = append(candidates, b)
		} else if !isTrial && d.model.MayTrial(&d.cells[b][k], k) && d.rng.IntN(3) == 0 {
			to, isTrial = b, true
		}
	}
	if to < 0 {
		if len(candidates) == 0 {
			return
		}
		to = candidates[d.rng.IntN(len(candidates))]
	}
	x := &attempt{backend: to, class: k, sent: d.now, outcome: Answered, trial: isTrial}
	took := d.usualDelays[k] * d.delayRatios[to] * math.Exp(d.sigma[k]*d.rng.NormFloat64()-d.sigma[k]*d.sigma[k]/2)
	x.endsAt = d.now + time.Duration(took*float64(ms))
	silent, failing := d.fault(to, k, d.now)
	switch p := d.rng.Float64(); {
	case p < silent || took > float64(d.latencyTarget/ms):
		x.endsAt, x.outcome = d.now+d.latencyTarget, TimedOut
	case p < silent+failing || d.rng.Float64() < d.failureRatio:
		x.endsAt, x.outcome = d.now+2*ms, Failed
	}
	d.inFlight = append(d.inFlight, x)
	d.sent[k]++
	d.model.RecordSent(&d.cells[to][k], k, isTrial)
}

func (d *simulation) complete(x *attempt) {
	c := &d.cells[x.backend][x.class]
	if x.trial {
		d.model.RecordTrialOutcome(c, x.class, x.outcome, false)
		if x.outcome != Answered {
			d.lostTrials++
		}
	}
	if x.outcome == Answered {
		for k := range d.cells[x.backend] {
			if k != x.class {
				d.cells[x.backend][k].RecordOtherAnswer(x.sent)
			}
		}
	}
	d.model.RecordOutcome(c, x.class, x.outcome, x.sent, d.now, d.expect(x))
	if took := float64(d.now-x.sent) / float64(ms); x.outcome == Answered {
		d.model.RecordDelayRatio(c, d.now, took/d.usualDelays[x.class], 1)
	}
}

func (d *simulation) sweep() {
	d.model.BeginComparison()
	for b := range d.cells {
		for k := range d.cells[b] {
			d.cells[b][k].ResetInFlight()
		}
	}
	for _, x := range d.inFlight {
		d.model.AddInFlight(&d.cells[x.backend][x.class], x.class, x.sent, d.now, d.expect(x))
	}
	for b := range d.cells {
		for k := range d.cells[b] {
			d.model.AddToComparison(&d.cells[b][k], k, d.now, d.delayRatios[b])
		}
	}
	d.model.EndComparison()
	for b := range d.cells {
		for k := range d.cells[b] {
			if verdict := d.model.Evaluate(&d.cells[b][k], k, d.now); verdict != Unchanged {
				d.changes = append(d.changes, change{d.now, b, k, verdict == Reinstated})
			}
		}
	}
}

// run simulates until the time to, in steps of 5 ms, with a sweep every 40 ms.
func (d *simulation) run(to time.Duration) {
	for ; d.now < to; d.now += 5 * ms {
		d.inFlight = slices.DeleteFunc(d.inFlight, func(x *attempt) bool {
			if x.endsAt > d.now {
				return false
			}
			d.complete(x)
			return true
		})
		for k := range d.nextArrival {
			for d.nextArrival[k] <= d.now {
				d.send(k)
				d.nextArrival[k] += d.gap(d.rates[k])
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

// randomFault is a fault of one class at the first few backends, within a time range.
type randomFault struct {
	class, backends int
	from, until     time.Duration
	ratio           float64 // of attempts that fail
	answersErrors   bool    // failing attempts get an error, rather than no answer
}

func newRandomFault(rng *rand.Rand) randomFault {
	f := randomFault{class: rng.IntN(4), from: 10*time.Second + time.Duration(rng.IntN(1000))*ms}
	f.until = f.from + time.Duration(3000+rng.IntN(7000))*ms
	f.backends = 1 + rng.IntN(4)
	f.ratio = 0.7 + 0.3*rng.Float64()
	f.answersErrors = rng.IntN(3) == 0
	return f
}

func (f randomFault) at(backend, class int, now time.Duration) (silent, failing float64) {
	switch {
	case backend >= f.backends || class != f.class || now < f.from || now >= f.until:
		return 0, 0
	case f.answersErrors:
		return 0, f.ratio
	}
	return f.ratio, 0
}

// ejectedAt returns when the cell at a backend was first ejected, and when it was first reinstated after the fault. A
// time of 0 means never.
func (f randomFault) ejectedAt(changes []change, backend int) (ejected, reinstated time.Duration) {
	for _, e := range changes {
		if e.backend != backend || e.class != f.class {
			continue
		}
		if !e.reinstated && ejected == 0 {
			ejected = e.at
		}
		if e.reinstated && e.at > f.until && reinstated == 0 {
			reinstated = e.at
		}
	}
	return ejected, reinstated
}

// faultResults collects the results of many faults: seconds until ejections and reinstatements, and the cost of trials.
type faultResults struct {
	ejection, reinstatement []float64
	missed, lost, sent      int
}

func (r *faultResults) simulate(t *testing.T, seed uint64) {
	t.Helper()
	d := newSimulation(t, seed, 9, []float64{80, 70, 60, 40})
	f := newRandomFault(d.rng)
	d.fault = f.at
	d.run(f.from)
	d.changes = nil
	d.sent[f.class] = 0
	d.lostTrials = 0
	d.run(f.until)
	r.lost += d.lostTrials
	r.sent += d.sent[f.class]
	d.run(f.until + 20*time.Second)
	for b := range f.backends {
		ejected, reinstated := f.ejectedAt(d.changes, b)
		if ejected == 0 || ejected > f.until {
			r.missed++
			continue
		}
		r.ejection = append(r.ejection, (ejected - f.from).Seconds())
		if reinstated > 0 {
			r.reinstatement = append(r.reinstatement, (reinstated - f.until).Seconds())
		}
	}
}

// Random partial faults lead to ejections and reinstatements soon enough, in the median and at worst, and trials cost
// little.
func TestEjectsAndReinstatesUnderRandomFaults(t *testing.T) {
	var r faultResults
	for seed := range uint64(60) {
		r.simulate(t, seed)
	}
	t.Logf("ejected %d (missed %d): median %.2f s, worst %.2f s; reinstated %d: median %.2f s, worst %.2f s; lost to trials %.4f",
		len(r.ejection), r.missed, quantile(r.ejection, 0.5), quantile(r.ejection, 1),
		len(r.reinstatement), quantile(r.reinstatement, 0.5), quantile(r.reinstatement, 1),
		float64(r.lost)/float64(r.sent))
	if r.missed*20 > len(r.ejection) || quantile(r.ejection, 0.5) > 1 || quantile(r.ejection, 1) > 5 {
		t.Errorf("cells were ejected too late or not at all")
	}
	if quantile(r.reinstatement, 0.5) > 2 || quantile(r.reinstatement, 1) > 15 {
		t.Errorf("cells were reinstated too late")
	}
	if float64(r.lost) > 0.02*float64(r.sent) {
		t.Errorf("%d of %d attempts lost to trials", r.lost, r.sent)
	}
}

// Two hundred runs of 100 s without a fault, some long-tailed, some with a class of one request a second: cells are
// rarely ejected without a fault.
func TestFalseAlarmsWithoutFaults(t *testing.T) {
	alarms, seconds := 0, 0.0
	byClass := make([]int, 4)
	for seed := range uint64(200) {
		rates := []float64{80, 70, 60, 40}
		if seed%4 == 0 {
			rates[3] = 1
		}
		d := newSimulation(t, 1000+seed, 9, rates)
		if seed%2 == 0 {
			d.sigma[2] = 0.9
		}
		d.run(101 * time.Second)
		for _, e := range d.changes {
			if !e.reinstated {
				alarms++
				byClass[e.class]++
			}
		}
		seconds += 100
	}
	t.Logf("%.0f s simulated: %d cells ejected without a fault, one in %.0f s; by class %d",
		seconds, alarms, seconds/max(1, float64(alarms)), byClass)
	if float64(alarms) > seconds/50 {
		t.Errorf("%d false alarms in %.0f s", alarms, seconds)
	}
}

// A class that fails everywhere is ejected nowhere.
func TestClassThatFailsEverywhereIsEjectedNowhere(t *testing.T) {
	d := newSimulation(t, 7, 9, []float64{80, 70, 60, 40})
	d.fault = func(b, k int, now time.Duration) (float64, float64) {
		if k == 2 && now > 10*time.Second {
			return 0.87, 0
		}
		return 0, 0
	}
	ejected, checked := 0, 0
	d.run(13 * time.Second)
	for d.now < 30*time.Second {
		d.run(d.now + 200*ms)
		for b := range d.cells {
			checked++
			if _, _, is := d.cells[b][2].EjectionState(); is {
				ejected++
			}
		}
	}
	if ejected*5 > checked {
		t.Errorf("a class that no backend serves is ejected at %d of %d cells", ejected, checked)
	}
	for b := range d.cells {
		for _, k := range []int{0, 1, 3} {
			if _, _, is := d.cells[b][k].EjectionState(); is {
				t.Errorf("backend %d is ejected for class %d, which it serves", b, k)
			}
		}
	}
}

// A backend that answers nothing at all has no gray failure: no other class is answered there.
func TestBackendThatAnswersNothingHasNoGrayFailure(t *testing.T) {
	d := newSimulation(t, 8, 6, []float64{40, 40, 40})
	d.fault = func(b, k int, now time.Duration) (float64, float64) {
		if b == 0 && now > 5*time.Second {
			return 1, 0
		}
		return 0, 0
	}
	d.run(15 * time.Second)
	for k := range d.cells[0] {
		if bad := d.model.FaultProbability(&d.cells[0][k], k, d.now); bad > 0.5 {
			t.Errorf("class %d: a fault probability of %.2f at a backend that answers nothing", k, bad)
		}
	}
}

// An outcome that a gray failure explains must not count against the backend, or its other classes would lose the
// backend too.
func TestOutcomeExplainedByGrayFailureIsNoEvidenceAgainstBackend(t *testing.T) {
	m, err := New(DefaultConfig(2))
	if err != nil {
		t.Fatal(err)
	}
	var c Cell
	u, now := Expectation{Delay: 50, Answers: 20}, time.Minute
	if w := m.RecordOutcome(&c, 0, TimedOut, now-200*ms, now, u); w < 0.9 {
		t.Errorf("the first timeout, with no answers to other classes: weight %.2f", w)
	}
	for range 6 {
		now += 100 * ms
		c.RecordOtherAnswer(now)
		m.RecordOutcome(&c, 0, TimedOut, now-200*ms, now, u)
	}
	if w := m.RecordOutcome(&c, 0, TimedOut, now-200*ms, now, u); w > 0.3 {
		t.Errorf("the eighth timeout, with six answers to other classes between: weight %.2f", w)
	}
	var d Cell
	if w := m.RecordOutcome(&d, 1, Unknown, now-200*ms, now, u); w != 1 || d.Suspected() {
		t.Errorf("a broken connection counts as evidence on the class: weight %.2f", w)
	}
	if m.RecordOutcome(&d, 1, TimedOut, now-2*ms, now, u); d.Suspected() {
		t.Error("an attempt that was cancelled at once counts against the class")
	}
}

// If the backend is slow for all classes, timeouts of one class are expected.
func TestSlowBackendExplainsTimeouts(t *testing.T) {
	faultProbability := func(ratio float64) float64 {
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
	if normal, slow := faultProbability(1), faultProbability(4); normal < 0.5 || slow > 0.2 {
		t.Errorf("fault probabilities of %.2f at the usual delay and %.2f at four times it", normal, slow)
	}
}

// A cell that is slow for one class only is distinguished from chance variation.
func TestClassDelayRatioIgnoresChanceVariation(t *testing.T) {
	m, err := New(DefaultConfig(1))
	if err != nil {
		t.Fatal(err)
	}
	rng, now := rand.New(rand.NewPCG(1, 1)), time.Minute
	cells := make([]Cell, 8)
	recordAnswers := func(slow float64) {
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
	recordAnswers(1)
	if got := m.DelayRatio(&cells[0], 0, now, 1, 1); math.Abs(got-1) > 0.1 {
		t.Errorf("all cells alike: a delay ratio of %.2f, want 1", got)
	}
	recordAnswers(3)
	if got := m.DelayRatio(&cells[0], 0, now, 1, 1); got < 2.2 || got > 4 {
		t.Errorf("a cell three times slower for the class: a delay ratio of %.2f", got)
	}
	if got := m.DelayRatio(&cells[1], 0, now, 1, 1); got < 0.6 || got > 1.4 {
		t.Errorf("another cell of the class: a delay ratio of %.2f", got)
	}
	// Attempts in flight at the backend count for the cell as well.
	if calm, crowded := m.DelayRatio(&cells[0], 0, now, 1, 1), m.DelayRatio(&cells[0], 0, now, 3, 1); crowded < 2.9*calm {
		t.Errorf("a delay ratio of %.2f, and %.2f with three times the ratio for the backend", calm, crowded)
	}
}

func TestValidateNamesTheField(t *testing.T) {
	for field, invalidate := range map[string]func(*Config){
		"Classes":               func(c *Config) { c.Classes = 0 },
		"AnsweredRatio":         func(c *Config) { c.AnsweredRatio = 1 },
		"MinFaultDuration":      func(c *Config) { c.MinFaultDuration = 0 },
		"MaxFaultDuration":      func(c *Config) { c.MaxFaultDuration = c.MinFaultDuration - 1 },
		"MeanTimeBetweenFaults": func(c *Config) { c.MeanTimeBetweenFaults = c.MaxFaultDuration - 1 },
		"TimeConstant":          func(c *Config) { c.TimeConstant = 0 },
		"TrialRatio":            func(c *Config) { c.TrialRatio = math.NaN() },
		"TrialBurst":            func(c *Config) { c.TrialBurst = 0 },
	} {
		t.Run(field, func(t *testing.T) {
			c := DefaultConfig(3)
			invalidate(&c)
			_, err := New(c)
			var invalid *ConfigError
			if !errors.As(err, &invalid) || invalid.Field != field {
				t.Errorf("got error %v", err)
			}
		})
	}
}

// eventSequence applies random events to a model with some cells.
type eventSequence struct {
	model  *Model
	cells  [][2]Cell
	trials map[[2]int]int // in flight, by backend and class
	now    time.Duration
}

// step applies one random event.
func (q *eventSequence) step(t *rapid.T) {
	q.now += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "gap"))
	b, k := rapid.IntRange(0, 2).Draw(t, "backend"), rapid.IntRange(0, 1).Draw(t, "class")
	c, at := &q.cells[b][k], [2]int{b, k}
	u := Expectation{Delay: rapid.Float64Range(0, 1e4).Draw(t, "usual"), Answers: rapid.Float64Range(0, 50).Draw(t, "n")}
	sent := max(0, q.now-time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "age")))
	switch rapid.IntRange(0, 4).Draw(t, "do") {
	case 0:
		outcome := Outcome(rapid.IntRange(0, 3).Draw(t, "outcome"))
		if q.trials[at] > 0 {
			q.trials[at]--
			q.model.RecordTrialOutcome(c, k, outcome, rapid.Bool().Draw(t, "mayRetry"))
		}
		if w := q.model.RecordOutcome(c, k, outcome, sent, q.now, u); !(w >= 0 && w <= 1) {
			t.Fatalf("weight %v, want 0 to 1", w)
		}
	case 1:
		c.RecordOtherAnswer(sent)
	case 2:
		c.ResetInFlight()
		q.model.AddInFlight(c, k, sent, q.now, u)
	case 3:
		_, _, ejected := c.EjectionState()
		trial := ejected && q.model.MayTrial(c, k)
		if trial {
			q.trials[at]++
		}
		q.model.RecordSent(c, k, trial)
	case 4:
		q.compare()
	}
}

// compare compares all cells and evaluates each.
func (q *eventSequence) compare() {
	q.model.BeginComparison()
	for b := range q.cells {
		for k := range q.cells[b] {
			q.model.AddToComparison(&q.cells[b][k], k, q.now, 1)
		}
	}
	q.model.EndComparison()
	for b := range q.cells {
		for k := range q.cells[b] {
			q.model.Evaluate(&q.cells[b][k], k, q.now)
		}
	}
}

// checkCell checks what holds for every cell at any time.
func (q *eventSequence) checkCell(t *rapid.T, b, k int) {
	c := &q.cells[b][k]
	if p := q.model.FaultProbability(c, k, q.now); !(p >= 0 && p <= 1) {
		t.Fatalf("fault probability %v", p)
	}
	if p := q.model.RelativeSuccess(c, k, q.now); !(p > 0 && p <= 1) {
		t.Fatalf("relative success %v", p)
	}
	if d := q.model.DelayRatio(c, k, q.now, 1, 1); !(d >= 0) {
		t.Fatalf("delay ratio %v", d)
	}
	if inFlight := q.trials[[2]int{b, k}]; c.trialsInFlight != inFlight || c.trialsInFlight > 1 {
		t.Fatalf("%d trials counted, %d are in flight", c.trialsInFlight, inFlight)
	}
}

// After any sequence of events, probabilities are between 0 and 1, trials in flight are counted correctly and tokens
// are bounded.
func TestInvariantsHoldInAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, err := New(DefaultConfig(2))
		if err != nil {
			t.Fatal(err)
		}
		q := &eventSequence{model: m, cells: make([][2]Cell, 3), trials: map[[2]int]int{}, now: time.Second}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			q.step(t)
			for b := range q.cells {
				for k := range q.cells[b] {
					q.checkCell(t, b, k)
				}
			}
			for k := range m.classes {
				if g := m.classes[k]; g.trialTokens > m.cfg.TrialBurst || g.trialsInFlight < 0 {
					t.Fatalf("%v tokens, %d trials", g.trialTokens, g.trialsInFlight)
				}
			}
		}
	})
}
