package simcluster

import (
	"fmt"
	"sync"
	"time"

	"marlreel/internal/testing/fakesystem"
)

// historyRun runs the clients and operators of a history, and records what they were answered and what was violated.
type historyRun struct {
	cluster     *Cluster
	over        chan struct{}  // closed when clients are to send no more requests
	changesOver chan struct{}  // closed when operators are to make no more changes
	running     sync.WaitGroup // for the clients and operators

	mu           sync.Mutex
	violations   []string
	register     registerLog
	onceRequests []onceRequest
	streams      int // that were complete
}

// onceRequest is a request that may run once at most, and the status of its response.
type onceRequest struct {
	id     string
	status int // 0: there was none
}

// violation records that something was not as it has to be.
func (r *historyRun) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// repeat does something again and again, with a pause after each time, until over is closed.
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

// sendOnce sends an unsafe request.
func (r *historyRun) sendOnce(edge *Machine) {
	request := slipRequest()
	got, err := r.cluster.Send(edge, request)
	if err != nil {
		got.Status = 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onceRequests = append(r.onceRequests, onceRequest{request.ID, got.Status})
}

// streamEvents is how many events a stream of a history has.
const streamEvents = 10

// stream sends a streaming request. Each event that comes has to be the next one.
func (r *historyRun) stream(edge *Machine, model string) {
	request := chatRequest(model)
	request.Timeout = 6 * time.Second
	got, err := r.cluster.Send(edge, request)
	if err != nil || got.Status != 200 {
		return
	}
	events := got.Events
	if !got.Complete && len(events) > 0 {
		events = events[:len(events)-1] // it may have been cut short within the last one
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
		r.violation("stream %s ended with %d events of %d", request.ID, len(events), streamEvents)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams++
}
