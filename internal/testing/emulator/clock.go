package emulator

import (
	"container/heap"
	"time"
)

// clock runs events in the order of their times.
type clock struct {
	now    time.Duration
	events eventHeap
	count  uint64
}

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// after schedules do to run after span.
func (c *clock) after(span time.Duration, do func()) {
	c.count++
	heap.Push(&c.events, event{c.now + max(0, span), c.count, do})
}

// every schedules do to run periodically: after first, then after each span.
func (c *clock) every(span, first time.Duration, do func()) {
	c.after(first, func() {
		do()
		c.every(span, span, do)
	})
}

// runUntil runs all events up to end, and sets the clock to it.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.do()
	}
	c.now = end
}
