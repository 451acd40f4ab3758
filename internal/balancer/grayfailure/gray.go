package grayfailure

import (
	"math"
	"time"

	"marlreel/internal/balancer/decay"
)

const (
	leastFail  = 0.5  // failures assumed of a kind before any was seen,
	leastEnded = 25   // in so many attempts
	priorDevs  = 20   // answers that the assumed spread counts for,
	priorVar   = 0.36 // which is this, of the logarithm
	devKeep    = 0.998
	mostSure   = 0.98            // chance of being bad beyond which nothing more is learnt: the way back stays short
	priorRatio = 1               // answers that a backend's assumed ratio counts for in the spread of S
	outBelow   = 0.5             // of the best cell's chance, under which a cell is out,
	backAbove  = 0.6             // and over which it is back
	cheapTry   = 0.2             // tokens that a failed try costs which went elsewhere afterwards
	noticeable = 0.05            // log likelihood ratio from which what is out counts
	waveOver   = 3 * time.Second // for which one that went out makes others of its kind likelier to begin,
	waveTimes  = 10              // by so many times
	cleared    = 0.03            // chance of being bad under which a cell is suspect no more
	assumed    = 2               // attempts that Config.Answered counts for in a suspect cell's own share
)

// End says how an attempt ended, as far as it speaks of its kind.
type End uint8

// The ends. Nothing is one that says nothing of the kind of work: a connection that broke,
// a request turned away unseen.
const (
	Nothing End = iota
	Answered
	Failed
	Silent // no answer until the attempt was given up, by whomever
)

// Usual is what to expect of an attempt by all but its own cell.
type Usual struct {
	Delay   float64 // ms that the kind usually takes, times the backend's ratio in its other kinds
	Answers float64 // how many answers that ratio rests on
}

// Model holds what is common to the cells of each kind. Not safe for concurrent use.
type Model struct {
	cfg   Config
	kinds []kind
}

type kind struct {
	failed, ended  decay.Sum // in good cells
	n, dev, dev2   float64
	wave           decay.Sum // cells that went out lately
	tokens         float64
	trying         int
	out            int     // cells, at the last Compare
	best           float64 // chance of the best cell, as a share of a good one's
	between        float64 // variance of the cells' delay ratios beyond chance
	q, cells, sumN float64 // for between, while Compare runs
}

// New gives a model with nothing learnt.
func New(cfg Config) (*Model, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	m := &Model{cfg: cfg, kinds: make([]kind, cfg.Kinds)}
	for i := range m.kinds {
		m.kinds[i].tokens, m.kinds[i].best = cfg.Burst, 1
	}
	return m, nil
}

// Grow makes room for so many kinds of work; those there are stay as they are.
func (m *Model) Grow(kinds int) {
	for len(m.kinds) < kinds {
		m.kinds = append(m.kinds, kind{tokens: m.cfg.Burst, best: 1})
	}
	m.cfg.Kinds = len(m.kinds)
}

// Forget drops what was learnt of a kind; its cells are the caller's to drop.
func (m *Model) Forget(k int) { m.kinds[k] = kind{tokens: m.cfg.Burst, best: 1} }

// Cell is one kind of work at one backend. The zero value knows nothing.
type Cell struct {
	bad, open         float64 // chance of being bad by what has ended; log likelihood ratio of what is out
	at                time.Duration
	silent            time.Duration // when the first attempt left that got no answer since the last one; 0: none
	vouched           float64       // answers of other kinds to what left after that
	outSince          time.Duration // when it went out; 0: it is not
	tryingN           int
	failures, opens   int       // without an answer since the last one: ended, and still out
	ok, ended         decay.Sum // attempts while suspect: answered, and all
	okEver, endedEver decay.Sum // the same, whether suspect or not
	delays            decay.Sum // sum of delay ratios, and their number
	answers           decay.Sum
}

// failShare is how often an attempt of the kind gets no answer in a good cell.
func (m *Model) failShare(k int, now time.Duration) float64 {
	f, n := m.kinds[k].failed.Fade(now, m.cfg.Memory), m.kinds[k].ended.Fade(now, m.cfg.Memory)
	return (f + leastFail) / (n + leastEnded)
}

// LongerThan is the chance that a good cell takes longer than age (ms) to answer.
func (m *Model) LongerThan(k int, age float64, u Usual) float64 {
	if age <= 0 || u.Delay <= 0 {
		return 1
	}
	c := &m.kinds[k]
	n := c.n + priorDevs
	mean := c.dev / n
	variance := (c.dev2+priorDevs*priorVar)/n - mean*mean
	variance *= 1 + 1/(u.Answers+priorRatio) // the backend's ratio is known only so well
	z := (math.Log(age/u.Delay) - mean) / math.Sqrt(max(variance, 1e-3))
	return math.Erfc(z/math.Sqrt2) / 2
}

// Slow is the chance that what got no answer until age is slow and not lost: the less a good cell
// takes so long, the likelier it is lost.
func (m *Model) Slow(k int, now time.Duration, age float64, u Usual) float64 {
	e, s := m.failShare(k, now), m.LongerThan(k, age, u)
	return (1 - e) * s / (e + (1-e)*s)
}

// silence is the log likelihood ratio, bad against good, of no answer at age.
func (m *Model) silence(k int, now time.Duration, age float64, u Usual) float64 {
	return m.against(m.failShare(k, now), m.LongerThan(k, age, u))
}

func (m *Model) against(e, longer float64) float64 {
	q := m.cfg.Answered
	return math.Log((1 - q + q*longer) / (e + (1-e)*longer))
}

// drift brings a cell's chance to the time now.
func (m *Model) drift(c *Cell, k int, now time.Duration) {
	lasts := m.cfg.Shortest
	if c.outSince > 0 {
		lasts = m.cfg.Longest // tries tell sooner; time alone is for what is hardly ever tried
	}
	begin, end := (1+m.kinds[k].wave.Fade(now, waveOver)*waveTimes)/m.cfg.Onset.Seconds(), 1/lasts.Seconds()
	rest := begin / (begin + end)
	if c.bad == 0 {
		c.bad = rest
	}
	if d := (now - c.at).Seconds(); d > 0 {
		c.bad = rest + (c.bad-rest)*math.Exp(-d*(begin+end))
	}
	c.at = now
}

func update(bad, ratio float64) float64 {
	odds := bad / (1 - bad) * math.Exp(ratio)
	return min(odds/(1+odds), mostSure)
}

// Bad is the chance that the cell serves its kind badly while its backend serves others.
func (m *Model) Bad(c *Cell, k int, now time.Duration) float64 {
	if !c.Suspect() {
		return 0
	}
	m.drift(c, k, now)
	bad := c.bad
	if c.open != 0 {
		bad = update(bad, c.open)
	}
	return bad * c.vouched / (c.vouched + 1)
}

// share is the chance of an answer in time, as a share of a good cell's. What a suspect cell
// still answers is its own: one that fails two in five is to be used less, not left alone.
func (m *Model) share(c *Cell, k int, now time.Duration) float64 {
	ok, n := c.ok.Fade(now, m.cfg.Memory), c.ended.Fade(now, m.cfg.Memory)
	answered := (ok + assumed*m.cfg.Answered) / (n + assumed)
	return 1 - m.Bad(c, k, now)*(1-answered)
}

// record is what a cell makes others be measured against: the share of its attempts that it
// answered lately. Danger: where a kind fails everywhere, a cell that
// happens to answer one or two would look good enough for all others to be out beside it; and
// one that is out has no attempts to show.
func (m *Model) record(c *Cell, k int, now time.Duration) float64 {
	switch {
	case !c.Suspect():
		return 1
	case c.outSince > 0:
		return m.share(c, k, now)
	}
	ok, n := c.okEver.Fade(now, m.cfg.Memory), c.endedEver.Fade(now, m.cfg.Memory)
	return (ok + assumed*m.share(c, k, now)) / (n + assumed)
}

// Chance is the chance of an answer in time, as a share of the best cell's of the kind.
func (m *Model) Chance(c *Cell, k int, now time.Duration) float64 {
	if !c.Suspect() {
		return 1
	}
	return min(1, m.share(c, k, now)/m.kinds[k].best)
}

// Note takes a delay ratio (what an attempt took over what its kind leads one to expect of
// any backend) into the cell's mean, with a weight.
func (m *Model) Note(c *Cell, now time.Duration, ratio, weight float64) {
	c.delays.Add(ratio*weight, now, m.cfg.Memory)
	c.answers.Add(weight, now, m.cfg.Memory)
}

// Noted is the sum of the ratios that Note took in, faded, and that of their weights.
func (m *Model) Noted(c *Cell, now time.Duration) (sum, n float64) {
	return c.delays.Fade(now, m.cfg.Memory), c.answers.Fade(now, m.cfg.Memory)
}

// Ended learns from the end of an attempt that left at sent. It returns how far the end speaks
// of the backend as a whole, from 1 (all of it) to 0 (of this kind alone).
func (m *Model) Ended(c *Cell, k int, end End, sent, now time.Duration, u Usual) float64 {
	age, g := millis(now-sent), &m.kinds[k]
	switch end {
	case Nothing:
		return 1
	case Answered:
		g.ended.Add(1, now, m.cfg.Memory)
		c.okEver.Add(1, now, m.cfg.Memory)
		c.endedEver.Add(1, now, m.cfg.Memory)
		dev := math.Log(max(age, 0.01) / max(u.Delay, 0.01))
		g.n, g.dev, g.dev2 = g.n*devKeep+1, g.dev*devKeep+dev, g.dev2*devKeep+dev*dev
		if c.Suspect() {
			m.drift(c, k, now)
			c.bad = update(c.bad, math.Log(m.cfg.Answered/(1-m.failShare(k, now))))
			c.failures = 0
			c.ok.Add(1, now, m.cfg.Memory)
			c.ended.Add(1, now, m.cfg.Memory)
			m.clear(c)
		}
		return 1
	}
	e, longer := m.failShare(k, now), 0.0
	if end == Silent {
		longer = m.LongerThan(k, age, u)
	}
	ratio := m.against(e, longer)
	if !c.Suspect() {
		if ratio < noticeable { // it was cut off before it could tell anything
			return 1
		}
		c.silent = sent
	}
	m.drift(c, k, now)
	c.bad = update(c.bad, ratio)
	if longer < 0.5 {
		c.failures++
	}
	c.ended.Add(1-longer, now, m.cfg.Memory)
	c.endedEver.Add(1-longer, now, m.cfg.Memory)
	good := 1 - c.bad*c.vouched/(c.vouched+1)
	g.ended.Add(good, now, m.cfg.Memory)
	g.failed.Add(good*e/(e+(1-e)*longer), now, m.cfg.Memory)
	return good
}

// clear ends the suspicion of a cell that nothing speaks against any more.
func (m *Model) clear(c *Cell) {
	if c.bad < cleared && c.open == 0 && c.outSince == 0 {
		c.silent, c.vouched, c.failures = 0, 0, 0
		c.ok, c.ended = decay.Sum{}, decay.Sum{}
	}
}

// Vouch tells a cell that an attempt of another kind, which left at sent, was answered by its
// backend.
func (c *Cell) Vouch(sent time.Duration) {
	if c.silent > 0 && sent > c.silent {
		c.vouched++
	}
}

// Suspect tells whether anything speaks against the cell, so that Vouch and Open matter.
func (c *Cell) Suspect() bool { return c.silent > 0 || c.outSince > 0 }

// Reopen forgets what is known of what is out at the cell; Open then adds each again.
func (c *Cell) Reopen() { c.open, c.opens = 0, 0 }

// Open adds an attempt that is out, at its present age.
func (m *Model) Open(c *Cell, k int, sent, now time.Duration, u Usual) {
	r := m.silence(k, now, millis(now-sent), u)
	if r < noticeable {
		return
	}
	c.open, c.opens = c.open+r, c.opens+1
	if c.silent == 0 || sent < c.silent && c.failures == 0 {
		c.silent, c.at = sent, max(c.at, sent)
	}
}

// SetMemory changes the time over which delays and failures fade; the caller's own estimate of
// a backend has to fade with the same one.
func (m *Model) SetMemory(d time.Duration) { m.cfg.Memory = d }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
