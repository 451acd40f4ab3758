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
	// reconcileInterval is how often a reconciler plans. Raising it delays loads for new demand; lowering it costs the
	// agent CPU time, because a plan evaluates each backend and model.
	reconcileInterval = 100 * time.Millisecond
	// eventDelay is the time from an event to the plan that it triggers, so that one plan serves several events. Raising
	// it delays the order that follows a report; lowering it makes a plan for each of a batch of reports.
	eventDelay = 15 * time.Millisecond
	// reportInterval is the least time between two requests for a backend's report. Raising it delays the order that
	// follows a completed one; lowering it loads backends with calls.
	reportInterval = 180 * time.Millisecond
	// reportLead is how long before an order's expected completion the first report is requested. Raising it causes calls
	// before completion; lowering it detects completion late.
	reportLead = 50 * time.Millisecond
	// instantOrderTime is the time after which an instant order (an unload of an idle model, or any order for an adapter)
	// is assumed to be completed. Raising it leaves the backend's capacity unused; lowering it plans with capacity that is
	// not free yet.
	instantOrderTime = 60 * time.Millisecond
	// maxEvents limits the queued events. Beyond it, new ones are dropped; their content is reported again later.
	maxEvents = 1024
	// statusInterval and maxStatusModels limit the status lines of the debug log: how often they are written, and for how
	// many models.
	statusInterval  = time.Second
	maxStatusModels = 5
	// plannerHeadStart is the planner's time at its creation. It is above 0, because the planner takes 0 for "never".
	plannerHeadStart = time.Second
)

// reconciler controls the placement of one service's models under one lease. Only the goroutine of run accesses its
// fields, except events and those that never change.
type reconciler struct {
	cfg     *Config
	client  *backendClient
	service string
	token   uint64 // fencing token of the lease
	began   time.Time
	events  chan func() // executed one at a time by run
	log     logr.Logger
	calls   sync.WaitGroup // calls to backends in flight

	planner    *placement.Planner
	backends   map[string]*api.Backend // of the service, by id
	reportedAt map[string]time.Time    // when each backend's report was last requested, by id
	revision   uint64                  // store revision when the planner's inputs were last read
	configured bool                    // whether the service was configured at that revision
	statusAt   time.Duration           // when the status was last logged
}

func newReconciler(cfg *Config, client *backendClient, service string, token uint64) *reconciler {
	return &reconciler{
		cfg: cfg, client: client, service: service, token: token,
		planner: placement.New(plannerHeadStart), began: time.Now().Add(-plannerHeadStart),
		backends: map[string]*api.Backend{}, reportedAt: map[string]time.Time{}, events: make(chan func(), maxEvents),
		log: cfg.Log.WithValues(logevent.KeyService, service, logevent.KeyFencingToken, token),
	}
}

// now returns the present time on the planner's time scale.
func (r *reconciler) now() time.Duration { return time.Since(r.began) }

// authorize reports whether this node now holds the lease under this reconciler's fencing token, and until when.
func (r *reconciler) authorize() (expiry time.Time, authorized bool) {
	held, valid := r.cfg.Leases.Lease(lease.PlacementKey(r.service))
	return held.Expiry, valid && held.FencingToken == r.token
}

// run reconciles until leaseCtx ends, and returns once all calls in flight have ended. agentCtx ends with the agent:
// until then, an order that was announced before the lease was lost is still sent if this node holds the lease again
// under the same fencing token.
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

// post queues an event for the goroutine of run, and drops it if the queue is full.
func (r *reconciler) post(event func()) {
	select {
	case r.events <- event:
	default: // its content is reported again later
	}
}

// step runs one reconciliation cycle: it updates the planner's inputs, requests the reports that are due, and sends the
// orders of a new plan.
func (r *reconciler) step(agentCtx context.Context) {
	if !r.refreshInputs() {
		return
	}
	now := r.now()
	for _, id := range r.planner.UnknownBackends() {
		r.requestReport(id)
	}
	r.planner.VisitPendingOrders(now, func(o placement.Order, since, expected time.Duration, instant bool) {
		switch {
		case instant && now-since >= instantOrderTime:
			r.assumeCompleted(o)
		case !instant && now-since >= expected-reportLead:
			r.requestReport(o.Backend)
		}
	})
	for _, o := range r.planner.Plan(now) {
		r.sendOrder(agentCtx, o)
	}
	r.logStatus(now)
}

// requestReport requests a backend's report, unless the last request was less than reportInterval ago.
func (r *reconciler) requestReport(id string) {
	b := r.backends[id]
	if b == nil || time.Since(r.reportedAt[id]) < reportInterval {
		return
	}
	r.reportedAt[id] = time.Now()
	r.calls.Go(func() {
		report, err := r.client.report(b.Address, id)
		if err != nil {
			return // a later cycle requests it again
		}
		r.post(func() {
			if r.planner.OnReport(r.now(), id, report) {
				r.cfg.Observe(id, report.Loaded)
			}
		})
	})
}

// sendOrder sends an order. If it unloads a model in demand, the loaded models after the unload are published first, as
// an observation, so that proxies stop sending requests for the model there.
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
			return // the agent is shutting down and has given up its leases
		}
		outcome := r.client.order(b.Address, o.Backend, message, r.authorize)
		r.post(func() { r.onOutcome(o, outcome) })
	})
}

// onOutcome handles the outcome of sending an order.
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

// assumeCompleted counts an instant order as completed without a report, which would come only after the next plan.
func (r *reconciler) assumeCompleted(o placement.Order) {
	loaded, done := r.planner.AssumeCompleted(r.now(), o)
	if done {
		r.cfg.Observe(o.Backend, loaded)
	}
}

// logStatus logs the state of the planner at debug level, for the analysis of single decisions.
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
