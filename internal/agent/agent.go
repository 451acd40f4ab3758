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

// maxWatchWait bounds how long a subscriber's poll is held, whatever it asks for. Raising it keeps the connections of
// subscribers that have gone for longer, lowering it costs polls without an update.
const maxWatchWait = 10 * time.Second

// Agent serves its proxy and its peers. All methods may be called by any goroutine.
type Agent struct {
	settings     *bootstrap.Settings
	node         *api.Node // this node, as it is listed in the membership
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

// newAgent wires an agent that does nothing yet.
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

// Watch implements api.Agent: this agent's proxy and other agents of the zone watch.
func (a *Agent) Watch(ctx context.Context, request *api.WatchRequest) (*api.WatchReply, error) {
	if request.Subscriber == "" {
		a.lastProxyPoll.Store(time.Now().UnixNano())
	}
	wait := min(maxWatchWait, time.Duration(request.WaitMs)*time.Millisecond)
	return a.store.HandleWatch(ctx, request, wait), nil
}

// ReportDemand implements api.Agent: this agent's own proxy reports.
func (a *Agent) ReportDemand(ctx context.Context, report *api.DemandReport) (*api.DemandReply, error) {
	report.Zone = a.settings.Zone
	return a.demand.handleOwnReport(ctx, report), nil
}

// PassDemand implements api.Agent: agents of the zone, or relays of other zones, forward reports.
func (a *Agent) PassDemand(_ context.Context, batch *api.DemandBatch) (*api.DemandReply, error) {
	return a.demand.handleForwarded(batch), nil
}

// controls returns the addresses of the control processes, in the order in which this agent asks them.
func (a *Agent) controls() []string { return controlAddresses(a.settings, a.store.ControlNodes()) }
