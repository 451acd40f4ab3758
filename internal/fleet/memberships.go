package fleet

import (
	"context"
	"slices"
	"strings"
	"time"

	"marlreel/internal/fleet/agree"
)

// MembershipComparison compares which backends are ready at the proxies that answered.
type MembershipComparison struct {
	Proxies      []ProxyMembership    `json:"proxies"`
	Unresponsive []string             `json:"silent,omitempty"` // members of the fleet that did not answer
	Partial      []PartlyReadyBackend `json:"partly,omitempty"`
}

// ProxyMembership is the membership that one proxy uses.
type ProxyMembership struct {
	Proxy    string `json:"proxy"`
	Source   string `json:"source"`
	Revision int64  `json:"revision"`
	Ready    int    `json:"ready"` // backends
}

// PartlyReadyBackend is a backend that is ready at some proxies only.
type PartlyReadyBackend struct {
	Name       string   `json:"name"`
	ReadyAt    []string `json:"seen_by"`
	NotReadyAt []string `json:"not"`
}

const (
	maxComparisons    = 4 // at once
	comparisonTimeout = 2 * time.Second
)

// comparison collects the answers of all proxies to one question. All fields but done belong to the fleet's goroutine.
type comparison struct {
	id      string
	asked   []string
	answers map[string]agree.Names
	done    chan struct{} // closed once all have answered
}

// CompareMemberships asks all proxies that are not gone which backends are ready there, and waits two seconds at most for
// their answers. Its error is *NoLeaderError: this proxy has not joined, is closed, or has too many comparisons running.
func (f *Fleet) CompareMemberships(ctx context.Context) (MembershipComparison, error) {
	started := make(chan *comparison, 1)
	f.post(func() { started <- f.startComparison() })
	var c *comparison
	select {
	case c = <-started:
	case <-f.done:
	}
	if c == nil {
		return MembershipComparison{}, f.noLeader()
	}
	timer := time.NewTimer(comparisonTimeout)
	defer timer.Stop()
	select {
	case <-c.done:
	case <-timer.C:
	case <-ctx.Done():
	case <-f.done:
	}
	result := make(chan MembershipComparison, 1)
	f.post(func() {
		delete(f.comparisons, c.id)
		result <- compare(c.asked, c.answers)
	})
	select {
	case r := <-result:
		return r, nil
	case <-f.done:
		return MembershipComparison{}, f.noLeader()
	}
}

// startComparison asks all proxies, and returns nil where that is not possible.
func (f *Fleet) startComparison() *comparison {
	if f.peers == nil || len(f.comparisons) >= maxComparisons {
		return nil
	}
	c := &comparison{id: f.newRequestID(), answers: map[string]agree.Names{}, done: make(chan struct{})}
	for _, member := range f.peers.Members() {
		if member.State != "gone" {
			c.asked = append(c.asked, member.Name)
		}
	}
	f.comparisons[c.id] = c
	for _, name := range c.asked {
		f.send(name, agree.Message{Names: &agree.Names{ID: c.id, Ask: true}})
	}
	return c
}

// handleReadyBackends answers a proxy's question, or records an answer to one of this proxy's.
func (f *Fleet) handleReadyBackends(from string, message agree.Names) {
	if message.Ask {
		f.options.Host.ReadyBackends(func(membership agree.Lists, ready []string) {
			f.post(func() {
				f.send(from, agree.Message{Names: &agree.Names{ID: message.ID, Source: membership.Source, Revision: membership.Revision, Ready: ready}})
			})
		})
		return
	}
	c := f.comparisons[message.ID]
	if c == nil {
		return
	}
	c.answers[from] = message
	if len(c.answers) >= len(c.asked) {
		delete(f.comparisons, message.ID)
		close(c.done)
	}
}

// compare finds the backends that are ready at only some of the proxies that answered.
func compare(asked []string, answers map[string]agree.Names) MembershipComparison {
	var c MembershipComparison
	readyAt := map[string][]string{}
	for _, proxy := range slices.Sorted(slices.Values(asked)) {
		answer, answered := answers[proxy]
		if !answered {
			c.Unresponsive = append(c.Unresponsive, proxy)
			continue
		}
		c.Proxies = append(c.Proxies, ProxyMembership{proxy, answer.Source, answer.Revision, len(answer.Ready)})
		for _, backend := range answer.Ready {
			readyAt[backend] = append(readyAt[backend], proxy)
		}
	}
	for backend, proxies := range readyAt {
		if len(proxies) == len(c.Proxies) {
			continue
		}
		partly := PartlyReadyBackend{Name: backend, ReadyAt: proxies}
		for _, p := range c.Proxies {
			if !slices.Contains(proxies, p.Proxy) {
				partly.NotReadyAt = append(partly.NotReadyAt, p.Proxy)
			}
		}
		c.Partial = append(c.Partial, partly)
	}
	slices.SortFunc(c.Partial, func(a, b PartlyReadyBackend) int { return strings.Compare(a.Name, b.Name) })
	return c
}
