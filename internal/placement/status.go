package placement

import (
	"cmp"
	"slices"
	"time"
)

// ModelStatus is the demand for one model and its replicas.
type ModelStatus struct {
	Model             string
	RequestsPerSecond float64
	WorkMSPerSecond   float64 // ms of backends' time a second, forecast for when a load would be done
	Waiting           int     // requests that wait for it
	Replicas          int     // backends that have it loaded, or load it
	Loading           int     // of them, those that load it
}

// Status lists the models that there is demand for, those with the most work first.
func (p *Planner) Status(now time.Duration) []ModelStatus {
	var statuses []ModelStatus
	p.takeSnapshot()
	for name, d := range p.forecastDemand(now) {
		statuses = append(statuses, ModelStatus{
			Model: name, RequestsPerSecond: d.requestRate, WorkMSPerSecond: d.workRate, Waiting: d.waiting,
			Replicas: p.snapshot.replicas[name], Loading: p.countLoading(name),
		})
	}
	slices.SortFunc(statuses, func(a, b ModelStatus) int {
		return cmp.Or(cmp.Compare(b.WorkMSPerSecond, a.WorkMSPerSecond), cmp.Compare(a.Model, b.Model))
	})
	return statuses
}

// countLoading is how many backends load a model.
func (p *Planner) countLoading(model string) int {
	count := 0
	for _, b := range p.backends {
		if b.pending != nil && b.pending.Operation == Load && b.pending.Key == (Key{Model: model}) {
			count++
		}
	}
	return count
}

// CountBackends is how many backends carry out an order, and how many usable ones have reported their state.
func (p *Planner) CountBackends() (busy, known int) {
	for _, b := range p.backends {
		if b.pending != nil {
			busy++
		}
		if b.usable && b.reported {
			known++
		}
	}
	return busy, known
}
