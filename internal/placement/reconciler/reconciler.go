package reconciler

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/lease"
	"marlreel/internal/placement"
	"marlreel/internal/process/logevent"
	"marlreel/internal/process/timing"
)

const (
	// reconcileInterval is how often a reconciler plans. Raising it delays loads for new demand, lowering it costs the
	// agent's processor: a plan looks at each backend and model.
	reconcileInterval = 100 * time.Millisecond
	// eventDelay is how long an event waits for others before it is planned for. Raising it delays the order that
	// follows on a report, lowering it plans for each of a batch of reports.
	eventDelay = 15 * time.Millisecond
	// reportInterval is the least time between two requests for a backend's report. Raising it delays the order that
	// follows on a completed one, lowering it loads backends with calls.
	reportInterval = 180 * time.Millisecond
	// reportLead is how long before an order's expected completion the first report is requested. Raising it costs calls
	// that come too early, lowering it finds completed orders late.
	reportLead = 50 * time.Millisecond
	// quickOrderTime is after what time an order for an adapter, or to unload, counts as completed. Raising it leaves the
	// backend's capacity unused, lowering it plans with capacity that is not free yet.
	quickOrderTime = 60 * time.Millisecond
	// maxEvents bounds the events that wait; beyond it new ones are dropped, and what they said is reported again.
	maxEvents = 1024
	// statusInterval and maxStatusModels bound the status lines of the debug log: how often, and of how many models.
	statusInterval  = time.Second
	maxStatusModels = 5
	// plannerHeadStart is how long a planner counts as begun when it is made: the planner takes 0 for "never".
	plannerHeadStart = time.Second
)

// reconciler places the models of one service under one lease. Its fields belong to the goroutine of run, but for those
// that never change and events.
type reconciler struct {
	cfg     *Config
	client  *backendClient
	service string
	token   uint64 // fencing token of the lease
	began   time.Time
	events  chan func() // run in turn by run
	log     logr.Logger
	calls   sync.WaitGroup // calls to backends that are in flight

	planner    *placement.Planner
	backends   map[string]*api.Backend // of the service, by id
	reportedAt map[string]time.Time    // when each backend's report was requested last, by id
	revision   uint64                  // of the store, when the planner got its inputs last
	configured bool                    // the service was configured then
	statusAt   time.Duration           // when the status was logged last
}

func newReconciler(cfg *Config, client *backendClient, service string, token uint64) *reconciler {
	return &reconciler{
		cfg: cfg, client: client, service: service, token: token,
		planner: placement.New(plannerHeadStart), began: time.Now().Add(-plannerHeadStart),
		backends: map[string]*api.Backend{}, reportedAt: map[string]time.Time{}, events: make(chan func(), maxEvents),
		log: cfg.Log.WithValues(logevent.KeyService, service, logevent.KeyFencingToken, token),
	}
}

// now is the planner's time.
func (r *reconciler) now() time.Duration { return time.Since(r.began) }

// authorize reports whether this node holds the lease under this reconciler's token at this moment, and up to when.
func (r *reconciler) authorize() (expiry time.Time, authorized bool) {
	held, runs := r.cfg.Leases.Lease(lease.PlacementKey(r.service))
	return held.Expiry, runs && held.FencingToken == r.token
}

// run reconciles until leaseCtx ends, and returns once all calls in flight have. agentCtx ends with the agent: up to
// then an order that was announced before the lease was lost is still sent if the lease comes back under its token.
func (r *reconciler) run(leaseCtx, agentCtx context.Context) {
	defer r.calls.Wait()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	key := lease.PlacementKey(r.service)
	r.log.Info(logevent.PlacementLeaseAcquired, logevent.KeyLease, key)
	var eventsDue <-chan time.Time
	for {
		select {
		case event := <-r.events:
			event()
			if eventsDue == nil {
				eventsDue = time.After(eventDelay)
			}
			continue
		case <-eventsDue:
		case <-ticker.C:
		case <-leaseCtx.Done():
			r.log.Info(logevent.PlacementLeaseLost, logevent.KeyLease, key)
			return
		}
		eventsDue = nil
		if _, authorized := r.authorize(); authorized {
			r.step(agentCtx)
		}
	}
}

// post has an event handled on the goroutine of run.
func (r *reconciler) post(event func()) {
	select {
	case r.events <- event:
	default: // what it says is asked for again
	}
}

// step compares what is with what should be, and gives the orders that are due.
func (r *reconciler) step(agentCtx context.Context) {
	if !r.refreshInputs() {
		return
	}
	now := r.now()
	for _, id := range r.planner.UnknownBackends() {
		r.requestReport(id)
	}
	r.planner.VisitPendingOrders(now, func(o placement.Order, since, expected time.Duration, quick bool) {
		switch {
		case quick && now-since >= quickOrderTime:
			r.assumeCompleted(o)
		case !quick && now-since >= expected-reportLead:
			r.requestReport(o.Backend)
		}
	})
	for _, o := range r.planner.Plan(now) {
		r.sendOrder(agentCtx, o)
	}
	r.logStatus(now)
}

// requestReport asks a backend what it has loaded, unless it was asked of late.
func (r *reconciler) requestReport(id string) {
	b := r.backends[id]
	if b == nil || time.Since(r.reportedAt[id]) < reportInterval {
		return
	}
	r.reportedAt[id] = time.Now()
	r.calls.Go(func() {
		report, err := r.client.report(b.Address, id)
		if err != nil {
			return // it is requested again
		}
		r.post(func() {
			if r.planner.OnReport(r.now(), id, report) {
				r.cfg.Observe(id, report.Loaded)
			}
		})
	})
}

// sendOrder gives an order. What the order takes away from running requests is announced first, as an observation.
func (r *reconciler) sendOrder(agentCtx context.Context, o placement.Order) {
	b := r.backends[o.Backend]
	if b == nil {
		return
	}
	delay := r.planner.UnloadDelay(r.now(), o)
	if delay > 0 {
		r.cfg.Observe(o.Backend, r.planner.LoadedAfterUnload(o))
	}
	r.log.V(1).Info(logevent.PlacementOrder, logevent.KeyBackend, o.Backend, logevent.KeyOperation, operationNames[o.Operation],
		logevent.KeyModel, o.Model, logevent.KeyAdapter, o.Adapter)
	message := orderMessage{
		Operation: operationNames[o.Operation], Model: o.Model, Adapter: o.Adapter, Revision: o.Revision,
		Holder: r.cfg.Holder, FencingToken: r.token,
	}
	r.calls.Go(func() {
		timing.Sleep(agentCtx, delay)
		if agentCtx.Err() != nil {
			return // the agent ends, and its leases with it
		}
		outcome := r.client.order(b.Address, o.Backend, message, r.authorize)
		r.post(func() { r.onOutcome(o, outcome) })
	})
}

// onOutcome records how sending an order ended.
func (r *reconciler) onOutcome(o placement.Order, outcome orderOutcome) {
	switch outcome {
	case orderAccepted:
		r.planner.OnOrderAccepted(r.now(), o)
		if o.Operation == placement.Unload {
			r.cfg.Observe(o.Backend, r.planner.LoadedAfterUnload(o))
		}
	case orderRejected:
		r.planner.OnOrderRejected(r.now(), o)
	case orderFenced:
		r.log.Info(logevent.PlacementFenced, logevent.KeyBackend, o.Backend)
		r.cfg.Leases.Drop()
	default:
		r.planner.OnOrderFailed(r.now(), o)
	}
}

// assumeCompleted counts an order as completed that takes next to no time: a report would come later than the next plan.
func (r *reconciler) assumeCompleted(o placement.Order) {
	loaded, done := r.planner.AssumeCompleted(r.now(), o)
	if done {
		r.cfg.Observe(o.Backend, loaded)
	}
}

// logStatus logs what the planner knows, for whoever looks into single decisions.
func (r *reconciler) logStatus(now time.Duration) {
	if !r.log.V(1).Enabled() || now-r.statusAt < statusInterval {
		return
	}
	r.statusAt = now
	busy, known := r.planner.CountBackends()
	r.log.V(1).Info(logevent.PlacementStatus, logevent.KeyBackends, len(r.backends), logevent.KeyKnownBackends, known,
		logevent.KeyBusyBackends, busy)
	models := r.planner.Status(now)
	for _, m := range models[:min(maxStatusModels, len(models))] {
		r.log.V(1).Info(logevent.PlacementModel, logevent.KeyModel, m.Model, logevent.KeyRate, m.RequestsPerSecond,
			logevent.KeyWork, m.WorkMSPerSecond, logevent.KeyWaiting, m.Waiting, logevent.KeyReplicas, m.Replicas,
			logevent.KeyLoading, m.Loading)
	}
}
