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
	"marlreel/internal/process/transport"
)

const (
	// forwardTimeout bounds a call that forwards reports to a lease holder. Raising it lets a holder that hangs delay the
	// reports of a whole zone.
	forwardTimeout = 500 * time.Millisecond
	// relayTimeout bounds a call to a relay, for whose answer the proxy waits: one that comes later is too old to be of use.
	relayTimeout = 200 * time.Millisecond
)

// demandForwarder brings reports of demand to the agents that hold placement leases. Those of a zone's proxies go to the
// relay of their service there, and from it to the holder: so a holder gets a call for each zone and not for each proxy.
// The answers bring back the backlogs: how much work other proxies have sent to the backends.
type demandForwarder struct {
	self   *api.Node
	store  *watch.Store
	client *transport.Client
	record func(node, zone string, demands []*api.Demand) // tells this agent's own reconcilers
	queue  *reportQueue
	began  time.Time

	mu       sync.Mutex
	backlogs *backlog.Table
}

func newDemandForwarder(
	self *api.Node, store *watch.Store, client *transport.Client, record func(node, zone string, demands []*api.Demand),
) *demandForwarder {
	f := &demandForwarder{self: self, store: store, client: client, record: record, began: time.Now(), backlogs: backlog.NewTable()}
	f.queue = newReportQueue(f.forward)
	return f
}

// stop ends the calls that are in flight. Reports that come later go nowhere.
func (f *demandForwarder) stop() { f.queue.stop() }

// handleOwnReport takes a report of this agent's own proxy. It answers what others have sent to the backends: by the
// service's relay, or as this agent knows it as that relay.
func (f *demandForwarder) handleOwnReport(ctx context.Context, report *api.DemandReport) *api.DemandReply {
	f.recordReport(report)
	reply := &api.DemandReply{}
	for service, part := range splitByService(report) {
		holder := f.holderAddress(service)
		relayAddress := f.relayAddress(service)
		if holder == f.self.Address {
			part.Demands = nil // they are recorded here; the relay has to know the backlogs alone
		}
		if relayAddress != f.self.Address {
			reply.OtherBacklogs = append(reply.OtherBacklogs, f.reportToRelay(ctx, relayAddress, holder, part)...)
			continue
		}
		f.enqueue(holder, part)
		reply.OtherBacklogs = append(reply.OtherBacklogs, f.sumBacklogs(service, func(reporter backlog.Reporter) bool {
			return reporter.Node != f.self.Name
		}))
	}
	return reply
}

// reportToRelay hands a report to the relay of its service. If that does not answer, the report goes to the holder.
func (f *demandForwarder) reportToRelay(ctx context.Context, relayAddress, holder string, report *api.DemandReport) []*api.Backlog {
	call, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	reply, err := f.call(call, relayAddress, []*api.DemandReport{report})
	if err != nil {
		f.enqueue(holder, report)
		return nil
	}
	return reply.OtherBacklogs
}

// handleForwarded takes reports that another agent forwards, and answers what others than it have sent to the backends.
func (f *demandForwarder) handleForwarded(batch *api.DemandBatch) *api.DemandReply {
	services := map[string]bool{}
	final := false
	for _, report := range batch.Reports {
		f.recordReport(report)
		final = final || report.Final
		for service, part := range splitByService(report) {
			services[service] = true
			holder := f.holderAddress(service)
			// A final report goes no further: agents that know different holders don't forward it to and fro.
			if !report.Final {
				f.enqueue(holder, part)
			}
		}
	}
	counts := func(reporter backlog.Reporter) bool { return reporter.Node != batch.Node }
	if final {
		counts = func(reporter backlog.Reporter) bool {
			return reporter != backlog.OtherZones && reporter.Zone != batch.Zone
		}
	}
	reply := &api.DemandReply{}
	for service := range services {
		reply.OtherBacklogs = append(reply.OtherBacklogs, f.sumBacklogs(service, counts))
	}
	return reply
}

// recordReport records the demand and the backlogs that a report brings.
func (f *demandForwarder) recordReport(report *api.DemandReport) {
	f.record(report.Node, report.Zone, report.Demands)
	f.recordBacklogs(backlog.Reporter{Node: report.Node, Zone: report.Zone}, report.Backlogs)
}

func (f *demandForwarder) recordBacklogs(reporter backlog.Reporter, backlogs []*api.Backlog) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range backlogs {
		f.backlogs.RecordReport(time.Since(f.began), b.Service, reporter, backlog.FromProto(b))
	}
}

// sumBacklogs returns how much work those reporters that count have sent to a service's backends.
func (f *demandForwarder) sumBacklogs(service string, counts func(backlog.Reporter) bool) *api.Backlog {
	f.mu.Lock()
	defer f.mu.Unlock()
	return backlog.ToProto(service, f.backlogs.Sum(time.Since(f.began), service, counts))
}

// splitByService splits a report by service.
func splitByService(report *api.DemandReport) map[string]*api.DemandReport {
	reports := map[string]*api.DemandReport{}
	of := func(service string) *api.DemandReport {
		if reports[service] == nil {
			reports[service] = &api.DemandReport{Node: report.Node, Zone: report.Zone}
		}
		return reports[service]
	}
	for _, demand := range report.Demands {
		r := of(demand.Service)
		r.Demands = append(r.Demands, demand)
	}
	for _, b := range report.Backlogs {
		r := of(b.Service)
		r.Backlogs = append(r.Backlogs, b)
	}
	return reports
}

// holderAddress returns the address of the agent that holds a service's placement lease; empty: none does.
func (f *demandForwarder) holderAddress(service string) string {
	address := ""
	f.store.ReadState(func(m *state.Machine) {
		if owner := m.Lease(lease.PlacementKey(service)); owner != nil {
			address = owner.Address
		}
	})
	return address
}

// relayAddress returns the address of a service's relay in this zone.
func (f *demandForwarder) relayAddress(service string) string {
	return relay.Select(watch.ServiceTopic(service), f.self, f.store.Nodes()).Address
}

// enqueue has a report forwarded to a lease holder, unless there is none or it is this agent.
func (f *demandForwarder) enqueue(holder string, report *api.DemandReport) {
	if holder != "" && holder != f.self.Address {
		f.queue.add(holder, report)
	}
}

// forward sends reports to a lease holder, and records what it answers of other zones. Reports that don't reach it are
// lost: the proxies report again while requests wait.
func (f *demandForwarder) forward(ctx context.Context, holder string, reports []*api.DemandReport) {
	call, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	for _, report := range reports {
		report.Final = true
	}
	reply, err := f.call(call, holder, reports)
	if err != nil {
		return
	}
	f.recordBacklogs(backlog.OtherZones, reply.OtherBacklogs)
}

func (f *demandForwarder) call(ctx context.Context, address string, reports []*api.DemandReport) (*api.DemandReply, error) {
	batch := &api.DemandBatch{Reports: reports, Node: f.self.Name, Zone: f.self.Zone}
	return api.NewAgentProtobufClient("http://"+address, f.client).PassDemand(ctx, batch)
}
