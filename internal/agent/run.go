package agent

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/multierr"

	"marlreel/internal/api"
	"marlreel/internal/process/bootstrap"
	"marlreel/internal/process/host"
	"marlreel/internal/process/logevent"
	"marlreel/internal/process/metricserver"
	"marlreel/internal/process/transport"
)

const (
	// exitMargin is how long before the platform's grace period ends an agent exits by itself. Raising it leaves its proxy
	// without updates earlier, lowering it risks being killed.
	exitMargin = 300 * time.Millisecond
	// proxyPollCheck is how often a draining agent looks whether its proxy still polls, and proxyPollTimeout after what time
	// without a poll the proxy counts as exited. The latter has to be longer than a poll, or agents leave their proxies
	// alone; raising it delays each shutdown.
	proxyPollCheck   = 100 * time.Millisecond
	proxyPollTimeout = 2 * time.Second
	// shutdownTimeout is how long calls in flight may take when the process exits.
	shutdownTimeout = 500 * time.Millisecond
)

// Run is an agent until ctx ends, and then drains: it gives its leases up at once, and serves its proxy until that has
// exited or the grace period ends. It returns an error where it can't listen, or no longer.
func Run(ctx context.Context, machine *host.Host) error {
	a := newAgent(machine) //nolint:contextcheck // fasthttp dials without a context; each call has a deadline instead
	listeners, err := listen(machine.Network, a.settings.PeerAddress(), a.settings.AgentLoopback())
	if err != nil {
		return err
	}
	server := transport.NewServer(nil, api.NewAgentServer(a), api.NewQuotaOwnerServer(a))
	failures := make(chan error, len(listeners))
	var serving sync.WaitGroup
	for _, listener := range listeners {
		serving.Go(func() { failures <- server.Serve(listener) })
	}
	// The connection to control outlives the leases: the proxy still has its clients.
	linkCtx, disconnect := context.WithCancel(context.WithoutCancel(ctx))
	defer disconnect()
	leaseCtx, stopLeases := context.WithCancel(ctx)
	defer stopLeases()
	tasks := a.start(linkCtx, leaseCtx, machine)
	a.log.Info(logevent.AgentStarted, logevent.KeyAddress, a.settings.PeerAddress())
	var failure error
	select {
	case <-ctx.Done():
		a.drain(linkCtx, machine)
	case failure = <-failures:
	}
	stopLeases()
	disconnect()
	a.demand.stop()
	tasks.Wait()
	failure = multierr.Append(failure, shutDown(ctx, server))
	closeAll(listeners) // also of those that were not served yet
	serving.Wait()
	return failure
}

// listen opens some addresses, all or none.
func listen(network host.Network, addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		listener, err := network.Listen(address)
		if err != nil {
			closeAll(listeners)
			return nil, eris.Wrapf(err, "listening at %s", address)
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

// closeAll closes listeners, some of which may be closed already.
func closeAll(listeners []net.Listener) {
	for _, listener := range listeners {
		_ = listener.Close()
	}
}

// start starts the agent's tasks: those of the connection to control end with linkCtx, those under leases with leaseCtx,
// and all of them by the latter of the two.
func (a *Agent) start(linkCtx, leaseCtx context.Context, machine *host.Host) *sync.WaitGroup {
	tasks := new(sync.WaitGroup)
	subscriptions := newSubscriptions(a)
	membership := &membership{node: a.node, controls: a.controls, store: a.store, client: a.client, log: a.log}
	metricsAddress := a.settings.MetricsAddress(bootstrap.AgentMetrics)
	metrics := a.newMetrics()
	tasks.Go(func() { subscriptions.run(linkCtx) })
	tasks.Go(func() { membership.run(linkCtx, leaseCtx) })
	tasks.Go(func() { a.observations.run(linkCtx) })
	tasks.Go(func() { a.leases.run(leaseCtx) })
	tasks.Go(func() { a.reconcilers.Run(leaseCtx) })
	tasks.Go(func() { metricserver.Serve(linkCtx, machine.Network, metricsAddress, metrics, a.log) })
	return tasks
}

// drain gives the leases up and waits until the proxy has exited, within the grace period.
func (a *Agent) drain(ctx context.Context, machine *host.Host) {
	a.leases.release(ctx)
	grace := bootstrap.Seconds(a.settings.Bounds.ShutdownGraceS) - exitMargin
	graceCtx, cancel := context.WithTimeout(machine.UntilCrash(), grace)
	defer cancel()
	a.awaitProxyExit(graceCtx) //nolint:contextcheck // ctx outlives a simulated crash; this one ends with it
}

// awaitProxyExit waits until the proxy polls no more, or ctx ends.
func (a *Agent) awaitProxyExit(ctx context.Context) {
	ticker := time.NewTicker(proxyPollCheck)
	defer ticker.Stop()
	for time.Since(time.Unix(0, a.lastProxyPoll.Load())) <= proxyPollTimeout {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// shutDown closes a server's listeners and waits for the calls in flight.
func shutDown(ctx context.Context, server *fasthttp.Server) error {
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return server.ShutdownWithContext(shutdownCtx)
}
