package connections

import (
	"math"
	"time"

	"marlreel/internal/balancer/portablemath"
)

// Config sets what the model assumes before it has learned anything, and its bounds.
type Config struct {
	// PriorNew and PriorReused are the hazards, 0 to 1, assumed of new and of reused connections. With PriorReused
	// above PriorNew, a model that has learned nothing dials.
	PriorNew, PriorReused float64
	// Weight is how many uses the prior counts for at each level. A lower weight learns sooner, but also learns from
	// chance.
	Weight float64
	// TimeConstant is the time in which evidence decays to 1/e.
	TimeConstant time.Duration
	// HandshakeCost is what a new connection costs, in utility: its price, and the work that it takes away from other
	// requests.
	HandshakeCost float64
	// MaxBackends bounds the number of tracked backends; beyond it, the least recently used one is dropped.
	MaxBackends int
}

// DefaultConfig suits requests of the given mean utility; handshakePrice is in requests of mean utility.
func DefaultConfig(meanUtility, handshakePrice float64) Config {
	return Config{
		PriorNew: 0.004, PriorReused: 0.002, Weight: 8, TimeConstant: 30 * time.Second,
		HandshakeCost: (handshakePrice + handshakeWork) * meanUtility, MaxBackends: 4096,
	}
}

// handshakeWork is the part of a mean request's utility that a handshake costs others: it takes some 12 ms of a backend
// whose requests take some 50 ms, and only while nodes are busy does this time matter as much as that of requests.
const handshakeWork = 0.05

// SetHandshakeCost changes what a new connection costs, in utility.
func (m *Model) SetHandshakeCost(utility float64) { m.cfg.HandshakeCost = utility }

// BreakEffect is the effect of a broken connection on a request.
type BreakEffect uint8

// The values of BreakEffect.
const (
	Lost    BreakEffect = iota // it may have run and must not run twice: it fails
	Delayed                    // it may be retried, as time and budgets allow
)

// delayedLoss is the part of its utility that a request loses, on average, when its connection breaks and it may be
// retried.
const delayedLoss = 0.35

// Request describes what a request would lose by a broken connection.
type Request struct {
	Utility float64
	Effect  BreakEffect
	Large   bool
}

func (s Request) loss() float64 {
	if s.Effect == Delayed {
		return s.Utility * delayedLoss
	}
	return s.Utility
}

// Use is one use of a connection.
type Use struct {
	New   bool
	Idle  time.Duration // how long a reused connection was idle
	Large bool          // the request is large
}

// edges of the idle times, which define the cells: idle below the first edge, between two edges, and beyond the last.
// Most steps are a half to a third: whatever closes idle connections does so at one fixed idle time, and a request that
// comes just before that is safe.
var edges = [...]time.Duration{
	1 * ms, 3 * ms, 10 * ms, 20 * ms, 35 * ms, 50 * ms, 75 * ms, 100 * ms, 150 * ms, 200 * ms, 300 * ms,
	450 * ms, 700 * ms, 1000 * ms, 1500 * ms, 2000 * ms, 3000 * ms, 5000 * ms, 8000 * ms, 13000 * ms, 20000 * ms, 30000 * ms, 45000 * ms,
}

const (
	ms          = time.Millisecond
	reusedCells = len(edges) + 1        // cells of reused connections
	cells       = 2 * (reusedCells + 1) // plus one of new connections; for small requests and for large ones
)

func cell(u Use) int {
	i := reusedCells // a new connection
	if !u.New {
		i = 0
		for i < len(edges) && u.Idle >= edges[i] {
			i++
		}
	}
	if u.Large {
		i += reusedCells + 1
	}
	return i
}

// tally is the evidence of one cell: uses and broken uses, both decayed.
type tally struct{ uses, broken float64 }

// level is the evidence of one scope (all backends, a zone or a backend) and the hazards derived from it.
type level struct {
	at         time.Duration
	cells      [cells]tally
	early      tally // over all cells: uses, and those that broke soon after the first bytes
	hazards    [cells]float64
	computedAt time.Duration
	current    bool // no break was recorded since the hazards were computed
}

func (l *level) decay(now, timeConstant time.Duration) {
	if now > l.at {
		f := portablemath.Exp(-float64(now-l.at) / float64(timeConstant))
		for i := range l.cells {
			l.cells[i].uses *= f
			l.cells[i].broken *= f
		}
		l.early.uses *= f
		l.early.broken *= f
		l.at = now
	}
}

// Model estimates how likely connections are to break and chooses between them. Not safe for concurrent use.
type Model struct {
	cfg      Config
	all      level
	zones    map[int]*level
	backends map[uint32]*level
	holdback time.Duration
}

// New returns a model that has learned nothing.
func New(cfg Config) *Model {
	return &Model{cfg: cfg, zones: map[int]*level{}, backends: map[uint32]*level{}, holdback: initialHoldback}
}

// Outcome is how a use of a connection ended.
type Outcome struct {
	Broken   bool          // it broke after the request's first bytes were written, and before an answer
	After    time.Duration // if it broke: time since those bytes were written
	Complete bool          // so much of the request had been written that it may have run
}

// RecordOutcome records how a use ended.
func (m *Model) RecordOutcome(now time.Duration, backend uint32, zone int, u Use, end Outcome) {
	early := end.Broken && end.After < maxHoldback
	if early {
		m.adjustHoldback(end)
	}
	i := cell(u)
	for _, l := range [...]*level{&m.all, m.zoneLevel(now, zone), m.backendLevel(now, backend)} {
		l.decay(now, m.cfg.TimeConstant)
		l.cells[i].uses++
		if end.Broken {
			l.cells[i].broken++
		}
		l.current = l.current && !end.Broken
		l.early.uses++
		if early {
			l.early.broken++
		}
	}
}

// adjustHoldback tracks a high quantile of the times of early breaks: a break after the holdback lengthens it by a
// large step, one within it shortens it by a small one.
func (m *Model) adjustHoldback(end Outcome) {
	if end.Complete && end.After > m.holdback {
		m.holdback = min(time.Duration(float64(m.holdback)*holdbackIncrease), maxHoldback)
		return
	}
	m.holdback = max(time.Duration(float64(m.holdback)*holdbackDecrease), minHoldback)
}

func (m *Model) zoneLevel(now time.Duration, zone int) *level {
	l := m.zones[zone]
	if l == nil {
		l = &level{at: now}
		m.zones[zone] = l
	}
	return l
}

func (m *Model) backendLevel(now time.Duration, backend uint32) *level {
	l := m.backends[backend]
	if l == nil {
		m.evictOldest()
		l = &level{at: now}
		m.backends[backend] = l
	}
	return l
}

// evictOldest makes room for another backend by dropping the least recently used one.
func (m *Model) evictOldest() {
	if len(m.backends) < m.cfg.MaxBackends {
		return
	}
	oldest, found := uint32(0), false
	for id, l := range m.backends {
		if !found || l.at < m.backends[oldest].at {
			oldest, found = id, true
		}
	}
	delete(m.backends, oldest)
}

// Forget drops a backend that has left the membership.
func (m *Model) Forget(backend uint32) { delete(m.backends, backend) }

// Backends returns the number of tracked backends.
func (m *Model) Backends() int { return len(m.backends) }

// refreshInterval is how old computed hazards may get while no break is recorded.
const refreshInterval = time.Second / 4

// refreshHazards computes a level's hazards from its evidence. The hazards of the wider level are the means of its
// priors; wider is nil for the widest level.
func (m *Model) refreshHazards(now time.Duration, l, wider *level) {
	if l.current && now-l.computedAt < refreshInterval && (wider == nil || wider.computedAt <= l.computedAt) {
		return
	}
	l.decay(now, m.cfg.TimeConstant)
	for from := 0; from < cells; from += reusedCells + 1 { // small requests, then large ones
		m.refreshReused(l, wider, from)
		newCell := from + reusedCells
		prior := m.cfg.PriorNew
		if wider != nil {
			prior = wider.hazards[newCell]
		}
		l.hazards[newCell] = l.cells[newCell].hazard(prior, m.cfg.Weight)
	}
	l.computedAt, l.current = now, true
}

// hazard returns the mean of the Beta posterior, given the mean and the weight of the prior.
func (t tally) hazard(prior, weight float64) float64 {
	return (t.broken + prior*weight) / (t.uses + weight)
}

// hazardBlock is a run of adjacent cells that share one hazard.
type hazardBlock struct {
	hazard, weight float64
	cells          int
}

// refreshReused computes the hazards of reused connections, for the cells starting at from, by pooling adjacent
// violators: blocks of cells that share one hazard, non-decreasing with the idle time.
func (m *Model) refreshReused(l, wider *level, from int) {
	var blocks [reusedCells]hazardBlock
	n := 0
	prior := m.cfg.PriorReused
	for i := from; i < from+reusedCells; i++ {
		if wider != nil {
			prior = wider.hazards[i]
		}
		t := l.cells[i]
		merged := hazardBlock{t.hazard(prior, m.cfg.Weight), t.uses + m.cfg.Weight, 1}
		prior = merged.hazard // used only at the widest level: with no evidence, longer idle times break at least as often
		for ; n > 0 && blocks[n-1].hazard > merged.hazard; n-- {
			previous := blocks[n-1]
			sum := previous.weight + merged.weight
			merged = hazardBlock{(previous.hazard*previous.weight + merged.hazard*merged.weight) / sum, sum, previous.cells + merged.cells}
		}
		blocks[n] = merged
		n++
	}
	i := from
	for _, block := range blocks[:n] {
		for range block.cells {
			l.hazards[i] = block.hazard
			i++
		}
	}
}

// hazards returns the hazards of a backend, from the narrowest level that has evidence.
func (m *Model) hazards(now time.Duration, backend uint32, zone int) *[cells]float64 {
	m.refreshHazards(now, &m.all, nil)
	narrowest := &m.all
	if z := m.zones[zone]; z != nil {
		m.refreshHazards(now, z, narrowest)
		narrowest = z
	}
	if b := m.backends[backend]; b != nil {
		m.refreshHazards(now, b, narrowest)
		narrowest = b
	}
	return &narrowest.hazards
}

// Hazard returns the probability that a use breaks after its request was written.
func (m *Model) Hazard(now time.Duration, backend uint32, zone int, u Use) float64 {
	return m.hazards(now, backend, zone)[cell(u)]
}

// The holdback is how long the byte with which a backend may begin a request is held back after those before it were written.
const (
	initialHoldback   = 1 * time.Millisecond
	minHoldback       = 300 * time.Microsecond
	maxHoldback       = 2 * time.Millisecond
	holdbackIncrease  = 1.2
	holdbackDecrease  = 0.98 // with holdbackIncrease, nine early breaks in ten fall within the holdback
	holdbackThreshold = 0.005
)

// Holdback returns how long the byte with which a backend may begin a request should be held back after those before it were
// written: a connection that breaks before then proves that nothing ran. Where hardly any connection breaks that early it is
// 0: one write and no wait.
func (m *Model) Holdback(now time.Duration, backend uint32, zone int) time.Duration {
	h, w := m.cfg.PriorReused, m.cfg.Weight
	for _, l := range [3]*level{&m.all, m.zones[zone], m.backends[backend]} {
		if l != nil {
			l.decay(now, m.cfg.TimeConstant)
			h = (l.early.broken + h*w) / (l.early.uses + w)
		}
	}
	if h < holdbackThreshold {
		return 0
	}
	return m.CurrentHoldback()
}

// CurrentHoldback returns how long a byte is held back where it is: most connections that break early break within this time.
func (m *Model) CurrentHoldback() time.Duration { return m.holdback }

// Dial is the result of Choose that means a new connection.
const Dial = -1

// equalHazard is the difference up to which hazards count as equal.
const equalHazard = 0.004

// significantSpread is by how much the hazards of idle connections must differ for the choice between them to matter; a
// smaller difference is noise, and the most recently used one is taken.
const significantSpread = 0.01

// Choose returns the index of the idle connection that a request should use, or Dial. idle holds the time that each has
// been idle; the most recently used connection comes last. If mayDial is not set, it returns one of them if there is
// any.
func (m *Model) Choose(now time.Duration, backend uint32, zone int, s Request, idle []time.Duration, mayDial bool) int {
	if len(idle) == 0 {
		return Dial
	}
	hazards := m.hazards(now, backend, zone)
	hazardOf := func(i int) float64 { return hazards[cell(Use{Idle: idle[i], Large: s.Large})] }
	dialLoss := math.Inf(1)
	if mayDial {
		dialLoss = hazards[cell(Use{New: true, Large: s.Large})]*s.loss() + m.cfg.HandshakeCost
	}
	lowest, worstAcceptable := math.Inf(1), -1
	for i := range idle {
		h := hazardOf(i)
		lowest = min(lowest, h)
		if h*s.loss() <= dialLoss && (worstAcceptable < 0 || h > hazardOf(worstAcceptable)) {
			worstAcceptable = i
		}
	}
	if lowest*s.loss() > dialLoss {
		return Dial
	}
	best := len(idle) - 1 // of those with equal hazards, the most recently used
	for hazardOf(best) > lowest+equalHazard {
		best--
	}
	// A request that may be retried takes the worst connection that is still better than a new one. This leaves the
	// best for a request that needs it, and tests the others. While all hazards are alike, the most recently used one
	// is taken, so that the others stay idle until they are closed.
	if s.Effect == Delayed && worstAcceptable >= 0 && hazardOf(worstAcceptable)-lowest > significantSpread {
		return worstAcceptable
	}
	return best
}

// ShouldClose reports whether a connection that has been idle this long should be closed before any request uses it:
// even for a request that may be retried, dialling would be better.
func (m *Model) ShouldClose(now time.Duration, backend uint32, zone int, idle time.Duration, utility float64) bool {
	s := Request{Utility: utility, Effect: Delayed}
	return m.Hazard(now, backend, zone, Use{Idle: idle})*s.loss() >
		m.Hazard(now, backend, zone, Use{New: true})*s.loss()+m.cfg.HandshakeCost
}
