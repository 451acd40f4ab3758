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

// joinRendezvous finds the other processes of this proxy, and takes a share of the capacity beside them from the first
// moment on. Where that can't be, the process goes on as if it were alone: nothing here may stop a start.
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

// startRendezvous accepts what other processes hand over, and follows how many there are. The limits are those of the
// start: what a reload brings of them counts at the next one. stop has to be last: a file that goes sooner would give this
// process's capacity away.
func (p *parts) startRendezvous(limits *config.Platform, logger *slog.Logger) (stop func()) {
	if p.rendezvous == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	logf := logs.ForEvent(logger, "rendezvous")
	go p.rendezvous.Serve(ctx, handoverReceiver{p, limits.Name}, logf)
	go p.rendezvous.Watch(ctx, func(s handover.Share, others []handover.Peer) {
		logger.Info(fmt.Sprintf("%d other processes of this proxy are alive: a share of %d in %d", len(others), s.Numerator, s.Denominator), "event", "processes")
		p.engine.Post(func() { p.setShare(limits, s) })
	}, logf)
	return func() {
		cancel()
		p.rendezvous.Close()
	}
}

// setStage announces this process's stage to the others.
func (p *parts) setStage(stage handover.Stage, logger *slog.Logger) {
	if err := p.rendezvous.SetStage(stage); err != nil {
		logger.Info(err.Error(), "event", "rendezvous")
	}
}

// handOnAfter is how long after the signal to stop a large answer that is still on its way
// is given to the next process: most have ended by then.
const handOnAfter = 250 * time.Millisecond

// handOn gives large answers that are on their way to the next process: the platform does
// not wait for their end.
func (p *parts) handOn(rendezvous *handover.Rendezvous, logger *slog.Logger) {
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
		// One that takes nothing, or has gone since, is not the only one that can.
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

// handoverReceiver goes on with what another process of the proxy with this name hands over.
type handoverReceiver struct {
	parts *parts
	name  string
}

var _ handover.Receiver = handoverReceiver{}

// AcceptTransfer implements handover.Receiver: a large answer that is on its way comes with both its connections, a
// client's connection with what has come there.
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

// setShare bounds what this process holds. On the engine's goroutine, or before it runs.
func (p *parts) setShare(cfg *config.Platform, s handover.Share) {
	p.room.SetLimit(s.Of(cfg.MaxBodyBytes()))
	p.carrier.SetMaxConnections(s.Of(cfg.MaxBackendConnections()))
	p.front.SetMaxConnections(s.Of(cfg.MaxClientConnections()))
	if cfg.MemoryMB > 0 && p.limitMemory != nil {
		p.limitMemory(int64(s.Of(cfg.MemoryMB << 20 / 4 * 3)))
	}
}
