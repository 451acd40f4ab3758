package engine

import (
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/process/learnedstate"
)

const (
	// learnedStateBatch is how many backends one event collects, and learnedStatePause how long after it the next one
	// does: collecting for another process must not delay requests.
	learnedStateBatch = 16
	learnedStatePause = 100 * time.Microsecond
)

// CollectLearnedState collects what the balancer has learned, a batch at a time, and calls done with it on the engine's
// goroutine. Only on that.
func (e *Engine) CollectLearnedState(done func(*learnedstate.State)) {
	s := e.balancer.LearnedState(e.Now())
	s.TakenAt = time.Now()
	ids := e.balancer.LearnedBackends()
	ids = ids[:min(len(ids), learnedstate.MaxBackends)]
	var collectBatch func()
	collectBatch = func() {
		now := e.Now()
		for range min(learnedStateBatch, len(ids)) {
			id := ids[0]
			ids = ids[1:]
			b := e.backends.byID[id]
			learned, found := e.balancer.LearnedBackend(now, id)
			// A class that was added meanwhile is in the backend's cells and not in the classes.
			if b == nil || !found || len(learned.Cells) < len(s.Classes) {
				continue
			}
			learned.Name = b.Name
			learned.Address = b.Addr
			learned.Cells = learned.Cells[:len(s.Classes)]
			s.Backends = append(s.Backends, learned)
		}
		if len(ids) == 0 {
			done(&s)
			return
		}
		e.Schedule(now+learnedStatePause, collectBatch)
	}
	collectBatch()
}

// RestoreLearnedState gives the balancer what another process had learned, and returns of how many backends: those that
// are members at the address at which that process knew them. Only on the engine's goroutine.
func (e *Engine) RestoreLearnedState(s *learnedstate.State) int {
	known := *s
	known.Backends = nil
	for _, k := range s.Backends {
		if b := e.Backend(k.Name); b != nil && b.Addr == k.Address && b.State != balancer.Gone {
			k.ID = uint32(b.ID)
			known.Backends = append(known.Backends, k)
		}
	}
	e.balancer.Restore(e.Now(), s.Age(time.Now()), &known)
	return len(known.Backends)
}
