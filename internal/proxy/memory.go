package proxy

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"marlreel/internal/process/handover"
	"marlreel/internal/process/learnedstate"
	"marlreel/internal/process/learnedstate/codec"
)

// memory is what a process that starts beside another one takes over of what that one has
// learnt, before it says that it can serve. On the engine's goroutine.
type memory struct {
	asking bool // another process has been asked, and has not answered yet
	listed bool // there is a list, and clients can be served by it
	state  *learnedstate.State
	from   int
	kept   *learnedstate.State // of an earlier life of this proxy
}

// recallTimeout bounds how long other processes are asked, one after the other: no further one is asked after it.
const recallTimeout = time.Second

// recall asks the other processes that serve, or have served, for what they have learnt, one after the other until one
// tells. Each has a part of a second, and all together recallTimeout: processes that are stuck must not hold up a start.
// Before the engine runs.
func (p *parts) recall(rendezvous *handover.Rendezvous, name string, logger *slog.Logger) {
	others, err := rendezvous.Peers()
	if err != nil {
		logger.Info(err.Error(), "event", "rendezvous")
	}
	others = slices.DeleteFunc(others, func(other handover.Peer) bool { return other.Stage == handover.Starting })
	if len(others) == 0 {
		return
	}
	// One that serves knows more than one that leaves.
	slices.SortStableFunc(others, func(x, y handover.Peer) int { return cmp.Compare(x.Stage, y.Stage) })
	p.memory.asking = true
	go func() {
		state, from := askOthers(rendezvous, others, name, logger)
		p.engine.Post(func() {
			p.memory.asking, p.memory.state, p.memory.from = false, state, from
			p.open(logger)
		})
	}()
}

// askOthers returns what the first process that tells has learnt, and its id; nil where none does.
func askOthers(rendezvous *handover.Rendezvous, others []handover.Peer, name string, logger *slog.Logger) (*learnedstate.State, int) {
	until := time.Now().Add(recallTimeout)
	for _, other := range others {
		if !time.Now().Before(until) {
			break
		}
		state, err := ask(rendezvous, other.ID)
		switch {
		case err != nil:
			logger.Info(fmt.Sprintf("nothing is taken over of what process %d has learnt: %v", other.ID, err), "event", "learnt-refused")
		case state.ProxyName != name:
			logger.Info(fmt.Sprintf("nothing is taken over of what process %d has learnt: it is of %q, and this is %q", other.ID, state.ProxyName, name), "event", "learnt-refused")
		default:
			return state, other.ID
		}
	}
	return nil, 0
}

func ask(rendezvous *handover.Rendezvous, id int) (*learnedstate.State, error) {
	told, err := rendezvous.FetchLearnedState(id)
	if err != nil {
		return nil, err
	}
	return codec.Decode(told)
}

// encodeLearnedState returns what this process has learned, for a proxy of that name.
func (p *parts) encodeLearnedState(ctx context.Context, name string) ([]byte, error) {
	collected := make(chan *learnedstate.State, 1)
	p.engine.Post(func() {
		p.engine.CollectLearnedState(func(s *learnedstate.State) {
			s.ProxyName, s.Connections = name, p.carrier.LearnedState()
			collected <- s
		})
	})
	select {
	case s := <-collected:
		return codec.Encode(s)
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.engine.Done():
		return nil, context.Canceled
	}
}

// becomeReady says that there is a list.
func (p *parts) becomeReady(logger *slog.Logger) {
	p.memory.listed = true
	p.open(logger)
}

// open says that clients can be served, once there is a list and nothing more is to be heard of
// another process.
func (p *parts) open(logger *slog.Logger) {
	m := &p.memory
	if !m.listed || m.asking {
		return
	}
	if s := m.kept; s != nil && m.state == nil {
		m.kept = nil
		began := time.Now()
		n := p.engine.RestoreLearnedState(s)
		p.carrier.RestoreLearnedState(s.Connections, s.Age(began))
		logger.Info(fmt.Sprintf("memory: taken over from an earlier life: what it had learnt of %d backends and %d classes, %v old", n, len(s.Classes), s.Age(began).Round(time.Millisecond)), "event", "memory-taken")
	}
	if s := m.state; s != nil {
		m.state, m.kept = nil, nil
		began := time.Now()
		n := p.engine.RestoreLearnedState(s)
		p.carrier.RestoreLearnedState(s.Connections, s.Age(began))
		logger.Info(fmt.Sprintf("taken over from process %d: what it has learnt of %d backends and %d classes, %v old",
			m.from, n, len(s.Classes), s.Age(began).Round(time.Millisecond)), "event", "learnt-taken")
	}
	p.front.SetReady(true)
	if p.rendezvous != nil {
		p.setStage(handover.Serving, logger)
	}
}
