package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/multierr"

	"marlreel/internal/api"
	"marlreel/internal/balancer/budgetshare"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/bootstrap"
	"marlreel/internal/process/host"
	"marlreel/internal/process/metricserver"
	"marlreel/internal/process/transport"
)

const (
	// feedWait is how long the agent may let the proxy wait where there is no news.
	feedWait = time.Second
	// keptFiles are descriptors for everything but connections.
	keptFiles = 300
	// noticeTime is how long the platform takes to see that a proxy is not ready.
	noticeTime = 2500 * time.Millisecond
	// quitMargin is how long before the platform's patience ends a proxy ends by itself.
	quitMargin = 600 * time.Millisecond
	// unsentPatience is how long a request may wait in a proxy that quits before it is
	// refused, so that its client turns to another one.
	unsentPatience = 300 * time.Millisecond
	// drainLook is how often a proxy that quits looks whether it is idle.
	drainLook = 50 * time.Millisecond
	// headerBuffer holds the longest head that is taken.
	headerBuffer = 16 << 10
)

// Run is a proxy until ctx ends, and then until its clients have their answers.
func Run(ctx context.Context, machine *host.Host) error {
	settings, log := machine.Settings, machine.Log
	source := watch.New(settings.NodeName, time.Now)
	zones := make([]string, 0, len(settings.Zones))
	for zone := range settings.Zones {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	g := New(Config{
		Dial: machine.Network.Dial, Name: settings.NodeName, Zone: settings.Zone, Zones: zones, Log: log,
		BodyBytes: settings.Limits.MemoryMB << 20 / 4, Connections: max(64, (settings.Limits.MaxOpenFiles-keptFiles)/2), Bounds: boundsOf(settings.Bounds),
	}, source)
	front := g.newServer(g.Handle)
	front.MaxRequestBodySize = 64 << 20
	front.ReadBufferSize = headerBuffer
	front.Concurrency = max(64, (settings.Limits.MaxOpenFiles-keptFiles)/2)
	readiness := g.newServer(g.ServeReadiness)

	defer g.stopServices()

	failures := make(chan error, 2)
	listeners := map[string]*fasthttp.Server{settings.Listen.Front: front, settings.Listen.Readiness: readiness}
	for address, server := range listeners {
		listener, err := machine.Network.Listen(address)
		if err != nil {
			return eris.Wrapf(err, "listening at %s", address)
		}
		go func() { failures <- server.Serve(listener) }()
	}
	client := transport.NewClient(machine.Network.Dial)
	following, stopFollowing := context.WithCancel(context.Background())
	defer stopFollowing()
	go watch.RunSubscriber(following, source, watch.SubscriberConfig{
		Sources: func() []string { return []string{settings.AgentLoopback()} },
		Connect: func(address string) watch.Source { return api.NewAgentProtobufClient("http://"+address, client) },
		OnReply: func(changed bool) {
			if changed || !g.ready.Load() {
				g.Update()
			}
			g.Heard()
		},
		MaxWait: feedWait, Log: log,
	})
	agent := api.NewAgentProtobufClient("http://"+settings.AgentLoopback(), client)
	go g.reportDemand(following, agent)
	go metricserver.Serve(following, machine.Network, settings.MetricsAddress(bootstrap.ProxyMetrics), g.figures, log)
	log.Info("proxy serves", "event", "start", "front", settings.Listen.Front)
	select {
	case <-ctx.Done():
	case err := <-failures:
		return eris.Wrap(err, "serving")
	}
	return quit(g, front, readiness, bootstrap.Seconds(settings.Bounds.ShutdownGraceS), log)
}

// reportDemand tells the agent what is asked for and what was sent, and takes in what others have sent,
// until ctx ends.
func (g *Gateway) reportDemand(ctx context.Context, agent api.Agent) {
	idle := false
	g.demand.run(ctx, g.reportInterval, func(demands []*api.Demand) {
		backlogs := g.backlogs()
		told := idle // a backlog that has gone has to be told once
		idle = len(demands) == 0 && !slices.ContainsFunc(backlogs, func(b *api.Backlog) bool { return len(b.Backends) > 0 })
		if idle && told {
			return
		}
		call, cancel := context.WithTimeout(ctx, feedWait)
		defer cancel()
		reply, err := agent.ReportDemand(call, &api.DemandReport{Node: g.self.name, Demands: demands, Backlogs: backlogs})
		if err != nil {
			return // what is lost is asked again, or not asked any more
		}
		g.heardOthers(reply)
	})
}

func boundsOf(b bootstrap.Bounds) Bounds {
	return Bounds{ColdExcess: b.WarmupExcess, ColdSlack: b.WarmupSlack, Repeats: budgetshare.RepeatsConfig{
		Ratio: b.RetryBudgetRatio,
		Slack: b.RetrySlack, Window: bootstrap.Seconds(b.RetryWindowS),
	}}
}

// newServer makes a server for a handler, with the limits that hold for all.
func (g *Gateway) newServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler, NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		DisablePreParseMultipartForm: true, Logger: quiet{}, HeaderReceived: g.limits, IdleTimeout: usualIdle,
		ReadTimeout: usualRead,
	}
}

const (
	// usualIdle and usualRead hold until a configuration says otherwise.
	usualIdle = 15 * time.Second
	usualRead = 15 * time.Second
	// bodyTime is how much longer than its head a request's body may take.
	bodyTime = 10 * time.Second
)

// limits bound a request by the configuration in force.
func (g *Gateway) limits(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	document := g.plan.Load().document
	if document == nil {
		return fasthttp.RequestConfig{}
	}
	l := document.Limits
	return fasthttp.RequestConfig{MaxRequestBodySize: l.MaxBodyBytes, ReadTimeout: bootstrap.Milliseconds(l.HeaderTimeoutMS) + bodyTime}
}

// quit lets clients turn to others, and waits until those that are here have their answers.
func quit(g *Gateway, front, readiness *fasthttp.Server, grace time.Duration, log logr.Logger) error {
	g.Quit()
	log.Info("proxy quits", "event", "quit")
	began := time.Now()
	patience, cancel := context.WithDeadline(context.Background(), began.Add(grace-quitMargin))
	defer cancel()
	looks := time.NewTicker(drainLook)
	defer looks.Stop()
	for patience.Err() == nil && (time.Since(began) < noticeTime || front.GetOpenConnectionsCount() > 0) {
		select {
		case <-looks.C:
			g.shut.Store(time.Since(began) >= noticeTime)
			g.refuseUnsent()
		case <-patience.Done():
		}
	}
	g.failAll()
	last, stop := context.WithTimeout(context.Background(), quitMargin/2)
	defer stop()
	return multierr.Combine(ignoreDeadline(front.ShutdownWithContext(last)), ignoreDeadline(readiness.ShutdownWithContext(last)))
}

// ignoreDeadline lets pass that something was still under way when time was up.
func ignoreDeadline(err error) error {
	if eris.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// quiet drops the server's lines on single connections: broken ones are usual.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}
