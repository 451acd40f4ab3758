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
	// metricsPath is the path of the metrics.
	metricsPath = "/metrics"
	// contentType is the content type of the text exposition format.
	contentType = "text/plain; version=0.0.4; charset=utf-8"
	// maxConnections bounds the connections of scrapers.
	maxConnections = 16
	// readTimeout bounds how long a scraper may take to send its request, or stay idle.
	readTimeout = 10 * time.Second
	// shutdownTimeout bounds the wait for responses in flight.
	shutdownTimeout = time.Second
)

// newHandler returns a handler that serves the metrics of a set and those of the process itself.
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

// Serve serves the metrics of a set at an address, HOST:PORT, until ctx ends, and returns when the server has shut down.
// If the address is empty, it returns at once. A failure is logged, and the process continues without metrics.
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
		_ = server.ShutdownWithContext(timeout) // a scraper with a truncated response scrapes the next process
	})
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		log.Error(err, logevent.MetricsFailed, logevent.KeyAddress, address)
	}
	if !cancelShutdown() {
		<-isShutDown
	}
}
