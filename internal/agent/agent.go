package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/lease"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/placement/reconciler"
	"marlreel/internal/process/bootstrap"
	"marlreel/internal/process/host"
	"marlreel/internal/process/transport"
)

// maxWatchWait limits how long a subscriber's long poll stays open, whatever wait it requests. Raising it keeps the
// connections of exited subscribers for longer; lowering it costs more polls without an update.
const maxWatchWait = 10 * time.Second

// Agent serves its proxy and other agents. Its methods are safe for concurrent use.
type Agent struct {
	settings     *bootstrap.Settings
	node         *api.Node // this node's entry in the membership
	store        *watch.Store
	client       *transport.Client
	log          logr.Logger
	leases       *leases
	reconcilers  *reconciler.Manager
	demand       *demandForwarder
	observations *observationSender
	quotas       *quotaOwner

	lastProxyPoll atomic.Int64 // ns since 1970
}

var (
	_ api.Agent      = (*Agent)(nil)
	_ api.QuotaOwner = (*Agent)(nil)
)

// newAgent returns an agent without running tasks; start starts them.
func newAgent(machine *host.Host) *Agent {
	settings := machine.Settings
	incarnation := rand.Uint64()
	a := &Agent{
		settings: settings, client: transport.NewCompressedClient(machine.Network.Dial), log: machine.Log,
		node: &api.Node{
			Name: settings.NodeName, Address: settings.PeerAddress(), Zone: settings.Zone, Incarnation: incarnation,
		},
		store: watch.New(fmt.Sprintf("%s/%x", settings.NodeName, incarnation), time.Now),
	}
	a.store.BatchAsRelay()
	holder := lease.HolderID(settings.NodeName, incarnation)
	a.leases = &leases{holder: holder, controls: a.controls, store: a.store, client: a.client}
	a.quotas = newQuotaOwner(quotaRule(settings.Bounds), a.store, a.leases)
	a.observations = newObservationSender(a.store, a.controls, a.client)
	a.reconcilers = reconciler.NewManager(reconciler.Config{
		Holder: holder, Store: a.store, Leases: a.leases, Dial: machine.Network.Dial, Observe: a.observations.add, Log: a.log,
	})
	a.demand = newDemandForwarder(a.node, a.store, a.client, a.reconcilers.RecordDemand)
	return a
}

// Watch implements api.Agent. Its callers are this agent's proxy and other agents of the zone.
func (a *Agent) Watch(ctx context.Context, request *api.WatchRequest) (*api.WatchReply, error) {
	if request.Subscriber == "" {
		a.lastProxyPoll.Store(time.Now().UnixNano())
	}
	wait := min(maxWatchWait, time.Duration(request.WaitMs)*time.Millisecond)
	return a.store.HandleWatch(ctx, request, wait), nil
}

// ReportDemand implements api.Agent. Its caller is this agent's own proxy.
func (a *Agent) ReportDemand(ctx context.Context, report *api.DemandReport) (*api.DemandReply, error) {
	report.Zone = a.settings.Zone
	return a.demand.handleOwnReport(ctx, report), nil
}

// PassDemand implements api.Agent. Its callers are agents of the zone and relays of other zones, which forward reports.
func (a *Agent) PassDemand(_ context.Context, batch *api.DemandBatch) (*api.DemandReply, error) {
	return a.demand.handleForwarded(batch), nil
}

// controls returns the addresses of the control processes, in the order in which this agent tries them.
func (a *Agent) controls() []string { return controlAddresses(a.settings, a.store.ControlNodes()) }
