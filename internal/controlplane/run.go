package controlplane

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/multierr"

	"marlreel/internal/api"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/bootstrap"
	"marlreel/internal/process/host"
	"marlreel/internal/process/logevent"
	"marlreel/internal/process/metricserver"
	"marlreel/internal/process/transport"
)

const (
	// shutdownTimeout is how long pending calls may take when the process shuts down.
	shutdownTimeout = time.Second
	// maxLeaveTimeout bounds the time to leave the chain. It is long enough for another member to receive a state of
	// several MB.
	maxLeaveTimeout = 4 * time.Second
	// leaveGraceDivisor is the divisor of the platform's grace period that gives the time to leave the chain.
	leaveGraceDivisor = 2
)

// Run runs a control process until parent ends and the process has left the chain, or until one of its servers fails.
// It returns that failure.
func Run(parent context.Context, machine *host.Host) error {
	// After parent has ended, the process continues to serve until it has left the chain.
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	defer cancel()
	socket, err := machine.Network.ListenPacket(machine.Settings.PeerAddress())
	if err != nil {
		return eris.Wrapf(err, "listening at %s", machine.Settings.PeerAddress())
	}
	p := newControlProcess(ctx, machine, socket)
	defer p.closeSocket()
	if err := p.startServers(); err != nil {
		return err
	}
	p.startLoops(ctx)
	p.host.Log.Info(logevent.ControlStarted, logevent.KeyAddress, p.host.Settings.PeerAddress(),
		logevent.KeyControlAddress, p.host.Settings.Listen.Control)
	err = p.waitForEnd(parent)
	return multierr.Append(err, p.shutdown(ctx, cancel))
}

// controlProcess is a running control process. It owns its servers, their listeners, its socket and its goroutines.
type controlProcess struct {
	host       *host.Host
	socket     net.PacketConn
	sender     *PeerSender
	runner     *ReplicaRunner
	membership *Membership
	service    *Service
	view       *chainView

	peers       *fasthttp.Server // for other processes of the system
	operators   *fasthttp.Server // for operators and backends
	listeners   []net.Listener
	serveErrors chan error
	serving     sync.WaitGroup // ends when the listeners and the socket are closed
	loops       sync.WaitGroup // ends with the context
}

// newControlProcess makes a process whose parts end with ctx, and receives datagrams from its socket.
func newControlProcess(ctx context.Context, machine *host.Host, socket net.PacketConn) *controlProcess {
	settings := machine.Settings
	client := transport.NewClient(machine.Network.Dial)
	feed := watch.New(fmt.Sprintf("%s/%x", settings.NodeName, rand.Uint64()), time.Now)
	self := &api.ControlNode{Address: settings.PeerAddress(), Zone: settings.Zone, PublicAddress: settings.Listen.Control}
	clock := newProcessClock()
	p := &controlProcess{host: machine, socket: socket, view: &chainView{seeds: settings.SeedPeers}, serveErrors: make(chan error, 2)}
	p.sender = NewPeerSender(ctx, client, socket)
	p.runner = NewReplicaRunner(machine, p.sender, feed, clock)
	p.membership = NewMembership(self, feed, settings.HeartbeatInterval(), client)
	p.service = &Service{
		runner: p.runner, membership: p.membership, feed: feed, transfers: newTransferLimit(), self: settings.PeerAddress(), client: client,
		clock: clock, fragments: newReassembler(), log: machine.Log,
	}
	headOfView := func() (uint64, bool) { return p.view.headOf(settings.PeerAddress()) }
	p.service.leases = newLeaseGranter(settings.Bounds, feed, headOfView, p.service.submitGrant, time.Now)
	p.serving.Go(func() { receiveDatagrams(socket, p.runner.Deliver) })
	return p
}

// startServers starts the servers for other processes, and for operators and backends.
func (p *controlProcess) startServers() error {
	p.peers = transport.NewServer(nil, api.NewChainPeerServer(p.service), api.NewControlServer(p.service))
	p.operators = transport.NewServer(p.service.Handle)
	p.operators.MaxRequestBodySize = maxConfigurationBytes
	for _, address := range []string{p.host.Settings.PeerAddress(), p.host.Settings.Listen.Control} {
		listener, err := p.host.Network.Listen(address)
		if err != nil {
			p.closeListeners()
			return eris.Wrapf(err, "listening at %s", address)
		}
		p.listeners = append(p.listeners, listener)
	}
	for i, server := range []*fasthttp.Server{p.peers, p.operators} {
		p.serving.Go(func() { p.serveErrors <- server.Serve(p.listeners[i]) })
	}
	return nil
}

// startLoops starts the background goroutines, which run until ctx ends.
func (p *controlProcess) startLoops(ctx context.Context) {
	feed, settings := p.service.feed, p.host.Settings
	p.loops.Go(func() { p.runner.Run(ctx) })
	p.loops.Go(func() { p.membership.Run(ctx, p.view.addresses) })
	p.loops.Go(func() { p.service.leases.run(ctx) })
	p.loops.Go(func() { publishChainStatus(ctx, p.runner, p.membership, feed, p.view) })
	p.loops.Go(func() {
		metricserver.Serve(ctx, p.host.Network, settings.MetricsAddress(bootstrap.ControlMetrics), p.service.newMetrics(), p.host.Log)
	})
}

// waitForEnd waits until parent ends and this process has left the chain, or until a server fails. It returns that
// failure.
func (p *controlProcess) waitForEnd(parent context.Context) error {
	select {
	case err := <-p.serveErrors:
		return err
	case <-parent.Done():
	}
	p.host.Log.Info(logevent.ChainLeaving)
	ctx, cancel := context.WithTimeout(p.host.UntilCrash(), leaveTimeout(p.host.Settings))
	defer cancel()
	p.runner.Leave(ctx) //nolint:contextcheck // parent has ended; this context ends with a simulated crash
	return nil
}

// leaveTimeout is how long a process that shuts down waits until it has left the chain, within the platform's grace
// period.
func leaveTimeout(settings *bootstrap.Settings) time.Duration {
	return min(bootstrap.Seconds(settings.Bounds.ShutdownGraceS)/leaveGraceDivisor, maxLeaveTimeout)
}

// shutdown stops the servers and the loops: the server for operators first, that for peers last. stop cancels ctx, the
// context of the loops and of the sender.
func (p *controlProcess) shutdown(ctx context.Context, stop context.CancelFunc) error {
	pending, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	err := p.operators.ShutdownWithContext(pending)
	stop()
	p.loops.Wait()
	err = multierr.Append(err, p.peers.ShutdownWithContext(pending))
	p.closeListeners()
	p.membership.Wait()
	p.sender.Wait()
	return err
}

// closeListeners closes the listeners that the servers have not closed.
func (p *controlProcess) closeListeners() {
	for _, listener := range p.listeners {
		_ = listener.Close() // a server that has shut down has closed it
	}
}

// closeSocket closes the socket, and waits for the goroutines that receive from it and for the servers.
func (p *controlProcess) closeSocket() {
	_ = p.socket.Close()
	p.serving.Wait()
}
