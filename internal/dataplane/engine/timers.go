package engine

import (
	"container/heap"
	"time"
)

// Timer is an event that is due at a time on the engine's clock. Create it with Engine.Schedule.
type Timer struct {
	at        time.Duration
	sequence  uint64 // orders timers with the same time: the older one fires first
	heapIndex int    // -1 if not in the heap
	event     func()
}

// Schedule sets a timer on the engine's clock. Only on the engine's goroutine.
func (e *Engine) Schedule(when time.Duration, event func()) *Timer {
	e.lastTimer++
	t := &Timer{at: when, sequence: e.lastTimer, event: event}
	heap.Push(&e.timers, t)
	return t
}

// StopTimer stops a timer and removes it from the heap. It ignores nil and timers that have fired. Clients' timeouts
// may be long, so timers left in the heap would keep calls in memory long after their answer.
func (e *Engine) StopTimer(t *Timer) {
	if t != nil && t.heapIndex >= 0 {
		heap.Remove(&e.timers, t.heapIndex)
	}
}

// TimerCount returns how many timers are set.
func (e *Engine) TimerCount() int { return len(e.timers) }

// timerHeap is a min-heap of timers, with the next one first.
type timerHeap []*Timer

var _ heap.Interface = (*timerHeap)(nil)

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	last.heapIndex = -1
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
