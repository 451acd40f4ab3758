package budgetshare

import (
	"cmp"
	"slices"
	"time"
)

// Window counts events within a sliding window of time. Its size is bounded by the budgets for which it counts.
type Window struct {
	span time.Duration
	at   []time.Duration
}

// NewWindow returns an empty window.
func NewWindow(span time.Duration) Window { return Window{span: span} }

// Add counts an event.
func (w *Window) Add(now time.Duration) {
	w.expire(now)
	w.at = append(w.at, now)
}

// Count returns the number of events within the window before now.
func (w *Window) Count(now time.Duration) int {
	w.expire(now)
	return len(w.at)
}

func (w *Window) expire(now time.Duration) {
	old, _ := slices.BinarySearchFunc(w.at, now-w.span, func(at, limit time.Duration) int { return cmp.Compare(at, limit+1) })
	if old > 0 {
		w.at = slices.Delete(w.at, 0, old)
	}
}
