package rehearsal

import (
	"slices"
	"time"

	"marlreel/internal/standin"
)

// Best is an upper bound on the worth that could have been served, for each second, and the part of it that was served.
type Best struct {
	FromS   float64   `json:"from_s"`   // first return of a node that had been down
	Area    float64   `json:"area"`     // worth served from then on, as a part of the bound
	Seconds []float64 `json:"seconds"`  // bound on the worth, by planned second
	Nodes   int       `json:"returned"` // number of nodes that returned
}

// best returns an upper bound on what could have been served when nodes were down and came back, or nil if no node came
// back. For each second it takes the requests planned for that second, those with the most worth per work first, up to the
// capacity of all nodes by their actual warmup curves. Clients' retries add nothing, as latency counts from the first try. A
// node that failed from overload counts as up, as an ideal scheduler would not have overloaded it. The bound may be
// unreachable: it ignores queues, the network and the time that a request waits on other services.
func best(r Records, start time.Duration, served []Worth) *Best {
	first, back := time.Duration(-1), 0
	for _, e := range r.Plan.Events {
		if (e.What == "end die" || e.What == "end vanish") && e.At < r.Plan.Length {
			back++
			if first < 0 || e.At < first {
				first = e.At
			}
		}
	}
	if first < 0 {
		return nil
	}
	b := &Best{FromS: first.Seconds(), Nodes: back, Seconds: make([]float64, len(served))}
	type candidate struct{ worth, work float64 }
	candidates := make([][]candidate, len(served))
	for _, q := range r.Plan.Requests {
		c := r.Scenario.Classes[q.Class]
		worth := c.Worth
		if q.Over {
			worth *= r.Scenario.Traffic.OverWorth
		}
		k := int(q.At / time.Second)
		candidates[k] = append(candidates[k], candidate{worth, q.Work.Seconds()})
	}
	events := map[string][]standin.NodeEvent{}
	for _, e := range r.Nodes.Events {
		events[e.Node] = append(events[e.Node], e)
	}
	var sum, all float64
	for k, list := range candidates {
		room := 0.0
		for _, n := range r.Plan.Nodes {
			room += nodeCapacity(r.Scenario, n, events[n.ID], start+time.Duration(k)*time.Second)
		}
		slices.SortFunc(list, func(x, y candidate) int { // most worth per work first
			switch a, b := x.worth*y.work, y.worth*x.work; {
			case a > b:
				return -1
			case a < b:
				return 1
			}
			return 0
		})
		for _, w := range list {
			if w.work <= room {
				b.Seconds[k] += w.worth
				room -= w.work
			} else if w.work > 0 {
				b.Seconds[k] += w.worth * room / w.work
				break
			}
		}
		if time.Duration(k)*time.Second >= first {
			all += b.Seconds[k]
			sum += served[k].Served
		}
	}
	if all > 0 {
		b.Area = sum / all
	}
	return b
}

// nodeCapacity returns the work that a node can do in the second that begins at at, in seconds on a core of speed 1.
func nodeCapacity(s *Scenario, n PlannedNode, events []standin.NodeEvent, at time.Duration) float64 {
	const steps = 10
	sum := 0.0
	for i := range steps {
		now := at + time.Duration(i)*time.Second/steps
		up, cold := false, time.Duration(-1)
		for _, e := range events {
			if e.At > now {
				break
			}
			switch e.State {
			case "dead", "vanished":
				up = false
			case standin.StartedCold:
				up, cold = true, e.At
			case "fallen":
			default:
				up = true
			}
		}
		if !up {
			continue
		}
		share := 1.0
		if f := s.Fleet.Cold; cold >= 0 && now-cold < f.For.D() {
			share = f.From + (1-f.From)*float64(now-cold)/float64(f.For.D())
		}
		sum += float64(n.Cores) * float64(n.Permille) / 1000 * share / steps
	}
	return sum
}
