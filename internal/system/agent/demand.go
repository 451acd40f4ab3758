package agent

import (
	"context"
	"sync"
	"time"

	"marlreel/internal/system/api"
	"marlreel/internal/system/feed"
	"marlreel/internal/system/homes"
	"marlreel/internal/system/ownership"
	"marlreel/internal/system/state"
)

const (
	// passTimeout bounds passing reports on.
	passTimeout = 500 * time.Millisecond
	// passGap is the least time between two calls to the same agent: what comes in between
	// goes together.
	passGap = 100 * time.Millisecond
	// mostPassed bounds the reports that wait for one agent; beyond it the oldest go.
	mostPassed = 1024
)

// demandRelay brings reports of demand to the holders of the roles that place models. Those
// of a zone's proxies go to the home of their service there, and from it to the holder: so a
// holder gets a call for each zone and not for each proxy.
type demandRelay struct {
	agent *Agent
	self  *api.Node

	mu      sync.Mutex
	waiting map[string][]*passedReport // by the address where they go next
}

// passedReport is a report on its way, about one service.
type passedReport struct {
	report *api.DemandReport
	holder string // the address of the agent that places the service's models
}

func newDemandRelay(a *Agent, self *api.Node) *demandRelay {
	return &demandRelay{agent: a, self: self, waiting: map[string][]*passedReport{}}
}

// take takes a report in, and passes on what others place. What a report of this agent's own
// proxy says goes by way of the home; what was passed on already goes to the holder itself.
func (r *demandRelay) take(report *api.DemandReport, own bool) {
	r.agent.placers.asked(report.Node, report.Zone, report.Demands)
	if report.Final {
		return // processes that take different ones for the holder don't send it to and fro
	}
	services := map[string][]*api.Demand{}
	for _, d := range report.Demands {
		services[d.Service] = append(services[d.Service], d)
	}
	for service, demands := range services {
		holder := r.holderOf(service)
		if holder == "" || holder == r.self.Address {
			continue
		}
		next := holder
		if own {
			next = r.homeOf(service, holder)
		}
		part := &api.DemandReport{Node: report.Node, Zone: report.Zone, Demands: demands, Final: next == holder}
		r.enqueue(next, &passedReport{part, holder})
	}
}

// holderOf is the address of the agent that places a service's models; empty: none does.
func (r *demandRelay) holderOf(service string) string {
	address := ""
	r.agent.feed.View(func(m *state.Machine) {
		if owner := m.Owner(ownership.PlacementKey(service)); owner != nil {
			address = owner.Address
		}
	})
	return address
}

// homeOf is where a report of this node goes first.
func (r *demandRelay) homeOf(service, holder string) string {
	home := homes.Home(feed.ServiceTopic(service), r.self, r.agent.feed.Nodes())
	if home.Name == r.self.Name {
		return holder
	}
	return home.Address
}

// enqueue has a report sent: at once, or with others once passGap is over.
func (r *demandRelay) enqueue(next string, report *passedReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	queue, sending := r.waiting[next]
	if len(queue) >= mostPassed {
		queue = queue[1:]
	}
	r.waiting[next] = append(queue, report)
	if !sending {
		go r.send(next)
	}
}

// dequeue gives what waits for an agent. Where nothing does, its sender ends.
func (r *demandRelay) dequeue(next string) []*passedReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	queue := r.waiting[next]
	if len(queue) == 0 {
		delete(r.waiting, next)
		return nil
	}
	r.waiting[next] = nil
	return queue
}

// send passes on all that waits for an agent, until nothing does.
func (r *demandRelay) send(next string) {
	for reports := r.dequeue(next); reports != nil; reports = r.dequeue(next) {
		if !r.call(next, reports) {
			r.bypass(next, reports)
		}
		rest(context.Background(), passGap)
	}
}

func (r *demandRelay) call(next string, reports []*passedReport) bool {
	call, cancel := context.WithTimeout(context.Background(), passTimeout)
	defer cancel()
	batch := &api.DemandBatch{}
	for _, passed := range reports {
		batch.Reports = append(batch.Reports, passed.report)
	}
	_, err := api.NewAgentProtobufClient("http://"+next, r.agent.client).PassDemand(call, batch)
	return err == nil
}

// bypass sends what a home did not take to the holders themselves. What does not reach those
// either is told again while requests wait for it.
func (r *demandRelay) bypass(home string, reports []*passedReport) {
	byHolder := map[string][]*passedReport{}
	for _, passed := range reports {
		if passed.holder != home {
			byHolder[passed.holder] = append(byHolder[passed.holder], passed)
		}
	}
	for holder, list := range byHolder {
		for _, passed := range list {
			passed.report.Final = true
		}
		r.call(holder, list)
	}
}
