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
	// readinessDelay is how long the platform takes to notice that a proxy is not ready.
	readinessDelay = 2500 * time.Millisecond
	// drainMargin is how long before the end of the platform's grace period a proxy stops by itself.
	drainMargin = 600 * time.Millisecond
	// maxUnsentWait is how long a request may wait unsent in a draining proxy before it is rejected, so that its client
	// retries at another proxy.
	maxUnsentWait = 300 * time.Millisecond
	// drainPollInterval is how often a draining proxy checks whether it is idle.
	drainPollInterval = 50 * time.Millisecond
)

// drain shuts the proxy down gracefully: it makes clients move to other proxies, and waits until all client connections
// are closed or the grace period is about to end. ctx may already have ended.
func (g *Gateway) drain(ctx context.Context, front, readiness *fasthttp.Server, grace time.Duration) error {
	g.StartDraining()
	g.log.Info(logevent.ProxyStopping)
	began := time.Now()
	ctx = context.WithoutCancel(ctx)
	draining, cancel := context.WithDeadline(ctx, began.Add(grace-drainMargin))
	defer cancel()
	ticker := time.NewTicker(drainPollInterval)
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

// shutDown shuts a server down. Requests that are still pending when ctx ends are no error.
func shutDown(ctx context.Context, server *fasthttp.Server) error {
	err := server.ShutdownWithContext(ctx)
	if eris.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return eris.Wrap(err, "shutting down an HTTP server")
}
