package gateway

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/multierr"

	"marlreel/internal/process/logevent"
)

const (
	// readinessDelay is how long the platform takes to see that a proxy is not ready.
	readinessDelay = 2500 * time.Millisecond
	// drainMargin is how long before the end of the platform's grace period a proxy ends by itself.
	drainMargin = 600 * time.Millisecond
	// maxUnsentWait is how long a request may wait in a proxy that drains before it is rejected, so that its client
	// turns to another one.
	maxUnsentWait = 300 * time.Millisecond
	// drainInterval is how often a proxy that drains looks whether it is idle.
	drainInterval = 50 * time.Millisecond
)

// drain shuts the proxy down gracefully: it lets clients turn to other proxies, and waits until those that are here
// have their answers, or until the grace period is about to end. ctx may have ended.
func (g *Gateway) drain(ctx context.Context, front, readiness *fasthttp.Server, grace time.Duration) error {
	g.StartDraining()
	g.log.Info(logevent.ProxyStopping)
	began := time.Now()
	ctx = context.WithoutCancel(ctx)
	draining, cancel := context.WithDeadline(ctx, began.Add(grace-drainMargin))
	defer cancel()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for draining.Err() == nil && (time.Since(began) < readinessDelay || front.GetOpenConnectionsCount() > 0) {
		select {
		case <-ticker.C:
			g.closing.Store(time.Since(began) >= readinessDelay)
			g.rejectUnsent()
		case <-draining.Done():
		}
	}
	g.failPending()
	shutdown, stop := context.WithTimeout(ctx, drainMargin/2)
	defer stop()
	return multierr.Combine(shutDown(shutdown, front), shutDown(shutdown, readiness))
}

// shutDown shuts a server down. That something was still pending when the time was up is no error.
func shutDown(ctx context.Context, server *fasthttp.Server) error {
	err := server.ShutdownWithContext(ctx)
	if eris.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return eris.Wrap(err, "shutting a server down")
}
