package machine

import (
	"slices"
	"time"
)

// Machine is the state of one machine. It is not safe for concurrent use.
type Machine struct {
	cfg       Config
	now       time.Duration
	startedAt time.Duration
	warm      bool // it started with all of its capacity
	crashed   bool
	slowdown  float64 // what the speed is divided by
	neighbour float64 // share of the cores that a noisy neighbour takes

	jobs        []*job // accepted and not ended, in the order of their submission
	inService   int    // jobs that occupy a slot
	completions []Completion

	warmupWork []submittedWork // within the overload window
	congestion congestionState
}

// New returns a machine that starts at now. With warm set it has all of its capacity at once.
func New(cfg Config, now time.Duration, warm bool) *Machine {
	m := &Machine{cfg: cfg, slowdown: 1}
	m.Restart(now, warm)
	return m
}

// Restart drops all jobs without a completion and starts the machine anew. A neighbour and a slowdown stay: they
// belong to the host and not to the process.
func (m *Machine) Restart(now time.Duration, warm bool) {
	*m = Machine{
		cfg: m.cfg, now: now, startedAt: now, warm: warm || m.cfg.Warmup.Duration == 0,
		slowdown: m.slowdown, neighbour: m.neighbour,
	}
	m.recordLoad()
}

// Outstanding returns the number of requests in service or queued.
func (m *Machine) Outstanding() int { return len(m.jobs) }

// InService returns the number of requests that occupy a slot.
func (m *Machine) InService() int { return m.inService }

// Crashed tells whether the machine was overloaded while it warmed up.
func (m *Machine) Crashed() bool { return m.crashed }

// SetSlowdown divides the machine's speed from now on; 1 restores it.
func (m *Machine) SetSlowdown(now time.Duration, divisor float64) {
	const minDivisor = 1e-6 // keeps the speed finite
	m.Advance(now)
	m.slowdown = max(divisor, minDivisor)
	m.recordLoad()
}

// SetNeighbour lets another program take a share of the cores from now on; 0 ends it.
func (m *Machine) SetNeighbour(now time.Duration, share float64) {
	const maxShare = 0.99 // leaves the machine able to complete its jobs
	m.Advance(now)
	m.neighbour = min(max(share, 0), maxShare)
	m.recordLoad()
}

// Submit gives the machine a job at now. The ID must differ from those of all outstanding jobs.
func (m *Machine) Submit(now time.Duration, id uint64, j Job) Admission {
	m.Advance(now)
	if m.crashed || m.overloadedBy(j.Work) {
		return Unavailable
	}
	if j.Deadline != 0 && j.Deadline <= now {
		return DeadlinePassed
	}
	if m.inService >= m.cfg.Slots && len(m.jobs)-m.inService >= m.cfg.Queue {
		return QueueFull
	}
	m.jobs = append(m.jobs, &job{Job: j, id: id, remaining: j.Work.Seconds()})
	m.assignSlots()
	m.recordLoad()
	m.settle()
	return Accepted
}

// Cancel drops a job without a completion, and tells whether it had left the queue. An unknown ID is ignored.
func (m *Machine) Cancel(now time.Duration, id uint64) (started bool) {
	m.Advance(now)
	i := slices.IndexFunc(m.jobs, func(j *job) bool { return j.id == id })
	if i < 0 {
		return false
	}
	started = m.jobs[i].started()
	m.remove(i)
	m.recordLoad()
	m.settle()
	return started
}

// remove takes a job out and gives its slot to the next in the queue.
func (m *Machine) remove(i int) {
	if m.jobs[i].started() {
		m.inService--
	}
	m.jobs = slices.Delete(m.jobs, i, i+1)
	m.assignSlots()
}

// assignSlots starts queued jobs while slots are free.
func (m *Machine) assignSlots() {
	for _, j := range m.jobs {
		if m.inService >= m.cfg.Slots {
			return
		}
		if j.phase == queued {
			j.phase, j.readyAt = waiting, m.now+j.Wait
			m.inService++
		}
	}
}

// settle applies all changes that are due at the present time.
func (m *Machine) settle() {
	for m.settlePass() {
		m.recordLoad()
	}
}

// settlePass goes through the jobs once, and tells whether it changed any. A job that gets a slot in a pass may be
// due at once, which takes a further pass.
func (m *Machine) settlePass() (changed bool) {
	for i := 0; i < len(m.jobs); i++ {
		j := m.jobs[i]
		if outcome, ended := j.outcome(m.now); ended {
			m.completions = append(m.completions, Completion{ID: j.id, At: m.now, Outcome: outcome, Started: j.started()})
			m.remove(i)
			return true
		}
		if j.phase == waiting && j.readyAt <= m.now {
			j.phase, changed = computing, true
		}
	}
	return changed
}

// crash ends all jobs.
func (m *Machine) crash() {
	m.crashed = true
	for _, j := range m.jobs {
		m.completions = append(m.completions, Completion{ID: j.id, At: m.now, Outcome: Killed, Started: j.started()})
	}
	m.jobs, m.inService = nil, 0
	m.recordLoad()
}
