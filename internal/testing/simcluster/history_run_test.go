package simcluster

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"marlreel/internal/testing/fakesystem"
)

// historyRun runs the clients and operators of a history, and records their responses and all violations.
type historyRun struct {
	cluster     *Cluster
	over        chan struct{}  // closed when clients must stop sending requests
	changesOver chan struct{}  // closed when operators must stop making changes
	running     sync.WaitGroup // the clients and operators

	mu           sync.Mutex
	violations   []string
	register     registerLog
	onceRequests []onceRequest
	streams      int // number of complete streams
}

// onceRequest is a request that may be executed at most once, and the status of its response.
type onceRequest struct {
	id     string
	status int // 0 if there was no response
}

// violation records a violated invariant.
func (r *historyRun) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// repeat calls do in a loop, with a pause after each call, until over is closed.
func (r *historyRun) repeat(over <-chan struct{}, pause time.Duration, do func()) {
	r.running.Go(func() {
		for {
			select {
			case <-over:
				return
			default:
			}
			do()
			r.cluster.Sleep(pause)
		}
	})
}

// longBody is a body that doesn't fit into the window of a connection whose backend doesn't read.
var longBody = strings.Repeat("x", 400<<10)

// sendOnce sends an unsafe request. Every fourth one has a long body.
func (r *historyRun) sendOnce(edge *Machine, number int) {
	request := slipRequest()
	if number%4 == 0 {
		request.Body = longBody
	}
	got, err := r.cluster.Send(edge, request)
	if err != nil {
		got.Status = 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onceRequests = append(r.onceRequests, onceRequest{request.ID, got.Status})
}

// streamEvents is the number of events of a history's streams.
const streamEvents = 10

// stream sends a streaming request, and checks that events arrive in order and without gaps.
func (r *historyRun) stream(edge *Machine, model string) {
	request := chatRequest(model)
	request.Timeout = 6 * time.Second
	got, err := r.cluster.Send(edge, request)
	if err != nil || got.Status != 200 {
		return
	}
	events := got.Events
	if !got.Complete && len(events) > 0 {
		events = events[:len(events)-1] // the last event may be truncated
	}
	for i, event := range events {
		want := fmt.Sprintf("id: %d\ndata: %s", i+1, fakesystem.EventText(request.ID, i+1))
		if event != want {
			r.violation("stream %s: event %d is %q", request.ID, i+1, event)
			return
		}
	}
	if !got.Complete {
		return
	}
	if len(events) != streamEvents {
		r.violation("stream %s ended with %d of %d events", request.ID, len(events), streamEvents)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams++
}
