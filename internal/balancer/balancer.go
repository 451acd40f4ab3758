package balancer

// The Balancer's state, start and timers. The interface (settings, events, actions) is in
// api.go; each mechanism has a file of its own: state, reconfigure, membership, subset, healthcheck, outlier,
// slowstart, concurrency, selection, admission, attempt, outcome, grayfailure, delay.

import (
	"math/rand/v2"
	"time"

	"marlreel/internal/balancer/concurrencylimit"
	"marlreel/internal/balancer/connectionfailure"
	"marlreel/internal/balancer/decay"
	"marlreel/internal/balancer/goodput"
	"marlreel/internal/balancer/grayfailure"
	"marlreel/internal/balancer/prediction"
	"marlreel/internal/balancer/quota"
	"marlreel/internal/balancer/retrystorm"
	"marlreel/internal/balancer/slowstart"

	"marlreel/internal/balancer/portablemath"
)

// The kind of a timer is in the highest byte of its token.
const (
	timerSweep, timerDiscover, timerDispatch = 1, 2, 4

	timerKindShift = 56
)

// Balancer makes the decisions of one proxy. Create it with New and call one method for each event.
type Balancer struct {
	cfg    Config
	host   Host
	advice Advice
	rng    *rand.Rand
	now    time.Duration

	// Intervals that follow from the settings and the traffic.
	healthCheckInterval time.Duration // minimum between two health checks of a suspect backend
	sweepEvery          time.Duration // between two sweeps
	requestGap          time.Duration // between two requests, on average
	lastRequest         time.Duration
	decayTime           time.Duration // over which measurements of a backend decay to 1/e

	// Membership, in the order of this proxy's rendezvous hash.
	targets       []*target // including gone ones that still have attempts in flight
	ready         []*target
	subset        []*target // the backends that this proxy uses
	subsetSize    float64   // wanted capacity of the subset on each zone side, in whole backends
	byID          map[BackendID]*target
	usableBySide  [2]float64 // healthy and ready backends, warming ones by their capacity; see zoneSide
	failedFetches int        // failed membership fetches in a row

	// Requests.
	requests          map[RequestID]*request
	queue             []*request
	dispatchScheduled bool
	queuedAhead       []int   // while dispatch runs: requests that it has queued again, by class
	retryTokens       float64 // retry budget

	// Delay estimates, ms.
	delayModels       []linearFit    // delay over cost hint, by class
	delayTails        []tailQuantile // of the delay of a request of mean cost, by class
	knownDelay        average        // expected delay of requests whose class has had answers
	meanExpectedDelay float64        // over requests of all classes
	meanWork          float64        // over requests of all classes, ms
	medianDelayRatio  float64        // of the backends in the subset
	medianTail        float64        // of the tails of the ready backends

	// Utility.
	meanUtility        float64 // per request
	meanUtilityPerWork float64
	meanWindow         float64 // number of requests in these means
	goodput            *goodput.Tracker
	quota              *quota.Model
	servedByClass      []decay.Sum // number of good answers
	costs              prediction.Costs

	// Models.
	retryStorm         *retrystorm.Model
	slowStart          slowstart.Model
	grayFailure        *grayfailure.Model
	prediction         *prediction.Model
	connectionFailures *connectionfailure.Model

	// Logging, and scratch space.
	lastLog       time.Duration
	classLogLimit logRateLimit
	candidates    []*target // while pick runs
	ratios        []float64 // while updateMedians runs
}

// New creates a Balancer. It returns a ConfigError if a setting is invalid.
func New(cfg Config, seed uint64, host Host) (*Balancer, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	classes := len(cfg.Classes)
	gray, err := grayfailure.New(grayfailure.DefaultConfig(classes))
	if err != nil {
		return nil, err
	}
	b := &Balancer{
		cfg:                cfg,
		host:               host,
		advice:             cfg.advice(),
		rng:                rand.New(rand.NewPCG(seed, 0)),
		byID:               map[BackendID]*target{},
		requests:           map[RequestID]*request{},
		queuedAhead:        make([]int, classes),
		retryTokens:        maxRetryTokens,
		delayModels:        make([]linearFit, classes),
		delayTails:         make([]tailQuantile, classes),
		medianDelayRatio:   1,
		goodput:            goodput.New(cfg.Goal.weights(), classes, len(cfg.Tenants)),
		quota:              quota.New(cfg.quotas(), cfg.Instances, cfg.Obligations.OverloadWindow),
		servedByClass:      make([]decay.Sum, classes),
		costs:              cfg.costs(),
		retryStorm:         retrystorm.New(cfg.retryStormConfig()),
		grayFailure:        gray,
		prediction:         prediction.New(classes),
		connectionFailures: connectionfailure.New(cfg.Obligations.WarmupDuration),
	}
	b.deriveIntervals()
	b.requestGap = b.healthCheckInterval
	return b, nil
}

// Start starts the timers: for the sweeps and, where the membership has to be polled, for discovery.
func (b *Balancer) Start(now time.Duration) {
	b.now = now
	b.startTimer(b.sweepEvery, timerSweep)
	if b.cfg.PollMembership {
		b.startTimer(jitter(b.rng, b.healthCheckInterval/2), timerDiscover)
	}
}

func (b *Balancer) startTimer(d time.Duration, timer uint64) {
	b.host.StartTimer(d, timer<<timerKindShift)
}

// OnPeerMessage handles a message from another proxy.
func (b *Balancer) OnPeerMessage(now time.Duration, _ PeerMessage) { b.now = now }

// OnTimer handles the expiry of a timer that Host.StartTimer started.
func (b *Balancer) OnTimer(now time.Duration, token uint64) {
	b.now = now
	switch token >> timerKindShift {
	case timerDiscover:
		b.host.Watch(true)
	case timerDispatch:
		b.dispatchScheduled = false
		b.dispatch()
	case timerSweep:
		b.sweep()
		b.startTimer(b.sweepEvery, timerSweep)
	}
}

// sweep updates everything that depends on time alone.
func (b *Balancer) sweep() {
	// A backend that had attempts in flight when it left the membership; the next update may come much later.
	b.removeGone()
	b.selectSubset()
	b.updateDecayTime()
	b.grayFailure.SetTimeConstant(b.decayTime)
	if line, changed := b.retryStorm.Evaluate(b.now); changed {
		b.host.Log(line)
	}
	b.updateMedians()
	for i := range b.delayModels {
		b.delayTails[i].updateMin()
	}
	b.updateWarmupRates()
	b.scheduleHealthChecks()
	b.evaluateGrayFailures()
	b.sweepConcurrencyLimits()
	keep := b.cfg.Obligations.WarmupDuration + b.healthCheckInterval
	b.goodput.Decay(portablemath.Exp(-float64(b.sweepEvery) / float64(keep)))
}

// updateDecayTime makes measurements last long enough to include some answers of each backend in the subset.
func (b *Balancer) updateDecayTime() {
	answers := minAnswersInMemory * time.Duration(len(b.subset)) * b.requestGap
	b.decayTime = max(decayIntervals*b.healthCheckInterval, min(answers, b.cfg.Obligations.WarmupDuration))
}

// sweepConcurrencyLimits counts overdue attempts while they are still in flight, and lets unused limits
// decay.
func (b *Balancer) sweepConcurrencyLimits() {
	for _, t := range b.ready {
		for _, a := range t.inFlight {
			class := a.request.Class
			fault := b.grayFailure.FaultProbability(&t.classHealth[class].Cell, class, b.now)
			b.updateConcurrencyLimit(a, Cancelled, 1-fault)
		}
		kept := decayIntervals * float64(b.healthCheckInterval) / float64(b.sweepEvery)
		t.concurrencyLimit = concurrencylimit.DecayTowardsUse(t.concurrencyLimit, t.load, b.sharers(), kept)
	}
}
