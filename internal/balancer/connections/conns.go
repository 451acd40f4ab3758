// Package connections is a model of connections: how likely each is to break under the next
// request, and so which one a request should have. It is pure: events come with the
// time on them, choices go out; it opens nothing, reads no clock and starts no goroutine.
// It never decides which backend gets a request, nor what may be sent again: those are
// the decision module's.
//
// A use of a connection either breaks after the request was written and before an
// answer (when it may have run, so that an unsafe request is lost) or does not. Uses
// fall into cells: the first use of a new connection, and reuse by how long the
// connection stood idle, in steps of about a factor of 3; large requests have cells of
// their own. In each cell the hazard has a Beta prior with a stated mean and weight, and
// is learnt at three levels, each the prior of the next: all backends, those of one
// zone, one backend. Old evidence fades exponentially, so a hazard that goes is
// forgotten, and one that comes is seen after some ten uses. Over idle time the hazard
// of all backends is made non-decreasing by pooling neighbours that violate it: what
// resets idle connections resets older ones at least as often, and sparse cells borrow
// from their neighbours so.
//
// docs/design/connections.md derives it and names the sources.
package connections

import (
	"math"
	"time"
)

// Config is what the model assumes before it has learnt anything.
type Config struct {
	// PriorNew and PriorKept are the hazards assumed of new and of kept connections.
	// Raising PriorKept above PriorNew makes a model that knows nothing dial.
	PriorNew, PriorKept float64
	// Weight is how many uses the prior counts for at each level. Lower learns sooner
	// and is fooled sooner.
	Weight float64
	// Memory is the time in which evidence fades to 1/e.
	Memory time.Duration
	// Handshake is what a new connection costs, in worth: its price, and the work that
	// it takes from other requests.
	Handshake float64
	// MostBackends bounds what is kept; past it, the one heard of the longest ago goes.
	MostBackends int
}

// DefaultConfig fits requests whose mean worth is given.
func DefaultConfig(meanWorth, handshakePrice float64) Config {
	return Config{
		PriorNew: 0.004, PriorKept: 0.002, Weight: 8, Memory: 30 * time.Second,
		Handshake: (handshakePrice + handshakeWork) * meanWorth, MostBackends: 4096,
	}
}

// handshakeWork is the part of a mean request's worth that a handshake costs others: it
// takes some 12 ms of a backend whose requests take some 50, which matters at most as
// much as they do while nodes are busy.
const handshakeWork = 0.05

// SetHandshake says what a new connection costs from now on, in worth.
func (m *Model) SetHandshake(worth float64) { m.cfg.Handshake = worth }

// Effect is what a break does to a request.
type Effect uint8

// The effects.
const (
	Lost    Effect = iota // it may have run, and must not run twice: it fails
	Delayed               // it may be sent again, as time and budgets allow
)

// delayedLoss is the part of its worth that a request loses, in the mean, by a break
// that lets it be sent again.
const delayedLoss = 0.35

// Stake is what a request has to lose.
type Stake struct {
	Worth  float64
	Effect Effect
	Large  bool
}

func (s Stake) loss() float64 {
	if s.Effect == Delayed {
		return s.Worth * delayedLoss
	}
	return s.Worth
}

// Use is one use of a connection.
type Use struct {
	New   bool
	Idle  time.Duration // how long it stood before; of a kept one
	Large bool          // the request
}

// edges of the idle times, and with that the cells: idle below the first edge, between
// two, and beyond the last. Steps of a half to a third, as what closes idle connections
// does so at one time, and a request that comes just before is safe.
var edges = [...]time.Duration{
	1 * ms, 3 * ms, 10 * ms, 20 * ms, 35 * ms, 50 * ms, 75 * ms, 100 * ms, 150 * ms, 200 * ms, 300 * ms,
	450 * ms, 700 * ms, 1000 * ms, 1500 * ms, 2000 * ms, 3000 * ms, 5000 * ms, 8000 * ms, 13000 * ms, 20000 * ms, 30000 * ms, 45000 * ms,
}

const (
	ms    = time.Millisecond
	kept  = len(edges) + 1 // cells of kept connections
	cells = 2 * (kept + 1) // and one of new ones; for small requests and for large ones
)

func cell(u Use) int {
	i := kept // new
	if !u.New {
		i = 0
		for i < len(edges) && u.Idle >= edges[i] {
			i++
		}
	}
	if u.Large {
		i += kept + 1
	}
	return i
}

// tally is evidence of one cell: uses and breaks, faded.
type tally struct{ uses, breaks float64 }

// level is the evidence of one scope, and the hazards that follow from it.
type level struct {
	at       time.Duration
	cells    [cells]tally
	early    tally // of all uses: breaks that came soon after the first bytes
	hazards  [cells]float64
	workedAt time.Duration
	good     bool // hazards are those of the evidence, but for what has faded since
}

func (l *level) fade(now, memory time.Duration) {
	if now > l.at {
		f := math.Exp(-float64(now-l.at) / float64(memory))
		for i := range l.cells {
			l.cells[i].uses *= f
			l.cells[i].breaks *= f
		}
		l.early.uses *= f
		l.early.breaks *= f
		l.at = now
	}
}

// Model is what was learnt. Not safe for use by several goroutines at once.
type Model struct {
	cfg      Config
	all      level
	zones    map[int]*level
	backends map[uint32]*level
	hold     time.Duration
}

// New makes a model that has learnt nothing.
func New(cfg Config) *Model {
	return &Model{cfg: cfg, zones: map[int]*level{}, backends: map[uint32]*level{}, hold: firstHold}
}

// End is how a use of a connection ended.
type End struct {
	Broke bool          // after the request's first bytes were written, and before an answer
	After time.Duration // since those bytes, where it broke
	Whole bool          // the last byte had been written: it may have run
}

// Observe takes the end of a use.
func (m *Model) Observe(now time.Duration, backend uint32, zone int, u Use, end End) {
	broke, early := end.Broke, end.Broke && end.After < longestHold
	if early {
		// The hold follows a high quantile of when early breaks come: one that came after
		// it lengthens it by much, one within it shortens it by little.
		if end.Whole && end.After > m.hold {
			m.hold = min(time.Duration(float64(m.hold)*holdRise), longestHold)
		} else {
			m.hold = max(time.Duration(float64(m.hold)*holdFall), leastHold)
		}
	}
	i, b := cell(u), 0.0
	if broke {
		b = 1
	}
	z := m.zones[zone]
	if z == nil {
		z = &level{at: now}
		m.zones[zone] = z
	}
	o := m.backends[backend]
	if o == nil {
		m.makeRoom()
		o = &level{at: now}
		m.backends[backend] = o
	}
	for _, l := range []*level{&m.all, z, o} {
		l.fade(now, m.cfg.Memory)
		l.cells[i].uses++
		l.cells[i].breaks += b
		l.good = l.good && !broke
		l.early.uses++
		if early {
			l.early.breaks++
		}
	}
}

func (m *Model) makeRoom() {
	if len(m.backends) < m.cfg.MostBackends {
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

// Forget drops a backend that has left.
func (m *Model) Forget(backend uint32) { delete(m.backends, backend) }

// Backends is how many are known.
func (m *Model) Backends() int { return len(m.backends) }

// workAgain is how old worked-out hazards may grow, while no break has come.
const workAgain = time.Second / 4

// work brings a level's hazards up to its evidence. Those of the wider level are the
// means of its priors; nil is the widest.
func (m *Model) work(now time.Duration, l, wider *level) {
	if l.good && now-l.workedAt < workAgain && (wider == nil || wider.workedAt <= l.workedAt) {
		return
	}
	l.fade(now, m.cfg.Memory)
	w := m.cfg.Weight
	for from := 0; from < cells; from += kept + 1 {
		// Pool adjacent violators: blocks of cells with one hazard each, rising.
		type block struct {
			hazard, weight float64
			n              int
		}
		var blocks [kept]block
		n := 0
		prior := m.cfg.PriorKept
		for i := from; i < from+kept; i++ {
			if wider != nil {
				prior = wider.hazards[i]
			}
			t := l.cells[i]
			k := block{(t.breaks + prior*w) / (t.uses + w), t.uses + w, 1}
			prior = k.hazard // of the widest: older ones break as often at least, nothing else being known
			for ; n > 0 && blocks[n-1].hazard > k.hazard; n-- {
				a := blocks[n-1]
				sum := a.weight + k.weight
				k = block{(a.hazard*a.weight + k.hazard*k.weight) / sum, sum, a.n + k.n}
			}
			blocks[n] = k
			n++
		}
		i := from
		for _, k := range blocks[:n] {
			for range k.n {
				l.hazards[i] = k.hazard
				i++
			}
		}
		prior = m.cfg.PriorNew
		if wider != nil {
			prior = wider.hazards[from+kept]
		}
		t := l.cells[from+kept]
		l.hazards[from+kept] = (t.breaks + prior*w) / (t.uses + w)
	}
	l.workedAt, l.good = now, true
}

// hazards are those of a backend; a level that has seen nothing has the wider one's.
func (m *Model) hazards(now time.Duration, backend uint32, zone int) *[cells]float64 {
	m.work(now, &m.all, nil)
	widest := &m.all
	if z := m.zones[zone]; z != nil {
		m.work(now, z, widest)
		widest = z
	}
	if o := m.backends[backend]; o != nil {
		m.work(now, o, widest)
		widest = o
	}
	return &widest.hazards
}

// Hazard is the chance that a use breaks after its request was written.
func (m *Model) Hazard(now time.Duration, backend uint32, zone int, u Use) float64 {
	return m.hazards(now, backend, zone)[cell(u)]
}

// The hold: how long the last byte of a request is kept back.
const (
	firstHold   = 1 * time.Millisecond
	leastHold   = 300 * time.Microsecond
	longestHold = 2 * time.Millisecond
	holdRise    = 1.2
	holdFall    = 0.98 // so nine early breaks in ten fall into it
	holdFrom    = 0.005
)

// Hold is how long the last byte of a request should be kept back after the others were
// written. A backend begins a request when its last byte has come, so what breaks until
// then proves that nothing ran. Where hardly any connection breaks so early it is 0: one
// write, and no wait.
func (m *Model) Hold(now time.Duration, backend uint32, zone int) time.Duration {
	h, w := m.cfg.PriorKept, m.cfg.Weight
	for _, l := range [3]*level{&m.all, m.zones[zone], m.backends[backend]} {
		if l != nil {
			l.fade(now, m.cfg.Memory)
			h = (l.early.breaks + h*w) / (l.early.uses + w)
		}
	}
	if h < holdFrom {
		return 0
	}
	return m.hold
}

// Dial is Choose's answer for a new connection.
const Dial = -1

// alike is by how little hazards differ that are taken for one.
const alike = 0.004

// spread is by how much the hazards of kept connections must differ for it to matter
// which one a request has; less is noise, and the latest used is taken.
const spread = 0.01

// Choose gives the index of the kept connection that a request should have, or Dial.
// idle are the times that they have stood idle; the latest used comes last. Where
// mayDial is not set, one of them is given if there is any.
func (m *Model) Choose(now time.Duration, backend uint32, zone int, s Stake, idle []time.Duration, mayDial bool) int {
	if len(idle) == 0 {
		return Dial
	}
	hazards := m.hazards(now, backend, zone)
	of := func(i int) float64 { return hazards[cell(Use{Idle: idle[i], Large: s.Large})] }
	dial := math.Inf(1)
	if mayDial {
		dial = hazards[cell(Use{New: true, Large: s.Large})]*s.loss() + m.cfg.Handshake
	}
	lowest, most := math.Inf(1), -1
	for i := range idle {
		h := of(i)
		lowest = min(lowest, h)
		if h*s.loss() <= dial && (most < 0 || h > of(most)) {
			most = i
		}
	}
	if lowest*s.loss() > dial {
		return Dial
	}
	least := len(idle) - 1 // of those that are alike the latest used
	for of(least) > lowest+alike {
		least--
	}
	// One that can be sent again takes the worst that is still better than a new one, and
	// so leaves the best for who needs it and tests the rest. While all are alike, the
	// latest used is taken: the others grow old and leave.
	if s.Effect == Delayed && most >= 0 && of(most)-lowest > spread {
		return most
	}
	return least
}

// Retire tells whether a connection that has stood idle for so long should be closed
// before anyone has it: even a request that can be sent again would rather dial.
func (m *Model) Retire(now time.Duration, backend uint32, zone int, idle time.Duration, worth float64) bool {
	s := Stake{Worth: worth, Effect: Delayed}
	return m.Hazard(now, backend, zone, Use{Idle: idle})*s.loss() >
		m.Hazard(now, backend, zone, Use{New: true})*s.loss()+m.cfg.Handshake
}

// State is what was learnt of all connections together, for another process to go on with.
// What was learnt of a zone or a backend alone follows from it within some ten uses.
type State struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Uses, Breaks           [cells]float64
	EarlyUses, EarlyBreaks float64
	Hold                   time.Duration
}

// State gives it.
func (m *Model) State(now time.Duration) State {
	l := &m.all
	l.fade(now, m.cfg.Memory)
	s := State{EarlyUses: l.early.uses, EarlyBreaks: l.early.breaks, Hold: m.hold}
	for i, t := range l.cells {
		s.Uses[i], s.Breaks[i] = t.uses, t.breaks
	}
	return s
}

// Resume goes on with what another process had learnt, away ago, if it had seen more.
func (m *Model) Resume(s State, away, now time.Duration) {
	l := &m.all
	l.fade(now, m.cfg.Memory)
	if l.early.uses >= s.EarlyUses {
		return
	}
	*l = level{at: now - away, early: tally{s.EarlyUses, min(s.EarlyBreaks, s.EarlyUses)}}
	for i := range l.cells {
		l.cells[i] = tally{s.Uses[i], min(s.Breaks[i], s.Uses[i])}
	}
	m.hold = min(max(s.Hold, leastHold), longestHold)
}
