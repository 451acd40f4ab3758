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
	// exitMargin is how long before the end of the platform's grace period an agent exits. Raising it leaves the proxy
	// without updates earlier; lowering it risks that the platform kills the agent.
	exitMargin = 300 * time.Millisecond
	// proxyPollCheck is how often a draining agent checks whether its proxy still polls. proxyPollTimeout is the time
	// without a poll after which the proxy counts as exited. It must be longer than a poll, or agents exit before their
	// proxies; raising it delays each shutdown.
	proxyPollCheck   = 100 * time.Millisecond
	proxyPollTimeout = 2 * time.Second
	// shutdownTimeout is how long calls in flight may take when the process exits.
	shutdownTimeout = 500 * time.Millisecond
)

// Run runs an agent until ctx ends, and then drains it: the agent gives up its leases at once, and serves its proxy until
// the proxy has exited or the grace period ends. Run returns an error if the agent can't listen or its server fails.
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
	// The connection to control outlives the leases, because the proxy still serves clients.
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
	closeAll(listeners) // including those that the server does not serve yet
	serving.Wait()
	return failure
}

// listen opens listeners at all addresses, or at none if one fails.
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

// start starts the agent's tasks: those of the connection to control end with linkCtx, those that need leases with
// leaseCtx. All have ended once both contexts have.
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

// drain gives up the leases and waits for the proxy to exit, within the grace period.
func (a *Agent) drain(ctx context.Context, machine *host.Host) {
	a.leases.release(ctx)
	grace := bootstrap.Seconds(a.settings.Bounds.ShutdownGraceS) - exitMargin
	graceCtx, cancel := context.WithTimeout(machine.UntilCrash(), grace)
	defer cancel()
	a.awaitProxyExit(graceCtx) //nolint:contextcheck // ctx outlives a simulated crash; this one ends with it
}

// awaitProxyExit waits until the proxy has stopped polling or ctx ends.
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
