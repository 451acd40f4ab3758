package rehearsal

import (
	"slices"
	"time"

	"marlreel/internal/standin"
)

// Best is what a scheduler that knew everything would have served, second by second, beside what was served.
type Best struct {
	FromS   float64   `json:"from_s"`   // the first return of a node that had been down
	Area    float64   `json:"area"`     // what was served from then on, of the best
	Seconds []float64 `json:"seconds"`  // worth, by its planned second
	Nodes   int       `json:"returned"` // nodes that came back
}

// best gives the most that could have been served where nodes were down and came back: each second, of the requests
// that come then, those with the most worth for their work, up to what all nodes can do at that moment by their true
// warming curves. Clients' repeats add nothing, for time runs from the first try. A node that was pushed over counts
// as one that is up: who knew everything would not have done so. It is a bound and may be out of reach: it knows
// nothing of queues, of the network, or of what one request has to wait for. nil: no node came back.
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
	type wish struct{ worth, work float64 }
	wishes := make([][]wish, len(served))
	for _, q := range r.Plan.Requests {
		c := r.Scenario.Classes[q.Class]
		worth := c.Worth
		if q.Over {
			worth *= r.Scenario.Traffic.OverWorth
		}
		k := int(q.At / time.Second)
		wishes[k] = append(wishes[k], wish{worth, q.Work.Seconds()})
	}
	events := map[string][]standin.NodeEvent{}
	for _, e := range r.Nodes.Events {
		events[e.Node] = append(events[e.Node], e)
	}
	var sum, all float64
	for k, list := range wishes {
		room := 0.0
		for _, n := range r.Plan.Nodes {
			room += canDo(r.Scenario, n, events[n.ID], start+time.Duration(k)*time.Second)
		}
		slices.SortFunc(list, func(x, y wish) int { // the most worth for its work first
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

// canDo is the work, in seconds of a yardstick core, that a node can do in the second from at on.
func canDo(s *Scenario, n PlannedNode, events []standin.NodeEvent, at time.Duration) float64 {
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
