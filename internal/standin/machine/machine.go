// Package machine models the service of one auction node in time: what a node
// with so many cores, slots and places to wait would do with the requests that it
// is given, and when each would be done. It burns no processor time.
//
// It is pure: every call carries the time, which must not go back, and nothing
// here starts a goroutine, opens anything or reads a clock. The node on sockets
// (package standin) owns one and carries out what it says. It never speaks HTTP.
//
// The model, all of it deliberately simple enough to be checked by hand:
//
//   - A request holds a slot. It first waits for others (Job.Wait, no core), then
//     needs Job.Work of a core of speed 1.
//   - Requests that work share the cores evenly, and none uses more than one core.
//   - With all slots taken a request waits in a queue, first come, first served; with
//     the queue full it is turned away unseen.
//   - After a start the machine can do Cold.From of its capacity, rising evenly to
//     all of it over Cold.For. If the work offered to it in any Cold.Over, work that
//     it turned away included, exceeds Cold.Multiple times what it can do at that
//     moment, it falls over and does nothing until it is started again.
//   - A neighbour takes a share of the machine; a slow machine has its speed divided.
//   - A crowded machine (the mean of what it held over Crowd.Over above cores +
//     Crowd.At x root of cores) is Crowd.Slower times slower until its cores were
//     busy under Crowd.Below on average for Crowd.Rest, or for Crowd.Most.
package machine

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Config is a machine. Times are spans, speeds multiples of a yardstick core.
type Config struct {
	Cores        int
	Speed        float64
	Slots, Queue int
	Cold         Cold
	Crowd        Crowd
}

// Cold is how a machine starts. The zero value starts warm and never falls.
type Cold struct {
	From     float64       // share of the capacity at the start
	For      time.Duration // from the start until all of it is there
	Multiple float64       // of the present capacity; 0 never falls
	Over     time.Duration // the window of that budget
}

// Crowd is how a machine turns slow. A zero Slower never does.
type Crowd struct {
	At          float64
	Over        time.Duration
	Slower      float64
	Rest        time.Duration
	Below       float64
	Most        time.Duration
	OncePerLife bool // it turns slow only once
}

// Validate names the first figure that describes no machine.
func (c Config) Validate() error {
	switch {
	case c.Cores < 1:
		return fmt.Errorf("cores = %d: at least 1 is needed", c.Cores)
	case !(c.Speed > 0):
		return fmt.Errorf("speed = %v: more than 0 is needed", c.Speed)
	case c.Slots < 1 || c.Queue < 0:
		return fmt.Errorf("slots = %d, queue = %d: at least 1 and 0 are needed", c.Slots, c.Queue)
	case c.Cold.For > 0 && !(c.Cold.From > 0 && c.Cold.From <= 1):
		return fmt.Errorf("cold from = %v: a share above 0 and up to 1 is needed", c.Cold.From)
	case c.Cold.Multiple != 0 && !(c.Cold.Multiple > 0 && c.Cold.Over > 0):
		return fmt.Errorf("cold multiple = %v over %v: both have to be above 0", c.Cold.Multiple, c.Cold.Over)
	case c.Crowd.Slower != 0 && !(c.Crowd.Slower >= 1 && c.Crowd.Over > 0 && c.Crowd.Rest > 0 && c.Crowd.Most > 0):
		return fmt.Errorf("crowd slower = %v: at least 1 is needed, with over, rest and most above 0", c.Crowd.Slower)
	}
	return nil
}

// Job is what a request asks of a machine.
type Job struct {
	Work, Wait time.Duration
	Until      time.Duration // when nobody waits for it any more; 0 is never
}

// Verdict is what becomes of an offered job.
type Verdict uint8

// The verdicts.
const (
	Taken     Verdict = iota // it runs, or waits to run
	QueueFull                // turned away unseen
	TooLate                  // turned away unseen: nobody waits for it any more
	Down                     // the machine has fallen over
)

// Why tells how a job ended.
type Why uint8

// The ends.
const (
	Done    Why = iota
	Expired     // its Until came; it may have run in part
	Fell        // the machine fell over under it
)

// Ended is the end of a job.
type Ended struct {
	ID  uint64
	At  time.Duration
	Why Why
	Ran bool // it had left the queue
}

type phase uint8

const (
	queued phase = iota
	waiting
	working
)

type job struct {
	Job
	id    uint64
	phase phase
	ready time.Duration // when its wait for others is over
	left  float64       // seconds of a yardstick core
}

type offer struct {
	at   time.Duration
	work float64
}

// mark is the state from a time on.
type mark struct {
	at         time.Duration
	held, busy float64
}

// checkEvery is how often the state of a crowd is looked at between events.
const checkEvery = 50 * time.Millisecond

// Machine is one machine's state. Not safe for use by several goroutines at once.
type Machine struct {
	cfg        Config
	now        time.Duration
	started    time.Duration
	warm       bool // no cold start
	jobs       []*job
	inWork     int // jobs that hold a slot
	slow       float64
	taken      float64 // a neighbour's share
	fallen     bool
	offers     []offer
	history    []mark
	crowded    bool
	wasCrowded bool
	crowdSince time.Duration
	checkAt    time.Duration
	ended      []Ended
}

// New gives a machine that has started at now, warm or cold.
func New(cfg Config, now time.Duration, warm bool) *Machine {
	m := &Machine{cfg: cfg}
	m.Restart(now, warm)
	return m
}

// Restart forgets all that the machine held and starts it anew. A neighbour or a
// slowness stays: they belong to the host and not to the process.
func (m *Machine) Restart(now time.Duration, warm bool) {
	slow, taken := m.slow, m.taken
	if slow == 0 {
		slow = 1
	}
	*m = Machine{cfg: m.cfg, now: now, started: now, warm: warm || m.cfg.Cold.For == 0, slow: slow, taken: taken}
	m.note()
}

// Held is how many requests the machine works on or has waiting.
func (m *Machine) Held() int { return len(m.jobs) }

// InWork is how many of them hold a slot.
func (m *Machine) InWork() int { return m.inWork }

// Fallen tells that too much was sent to the machine while it was cold.
func (m *Machine) Fallen() bool { return m.fallen }

// Crowded tells that the machine has turned slow under a crowd.
func (m *Machine) Crowded() bool { return m.crowded }

// ColdShare is the share of its capacity that the machine has at a time, by its start alone.
func (m *Machine) ColdShare(at time.Duration) float64 {
	since := at - m.started
	if m.warm || since >= m.cfg.Cold.For {
		return 1
	}
	return m.cfg.Cold.From + (1-m.cfg.Cold.From)*since.Seconds()/m.cfg.Cold.For.Seconds()
}

// Slow divides the machine's speed from now on; 1 restores it.
func (m *Machine) Slow(now time.Duration, by float64) {
	m.Advance(now)
	m.slow = max(by, 1e-6)
	m.note()
}

// Neighbour lets another program take a share of the machine from now on; 0 ends it.
func (m *Machine) Neighbour(now time.Duration, share float64) {
	m.Advance(now)
	m.taken = min(max(share, 0), 0.99)
	m.note()
}

// Offer gives the machine a job at now, under a name that no job in hand has.
func (m *Machine) Offer(now time.Duration, id uint64, j Job) Verdict {
	m.Advance(now)
	if m.fallen {
		return Down
	}
	if m.press(j.Work) {
		return Down
	}
	if j.Until != 0 && j.Until <= now {
		return TooLate
	}
	if m.inWork >= m.cfg.Slots && len(m.jobs)-m.inWork >= m.cfg.Queue {
		return QueueFull
	}
	m.jobs = append(m.jobs, &job{Job: j, id: id, left: j.Work.Seconds()})
	m.fill()
	m.note()
	m.settle()
	return Taken
}

// press counts work against a cold machine's budget, and tells whether it fell.
func (m *Machine) press(work time.Duration) bool {
	c := m.cfg.Cold
	share := m.ColdShare(m.now)
	if c.Multiple == 0 || share >= 1 {
		m.offers = nil
		return false
	}
	m.offers = append(m.offers, offer{m.now, work.Seconds()})
	sum, first := 0.0, 0
	for i, o := range m.offers {
		if m.now-o.at >= c.Over {
			first = i + 1
			continue
		}
		sum += o.work
	}
	m.offers = m.offers[first:]
	if sum <= c.Multiple*share*float64(m.cfg.Cores)*m.cfg.Speed*c.Over.Seconds() {
		return false
	}
	m.fallen = true
	for _, j := range m.jobs {
		m.ended = append(m.ended, Ended{j.id, m.now, Fell, j.phase != queued})
	}
	m.jobs, m.inWork = nil, 0
	m.note()
	return true
}

// Cancel ends a job for which nobody waits any more, and tells whether it had left the queue.
func (m *Machine) Cancel(now time.Duration, id uint64) (ran bool) {
	m.Advance(now)
	for i, j := range m.jobs {
		if j.id == id {
			ran = j.phase != queued
			m.remove(i)
			m.fill()
			m.note()
			m.settle()
			break
		}
	}
	return ran
}

func (m *Machine) remove(i int) {
	if m.jobs[i].phase != queued {
		m.inWork--
	}
	m.jobs = slices.Delete(m.jobs, i, i+1)
}

// fill gives free slots to those who wait.
func (m *Machine) fill() {
	for _, j := range m.jobs {
		if m.inWork >= m.cfg.Slots {
			return
		}
		if j.phase == queued {
			j.phase, j.ready = waiting, m.now+j.Wait
			m.inWork++
		}
	}
}

// settle moves on whoever needs no time for it.
func (m *Machine) settle() {
	for {
		again := false
		for i := 0; i < len(m.jobs); i++ {
			j := m.jobs[i]
			why := Done
			switch {
			case j.Until != 0 && j.Until <= m.now:
				why = Expired
			case j.phase == waiting && j.ready <= m.now:
				j.phase, again = working, true
				continue
			case j.phase == working && j.left <= 1e-9:
			default:
				continue
			}
			m.ended = append(m.ended, Ended{j.id, m.now, why, j.phase != queued})
			m.remove(i)
			m.fill()
			again = true
			break
		}
		if !again {
			return
		}
		m.note()
	}
}

// running is how many jobs use a core, and the rate at which each gets work done,
// in yardstick seconds a second, by all but the cold start.
func (m *Machine) running() (n int, rate float64) {
	for _, j := range m.jobs {
		if j.phase == working {
			n++
		}
	}
	if n == 0 {
		return 0, 0
	}
	rate = m.cfg.Speed / m.slow * min(1, float64(m.cfg.Cores)*(1-m.taken)/float64(n))
	if m.crowded {
		rate /= m.cfg.Crowd.Slower
	}
	return n, rate
}

// warmth is the integral of ColdShare over a span from now on, in seconds.
func (m *Machine) warmth(span float64) float64 {
	end := (m.started + m.cfg.Cold.For - m.now).Seconds()
	if m.warm || end <= 0 {
		return span
	}
	slope := (1 - m.cfg.Cold.From) / m.cfg.Cold.For.Seconds()
	x := min(span, end)
	return m.ColdShare(m.now)*x + slope*x*x/2 + max(0, span-end)
}

// spanFor is the span from now on over which warmth reaches need.
func (m *Machine) spanFor(need float64) float64 {
	end := (m.started + m.cfg.Cold.For - m.now).Seconds()
	if m.warm || end <= 0 {
		return need
	}
	if all := m.warmth(end); need >= all {
		return end + need - all
	}
	share, slope := m.ColdShare(m.now), (1-m.cfg.Cold.From)/m.cfg.Cold.For.Seconds()
	if slope < 1e-12 {
		return need / share
	}
	return (math.Sqrt(share*share+2*slope*need) - share) / slope
}

// Next is the time of the next change that comes by itself. It gives false where none does.
func (m *Machine) Next() (time.Duration, bool) {
	next, found := time.Duration(math.MaxInt64), false
	at := func(t time.Duration) {
		next, found = min(next, max(t, m.now)), true
	}
	least := math.Inf(1)
	for _, j := range m.jobs {
		if j.Until != 0 {
			at(j.Until)
		}
		switch j.phase {
		case waiting:
			at(j.ready)
		case working:
			least = min(least, j.left)
		}
	}
	if n, rate := m.running(); n > 0 {
		// Rounded up, so that the work is done by then.
		span := math.Ceil(m.spanFor(least/rate) * float64(time.Second))
		if span < float64(math.MaxInt64/2) {
			at(m.now + time.Duration(span))
		}
	}
	if m.cfg.Crowd.Slower > 0 && !m.fallen && (m.crowded || m.pressed()) {
		at(m.checkAt)
	}
	return next, found
}

// Advance brings the machine to now and gives the jobs that ended since the last
// call, in the order of their ends.
func (m *Machine) Advance(now time.Duration) []Ended {
	for {
		next, found := m.Next()
		if !found || next > now {
			break
		}
		m.moveTo(next)
		m.settle()
		m.crowd()
	}
	m.moveTo(max(now, m.now))
	m.crowd()
	return m.ended
}

// Take gives the ends that Advance, Offer and Cancel have gathered, once.
func (m *Machine) Take() []Ended {
	e := m.ended
	m.ended = nil
	return e
}

// moveTo lets the time pass without an event.
func (m *Machine) moveTo(t time.Duration) {
	if t <= m.now {
		return
	}
	if n, rate := m.running(); n > 0 {
		done := rate * m.warmth((t - m.now).Seconds())
		for _, j := range m.jobs {
			if j.phase == working {
				j.left = max(0, j.left-done)
			}
		}
	}
	m.now = t
}

// ---- crowds ----

func (m *Machine) threshold() float64 {
	c := float64(m.cfg.Cores)
	return c + m.cfg.Crowd.At*math.Sqrt(c)
}

// pressed tells that the machine may turn slow without a further event.
func (m *Machine) pressed() bool {
	return float64(len(m.jobs)) > m.threshold() && !(m.wasCrowded && m.cfg.Crowd.OncePerLife)
}

// note writes the present state down, for means over time.
func (m *Machine) note() {
	if m.cfg.Crowd.Slower == 0 {
		return
	}
	n, _ := m.running()
	k := mark{m.now, float64(len(m.jobs)), min(1, float64(n)/float64(m.cfg.Cores))}
	if last := len(m.history) - 1; last >= 0 && m.history[last].at == m.now {
		m.history[last] = k
	} else {
		m.history = append(m.history, k)
	}
	oldest, keep := m.now-max(m.cfg.Crowd.Over, m.cfg.Crowd.Rest), 0
	for keep+1 < len(m.history) && m.history[keep+1].at <= oldest {
		keep++
	}
	m.history = m.history[keep:]
}

// mean is a figure's mean over the last span; before the start it was 0.
func (m *Machine) mean(span time.Duration, of func(mark) float64) float64 {
	from, sum, until := m.now-span, 0.0, m.now
	for i := len(m.history) - 1; i >= 0 && until > from; i-- {
		k := m.history[i]
		sum += of(k) * (until - max(k.at, from)).Seconds()
		until = k.at
	}
	return sum / span.Seconds()
}

// crowd decides whether the machine turns slow, or comes back.
func (m *Machine) crowd() {
	c := m.cfg.Crowd
	if c.Slower == 0 || m.now < m.checkAt {
		return
	}
	m.checkAt = m.now + checkEvery
	if !m.crowded {
		if (m.wasCrowded && c.OncePerLife) || m.mean(c.Over, func(k mark) float64 { return k.held }) <= m.threshold() {
			return
		}
		m.crowded, m.wasCrowded, m.crowdSince = true, true, m.now
		m.note()
		return
	}
	since := m.now - m.crowdSince
	if since >= c.Most || since >= c.Rest && m.mean(c.Rest, func(k mark) float64 { return k.busy }) < c.Below {
		m.crowded = false
		m.note()
	}
}
