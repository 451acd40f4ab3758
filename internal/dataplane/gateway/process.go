package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"marlreel/internal/api"
	"marlreel/internal/balancer/budgetshare"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/bootstrap"
	"marlreel/internal/process/host"
	"marlreel/internal/process/logevent"
	"marlreel/internal/process/metricserver"
	"marlreel/internal/process/transport"
)

const (
	// agentMaxWait is how long the agent may delay a reply that has no update.
	agentMaxWait = time.Second
	// reservedFiles are file descriptors for everything but connections.
	reservedFiles = 300
	// minConnections is the lowest connection limit, however low the limit of file descriptors is.
	minConnections = 64
	// bodyMemoryShare divides the process's memory limit: bodies get one part.
	bodyMemoryShare = 4
)

// Run runs a proxy until ctx ends, and then drains it. It does not wait for pending calls to the agent: they end with
// the process.
func Run(ctx context.Context, machine *host.Host) error {
	settings, log := machine.Settings, machine.Log
	state := watch.New(settings.NodeName, time.Now)
	g := New(configOf(machine), state)
	g.quota = newOwnerGate(machine, state, g.metrics) //nolint:contextcheck // fasthttp dials without a context; each call has a deadline instead
	defer g.stopServices()
	front := g.newFrontServer(connectionLimit(settings.Limits))
	readiness := g.newServer(g.HandleReadiness)
	failures := make(chan error, 2)
	if err := listen(machine.Network, settings.Listen.Front, front, failures); err != nil {
		return err
	}
	if err := listen(machine.Network, settings.Listen.Readiness, readiness, failures); err != nil {
		return err
	}
	// While the proxy drains, it goes on watching the state and reporting demand.
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	metrics := g.startBackground(background, machine)
	defer metrics.Wait()
	defer stopBackground()
	log.Info(logevent.ProxyStarted, logevent.KeyAddress, settings.Listen.Front)
	select {
	case <-ctx.Done():
	case err := <-failures:
		return eris.Wrap(err, "serving")
	}
	return g.drain(ctx, front, readiness, bootstrap.Seconds(settings.Bounds.ShutdownGraceS))
}

// listen serves at an address. If the server fails later, its error is sent to failures.
func listen(network host.Network, address string, server *fasthttp.Server, failures chan<- error) error {
	listener, err := network.Listen(address)
	if err != nil {
		return eris.Wrapf(err, "listening at %s", address)
	}
	go func() { failures <- server.Serve(listener) }()
	return nil
}

// startBackground starts what a proxy does besides serving requests, until ctx ends: it watches the agent's state,
// reports demand, and serves metrics. The returned group waits for the metrics server, whose port the next process
// needs.
func (g *Gateway) startBackground(ctx context.Context, machine *host.Host) *sync.WaitGroup {
	settings := machine.Settings
	client := transport.NewClient(machine.Network.Dial)
	go watch.RunSubscriber(ctx, g.state, watch.SubscriberConfig{
		Sources: func() []string { return []string{settings.AgentLoopback()} },
		Connect: func(address string) watch.Source { return api.NewAgentProtobufClient("http://"+address, client) },
		OnReply: func(changed bool) {
			if changed || !g.ready.Load() {
				g.ApplyState(ctx)
			}
			g.OnAgentReply()
		},
		MaxWait: agentMaxWait, Log: machine.Log,
	})
	go g.reportDemand(ctx, api.NewAgentProtobufClient("http://"+settings.AgentLoopback(), client))
	metrics := new(sync.WaitGroup)
	metrics.Go(func() {
		metricserver.Serve(ctx, machine.Network, settings.MetricsAddress(bootstrap.ProxyMetrics), g.metrics, machine.Log)
	})
	return metrics
}

// configOf returns the configuration of a gateway on a machine.
func configOf(machine *host.Host) Config {
	settings := machine.Settings
	zones := make([]string, 0, len(settings.Zones))
	for zone := range settings.Zones {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	return Config{
		Dial: machine.Network.Dial, Name: settings.NodeName, Zone: settings.Zone, Zones: zones, Log: machine.Log,
		BodyBytes: settings.Limits.MemoryMB << 20 / bodyMemoryShare, MaxConnections: connectionLimit(settings.Limits),
		Budgets: sharedBudgetsOf(settings.Bounds),
	}
}

// connectionLimit returns how many connections a proxy may have with clients, and with the backends of each service.
func connectionLimit(limits bootstrap.Limits) int {
	return max(minConnections, (limits.MaxOpenFiles-reservedFiles)/2)
}

func sharedBudgetsOf(b bootstrap.Bounds) SharedBudgets {
	return SharedBudgets{
		WarmupExcess: b.WarmupExcess, WarmupSlack: b.WarmupSlack,
		Retry: budgetshare.RetryConfig{Ratio: b.RetryBudgetRatio, Slack: b.RetrySlack, Window: bootstrap.Seconds(b.RetryWindowS)},
	}
}
