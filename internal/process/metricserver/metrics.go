// Package metricserver is the door at which each process of the system tells its figures, in the
// common text format. It owns the door and how figures are named; what is counted belongs
// to who counts it. Figures hold nothing of the contents of requests.
package metricserver

import (
	"context"
	"strconv"
	"strings"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"marlreel/internal/process/host"
	"marlreel/internal/process/transport"
)

const (
	// path is where the figures are.
	path = "/metrics"
	// contentType is that of the text format.
	contentType = "text/plain; version=0.0.4; charset=utf-8"
	// mostReaders bounds the connections to the door.
	mostReaders = 16
	// readerPatience bounds how long a reader may take for its request, or be idle.
	readerPatience = 10 * time.Second
)

// Label is one label of a figure.
type Label struct{ Key, Value string }

// SeriesName is the full name of a figure.
func SeriesName(figure string, labels ...Label) string {
	if len(labels) == 0 {
		return figure
	}
	var name strings.Builder
	name.WriteString(figure)
	for i, label := range labels {
		separator := byte(',')
		if i == 0 {
			separator = '{'
		}
		name.WriteByte(separator)
		name.WriteString(label.Key)
		name.WriteByte('=')
		name.WriteString(strconv.Quote(label.Value))
	}
	name.WriteByte('}')
	return name.String()
}

// BoolValue is a condition as a figure: 1 where it holds.
func BoolValue(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}

// handler answers with the figures of a set and those of the process.
func handler(set *vm.Set) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != path {
			ctx.Error("no such path: the figures are at "+path, fasthttp.StatusNotFound)
			return
		}
		ctx.SetContentType(contentType)
		set.WritePrometheus(ctx)
		vm.WriteProcessMetrics(ctx)
	}
}

// Serve tells the figures of a set at an address until ctx ends; nowhere where that is empty. A
// process whose door can't be opened goes on without it.
func Serve(ctx context.Context, network host.Network, address string, set *vm.Set, log logr.Logger) {
	if address == "" {
		return
	}
	listener, err := network.Listen(address)
	if err != nil {
		log.Error(err, "the metrics are not served", "event", "metrics", "address", address)
		return
	}
	server := transport.NewServer(handler(set))
	server.Concurrency, server.GetOnly = mostReaders, true
	server.ReadTimeout, server.IdleTimeout = readerPatience, readerPatience
	stop := context.AfterFunc(ctx, func() {
		patience, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		// Its readers come again at the next process.
		_ = server.ShutdownWithContext(patience)
	})
	defer stop()
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		log.Error(err, "the metrics are served no more", "event", "metrics", "address", address)
	}
}
