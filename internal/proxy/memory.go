package proxy

import (
	"context"
	"fmt"
	"log/slog"
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

// recall asks another process that serves for what it has learnt, if there is one. It is asked
// once and has a part of a second: a process that is stuck must not hold up a start. Before the
// engine runs.
func (p *parts) recall(meeting *handover.Rendezvous, name string, logger *slog.Logger) {
	others, err := meeting.Others()
	if err != nil {
		logger.Info(err.Error(), "event", "rendezvous")
	}
	for _, other := range others {
		if other.Stage == handover.Starting {
			continue
		}
		p.memory.asking, p.memory.from = true, other.ID
		go func() {
			s, err := ask(meeting, other.ID)
			if err != nil {
				logger.Info(fmt.Sprintf("nothing is taken over of what process %d has learnt: %v", other.ID, err), "event", "learnt-refused")
			} else if s.ProxyName != name {
				logger.Info(fmt.Sprintf("nothing is taken over of what process %d has learnt: it is of %q, and this is %q", other.ID, s.ProxyName, name), "event", "learnt-refused")
				s = nil
			}
			p.engine.Post(func() {
				p.memory.asking, p.memory.state = false, s
				p.open(logger)
			})
		}()
		return
	}
}

func ask(meeting *handover.Rendezvous, id int) (*learnedstate.State, error) {
	told, err := meeting.Ask(id)
	if err != nil {
		return nil, err
	}
	return codec.Decode(told)
}

// tell gives what this process has learnt.
func (p *parts) tell(name string) func(context.Context) ([]byte, error) {
	return func(ctx context.Context) ([]byte, error) {
		taken := make(chan *learnedstate.State, 1)
		p.engine.Post(func() {
			p.engine.CollectLearnedState(func(s *learnedstate.State) {
				s.ProxyName, s.Connections = name, p.carrier.Learnt()
				taken <- s
			})
		})
		select {
		case s := <-taken:
			return codec.Encode(s)
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-p.engine.Done():
			return nil, context.Canceled
		}
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
		p.carrier.Restore(s.Connections, s.Age(began))
		logger.Info(fmt.Sprintf("memory: taken over from an earlier life: what it had learnt of %d backends and %d classes, %v old", n, len(s.Classes), s.Age(began).Round(time.Millisecond)), "event", "memory-taken")
	}
	if s := m.state; s != nil {
		m.state, m.kept = nil, nil
		began := time.Now()
		n := p.engine.RestoreLearnedState(s)
		p.carrier.Restore(s.Connections, s.Age(began))
		logger.Info(fmt.Sprintf("taken over from process %d: what it has learnt of %d backends and %d classes, %v old",
			m.from, n, len(s.Classes), s.Age(began).Round(time.Millisecond)), "event", "learnt-taken")
	}
	p.front.SetReady(true)
	if p.meeting != nil {
		p.meeting.Tell(handover.Serving)
	}
}
