package gateway

import (
	"time"

	"marlreel"
	"marlreel/internal/judge/residency"
)

// advisor is the decision module's Advice for one service. Only the engine's goroutine
// uses it.
type advisor struct {
	table *residency.Table
}

// Holds implements marlreel.Advice.
func (a *advisor) Holds(q *marlreel.Request, to marlreel.BackendID) bool {
	return a.table.Holds(q.Needs, to)
}

// Admits implements marlreel.Advice.
func (a *advisor) Admits(time.Duration, marlreel.BackendID) bool { return true }

// Sent implements marlreel.Advice.
func (a *advisor) Sent(time.Duration, *marlreel.Request, marlreel.BackendID) {}

// Slots implements marlreel.Advice.
func (a *advisor) Slots(to marlreel.BackendID) int { return a.table.Slots(to) }

// Extra implements marlreel.Advice.
func (a *advisor) Extra(time.Duration, *marlreel.Request, marlreel.BackendID) float64 { return 0 }

// Repeats implements marlreel.Advice.
func (a *advisor) Repeats(time.Duration) bool { return true }
