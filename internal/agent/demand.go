package agent

import (
	"context"
	"sync"
	"time"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/lease"
	"marlreel/internal/controlplane/state"
	"marlreel/internal/dataplane/backlog"
	"marlreel/internal/distribution/relay"
	"marlreel/internal/distribution/watch"
)

const (
	// passTimeout bounds passing reports on.
	passTimeout = 500 * time.Millisecond
	// askTimeout bounds asking a home: an answer that comes later is too old to be of use.
	askTimeout = 200 * time.Millisecond
	// passGap is the least time between two calls to the same agent: what comes in between
	// goes together.
	passGap = 100 * time.Millisecond
	// mostPassed bounds the reports that wait for one agent; beyond it the oldest go.
	mostPassed = 1024
)

// demandRelay brings reports of demand to the holders of the roles that place models. Those
// of a zone's proxies go to the home of their service there, and from it to the holder: so a
// holder gets a call for each zone and not for each proxy. The answers bring back what other
// proxies have sent to the backends.
type demandRelay struct {
	agent *Agent
	self  *api.Node
	began time.Time

	mu       sync.Mutex
	waiting  map[string][]*api.DemandReport // for holders, by their addresses
	backlogs *backlog.Table
}

func newDemandRelay(a *Agent, self *api.Node) *demandRelay {
	return &demandRelay{agent: a, self: self, began: time.Now(), waiting: map[string][]*api.DemandReport{}, backlogs: backlog.NewTable()}
}

// own takes in a report of this agent's own proxy, and answers what others have sent to the
// backends: by the word of the service's home in the zone, or as this agent knows it as that home.
func (r *demandRelay) own(ctx context.Context, report *api.DemandReport) *api.DemandReply {
	r.note(report)
	reply := &api.DemandReply{}
	for service, part := range byService(report) {
		holder := r.holderOf(service)
		home := r.homeOf(service)
		if holder == r.self.Address {
			part.Demands = nil // they are taken in here; the home is to know of the work alone
		}
		if home != r.self.Address {
			reply.OtherBacklogs = append(reply.OtherBacklogs, r.askHome(ctx, home, holder, part)...)
			continue
		}
		if holder != "" && holder != r.self.Address {
			r.enqueue(holder, part)
		}
		reply.OtherBacklogs = append(reply.OtherBacklogs, r.othersOf(service, func(s backlog.Reporter) bool { return s.Node != r.self.Name }))
	}
	return reply
}

// askHome hands a report to the home of its service. Where that does not answer, the report goes
// to the holder itself.
func (r *demandRelay) askHome(ctx context.Context, home, holder string, part *api.DemandReport) []*api.Backlog {
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := r.call(call, home, []*api.DemandReport{part})
	if err == nil {
		return reply.OtherBacklogs
	}
	if holder != "" && holder != r.self.Address {
		r.enqueue(holder, part)
	}
	return nil
}

// passed takes in what another agent passes on, and answers what others than it have sent.
func (r *demandRelay) passed(batch *api.DemandBatch) *api.DemandReply {
	services := map[string]bool{}
	final := false
	for _, report := range batch.Reports {
		r.note(report)
		final = final || report.Final
		for service, part := range byService(report) {
			services[service] = true
			holder := r.holderOf(service)
			// What is final goes no further: processes that take different ones for the holder don't send it to and fro.
			if !report.Final && holder != "" && holder != r.self.Address {
				r.enqueue(holder, part)
			}
		}
	}
	counts := func(s backlog.Reporter) bool { return s.Node != batch.Node }
	if final {
		counts = func(s backlog.Reporter) bool { return s != backlog.OtherZones && s.Zone != batch.Zone }
	}
	reply := &api.DemandReply{}
	for service := range services {
		reply.OtherBacklogs = append(reply.OtherBacklogs, r.othersOf(service, counts))
	}
	return reply
}

// note takes in what a report says of demand and of work that was sent.
func (r *demandRelay) note(report *api.DemandReport) {
	r.agent.placers.asked(report.Node, report.Zone, report.Demands)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range report.Backlogs {
		r.backlogs.RecordReport(time.Since(r.began), b.Service, backlog.Reporter{Node: report.Node, Zone: report.Zone}, backlog.FromProto(b))
	}
}

// othersOf words what those that count have sent to a service's backends.
func (r *demandRelay) othersOf(service string, counts func(backlog.Reporter) bool) *api.Backlog {
	r.mu.Lock()
	defer r.mu.Unlock()
	return backlog.ToProto(service, r.backlogs.Sum(time.Since(r.began), service, counts))
}

// byService splits a report by service.
func byService(report *api.DemandReport) map[string]*api.DemandReport {
	parts := map[string]*api.DemandReport{}
	of := func(service string) *api.DemandReport {
		if parts[service] == nil {
			parts[service] = &api.DemandReport{Node: report.Node, Zone: report.Zone}
		}
		return parts[service]
	}
	for _, d := range report.Demands {
		of(d.Service).Demands = append(of(d.Service).Demands, d)
	}
	for _, b := range report.Backlogs {
		of(b.Service).Backlogs = append(of(b.Service).Backlogs, b)
	}
	return parts
}

// holderOf is the address of the agent that places a service's models; empty: none does.
func (r *demandRelay) holderOf(service string) string {
	address := ""
	r.agent.feed.ReadState(func(m *state.Machine) {
		if owner := m.Owner(lease.PlacementKey(service)); owner != nil {
			address = owner.Address
		}
	})
	return address
}

// homeOf is the address of a service's home in this zone.
func (r *demandRelay) homeOf(service string) string {
	return relay.Select(watch.ServiceTopic(service), r.self, r.agent.feed.Nodes()).Address
}

// enqueue has a report sent: at once, or with others once passGap is over.
func (r *demandRelay) enqueue(next string, report *api.DemandReport) {
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
func (r *demandRelay) dequeue(next string) []*api.DemandReport {
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

// send passes on all that waits for an agent, until nothing does. What does not reach a holder is
// told again while requests wait for it.
func (r *demandRelay) send(holder string) {
	for reports := r.dequeue(holder); reports != nil; reports = r.dequeue(holder) {
		r.sendTo(holder, reports)
		rest(context.Background(), passGap)
	}
}

// sendTo hands reports to a holder, and takes in what it says of other zones.
func (r *demandRelay) sendTo(holder string, reports []*api.DemandReport) {
	call, cancel := context.WithTimeout(context.Background(), passTimeout)
	defer cancel()
	for _, report := range reports {
		report.Final = true
	}
	reply, err := r.call(call, holder, reports)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range reply.OtherBacklogs {
		r.backlogs.RecordReport(time.Since(r.began), b.Service, backlog.OtherZones, backlog.FromProto(b))
	}
}

func (r *demandRelay) call(ctx context.Context, next string, reports []*api.DemandReport) (*api.DemandReply, error) {
	batch := &api.DemandBatch{Reports: reports, Node: r.self.Name, Zone: r.self.Zone}
	return api.NewAgentProtobufClient("http://"+next, r.agent.client).PassDemand(ctx, batch)
}
