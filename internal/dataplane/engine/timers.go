package engine

import (
	"container/heap"
	"time"
)

// Timer is an event at a time. Make it with Engine.At.
type Timer struct {
	at    time.Duration
	order uint64 // of two at one time the older comes first
	place int    // in the heap; -1 is out of it
	event func()
}

// At sets a timer on the engine's clock. Only on its goroutine.
func (e *Engine) At(when time.Duration, event func()) *Timer {
	e.lastTimer++
	t := &Timer{at: when, order: e.lastTimer, event: event}
	heap.Push(&e.timers, t)
	return t
}

// Disarm takes a timer back; nil and one that has gone off are let be. What clients
// name as their time may be long: left in the heap, timers would keep calls in memory
// that were answered long ago.
func (e *Engine) Disarm(t *Timer) {
	if t != nil && t.place >= 0 {
		heap.Remove(&e.timers, t.place)
	}
}

// Timers is how many are set.
func (e *Engine) Timers() int { return len(e.timers) }

type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	t.place = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	last.place = -1
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
