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
	// standingEvery is how often the feed is told where this process stands.
	standingEvery = 100 * time.Millisecond
	// shutdownPatience is how long calls in hand may take when the process ends.
	shutdownPatience = time.Second
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
	keeper := NewKeeper(machine, NewPeers(ctx, client, socket), out)
	go receiveDatagrams(socket, keeper.Deliver)
	self := &api.ControlNode{Address: settings.PeerAddress(), Zone: settings.Zone, PublicAddress: settings.Listen.Control}
	registry := NewRegistry(self, out, settings.HeartbeatInterval(), client)
	service := &Service{
		keeper: keeper, registry: registry, feed: out, self: settings.PeerAddress(), client: client,
		incoming: newIncoming(),
	}
	members := &memberList{seeds: settings.SeedPeers}
	service.owners = newOwners(settings.Bounds, out, func() (uint64, bool) { return members.headOf(settings.PeerAddress()) },
		service.grant, log)

	peers := transport.NewServer(nil, api.NewChainPeerServer(service), api.NewControlServer(service))
	operators := transport.NewServer(service.Handle)
	operators.MaxRequestBodySize = largestBody
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
	loops.Go(func() { registry.Run(ctx, members.get) })
	loops.Go(func() { service.owners.run(ctx) })
	loops.Go(func() { followStanding(ctx, keeper, registry, out, members) })
	go metricserver.Serve(ctx, machine.Network, settings.MetricsAddress(bootstrap.ControlMetrics), service.newFigures(), log)
	log.Info("control serves", "event", "start", "peer", settings.PeerAddress(), "control", settings.Listen.Control)

	var failed error
	select {
	case <-parent.Done():
		log.Info("leaves the chain", "event", "end")
		leaving, over := context.WithTimeout(machine.UntilCrash(), leavePatience(settings))
		keeper.Leave(leaving)
		over()
	case failed = <-failures:
	}
	patience, stop := context.WithTimeout(context.Background(), shutdownPatience)
	defer stop()
	failed = multierr.Combine(failed, operators.ShutdownWithContext(patience))
	cancel()
	loops.Wait()
	return multierr.Append(failed, peers.ShutdownWithContext(patience))
}

// leavePatience is how long a process that is told to end waits until the chain can do without it:
// long enough for another member to take a state of some MB in, and within the platform's patience.
func leavePatience(settings *bootstrap.Settings) time.Duration {
	const share, most = 2, 4 * time.Second
	return min(bootstrap.Seconds(settings.Bounds.ShutdownGraceS)/share, most)
}

// memberList are the addresses of the control processes, as last known.
type memberList struct {
	mu      sync.Mutex
	seeds   func() []string
	members []string
	head    string // "": this process is not connected
	view    uint64
}

// headOf tells whether a process is the head of a chain to which this one is connected, and of which view.
func (l *memberList) headOf(self string) (view uint64, isHead bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view, l.head == self
}

func (l *memberList) get() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.members) > 0 {
		return l.members
	}
	return l.seeds()
}

func (l *memberList) set(s Standing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members, l.head, l.view = s.Members, "", s.View
	if s.Connected {
		l.head = s.Head
	}
}

// followStanding tells the feed whether this process's word is fresh, and since long enough.
func followStanding(ctx context.Context, keeper *Keeper, registry *Registry, out *watch.Store, members *memberList) {
	ticker := time.NewTicker(standingEvery)
	defer ticker.Stop()
	word := standingWord{establishedAfter: registry.Silence()}
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		keeper.Standing(func(s Standing) {
			members.set(s)
			out.SetControlNodes(registry.Places(s.Members))
			out.SetSourceStatus(word.of(s, time.Now()))
		})
	}
}

// standingWord is what a control process's word is worth to those that read its feed.
type standingWord struct {
	establishedAfter time.Duration
	connectedSince   time.Time // zero: it is not connected
}

// of takes in where the process stands at a time.
func (w *standingWord) of(s Standing, now time.Time) watch.SourceStatus {
	switch {
	case !s.Connected:
		w.connectedSince = time.Time{}
	case w.connectedSince.IsZero():
		w.connectedSince = now
	}
	return watch.SourceStatus{Fresh: s.Connected, Established: s.Connected && now.Sub(w.connectedSince) > w.establishedAfter}
}
