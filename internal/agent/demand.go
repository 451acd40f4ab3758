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
	// forwardTimeout limits a call that forwards reports to a lease holder. Raising it lets an unresponsive holder delay
	// the reports of a whole zone.
	forwardTimeout = 500 * time.Millisecond
	// relayTimeout limits a call to a relay. The proxy waits for the reply, and a later one would be too old to be of use.
	relayTimeout = 200 * time.Millisecond
)

// demandForwarder forwards demand reports to the agents that hold placement leases. Reports of a zone's proxies go
// through the service's relay in that zone, so that a holder gets one call for each zone instead of each proxy. The
// replies carry the backlogs: the work that other proxies have sent to the backends.
type demandForwarder struct {
	self   *api.Node
	store  *watch.Store
	client *transport.Client
	record func(node, zone string, demands []*api.Demand) // passes demand to this agent's reconcilers
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

// stop cancels the calls in flight. Later reports are not forwarded.
func (f *demandForwarder) stop() { f.queue.stop() }

// handleOwnReport handles a report of this agent's own proxy. It returns the backlogs of other proxies, from the
// service's relay or, if this agent is the relay, from its own records.
func (f *demandForwarder) handleOwnReport(ctx context.Context, report *api.DemandReport) *api.DemandReply {
	f.recordReport(report)
	reply := &api.DemandReply{}
	for service, part := range splitByService(report) {
		holder := f.holderAddress(service)
		relayAddress := f.relayAddress(service)
		if holder == f.self.Address {
			part.Demands = nil // already recorded here, by the holder; the relay needs only the backlogs
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

// reportToRelay sends a report to the relay of its service or, if the relay does not reply, queues it for the holder.
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

// handleForwarded handles reports that another agent forwards, and returns the backlogs of other nodes than that agent.
// For final reports, it returns the backlogs of other zones instead.
func (f *demandForwarder) handleForwarded(batch *api.DemandBatch) *api.DemandReply {
	services := map[string]bool{}
	final := false
	for _, report := range batch.Reports {
		f.recordReport(report)
		final = final || report.Final
		for service, part := range splitByService(report) {
			services[service] = true
			holder := f.holderAddress(service)
			// A final report is not forwarded again: agents with different views of the holder could pass it back and forth.
			if !report.Final {
				f.enqueue(holder, part)
			}
		}
	}
	included := func(reporter backlog.Reporter) bool { return reporter.Node != batch.Node }
	if final {
		included = func(reporter backlog.Reporter) bool {
			return reporter != backlog.OtherZones && reporter.Zone != batch.Zone
		}
	}
	reply := &api.DemandReply{}
	for service := range services {
		reply.OtherBacklogs = append(reply.OtherBacklogs, f.sumBacklogs(service, included))
	}
	return reply
}

// recordReport records the demand and the backlogs of a report.
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

// sumBacklogs returns the work that the included reporters have sent to a service's backends.
func (f *demandForwarder) sumBacklogs(service string, included func(backlog.Reporter) bool) *api.Backlog {
	f.mu.Lock()
	defer f.mu.Unlock()
	return backlog.ToProto(service, f.backlogs.Sum(time.Since(f.began), service, included))
}

// splitByService splits a report by service.
func splitByService(report *api.DemandReport) map[string]*api.DemandReport {
	reports := map[string]*api.DemandReport{}
	reportFor := func(service string) *api.DemandReport {
		if reports[service] == nil {
			reports[service] = &api.DemandReport{Node: report.Node, Zone: report.Zone}
		}
		return reports[service]
	}
	for _, demand := range report.Demands {
		r := reportFor(demand.Service)
		r.Demands = append(r.Demands, demand)
	}
	for _, b := range report.Backlogs {
		r := reportFor(b.Service)
		r.Backlogs = append(r.Backlogs, b)
	}
	return reports
}

// holderAddress returns the address of the agent that holds a service's placement lease, or "" if none does.
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

// enqueue queues a report for a lease holder, unless there is none or it is this agent.
func (f *demandForwarder) enqueue(holder string, report *api.DemandReport) {
	if holder != "" && holder != f.self.Address {
		f.queue.add(holder, report)
	}
}

// forward sends reports to a lease holder, and records the backlogs of other zones from its reply. Reports that do not
// reach the holder are not sent again: the proxies report again while requests wait.
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
