package metricserver

import (
	"context"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"marlreel/internal/process/host"
	"marlreel/internal/process/logevent"
	"marlreel/internal/process/transport"
)

const (
	// metricsPath is where the metrics are.
	metricsPath = "/metrics"
	// contentType is that of the text exposition format.
	contentType = "text/plain; version=0.0.4; charset=utf-8"
	// maxConnections bounds the connections of scrapers.
	maxConnections = 16
	// readTimeout bounds how long a scraper may take for its request, or be idle.
	readTimeout = 10 * time.Second
	// shutdownTimeout bounds how long answers under way are waited for.
	shutdownTimeout = time.Second
)

// newHandler answers with the metrics of a set and those of the process itself.
func newHandler(set *vm.Set) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != metricsPath {
			ctx.Error("no such path: the figures are at "+metricsPath, fasthttp.StatusNotFound)
			return
		}
		ctx.SetContentType(contentType)
		set.WritePrometheus(ctx)
		vm.WriteProcessMetrics(ctx)
	}
}

// Serve serves the metrics of a set at an address, HOST:PORT, until ctx ends; nowhere where the address is empty. It
// returns when the server has shut down. A failure is logged, and the process goes on without metrics.
func Serve(ctx context.Context, network host.Network, address string, set *vm.Set, log logr.Logger) {
	if address == "" {
		return
	}
	listener, err := network.Listen(address)
	if err != nil {
		log.Error(err, logevent.MetricsFailed, logevent.KeyAddress, address)
		return
	}
	server := transport.NewServer(newHandler(set))
	server.Concurrency = maxConnections
	server.GetOnly = true
	server.ReadTimeout = readTimeout
	server.IdleTimeout = readTimeout

	isShutDown := make(chan struct{})
	cancelShutdown := context.AfterFunc(ctx, func() {
		defer close(isShutDown)
		timeout, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		_ = server.ShutdownWithContext(timeout) // a scraper whose answer is cut asks the next process
	})
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		log.Error(err, logevent.MetricsFailed, logevent.KeyAddress, address)
	}
	if !cancelShutdown() {
		<-isShutDown
	}
}
