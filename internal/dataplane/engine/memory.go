package engine

import (
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/process/learnedstate"
)

const (
	// learnedStateBatch is how many backends one event writes down, and learntRest how long after
	// it the next one does: what is written down for another process holds up no request.
	learnedStateBatch = 16
	learnedStatePause = 100 * time.Microsecond
)

// CollectLearnedState writes down what the module has learnt, a part at a time, and calls done with it, on
// the engine's goroutine. Only on that.
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
			k, found := e.balancer.LearnedBackend(now, id)
			// A class that has come meanwhile is in the backend's cells and not in the classes.
			if b == nil || !found || len(k.Cells) < len(s.Classes) {
				continue
			}
			k.Name, k.Address, k.Cells = b.Name, b.Addr, k.Cells[:len(s.Classes)]
			s.Backends = append(s.Backends, k)
		}
		if len(ids) == 0 {
			done(&s)
			return
		}
		e.Schedule(now+learnedStatePause, collectBatch)
	}
	collectBatch()
}

// RestoreLearnedState lets the module go on with what another process had learnt, and gives of how many
// backends: those that are in the list at the address at which that process knew them. Only on
// the engine's goroutine.
func (e *Engine) RestoreLearnedState(s *learnedstate.State) (backends int) {
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
