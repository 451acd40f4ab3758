package simcluster

import (
	"fmt"
	"sync"
	"time"

	"marlreel/internal/testing/fakesystem"
)

// historyRun gathers what clients and operators of a history were answered, and what was wrong.
type historyRun struct {
	cluster     *Cluster
	over        chan struct{}
	running     sync.WaitGroup
	changesOver chan struct{} // closed when operators are to make no more changes

	mu           sync.Mutex
	violations   []string
	register     registerLog
	onceRequests []onceRequest
	streams      int // that came to their end
}

// onceRequest is a request that may run once at most, and its answer.
type onceRequest struct {
	id     string
	status int // 0: there was none
}

func (w *historyRun) violation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// repeat does something now and then until over is closed.
func (w *historyRun) repeat(over <-chan struct{}, span time.Duration, do func()) {
	w.running.Go(func() {
		for {
			select {
			case <-over:
				return
			default:
			}
			do()
			w.cluster.Sleep(span)
		}
	})
}

// sendOnce sends a request that can't be repeated.
func (w *historyRun) sendOnce(edge *Machine) {
	w.mu.Lock()
	r := slipRequest()
	w.mu.Unlock()
	got, err := w.cluster.Send(edge, r)
	if err != nil {
		got.Status = 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onceRequests = append(w.onceRequests, onceRequest{r.ID, got.Status})
}

// stream asks for a stream: each event that comes is the next one.
func (w *historyRun) stream(edge *Machine, model string) {
	w.mu.Lock()
	r := chatRequest(model)
	w.mu.Unlock()
	r.Timeout = 6 * time.Second
	got, err := w.cluster.Send(edge, r)
	if err != nil || got.Status != 200 {
		return
	}
	events := got.Events
	if !got.Complete && len(events) > 0 {
		events = events[:len(events)-1] // it may have been cut within the last one
	}
	for i, event := range events {
		if want := fmt.Sprintf("id: %d\ndata: %s", i+1, fakesystem.EventText(r.ID, i+1)); event != want {
			w.violation("stream %s: event %d is %q", r.ID, i+1, event)
			return
		}
	}
	if !got.Complete {
		return
	}
	if len(events) != 10 {
		w.violation("stream %s ended with %d events of 10", r.ID, len(events))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.streams++
}
