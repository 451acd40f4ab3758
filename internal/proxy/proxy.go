// Package proxy assembles a proxy from its parts: the engine, the front and the carrier of each protocol, and discovery.
// It handles their start, readiness, reload and drain; what they do is decided in their own packages.
package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"marlreel/internal/actionable"
	"marlreel/internal/config"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/dataplane/httpproxy"
	"marlreel/internal/dataplane/msgpackrpc"
	"marlreel/internal/discovery/membership"
	"marlreel/internal/discovery/platformwatch"
	"marlreel/internal/discovery/sources"
	"marlreel/internal/process/adminserver"
	"marlreel/internal/process/budget"
	"marlreel/internal/process/handover"
	"marlreel/internal/process/learnedstate/statefile"
	"marlreel/internal/process/logs"
	"marlreel/internal/process/metrics"
)

const (
	// Requests that are still open this long before the end of the drain are answered with a failure, because a request
	// that is open when the process exits is lost.
	failBeforeDrainEnd = 250 * time.Millisecond
	// Requests that were received completely since then are answered this long before the process exits.
	rejectBeforeExit = 120 * time.Millisecond
	// After this time without a list from discovery a proxy becomes ready with the list it was started with.
	initialListDelay = time.Second
)

// Run serves until ctx ends, then finishes the requests it has accepted. Each new configuration
// from reloads is applied without interrupting service.
func Run(ctx context.Context, cfg *config.Platform, own *config.Operator, logger *slog.Logger, reloads <-chan Reload) error {
	var in listeners
	var err error
	if cfg.ListenFD >= 0 {
		in.http, err = handover.Listener(cfg.ListenFD, cfg.ListenAddress)
	} else {
		in.http, err = net.Listen("tcp", cfg.ListenAddress)
	}
	if err != nil {
		return &ListenError{"listen", cfg.ListenAddress, err}
	}
	if cfg.ControlAddress != "" {
		if in.control, err = net.Listen("tcp", cfg.ControlAddress); err != nil {
			in.close()
			return &ListenError{"control", cfg.ControlAddress, err}
		}
	}
	if own.RPC.Listen != "" {
		if in.rpc, err = net.Listen("tcp", own.RPC.Listen); err != nil {
			in.close()
			return &ListenError{"rpc.listen", own.RPC.Listen, err}
		}
	}
	// The runtime sees the machine's memory, not this process's share of it.
	in.limitMemory = func(bytes int64) { debug.SetMemoryLimit(bytes) }
	return serve(ctx, cfg, own, logger, in, reloads)
}

// ListenError reports an address on which this process can't listen.
type ListenError struct {
	Key, Address string
	Err          error
}

func (e *ListenError) Error() string { return e.Key + ": " + e.Err.Error() }
func (e *ListenError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *ListenError) Advice() string {
	return "find the process that uses " + e.Address + ", or configure another address"
}

// listeners are the listeners for clients (http, rpc) and for the platform (control). rpc and control are nil if they
// are off.
type listeners struct {
	http, rpc, control net.Listener

	limitMemory func(bytes int64) // sets the runtime's memory limit; nil leaves it alone
}

func (l listeners) close() {
	l.http.Close()
	if l.rpc != nil {
		l.rpc.Close()
	}
	if l.control != nil {
		l.control.Close()
	}
}

// closeClientListeners closes the client listeners. The control listener stays open until the process exits.
func (l listeners) closeClientListeners() {
	l.control = nil
	l.close()
}

// parts holds the components of an assembled proxy.
type parts struct {
	engine     *engine.Engine
	source     *sources.Source
	carrier    *httpproxy.Carrier
	front      *httpproxy.Front
	bodyBudget *budget.Budget
	rendezvous *handover.Rendezvous // with other processes of this proxy; nil if it is alone
	startup    startupState

	rpcCarrier *msgpackrpc.Carrier // nil if RPC is off
	rpcFront   *msgpackrpc.Server
	rpcCounts  msgpackrpc.Counters

	limitMemory func(bytes int64) // sets the runtime's memory limit; nil leaves it alone

	member *member // nil if this proxy is in no fleet

	counts      *metrics.ProxyMetrics             // nil without a control address
	adminServer *adminserver.Server               // nil without a control address
	lists       atomic.Pointer[membership.Status] // nil without a registry: only the platform's list is used
}

// discoveryStatus answers /control/discovery with the status of the lists as JSON.
func (p *parts) discoveryStatus() (int, []byte) {
	s := p.lists.Load()
	if s == nil {
		return http.StatusNotFound, []byte("no registry is set: the platform's list alone counts\n")
	}
	body, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return http.StatusInternalServerError, []byte("it can't be written down\n") // can't happen: a Status holds only texts and numbers
	}
	return http.StatusOK, append(body, '\n')
}

// assemble creates the parts of a proxy without starting them.
func assemble(cfg *config.Platform, own *config.Operator, limitMemory func(int64), logger *slog.Logger) (*parts, error) {
	p := &parts{limitMemory: limitMemory}
	known, version := engine.Membership{}, uint32(0)
	if cfg.InitialList != nil {
		entries, err := cfg.InitialList.ParseEntries(cfg.Names)
		if err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
		known, version = cfg.InitialList.ForEngine(0, entries), cfg.InitialList.Generation
	}
	var err error
	p.engine, err = engine.New(engine.Config{
		Settings: cfg.Settings, Seed: cfg.Seed, MaxOpenCalls: cfg.MaxOpenRequests, InitialMembership: known,
		Logf: logs.ForEvent(logger, "engine"), OnFirstMembership: func() { p.becomeReady(logger) },
	})
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if own.Registry.Enabled() {
		version = 0 // beside a registry the platform's list is needed in full, not as changes since a version
	}
	host, observers := sources.Host(p.engine), []engine.Observer(nil)
	if own.Fleet.On() {
		if p.member, err = p.joinFleet(cfg, own, logger); err != nil {
			return nil, err
		}
		p.member.lists.setInitial(known)
		if p.member.trace != nil {
			observers = append(observers, p.member.trace)
		}
		host = p.member.lists
	}
	p.source = sources.New(platformwatch.Config{
		Addr: cfg.DiscoveryAddress, Timings: platformwatch.TimingsFor(cfg.Settings.PollMembership, cfg.Settings.Instances), Names: cfg.Names,
		Logf: logs.ForEvent(logger, "list"),
	}, version, host)
	if p.member != nil && own.Registry.Enabled() {
		p.member.lists.origin = p.source.Origin
	}
	p.bodyBudget = budget.New(cfg.MaxBodyBytes())
	p.carrier = httpproxy.NewCarrier(p.engine, cfg.MaxBackendConnections(), cfg.ReportNames, p.bodyBudget)
	p.carrier.OnSurplus(func(from *engine.Backend, suspension time.Duration) {
		if suspension > 0 {
			logger.Info(fmt.Sprintf("backend %s sent a response that belongs to no request: its connections carry one request each for %v", from.Name, suspension), "event", "surplus-answer")
		}
	})
	p.front = httpproxy.NewFront(p.engine, p.carrier, p.bodyBudget, logger)
	p.setShare(cfg, handover.FullShare)
	p.engine.AddCarrier(p.carrier)
	p.engine.SetHealthChecker(p.carrier)
	p.engine.SetSource(p.source)
	if cfg.ControlAddress != "" {
		p.counts = metrics.New(p.engine.WrittenAttempts, cfg.Settings.Classes)
		p.adminServer = adminserver.New(p.front.Ready, p.appendMetrics, cfg.MaxControlCalls())
		p.adminServer.Handle("/control/discovery", p.discoveryStatus)
		if p.member != nil {
			p.adminServer.Handle("/control/fleet", p.member.status)
		}
		observers = append(observers, p.counts)
	}
	p.engine.SetObserver(engine.Join(observers...))
	if own.RPC.Listen != "" {
		p.rpcCarrier = msgpackrpc.NewCarrier(p.engine, &own.RPC, &p.rpcCounts)
		p.rpcFront = msgpackrpc.NewServer(p.engine, p.rpcCarrier, &own.RPC, &p.rpcCounts)
		p.engine.AddCarrier(p.rpcCarrier)
	}
	return p, nil
}

// serve runs a proxy until ctx ends or a front fails, and then stops its parts in reverse order of their start.
func serve(ctx context.Context, cfg *config.Platform, own *config.Operator, logger *slog.Logger, in listeners, reloads <-chan Reload) error {
	defer in.close()
	p, err := assemble(cfg, own, in.limitMemory, logger)
	if err != nil {
		return err
	}
	if cfg.ListenFD >= 0 {
		if p.rendezvous = p.joinRendezvous(cfg, logger); p.rendezvous != nil {
			p.front.EnableHandover()
			p.fetchLearnedState(p.rendezvous, cfg.Name, logger)
		}
	}
	var stateSaver *saver
	if own.LearnedState.Enabled() {
		stateSaver = p.openStateFile(cfg.Name, own.LearnedState, logger)
	}
	stopEngine := p.startEngine(own, logger)
	defer p.startRendezvous(cfg, logger)()
	defer p.startAdminServer(in)()
	stopFleet := p.startFleet(logger)
	defer func() {
		stopFleet()
		stopEngine()
	}()
	if stateSaver != nil {
		defer p.startSaving(own.Background, stateSaver, logger)()
	}
	if cfg.InitialList != nil && len(cfg.InitialList.Instances) > 0 {
		time.AfterFunc(initialListDelay, func() { p.engine.Post(func() { p.becomeReady(logger) }) })
	}
	cfg, err = p.serveClients(ctx, cfg, own, logger, in, reloads)
	if err != nil {
		return err
	}
	if p.rendezvous != nil {
		// The next process needs the fleet's port and disk. The current lease stays valid until it expires.
		go stopFleet()
		p.setStage(handover.Leaving, logger)
		time.AfterFunc(transferDelay, func() { p.transferLargeAnswers(p.rendezvous, logger) })
	}
	if p.member != nil {
		cfg = p.member.withSettingsInForce(cfg)
	}
	return p.drain(cfg, in)
}

// serveClients serves until ctx ends and applies new configurations meanwhile. It returns the one in force at the end.
func (p *parts) serveClients(ctx context.Context, cfg *config.Platform, own *config.Operator, logger *slog.Logger, in listeners, reloads <-chan Reload) (*config.Platform, error) {
	failed := make(chan error, 2)
	go func() { failed <- p.front.Serve(in.http) }()
	if in.rpc != nil {
		go func() { failed <- p.rpcFront.Serve(in.rpc) }()
	}
	for ctx.Err() == nil {
		select {
		case err := <-failed:
			return nil, fmt.Errorf("serve: %w", err)
		case next := <-reloads:
			cfg, own = p.reload(cfg, own, next, logger)
		case <-ctx.Done():
		}
	}
	return cfg, nil
}

// startEngine runs the engine, and follows the registry if one is configured. stop aborts what is in flight and waits
// for the engine to end.
func (p *parts) startEngine(own *config.Operator, logger *slog.Logger) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go p.engine.Run(ctx)
	if own.Registry.Enabled() {
		p.engine.Post(func() {
			if err := p.source.SetRegistry(own.Registry); err != nil { // its files may have changed since they were checked
				logger.Info(fmt.Sprintf("registry: %v: only the platform's list is used", err), "event", "registry-off")
			}
		})
	}
	return func() {
		cancel()
		p.carrier.Close()
		if p.rpcCarrier != nil {
			p.rpcFront.Close()
			p.rpcCarrier.Close()
		}
		<-p.engine.Done()
		p.source.Close()
	}
}

// startAdminServer serves the control address, if there is one.
func (p *parts) startAdminServer(in listeners) (stop func()) {
	if p.adminServer == nil || in.control == nil {
		return func() {}
	}
	p.engine.Post(p.publish)
	go func() { _ = p.adminServer.Serve(in.control) }() // returns when the server is closed
	return p.adminServer.Close
}

// startFleet serves the fleet's operator socket, if this proxy is in a fleet. stop may be called more than once.
func (p *parts) startFleet(logger *slog.Logger) (stop func()) {
	if p.member == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		if err := p.member.fleet.ServeOperators(ctx); err != nil {
			logger.Warn(err.Error(), "event", "fleet-socket", "do", actionable.AdviceFor(err))
		}
	}()
	return sync.OnceFunc(func() {
		cancel()
		p.member.fleet.Close()
	})
}

// startSaving saves the learned state periodically. stop saves it a last time while the engine still runs, and gives up
// after finalSaveTimeout so that a hanging disk does not delay the exit.
func (p *parts) startSaving(cfg config.Background, stateSaver *saver, logger *slog.Logger) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	work := p.background(cfg, stateSaver, logger)
	go func() {
		defer close(ended)
		work.Run(ctx, finalSaveTimeout/3)
	}()
	return func() {
		cancel()
		<-ended
		timeout, done := context.WithTimeout(context.Background(), finalSaveTimeout)
		defer done()
		saved := make(chan struct{})
		go func() {
			defer close(saved)
			stateSaver.save(timeout, true)
		}()
		select {
		case <-saved:
		case <-timeout.Done():
		}
	}
}

// finalSaveTimeout limits the last save of the learned state at shutdown.
const finalSaveTimeout = 150 * time.Millisecond

// openStateFile opens the state file and loads the state saved in it. That state is used unless another process of this
// proxy hands over its own. It must be called before the engine runs.
func (p *parts) openStateFile(name string, cfg config.LearnedState, logger *slog.Logger) *saver {
	k := &saver{store: statefile.Open(cfg.Dir, name), every: cfg.SaveInterval.D(), state: func(ctx context.Context) ([]byte, error) { return p.encodeLearnedState(ctx, name) }, now: statefile.CurrentTimestamp, logf: logs.ForEvent(logger, "memory")}
	p.startup.saved = loadState(cfg, k.store, name, k.now(), logger)
	return k
}

// appendMetrics appends the metrics that the admin server reports.
func (p *parts) appendMetrics(b []byte) []byte {
	b = p.counts.Append(b)
	b = metrics.AppendCounter(b, "surplus_answers", p.carrier.SurplusAnswers())
	if p.member != nil {
		b = p.member.fleet.AppendMetrics(b)
	}
	return b
}

// publish sets the gauges and schedules itself again. It runs on the engine's goroutine.
func (p *parts) publish() {
	p.counts.SetGauges(p.engine.BackendCount(), p.engine.EjectedCount(), p.engine.RetryStormState())
	if s, on := p.source.Status(); on {
		p.lists.Store(&s)
	} else if p.lists.Load() != nil {
		p.lists.Store(nil)
	}
	p.engine.Schedule(p.engine.Now()+metrics.PublishInterval, p.publish)
}

// drain stops the fronts without losing a request: they keep accepting while connections still arrive, close each
// connection after its answers, and wait for the requests in flight.
func (p *parts) drain(cfg *config.Platform, in listeners) error {
	p.front.Stop()
	// A request may already be under way on an idle connection, and no other process could read it. With a listener
	// that the platform holds, idle connections are therefore kept until an answer has closed them.
	end := p.front.Shutdown
	if cfg.ListenFD >= 0 {
		end = p.front.WaitForClients
	}
	fronts := []func(context.Context) error{end}
	if p.rpcFront != nil {
		p.rpcFront.StartDraining()
		fronts = append(fronts, p.rpcFront.Shutdown)
	}
	// If the platform holds the listener, another process accepts what still arrives, and what this process leaves in
	// the accept queue is not lost.
	if cfg.ListenFD < 0 {
		time.Sleep(cfg.AcceptGrace)
	}
	in.closeClientListeners()
	// Answers that were passed on in part by then continue for as long as the platform waits for the exit.
	rest := cfg.ExitGrace()
	if cfg.ListenFD >= 0 {
		rest += cfg.AcceptGrace
	}
	failed := false
	for _, wait := range []time.Duration{cfg.DrainTimeout() - failBeforeDrainEnd, failBeforeDrainEnd + rest - rejectBeforeExit, rejectBeforeExit} {
		ctx, cancel := context.WithTimeout(context.Background(), max(wait, 0))
		open := false
		for _, f := range fronts {
			err := f(ctx)
			if errors.Is(err, context.DeadlineExceeded) {
				open = true
			} else if err != nil {
				cancel()
				return fmt.Errorf("shutdown: %w", err)
			}
		}
		cancel()
		if !open {
			return nil
		}
		last := failed
		if last {
			// Requests that are received completely only now are rejected at once, so that clients can retry elsewhere.
			p.front.RejectAll()
		}
		failed = true
		p.engine.Post(func() { p.engine.FailAll(last) })
	}
	return nil
}
