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

// startupState is the learned state that a starting process takes over before it reports that it is ready: from another
// running process, or else from the state file. The engine's goroutine owns it.
type startupState struct {
	fetching bool                // a request to another process is still in flight
	haveList bool                // there is a backend list, so clients can be served
	state    *learnedstate.State // from another process
	from     int                 // the id of that process
	saved    *learnedstate.State // from the state file
}

// fetchTimeout limits how long other processes are asked in turn; after it no further one is asked.
const fetchTimeout = time.Second

// fetchLearnedState asks the other processes that are serving or leaving for their learned state, in turn until one
// answers. Each gets a fraction of a second, and all together recallTimeout, so that stuck processes don't delay the
// start. It must be called before the engine runs.
func (p *parts) fetchLearnedState(rendezvous *handover.Rendezvous, name string, logger *slog.Logger) {
	others, err := rendezvous.Peers()
	if err != nil {
		logger.Info(err.Error(), "event", "rendezvous")
	}
	others = slices.DeleteFunc(others, func(other handover.Peer) bool { return other.Stage == handover.Starting })
	if len(others) == 0 {
		return
	}
	// A serving process knows more than one that is leaving.
	slices.SortStableFunc(others, func(x, y handover.Peer) int { return cmp.Compare(x.Stage, y.Stage) })
	p.startup.fetching = true
	go func() {
		state, from := fetchFromPeers(rendezvous, others, name, logger)
		p.engine.Post(func() {
			p.startup.fetching, p.startup.state, p.startup.from = false, state, from
			p.updateReadiness(logger)
		})
	}()
}

// fetchFromPeers returns the learned state of the first process that answers, and its id, or nil if none does.
func fetchFromPeers(rendezvous *handover.Rendezvous, others []handover.Peer, name string, logger *slog.Logger) (*learnedstate.State, int) {
	until := time.Now().Add(fetchTimeout)
	for _, other := range others {
		if !time.Now().Before(until) {
			break
		}
		state, err := fetchFromPeer(rendezvous, other.ID)
		switch {
		case err != nil:
			logger.Info(fmt.Sprintf("got no state from process %d: %v", other.ID, err), "event", "learnt-refused")
		case state.ProxyName != name:
			logger.Info(fmt.Sprintf("got no state from process %d: it belongs to proxy %q, and this is %q", other.ID, state.ProxyName, name), "event", "learnt-refused")
		default:
			return state, other.ID
		}
	}
	return nil, 0
}

func fetchFromPeer(rendezvous *handover.Rendezvous, id int) (*learnedstate.State, error) {
	data, err := rendezvous.FetchLearnedState(id)
	if err != nil {
		return nil, err
	}
	return codec.Decode(data)
}

// encodeLearnedState returns this process's learned state, encoded and marked with the proxy's name.
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

// becomeReady records that there is a backend list.
func (p *parts) becomeReady(logger *slog.Logger) {
	p.startup.haveList = true
	p.updateReadiness(logger)
}

// updateReadiness restores the learned state and reports readiness, once there is a list and no request to another
// process is in flight.
func (p *parts) updateReadiness(logger *slog.Logger) {
	m := &p.startup
	if !m.haveList || m.fetching {
		return
	}
	if s := m.saved; s != nil && m.state == nil {
		m.saved = nil
		began := time.Now()
		n := p.engine.RestoreLearnedState(s)
		p.carrier.RestoreLearnedState(s.Connections, s.Age(began))
		logger.Info(fmt.Sprintf("memory: restored the saved state: %d backends and %d classes, %v old", n, len(s.Classes), s.Age(began).Round(time.Millisecond)), "event", "memory-taken")
	}
	if s := m.state; s != nil {
		m.state, m.saved = nil, nil
		began := time.Now()
		n := p.engine.RestoreLearnedState(s)
		p.carrier.RestoreLearnedState(s.Connections, s.Age(began))
		logger.Info(fmt.Sprintf("restored the state of process %d: %d backends and %d classes, %v old",
			m.from, n, len(s.Classes), s.Age(began).Round(time.Millisecond)), "event", "learnt-taken")
	}
	p.front.SetReady(true)
	if p.rendezvous != nil {
		p.setStage(handover.Serving, logger)
	}
}
