// Package agent is the process beside each proxy that keeps the link to control: it
// renews the node's lease, follows the feed, and serves what it knows to its proxy and, as
// the home of a topic, to the other agents of its zone.
package agent

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"go.uber.org/multierr"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/lease"
	"marlreel/internal/controlplane/state"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/bootstrap"
	"marlreel/internal/process/host"
	"marlreel/internal/process/metricserver"
	"marlreel/internal/process/transport"
)

const (
	// longestWatch bounds how long a reader is kept waiting.
	longestWatch = 10 * time.Second
	// quitMargin is how long before the platform's patience ends an agent ends by itself.
	quitMargin = 300 * time.Millisecond
	// proxyLook is how often an agent that quits looks whether its proxy still asks, and
	// proxySilence after what time that one has ended.
	proxyLook    = 100 * time.Millisecond
	proxySilence = 2 * time.Second
	// shutdownPatience is how long calls in hand may take when the process ends.
	shutdownPatience = 500 * time.Millisecond
)

// Agent serves what it has been told, and holds roles.
type Agent struct {
	settings     *bootstrap.Settings
	feed         *watch.Store
	holder       string
	leases       *leases
	placers      *placers
	demand       *demandRelay
	backends     *backendClient
	observations *observations
	client       *transport.Client
	log          logr.Logger
	asked        atomic.Int64 // when the proxy asked last, in ns of the time of day
}

// Watch implements api.Agent.
func (a *Agent) Watch(ctx context.Context, request *api.WatchRequest) (*api.WatchReply, error) {
	if request.Subscriber == "" {
		a.asked.Store(time.Now().UnixNano())
	}
	wait := min(longestWatch, time.Duration(request.WaitMs)*time.Millisecond)
	return a.feed.HandleWatch(ctx, request, wait), nil
}

// ReportDemand implements api.Agent: this agent's own proxy reports.
func (a *Agent) ReportDemand(ctx context.Context, report *api.DemandReport) (*api.DemandReply, error) {
	report.Zone = a.settings.Zone
	return a.demand.own(ctx, report), nil
}

// PassDemand implements api.Agent: other agents of the zone, or homes of other zones, pass
// reports on.
func (a *Agent) PassDemand(_ context.Context, batch *api.DemandBatch) (*api.DemandReply, error) {
	return a.demand.passed(batch), nil
}

// controls are the control processes, the one to ask first in front.
func (a *Agent) controls() []string { return controlsOf(a.settings, a.feed.ControlNodes()) }

// holdsAny tells whether the feed names this agent as the holder of a role.
func (a *Agent) holdsAny() bool {
	holds := false
	a.feed.ReadState(func(m *state.Machine) {
		for _, o := range m.Ownerships() {
			holds = holds || o.Holder == a.holder
		}
	})
	return holds
}

// awaitRole waits until the feed names this agent as the holder of a role, or ctx ends.
func (a *Agent) awaitRole(ctx context.Context) {
	for ctx.Err() == nil {
		changed := a.feed.Changed()
		if a.holdsAny() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// Run is an agent until ctx ends.
func Run(parent context.Context, machine *host.Host) error {
	settings, log := machine.Settings, machine.Log
	// The link to control outlives the roles: the proxy still has its clients.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	incarnation := rand.Uint64()
	node := &api.Node{Name: settings.NodeName, Address: settings.PeerAddress(), Zone: settings.Zone, Incarnation: incarnation}
	client := transport.NewClient(machine.Network.Dial)
	a := &Agent{
		settings: settings, feed: watch.New(fmt.Sprintf("%s/%x", settings.NodeName, incarnation), time.Now),
		holder: lease.HolderID(settings.NodeName, incarnation), backends: newBackendClient(machine.Network.Dial), client: client, log: log,
	}
	a.leases = &leases{holder: a.holder, controls: a.controls, wanted: a.holdsAny, await: a.awaitRole, client: client, log: log}
	a.observations = newObservations(a)
	a.demand = newDemandRelay(a, node)
	a.placers = &placers{agent: a, running: map[string]*runningPlacer{}}
	server := transport.NewServer(nil, api.NewAgentServer(a))
	failures := make(chan error, 2)
	for _, address := range []string{settings.PeerAddress(), settings.AgentLoopback()} {
		listener, err := machine.Network.Listen(address)
		if err != nil {
			return eris.Wrapf(err, "listening at %s", address)
		}
		go func() { failures <- server.Serve(listener) }()
	}
	var loops sync.WaitGroup
	loops.Go(func() { newSubscriptions(a, node).run(ctx) })
	loops.Go(func() {
		(&membership{node: node, controls: a.controls, feed: a.feed, client: client, log: log}).run(ctx, parent)
	})
	loops.Go(func() { a.observations.run(ctx) })
	loops.Go(func() { a.leases.run(parent) })
	loops.Go(func() { a.placers.follow(parent) })
	go metricserver.Serve(ctx, machine.Network, settings.MetricsAddress(bootstrap.AgentMetrics), a.newFigures(), log)
	log.Info("agent serves", "event", "start", "peer", settings.PeerAddress())
	var failed error
	select {
	case <-parent.Done():
		a.leases.release()
		patience, over := context.WithTimeout(machine.UntilCrash(), bootstrap.Seconds(settings.Bounds.ShutdownGraceS)-quitMargin)
		a.outlive(patience)
		over()
	case failed = <-failures:
	}
	cancel()
	loops.Wait()
	patience, stop := context.WithTimeout(context.Background(), shutdownPatience)
	defer stop()
	return multierr.Append(failed, server.ShutdownWithContext(patience))
}

// outlive waits until the proxy asks no more, or ctx ends.
func (a *Agent) outlive(ctx context.Context) {
	looks := time.NewTicker(proxyLook)
	defer looks.Stop()
	for time.Since(time.Unix(0, a.asked.Load())) <= proxySilence {
		select {
		case <-looks.C:
		case <-ctx.Done():
			return
		}
	}
}

// controlsOf are the control processes to ask: those that the feed names and those of the
// settings; those of the agent's own zone first, and else each node in an order of its own,
// so that they share the load.
func controlsOf(settings *bootstrap.Settings, known []*api.ControlNode) []string {
	near := map[string]bool{}
	all := slices.Clone(settings.SeedPeers())
	for _, control := range known {
		all = append(all, control.Address)
		near[control.Address] = control.Zone == settings.Zone
	}
	slices.Sort(all)
	all = slices.Compact(all)
	rank := func(address string) uint64 {
		hash := fnv.New32a()
		io.WriteString(hash, settings.NodeName+" "+address)
		if near[address] {
			return uint64(hash.Sum32())
		}
		return uint64(hash.Sum32()) + 1<<32
	}
	slices.SortStableFunc(all, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return all
}
