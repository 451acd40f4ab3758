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
	WorkMSPerSecond   float64 // ms of backends' time a second, forecast for the end of a load that starts now
	Waiting           int     // requests that wait for the model or its adapters
	Replicas          int     // backends that have the model loaded or are loading it
	Loading           int     // of these, the backends that are loading it
}

// Status lists the models in demand, most work first.
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

// countLoading returns how many backends are loading a model.
func (p *Planner) countLoading(model string) int {
	count := 0
	for _, b := range p.backends {
		if b.pending != nil && b.pending.Operation == Load && b.pending.Key == (Key{Model: model}) {
			count++
		}
	}
	return count
}

// CountBackends returns how many backends have a pending order, and how many usable ones have reported their state.
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
