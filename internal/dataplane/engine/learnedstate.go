package engine

import (
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/process/learnedstate"
)

const (
	// learnedStateBatch is how many backends one event collects, and learnedStatePause is the delay before the next
	// event: collecting state for another process must not delay requests.
	learnedStateBatch = 16
	learnedStatePause = 100 * time.Microsecond
)

// CollectLearnedState collects what the balancer has learned, one batch per event, and calls done with it on the
// engine's goroutine. Only on the engine's goroutine.
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
			// A class that was added during the collection has a cell in the backend, but is not in s.Classes.
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

// RestoreLearnedState gives the balancer what another process has learned about those backends that are members at the
// same address as in that process, and returns their number. Only on the engine's goroutine.
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
