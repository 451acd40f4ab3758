package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"time"

	"marlreel/internal/config"
	"marlreel/internal/process/handover"
	"marlreel/internal/process/logs"
)

// joinRendezvous finds the other processes of this proxy, and limits this one to its share of the capacity from the
// start. On an error it returns nil and the process runs as if it were alone: a failure here must not prevent a start.
func (p *parts) joinRendezvous(cfg *config.Platform, logger *slog.Logger) *handover.Rendezvous {
	if cfg.TempDir == "" {
		logger.Info("TMPDIR is not set: other processes of this proxy can't be found", "event", "processes")
		return nil
	}
	rendezvous, err := handover.Join(cfg.TempDir)
	if err != nil {
		logger.Info(err.Error(), "event", "rendezvous")
		return nil
	}
	if others, err := rendezvous.Peers(); err == nil {
		var tracker handover.ShareTracker
		p.setShare(cfg, tracker.Update(0, others))
	}
	return rendezvous
}

// startRendezvous accepts what other processes hand over, and adjusts this process's share to their number. The limits
// are those of the start; a reload doesn't change them. stop has to be called last, because removing this process's file
// earlier would give its capacity to the others while it still uses it.
func (p *parts) startRendezvous(limits *config.Platform, logger *slog.Logger) (stop func()) {
	if p.rendezvous == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	logf := logs.ForEvent(logger, "rendezvous")
	go p.rendezvous.Serve(ctx, handoverReceiver{p, limits.Name}, logf)
	go p.rendezvous.Watch(ctx, func(s handover.Share, others []handover.Peer) {
		logger.Info(fmt.Sprintf("%d other processes of this proxy are running: this one's share of the capacity is %d/%d", len(others), s.Numerator, s.Denominator), "event", "processes")
		p.engine.Post(func() { p.setShare(limits, s) })
	}, logf)
	return func() {
		cancel()
		p.rendezvous.Close()
	}
}

// setStage announces this process's stage to the other processes.
func (p *parts) setStage(stage handover.Stage, logger *slog.Logger) {
	if err := p.rendezvous.SetStage(stage); err != nil {
		logger.Info(err.Error(), "event", "rendezvous")
	}
}

// transferDelay is how long after the stop signal large answers that are still being sent are handed to the next
// process. Most have ended by then.
const transferDelay = 250 * time.Millisecond

// transferLargeAnswers hands large answers that are still being sent to another serving process, because the platform
// does not wait until they end.
func (p *parts) transferLargeAnswers(rendezvous *handover.Rendezvous, logger *slog.Logger) {
	others, err := rendezvous.Peers()
	if err != nil {
		logger.Info(err.Error(), "event", "rendezvous")
	}
	others = slices.DeleteFunc(others, func(other handover.Peer) bool { return other.Stage != handover.Serving })
	if len(others) == 0 {
		return
	}
	p.front.HandOver(func(state []byte, client, backend net.Conn) bool {
		conns := []net.Conn{client, backend}
		if backend == nil {
			conns = conns[:1]
		}
		// If a process refuses or has exited, try the next one.
		for _, other := range others {
			err := rendezvous.Transfer(other.ID, state, conns...)
			if err == nil {
				return true
			}
			logger.Info(err.Error(), "event", "rendezvous")
		}
		return false
	})
}

// handoverReceiver continues what another process of the proxy with this name hands over.
type handoverReceiver struct {
	parts *parts
	name  string
}

var _ handover.Receiver = handoverReceiver{}

// AcceptTransfer implements handover.Receiver. A large answer comes with its client's and its backend's connection; a
// client's connection alone comes with the bytes already read from it.
func (r handoverReceiver) AcceptTransfer(state []byte, conns []net.Conn) error {
	switch len(conns) {
	case 1:
		return r.parts.front.AdoptClient(state, conns[0])
	case 2:
		return r.parts.front.AdoptStream(state, conns[0], conns[1])
	}
	return fmt.Errorf("%d connections were passed, 1 or 2 are needed", len(conns))
}

// LearnedState implements handover.Receiver.
func (r handoverReceiver) LearnedState(ctx context.Context) ([]byte, error) {
	return r.parts.encodeLearnedState(ctx, r.name)
}

// setShare limits memory and connections to this process's share. It must be called on the engine's goroutine, or before
// the engine runs.
func (p *parts) setShare(cfg *config.Platform, s handover.Share) {
	p.bodyBudget.SetLimit(s.Of(cfg.MaxBodyBytes()))
	p.carrier.SetMaxConnections(s.Of(cfg.MaxBackendConnections()))
	p.front.SetMaxConnections(s.Of(cfg.MaxClientConnections()))
	if cfg.MemoryMB > 0 && p.limitMemory != nil {
		p.limitMemory(int64(s.Of(cfg.MemoryMB << 20 / 4 * 3)))
	}
}
