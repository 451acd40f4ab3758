package controlplane

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/multierr"

	"marlreel/internal/api"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/bootstrap"
	"marlreel/internal/process/host"
	"marlreel/internal/process/metricserver"
	"marlreel/internal/process/transport"
)

const (
	// chainStatusInterval is how often the feed is told where this process stands.
	chainStatusInterval = 100 * time.Millisecond
	// shutdownTimeout is how long calls in hand may take when the process ends.
	shutdownTimeout = time.Second
)

// Run is a control process until parent ends and the chain can do without it.
func Run(parent context.Context, machine *host.Host) error {
	settings, log := machine.Settings, machine.Log
	// The process serves on until the chain can do without it.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := transport.NewClient(machine.Network.Dial)
	out := watch.New(fmt.Sprintf("%s/%x", settings.NodeName, rand.Uint64()), time.Now)
	socket, err := machine.Network.ListenPacket(settings.PeerAddress())
	if err != nil {
		return eris.Wrapf(err, "listening at %s", settings.PeerAddress())
	}
	defer socket.Close()
	keeper := NewReplicaRunner(machine, NewPeerSender(ctx, client, socket), out)
	go receiveDatagrams(socket, keeper.Deliver)
	self := &api.ControlNode{Address: settings.PeerAddress(), Zone: settings.Zone, PublicAddress: settings.Listen.Control}
	registry := NewMembership(self, out, settings.HeartbeatInterval(), client)
	service := &Service{
		runner: keeper, membership: registry, feed: out, self: settings.PeerAddress(), client: client,
		fragments: newReassembler(),
	}
	members := &chainView{seeds: settings.SeedPeers}
	service.leases = newLeaseManager(settings.Bounds, out, func() (uint64, bool) { return members.headOf(settings.PeerAddress()) },
		service.grant, log)

	peers := transport.NewServer(nil, api.NewChainPeerServer(service), api.NewControlServer(service))
	operators := transport.NewServer(service.Handle)
	operators.MaxRequestBodySize = maxConfigurationBytes
	var servers sync.WaitGroup
	failures := make(chan error, 2)
	for address, server := range map[string]*fasthttp.Server{settings.PeerAddress(): peers, settings.Listen.Control: operators} {
		listener, err := machine.Network.Listen(address)
		if err != nil {
			return eris.Wrapf(err, "listening at %s", address)
		}
		servers.Go(func() { failures <- server.Serve(listener) })
	}
	var loops sync.WaitGroup
	loops.Go(func() { keeper.Run(ctx) })
	loops.Go(func() { registry.Run(ctx, members.addresses) })
	loops.Go(func() { service.leases.run(ctx) })
	loops.Go(func() { publishChainStatus(ctx, keeper, registry, out, members) })
	go metricserver.Serve(ctx, machine.Network, settings.MetricsAddress(bootstrap.ControlMetrics), service.newMetrics(), log)
	log.Info("control serves", "event", "start", "peer", settings.PeerAddress(), "control", settings.Listen.Control)

	var failed error
	select {
	case <-parent.Done():
		log.Info("leaves the chain", "event", "end")
		leaving, over := context.WithTimeout(machine.UntilCrash(), leaveTimeout(settings))
		keeper.Leave(leaving)
		over()
	case failed = <-failures:
	}
	patience, stop := context.WithTimeout(context.Background(), shutdownTimeout)
	defer stop()
	failed = multierr.Combine(failed, operators.ShutdownWithContext(patience))
	cancel()
	loops.Wait()
	return multierr.Append(failed, peers.ShutdownWithContext(patience))
}

// leaveTimeout is how long a process that is told to end waits until the chain can do without it:
// long enough for another member to take a state of some MB in, and within the platform's patience.
func leaveTimeout(settings *bootstrap.Settings) time.Duration {
	const share, most = 2, 4 * time.Second
	return min(bootstrap.Seconds(settings.Bounds.ShutdownGraceS)/share, most)
}

// chainView are the addresses of the control processes, as last known.
type chainView struct {
	mu      sync.Mutex
	seeds   func() []string
	members []string
	head    string // "": this process is not connected
	view    uint64
}

// headOf tells whether a process is the head of a chain to which this one is connected, and of which view.
func (l *chainView) headOf(self string) (view uint64, isHead bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view, l.head == self
}

func (l *chainView) addresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.members) > 0 {
		return l.members
	}
	return l.seeds()
}

func (l *chainView) OnChainStatus(s ChainStatus) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members, l.head, l.view = s.Members, "", s.View
	if s.Connected {
		l.head = s.Head
	}
}

// publishChainStatus tells the feed whether this process's word is fresh, and since long enough.
func publishChainStatus(ctx context.Context, keeper *ReplicaRunner, registry *Membership, out *watch.Store, members *chainView) {
	ticker := time.NewTicker(chainStatusInterval)
	defer ticker.Stop()
	word := freshnessTracker{establishedAfter: registry.BackendTimeout()}
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		keeper.ChainStatus(func(s ChainStatus) {
			members.OnChainStatus(s)
			out.SetControlNodes(registry.ControlNodes(s.Members))
			out.SetSourceStatus(word.OnChainStatus(s, time.Now()))
		})
	}
}

// freshnessTracker is what a control process's word is worth to those that read its feed.
type freshnessTracker struct {
	establishedAfter time.Duration
	connectedSince   time.Time // zero: it is not connected
}

// OnChainStatus takes in where the process stands at a time.
func (w *freshnessTracker) OnChainStatus(s ChainStatus, now time.Time) watch.SourceStatus {
	switch {
	case !s.Connected:
		w.connectedSince = time.Time{}
	case w.connectedSince.IsZero():
		w.connectedSince = now
	}
	return watch.SourceStatus{Fresh: s.Connected, Established: s.Connected && now.Sub(w.connectedSince) > w.establishedAfter}
}
