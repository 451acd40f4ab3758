package gateway

import (
	"time"

	"marlreel"
	"marlreel/internal/judge/residency"
	"marlreel/internal/judge/shares"
)

// advisor is the decision module's Advice for one service. Only the engine's goroutine
// uses it.
type advisor struct {
	table   *residency.Table
	sharers *shares.Sharers
	cold    *shares.Cold
	repeats *shares.Repeats
	names   map[marlreel.BackendID]string
}

// newAdvisor makes the advice of a process that starts now.
func newAdvisor(self string, engines bool, cold shares.ColdConfig, repeats shares.RepeatsConfig, now time.Duration) *advisor {
	sharers := shares.NewSharers(self, now)
	return &advisor{table: residency.New(engines), sharers: sharers, cold: shares.NewCold(cold, sharers),
		repeats: shares.NewRepeats(repeats, sharers, now), names: map[marlreel.BackendID]string{}}
}

var _ marlreel.Advice = (*advisor)(nil)

// Holds implements marlreel.Advice.
func (a *advisor) Holds(q *marlreel.Request, to marlreel.BackendID) bool {
	return a.table.Holds(q.Needs, to)
}

// Admits implements marlreel.Advice.
func (a *advisor) Admits(now time.Duration, to marlreel.BackendID) bool {
	return a.cold.Admits(now, a.names[to])
}

// Sent implements marlreel.Advice.
func (a *advisor) Sent(now time.Duration, _ *marlreel.Request, to marlreel.BackendID) {
	a.cold.Sent(now, a.names[to])
	a.repeats.Came(now)
}

// Slots implements marlreel.Advice.
func (a *advisor) Slots(to marlreel.BackendID) int { return a.table.Slots(to) }

// Extra implements marlreel.Advice.
func (a *advisor) Extra(time.Duration, *marlreel.Request, marlreel.BackendID) float64 { return 0 }

// Repeats implements marlreel.Advice.
func (a *advisor) Repeats(now time.Duration) bool { return a.repeats.Take(now) }

// knownBackend is what the advice is told of a backend of the list.
type knownBackend struct {
	residency.Backend
	name     string
	coldLeft time.Duration
}

// listed takes in the backends that there are.
func (a *advisor) listed(now time.Duration, list []knownBackend) {
	clear(a.names)
	held := make([]residency.Backend, 0, len(list))
	kept := map[string]bool{}
	for _, b := range list {
		held = append(held, b.Backend)
		a.names[b.ID] = b.name
		kept[b.name] = true
		a.cold.Set(now, b.name, now+b.coldLeft)
	}
	a.table.Set(held)
	a.cold.Forget(func(name string) bool { return kept[name] })
}
