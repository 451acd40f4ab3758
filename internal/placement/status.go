package placement

import (
	"cmp"
	"slices"
	"time"
)

// ModelStatus is how things stand with one model.
type ModelStatus struct {
	Model             string
	RequestsPerSecond float64 // requests a second
	WorkMSPerSecond   float64 // ms of backends' time a second, as foretold
	Waiting           int     // requests
	Replicas          int     // backends that hold it, or load it
	Loading           int     // of them
}

// Status lists the models that anything is asked of, those with the most work first.
func (p *Planner) Status(now time.Duration) []ModelStatus {
	var list []ModelStatus
	p.count()
	for name, f := range p.figuresOf(now) {
		s := ModelStatus{Model: name, RequestsPerSecond: f.rate, WorkMSPerSecond: f.work, Waiting: f.waits, Replicas: p.census.holders[name]}
		for _, b := range p.backends {
			if b.order != nil && b.order.Operation == Load && b.order.Key == (Key{Model: name}) {
				s.Loading++
			}
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b ModelStatus) int {
		return cmp.Or(cmp.Compare(b.WorkMSPerSecond, a.WorkMSPerSecond), cmp.Compare(a.Model, b.Model))
	})
	return list
}

// CountBackends is how many backends carry an order out, and Known how many may get one.
func (p *Planner) CountBackends() (busy, known int) {
	for _, b := range p.backends {
		if b.order != nil {
			busy++
		}
		if b.usable && b.known {
			known++
		}
	}
	return busy, known
}
