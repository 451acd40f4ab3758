package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// room is what it costs to make room at a backend, worked out once for each plan.
type room struct {
	used     float64     // MB
	leaving  []candidate // models that may leave, those of the least loss first
	busyness float64     // share of its time that it has to do
	occupied float64     // what it costs a second that it takes no other order
}

// candidate is a model that may leave a backend.
type candidate struct {
	name    string
	sizeMB  float64 // with its adapters
	keeping float64
}

// roomAt gives the room at a backend.
func (p *Planner) roomAt(now time.Duration, b *backend, asked map[string]*figures) *room {
	if r := p.rooms[b]; r != nil {
		return r
	}
	r := &room{}
	for _, name := range slices.Sorted(maps.Keys(b.holds)) {
		adapters := b.holds[name]
		f, size := asked[name], p.heldMB(name, len(adapters))
		r.used += size
		if f != nil {
			r.busyness += f.work / 1000 / float64(max(1, p.census.holders[name]))
			r.occupied += newAdapters * f.adapters / float64(max(1, p.census.free[name]))
		}
		if now-b.since[name] >= keptFor {
			keeping := f.keeping(p.census.holders[name]) + p.nearness(b.zone, name, f, 1)
			r.leaving = append(r.leaving, candidate{name, size, keeping})
		}
	}
	slices.SortFunc(r.leaving, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.keeping, y.keeping), cmp.Compare(x.name, y.name))
	})
	p.rooms[b] = r
	return r
}

// make says which model has to leave first so that another one fits, "" where none has
// to, and what all that have to leave lose.
func (r *room) make(p *Planner, model string) (first string, lost float64, fits bool) {
	need := r.used + p.service.Models[model].SizeMB - p.service.CapacityMB
	for _, c := range r.leaving {
		if need <= 0 {
			break
		}
		if c.name == model {
			continue
		}
		if first == "" {
			first = c.name
		}
		need -= c.sizeMB
		lost += c.keeping + evictionCost
	}
	return first, lost, need <= 0
}

// chooseFor finds the backend where loading a model costs the least, less than it gains,
// and which model has to leave there first, if any.
func (p *Planner) chooseFor(now time.Duration, w want, asked map[string]*figures) (best *backend, victim string) {
	bestCost := w.gain
	seconds := p.service.Models[w.model].LoadTime.Seconds()
	brought := asked[w.model].brought(p.census.holders[w.model] + 1)
	near := map[string]float64{}
	for zone := range asked[w.model].zones {
		near[zone] = p.nearness(zone, w.model, asked[w.model], 0)
	}
	for _, b := range p.sorted() {
		if _, holds := b.holds[w.model]; holds || !b.free(now) || b.reserved != "" {
			continue
		}
		r := p.roomAt(now, b, asked)
		first, lost, fits := r.make(p, w.model)
		if !fits {
			continue
		}
		cost := worthMore*lost + busyCost*r.busyness*brought + r.occupied*seconds - near[b.zone]
		if b.had[w.model] {
			cost += ownDiskCost
		} else {
			cost += loadCost
		}
		if cost < bestCost {
			best, victim, bestCost = b, first, cost
		}
	}
	return best, victim
}

// nearest is the most that nearness may be worth.
func (p *Planner) nearest(model string, f *figures) float64 {
	most := 0.0
	for zone := range f.zones {
		most = max(most, p.nearness(zone, model, f, 0))
	}
	return most
}

// nearness is what it is worth that a model's requests from a zone need not cross to
// another one, where no more than so many in that zone hold it.
func (p *Planner) nearness(zone, model string, f *figures, beside int) float64 {
	if f == nil || p.census.inZone[zoneModel{zone, model}] > beside {
		return 0
	}
	return crossing * horizon * f.zones[zone]
}
