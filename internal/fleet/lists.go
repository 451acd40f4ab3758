package fleet

import (
	"context"
	"slices"
	"strings"
	"time"

	"marlreel/internal/fleet/agree"
)

// What the proxies' lists have in common: each is asked, and backends that only some see are named.

// Seen is what one proxy's list has.
type Seen struct {
	Proxy    string `json:"proxy"`
	Source   string `json:"source"`
	Revision int64  `json:"revision"`
	Ready    int    `json:"ready"`
}

// Sight is what all proxies that answered see.
type Sight struct {
	Proxies []Seen    `json:"proxies"`
	Silent  []string  `json:"silent,omitempty"` // known, and without an answer
	Partly  []Partial `json:"partly,omitempty"`
}

// Partial is a backend that only some see as ready.
type Partial struct {
	Name   string   `json:"name"`
	SeenBy []string `json:"seen_by"`
	Not    []string `json:"not"`
}

// sight is a question to all that is being answered. The fleet's goroutine owns it.
type sight struct {
	told  map[string]agree.Names
	wants int
	done  chan struct{}
}

const (
	mostSights  = 4
	sightWithin = 2 * time.Second
)

// names answers a question on this proxy's list, or takes an answer.
func (f *Fleet) names(from string, n agree.Names) {
	if n.Ask {
		f.o.Host.Names(func(l agree.Lists, ready []string) {
			f.post(func() {
				f.send(from, agree.Message{Names: &agree.Names{ID: n.ID, Source: l.Source, Revision: l.Revision, Ready: ready}})
			})
		})
		return
	}
	s := f.sights[n.ID]
	if s == nil {
		return
	}
	s.told[from] = n
	if len(s.told) >= s.wants {
		delete(f.sights, n.ID)
		close(s.done)
	}
}

// Look asks all proxies that live which backends their lists have, for two seconds at most.
func (f *Fleet) Look(ctx context.Context) (Sight, error) {
	s := &sight{told: map[string]agree.Names{}, done: make(chan struct{})}
	known, id := []string(nil), ""
	begun := make(chan bool, 1)
	f.post(func() {
		if f.peers == nil || len(f.sights) >= mostSights {
			begun <- false
			return
		}
		for _, m := range f.peers.Members() {
			if m.State != "gone" {
				known = append(known, m.Name)
			}
		}
		id, s.wants = f.askID(), len(known)
		f.sights[id] = s
		for _, name := range known {
			f.send(name, agree.Message{Names: &agree.Names{ID: id, Ask: true}})
		}
		begun <- true
	})
	select {
	case ok := <-begun:
		if !ok {
			return Sight{}, &NoLeaderError{Keepers: f.o.Keepers}
		}
	case <-f.done:
		return Sight{}, &NoLeaderError{Keepers: f.o.Keepers}
	}
	timer := time.NewTimer(sightWithin)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	case <-ctx.Done():
	case <-f.done:
	}
	sum := make(chan Sight, 1)
	f.post(func() {
		delete(f.sights, id)
		sum <- compare(known, s.told)
	})
	select {
	case r := <-sum:
		return r, nil
	case <-f.done:
		return Sight{}, &NoLeaderError{Keepers: f.o.Keepers}
	}
}

// compare names the backends that only some of those who answered see.
func compare(known []string, told map[string]agree.Names) Sight {
	var s Sight
	seen := map[string][]string{}
	slices.Sort(known)
	for _, name := range known {
		n, answered := told[name]
		if !answered {
			s.Silent = append(s.Silent, name)
			continue
		}
		s.Proxies = append(s.Proxies, Seen{name, n.Source, n.Revision, len(n.Ready)})
		for _, b := range n.Ready {
			seen[b] = append(seen[b], name)
		}
	}
	for b, by := range seen {
		if len(by) == len(s.Proxies) {
			continue
		}
		p := Partial{Name: b, SeenBy: by}
		for _, x := range s.Proxies {
			if !slices.Contains(by, x.Proxy) {
				p.Not = append(p.Not, x.Proxy)
			}
		}
		s.Partly = append(s.Partly, p)
	}
	slices.SortFunc(s.Partly, func(a, b Partial) int { return strings.Compare(a.Name, b.Name) })
	return s
}
