package marlreel

// Every decision of the proxy. Its interface (settings, events, actions) is in api.go.
// The order: checker, candidates and delay estimate, admission, attempts, timers.

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// The checker. Spans are in connect time-outs, the sites' own measure of how soon a backend answers.
	suspectProbe = 2    // connect time-outs between two probes of a target in doubt
	restProbe    = 4    // times longer between those of one that passes: attempts tell more, at no cost
	probeShare   = 0.1  // probes at most, as a share of this proxy's requests, while none is in doubt
	gapOver      = 32   // requests over which the time between two of them is taken
	probeRun     = 2    // probes in a row that mark or restore a target: one may be chance
	badRun       = 3    // unanswered attempts in a row that eject a backend whatever its probes say
	mostOut      = 0.5  // share of the ready ones that may be out when attempts eject one more
	longestHold  = 8    // probe intervals that an ejection lasts at most; it starts with one and doubles
	falseAlarms  = 0.01 // breaks an answer from which they say little of a backend's death
	sweeps       = 10   // in a probe interval: how often time alone is looked at
	// The subset: the backends that one proxy uses, in its own zone and elsewhere.
	subsetFan   = 7 // proxies that use each backend, about
	subsetLeast = 2 // backends that each proxy uses at least
	// The delay estimate.
	memory    = 4     // probe intervals over which what was measured fades at least,
	answersOf = 8     // and long enough for so many answers of each backend in the subset
	prior     = 0.5   // answers that the others' median counts for in an estimate
	classKeep = 0.998 // weight of a class's earlier delays as each new one comes: some 500 count
	meanOver  = 256   // requests over which overall means are taken
	localGain = 0.5   // how much worse the own zone's pick may be before one elsewhere is taken
	keyWait   = 0.15  // share of its aim for which a request waits for its key's own two
	warmGain  = 1.0   // how much worse the key's first backend may be before its second is taken
	// The cold budget.
	servedOver = 2    // memories over which the work that backends serve is taken
	coldPart   = 0.8  // of what would make a cold backend fall, that it may be sent
	coldBurst  = 0.25 // of the window that a cold backend's budget may be saved up over
	// The limit on what is out at a backend. All its sharers push as one, so each has its part of it.
	lateFrom   = 1.5  // times the usual tail of its class from which an attempt counts as late
	lateLeast  = 0.3  // and such a share of its aim at least, which alone counts while no tail is known
	tailPart   = 0.2  // that tail is what this part of a class's answers exceed
	tailStep   = 0.02 // by which one answer moves it
	tailFrom   = 50   // answers after which it is known
	tailRise   = 4000 // what is usual rises by one part of these a sweep: far slower than trouble comes
	crowdCut   = 0.9  // a late one cuts the limit to this share
	crowdGrow  = 0.5  // one in time adds this, or, where that is more,
	crowdSteps = 40   // such a part of the limit,
	crowdNear  = 0.6  // if so much of the limit was used
	crowdRoom  = 1.5  // times what is out that the limit sinks to
	crowdFew   = 4    // sharers of a backend that need not learn faster than one
	crowdStart = 8    // the limit of a backend that is new here
	worthMost  = 4    // a request of so much more than the mean gain is sent so many times sooner at most
	maxWeight  = 8    // one request counts for at most so many out
	// Admission and further attempts.
	worstNear      = 0.02 // classes served within this of each other are all the worst
	dispatchMisses = 20   // waiting requests that find no backend, after which no more are asked
	waitingEach    = 4    // requests that may wait for each ready backend
	retryShare     = 0.1  // further attempts, as a share of the requests
	retryBurst     = 10   // further attempts that may be saved up

	logEvery = 2 * time.Second // a line at most, for a tired reader

	timerSweep, timerDiscover, timerDispatch = 1, 2, 4
)

// Balancer decides for one proxy. Make it with New and tell it of each event.
type Balancer struct {
	cfg                       Config
	host                      Host
	rng                       *rand.Rand
	now, lastLog, lastRequest time.Duration
	interval, gap, memory     time.Duration // between probes, requests; of estimates
	targets, ready, subset    []*target     // in hash order; targets: also those left with something out
	byID                      map[BackendID]*target
	requests                  map[RequestID]*request
	classes                   []line   // delay over cost hint
	tails                     []tail   // of the delay of a request of mean cost, ms
	mean, meanWork, meanRank  float64  // of a request of any class, ms: delay; what it asks of a backend
	median, size              float64  // of the targets' delay ratios; of the subset, on each side
	all, byClass, byTenant    []tally  // all is of length 1
	traffic                   []fading // requests, by tenant
	waiting                   []*request
	usable                    [2]float64 // fit and ready, a cold one by its share, on each side
	ticking                   bool       // a timer for what waits is out
	alarms, answered          fading     // broken attempts that an answer of the backend followed; answers
	retries                   float64    // budget of further attempts
	asks                      int        // failed calls for the list in a row
	pool                      []*target  // for use within pick; ratios: within findMedian
	ratios                    []float64
}

// target is the checker's entry for one backend; it outlives list changes and restarts.
type target struct {
	Backend
	order                  uint64 // in this proxy's rendezvous hash
	healthy, probing, used bool   // used: in the subset, and fit
	fails, passes          int    // probes in a row
	nextProbe              time.Duration
	out                    []*attempt // oldest first
	load, limit            float64    // what is out, heavy requests counting for more; how much may be
	delays, answers        fading     // sum of delay ratios, and their number
	ageA, ageB             float64    // of what is out: the sums of sent/expected and 1/expected
	bad, broken            int        // attempts since the last answer: that got none; whose connection broke
	lastOK, lastSent       time.Duration
	ejectedUntil, hold     time.Duration
	byClass                []classFailure
	coldSince, tokensAt    time.Duration // coldSince: last known or suspected start; 0 is long ago
	tokens, coldRate       float64       // what a cold backend may be sent, ms of work, and that a second
	served, servedLately   fading        // work
}

// classFailure keeps one class away from a backend that fails it.
type classFailure struct {
	bad         int // failed attempts, less those that did not
	until, hold time.Duration
}

type request struct {
	Request
	arrived, aimAt, waitUntil time.Duration
	attempts                  []*attempt
	out                       int
	ended, streaming          bool
	worth, over, rank         float64 // over: part of its tenant's traffic that is beyond its share
}

type attempt struct {
	req                           *request
	n, zone, cell                 int
	to                            *target
	sent, lateAt                  time.Duration
	expected, work, weight        float64
	crowd                         float64 // the backend's load with this attempt
	done, mayRun, cancelled, late bool
}

// New makes a Balancer. Settings that make no sense give an error that names them.
func New(cfg Config, seed uint64, host Host) (*Balancer, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	b := &Balancer{cfg: cfg, host: host, rng: rand.New(rand.NewPCG(seed, 0)), median: 1, retries: retryBurst,
		byID: map[BackendID]*target{}, requests: map[RequestID]*request{},
		classes: make([]line, len(cfg.Classes)), tails: make([]tail, len(cfg.Classes)), all: make([]tally, 1),
		byClass: make([]tally, len(cfg.Classes)), byTenant: make([]tally, len(cfg.Tenants)),
		traffic: make([]fading, len(cfg.Tenants))}
	b.interval = max(suspectProbe*cfg.Caps.ConnectTimeout, 20*cfg.Tick, 100*time.Millisecond)
	b.gap, b.memory = b.interval, memory*b.interval
	return b, nil
}

// Start begins the timers, and the calls for the list where it must be asked for.
func (b *Balancer) Start(now time.Duration) {
	b.now = now
	b.host.After(b.interval/sweeps, timerSweep<<56)
	if b.cfg.OnRequest {
		b.host.After(jitter(b.rng, b.interval/2), timerDiscover<<56)
	}
}

// ---- checker ----

// Membership reconciles the targets in place: survivors keep their status.
func (b *Balancer) Membership(now time.Duration, m Membership) {
	b.now = now
	if m.Kind == ListFailed {
		b.asks++
		backoff := min(b.interval<<min(b.asks, 4), max(b.cfg.Obligations.AskEvery/2, b.interval))
		b.host.After(backoff/2+jitter(b.rng, backoff/2), timerDiscover<<56)
		return
	}
	b.asks = 0
	if m.Kind != ListDelta {
		for _, t := range b.targets {
			if !slices.ContainsFunc(m.Backends, func(e Backend) bool { return e.ID == t.ID }) {
				t.State = Gone
			}
		}
	}
	for _, e := range m.Backends {
		t := b.byID[e.ID]
		if t == nil && e.State == Gone {
			continue
		}
		if t == nil {
			t = &target{healthy: true, tokensAt: now, byClass: make([]classFailure, len(b.cfg.Classes)),
				order:    mix(uint64(b.cfg.Rank)+1, e.ID),
				lastSent: math.MinInt64 / 2}
			t.nextProbe = now + jitter(b.rng, restProbe*b.doubt())
			b.byID[e.ID] = t
			b.targets = append(b.targets, t)
		}
		t.Backend = e
		b.starts(t, e.Started)
	}
	slices.SortFunc(b.targets, func(x, y *target) int { return cmp.Compare(x.order, y.order) })
	b.forget()
	b.ready = slices.DeleteFunc(slices.Clone(b.targets), func(t *target) bool { return t.State != Ready })
	b.findSubset()
}

// forget drops the targets that are gone and have nothing out.
func (b *Balancer) forget() {
	b.targets = slices.DeleteFunc(b.targets, func(t *target) bool {
		leaves := t.State == Gone && len(t.out) == 0 && !t.probing
		if leaves {
			delete(b.byID, t.ID)
		}
		return leaves
	})
}

// findSubset takes the first backends in this proxy's rendezvous order until enough are fit, a cold
// one counting for its share. Danger: many proxies with little traffic each can't measure all backends,
// and every pair would hold a connection, whose handshake and upkeep wear the backend out.
func (b *Balancer) findSubset() {
	b.size = max(subsetLeast, subsetFan*float64(len(b.ready))/float64(b.cfg.Instances))
	b.subset, b.usable = b.subset[:0], [2]float64{}
	var found [2]float64
	for _, t := range b.ready {
		share, _ := b.cold(t)
		if !b.fit(t) {
			share = 0
		}
		side, used := b.side(t), t.used
		if t.used = false; found[side] < b.size {
			b.subset, t.used = append(b.subset, t), share > 0
			found[side] += share
		}
		if b.usable[side] += share; used && !t.used {
			b.host.Release(t.ID) // Danger: idle connections fill a backend's table until they time out
		}
	}
	for _, t := range b.ready {
		t.limit = cmp.Or(t.limit, crowdStart/b.sharers())
	}
}

// side is 0 for the own zone and 1 for elsewhere.
func (b *Balancer) side(t *target) int { return min(1, t.Zone^b.cfg.Zone) }

// Probed counts a probe's result towards the target's status.
func (b *Balancer) Probed(now time.Duration, p ProbeResult) {
	b.now = now
	t := b.byID[p.Backend]
	if t == nil || !t.probing {
		return
	}
	t.probing = false
	switch p.Result {
	case OK:
		t.fails, t.passes = 0, t.passes+1
		if !t.healthy && t.passes >= probeRun {
			t.healthy, t.bad = true, 0
			b.log(fmt.Sprintf("backend %d passes its probes again", t.ID))
		}
	case Full, Cancelled, Moot, Declined: // it says nothing of the backend's health
	default:
		t.passes, t.fails, t.nextProbe = 0, t.fails+1, min(t.nextProbe, now+b.doubt())
		if t.fails >= probeRun {
			// Danger: it may have died and come back before the list says so. Until it
			// passes again, its start counts as now.
			b.suspectStart(t)
			if t.healthy {
				t.healthy = false
				b.log(fmt.Sprintf("backend %d fails its probes", t.ID))
			}
		}
	}
}

// doubt is the time between two probes of a target in doubt; it is restProbe times longer for others.
// Danger: probes grow as proxies times servers, and hundreds of proxies would wear the servers out.
// So each proxy sends no more of them than a share of its own requests.
func (b *Balancer) doubt() time.Duration {
	return max(b.interval, time.Duration(float64(b.gap)*float64(len(b.subset))/(restProbe*probeShare)))
}

func (b *Balancer) probeDue() {
	doubt := b.doubt()
	for _, t := range b.subset {
		if b.cfg.Caps.Probes && !t.probing && b.now >= t.nextProbe {
			t.probing, t.nextProbe = true, b.now+doubt
			if t.healthy && t.fails == 0 && t.ejectedUntil < b.now {
				t.nextProbe = b.now + restProbe*doubt
			}
			b.host.Probe(t.ID)
		}
	}
}

func (b *Balancer) log(line string) {
	if b.lastLog == 0 || b.now-b.lastLog >= logEvery {
		b.lastLog = b.now
		b.host.Log(line)
	}
}

// judgeClass takes an attempt's end as evidence on its class alone. Danger: a backend may fail most of one
// class and serve the rest, which its probes and the other classes' answers hide.
func (b *Balancer) judgeClass(a *attempt, result Result) {
	f := &a.to.byClass[a.req.Class]
	switch result {
	case OK:
		if f.bad = max(0, f.bad-1); f.bad == 0 {
			f.hold = 0
		}
	case Error: // a broken connection says nothing of a class
		f.bad = min(f.bad+1, badRun)
		if f.bad < badRun || f.until > b.now || !b.maySpare(func(o *target) bool {
			return o.byClass[a.req.Class].until > b.now
		}) {
			return
		}
		f.hold = min(max(2*f.hold, b.doubt()), longestHold*b.doubt())
		f.until = b.now + f.hold
		b.log(fmt.Sprintf("backend %d gets no %s: it fails them", a.to.ID, b.cfg.Classes[a.req.Class].Name))
	}
}

// maySpare tells whether one more backend may be out beside those that are.
func (b *Balancer) maySpare(isOut func(*target) bool) bool {
	out := 1
	for _, o := range b.ready {
		if isOut(o) {
			out++
		}
	}
	return float64(out) <= mostOut*float64(len(b.ready))
}

// judge takes an attempt's end as evidence beside the probes.
func (b *Balancer) judge(a *attempt, result Result) {
	b.judgeClass(a, result)
	t := a.to
	if result == OK {
		b.alarms.add(float64(t.broken), b.now, b.cfg.Obligations.Cold)
		b.answered.add(1, b.now, b.cfg.Obligations.Cold)
		t.bad, t.broken, t.lastOK, t.hold = 0, 0, b.now, 0
		return
	}
	if result == Reset || result == ConnectFailed {
		t.broken++
	}
	// Danger: in an overload all attempts time out; a backend that still answers others is only slow.
	// Danger: a request that no backend can use would eject one after the other.
	if result == Full || result == Cancelled || result == Moot || result == Declined || t.lastOK > a.sent {
		return
	}
	if result == ConnectFailed && t.bad > 0 && !b.suspectStart(t) {
		t.bad = max(t.bad, badRun-1) // if it did die, each further attempt would be lost on it
	}
	if t.bad++; t.bad < badRun || t.ejectedUntil > b.now {
		return
	}
	if !b.maySpare(func(o *target) bool { return !b.fit(o) }) {
		return
	}
	t.hold = min(max(2*t.hold, b.doubt()), longestHold*b.doubt())
	t.ejectedUntil = b.now + t.hold // bad keeps its count: back from there, one more failure is enough
	b.log(fmt.Sprintf("backend %d ejected: %d attempts in a row without an answer", t.ID, t.bad))
}

// ---- candidates and delay estimate ----

// estimate is the smoothed latency of a backend, as a multiple of what its requests' classes and
// hints lead one to expect. What is still out counts with its age, so silence shows at once; with
// no answers left in memory it is the others' median.
func (b *Balancer) estimate(t *target) float64 {
	age := max(0, millis(b.now)*t.ageB-t.ageA)
	sum, n := t.delays.fade(b.now, b.memory), t.answers.fade(b.now, b.memory)
	return (sum + age + prior*b.median) / (n + prior)
}

func (b *Balancer) findMedian() {
	b.ratios = b.ratios[:0]
	for _, t := range b.subset {
		sum, n := t.delays.fade(b.now, b.memory), t.answers.fade(b.now, b.memory)
		if t.healthy && n > prior {
			b.ratios = append(b.ratios, sum/n)
		}
	}
	if b.median = 1; len(b.ratios) > 0 {
		slices.Sort(b.ratios)
		b.median = b.ratios[len(b.ratios)/2]
	}
}

// expected is the delay in ms that class and hint lead one to expect of any backend.
func (b *Balancer) expected(class int, cost float64) float64 {
	c := &b.classes[class]
	if c.n < 1 {
		return millis(b.cfg.Classes[class].Aim) / 4
	}
	if cost <= 0 {
		return c.mean()
	}
	return max(c.mean()/4, c.at(cost))
}

// workOf is what a request asks of a backend, in ms, for the cold budget.
func (b *Balancer) workOf(r *request) float64 {
	if r.Cost > 0 {
		return millis(r.Cost)
	}
	return b.expected(r.Class, 0)
}

// cold gives the share of its capacity that a backend surely has, and whether it is still cold.
func (b *Balancer) cold(t *target) (float64, bool) {
	o := b.cfg.Obligations
	if age := b.now - t.coldSince; t.coldSince > 0 && age < o.Cold {
		return o.StartCapacity + (1-o.StartCapacity)*max(0, float64(age)/float64(o.Cold)), true
	}
	return 1, false
}

// starts notes a start, known or suspected. Danger: what it served in its life before says nothing.
// Danger: one request at once from each of many proxies would push it over: budgets begin in debt.
func (b *Balancer) starts(t *target, at time.Duration) {
	if at > t.coldSince {
		t.coldSince, t.tokens, t.served = at, -max(b.meanWork, b.expected(0, 0))*b.rng.Float64(), fading{}
	}
}

// suspectStart takes a run of failures for a death, and with that for a start to come: it may be up again
// before the list says that it died. Danger: where connections break by themselves, every backend has such
// a run now and then, and all would count as cold and get next to nothing. So where breaks were often
// followed by answers, one that has answered within an interval has not died.
func (b *Balancer) suspectStart(t *target) bool {
	span := b.cfg.Obligations.Cold
	noisy := b.alarms.fade(b.now, span) > falseAlarms*b.answered.fade(b.now, span)
	if noisy && t.lastOK > 0 && b.now-t.lastOK < b.interval {
		return false
	}
	b.starts(t, b.now)
	return true
}

// coldRates sets what each cold backend may be sent a second: the share of its capacity that it surely has
// of what each would serve of this proxy's requests. By its own part, so all together stay in the budget.
func (b *Balancer) coldRates() {
	fall, served := max(b.cfg.Obligations.Fall, time.Second).Seconds(), 0.0
	for _, t := range b.subset {
		served += t.served.perSecond(b.now, servedOver*b.memory)
	}
	for _, t := range b.subset {
		share, cold := b.cold(t)
		if !cold {
			continue
		}
		// Danger: where few are up in a zone, all its proxies use the same ones, however many they are.
		share *= max(1, b.usable[b.side(t)]/b.size) / float64(len(b.ready))
		// With nothing to compare with, as after this proxy's restart, a request a window teaches enough.
		least := b.meanWork / fall / float64(b.cfg.Instances)
		t.coldRate = max(served*share*coldPart*b.cfg.Obligations.FallMultiple, least)
		t.tokens = min(t.tokens+t.coldRate*(b.now-t.tokensAt).Seconds(), t.coldRate*coldBurst*fall)
		t.tokensAt = b.now
	}
}

// sharers is how many proxies have one backend in their subsets, about.
func (b *Balancer) sharers() float64 {
	return max(1, float64(b.cfg.Instances*len(b.subset))/float64(max(1, len(b.ready))))
}

// coldAllows guards the slow start.
func (b *Balancer) coldAllows(t *target, work float64) bool {
	if _, cold := b.cold(t); !cold {
		return true
	}
	// Danger: answers that come fast, or a cancel, let one request at a time add up; it needs budget too.
	return t.tokens >= max(work, b.meanWork) || len(t.out) == 0 && t.tokens >= 0 && work <= 2*b.meanWork
}

// mayReceive guards drains: only backends listed ready get anything new.
func (b *Balancer) mayReceive(t *target, work float64) bool {
	return t.State == Ready && b.coldAllows(t, work)
}

// fit tells whether probes and attempts let a backend have requests.
func (b *Balancer) fit(t *target) bool {
	return t.healthy && b.now >= t.ejectedUntil
}

// room: may a backend have one more out? A limit below one spaces attempts out: many proxies may crowd it.
func (b *Balancer) room(r *request, t *target) bool {
	// Danger: with no queue, worth would not go first; and none may be worth anything.
	worth := min(max(r.rank/max(b.meanRank, 1e-300), 1), worthMost)
	return t.load+1 <= t.limit ||
		len(t.out) == 0 && (t.limit >= 1 || b.now >= t.lastSent+span(b.mean*b.estimate(t)/t.limit/worth))
}

func tried(r *request, t *target) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.to == t })
}

// pick finds the backend for an attempt, or nil: in the subset, else among the fit, else among all.
func (b *Balancer) pick(r *request) *target {
	work, keyed := b.workOf(r), b.cfg.WarmKeys && r.Key != 0
	for stage, from := range [3][]*target{b.subset, b.ready, b.ready} {
		b.pool = b.pool[:0]
		found, fresh := false, false
		for _, t := range from {
			if stage < 2 && (!b.fit(t) || b.now < t.byClass[r.Class].until) || !b.maySend(r, t) {
				continue
			}
			if found = true; b.mayReceive(t, work) {
				b.pool, fresh = append(b.pool, t), fresh || !tried(r, t)
			}
		}
		if fresh {
			b.pool = slices.DeleteFunc(b.pool, func(t *target) bool { return tried(r, t) })
		}
		if keyed {
			slices.SortFunc(b.pool, func(x, y *target) int {
				return cmp.Compare(mix(r.Key, x.ID), mix(r.Key, y.ID))
			})
			// Danger: where all are at their limits, keys that go wherever there is room find nothing
			// warm, and their extra work keeps all at their limits.
			if b.now < r.arrived+span(keyWait*millis(r.aimAt-r.arrived)) {
				b.pool = b.pool[:min(2, len(b.pool))]
			}
		}
		b.pool = slices.DeleteFunc(b.pool, func(t *target) bool { return !b.room(r, t) })
		if len(b.pool) > 0 && (fresh || stage > 0) {
			return b.choose(keyed)
		}
		if found && (stage > 0 || len(r.attempts) == 0) {
			return nil
		}
	}
	return nil
}

func (b *Balancer) score(t *target) float64 {
	return (t.load + 1) * b.estimate(t)
}

// choose takes one of two from b.pool: the key's own two where keys stay warm, else two sampled.
func (b *Balancer) choose(keyed bool) *target {
	if keyed {
		best := b.pool[0]
		for _, t := range b.pool[1:min(2, len(b.pool))] {
			if b.score(t)*(1+warmGain) < b.score(best) {
				best = t
			}
		}
		return best
	}
	best := b.sample(b.pool)
	near := slices.DeleteFunc(b.pool, func(t *target) bool { return t.Zone != b.cfg.Zone })
	if len(near) == 0 {
		return best
	}
	if local := b.sample(near); b.score(best)*(1+localGain) >= b.score(local) {
		return local
	}
	return best
}

// sample draws two and takes the one of lower expected delay.
func (b *Balancer) sample(pool []*target) *target {
	i, n := b.rng.IntN(len(pool)), len(pool)
	j := (i + 1 + b.rng.IntN(max(n-1, 1))) % n
	if b.score(pool[j]) < b.score(pool[i]) {
		return pool[j]
	}
	return pool[i]
}

// ---- admission ----

// Request decides a request that the proxy has just taken.
func (b *Balancer) Request(now time.Duration, q Request) {
	b.now = now
	if _, held := b.requests[q.ID]; held {
		return
	}
	q.Class = min(max(q.Class, 0), len(b.cfg.Classes)-1)
	c := &b.cfg.Classes[q.Class]
	r := &request{Request: q, arrived: now}
	r.aimAt = min(now+c.Aim+time.Duration(c.AimStretch*float64(q.Cost)), q.Deadline)
	b.requests[q.ID] = r
	if b.lastRequest > 0 {
		b.gap += (now - b.lastRequest - b.gap) / gapOver
	}
	b.lastRequest = now
	b.retries = min(b.retries+retryShare, retryBurst)
	b.meanWork = smooth(b.meanWork, b.workOf(r), meanOver)
	b.mean = smooth(b.mean, b.expected(q.Class, millis(q.Cost)), meanOver)
	b.count(r)
	b.place(r)
	b.dispatch()
}

// count notes the worth that a request asks for.
func (b *Balancer) count(r *request) {
	c := &b.cfg.Classes[r.Class]
	r.worth = c.Value
	if b.cfg.WorthByWork {
		r.worth *= b.workOf(r)
	}
	if i := r.Tenant; i >= 0 && i < len(b.cfg.Tenants) {
		r.over = b.overShare(i)
	}
	r.worth *= 1 - r.over*(1-b.cfg.OverShareWorth)
	if !r.Repeat {
		b.book(r, r.worth, 0)
	}
}

func (b *Balancer) book(r *request, asked, served float64) {
	for i, list := range [3][]tally{b.all, b.byClass, b.byTenant} {
		if n := [3]int{0, r.Class, r.Tenant}[i]; n >= 0 && n < len(list) {
			list[n].asked, list[n].served = list[n].asked+asked, list[n].served+served
		}
	}
}

// overShare is the part of a tenant's traffic that lies beyond its share, if this proxy sees as
// much of each tenant as the others do.
func (b *Balancer) overShare(i int) float64 {
	quota := b.cfg.Tenants[i].QuotaPerS / float64(b.cfg.Instances)
	b.traffic[i].add(1, b.now, b.cfg.Obligations.Fall)
	if rate := b.traffic[i].perSecond(b.now, b.cfg.Obligations.Fall); quota > 0 && rate > quota {
		return 1 - quota/rate
	}
	return 0
}

// place lets a request that nothing is out for wait for the next dispatch, if it may still be sent.
func (b *Balancer) place(r *request) {
	if len(r.attempts) > 0 && !slices.ContainsFunc(b.ready, func(t *target) bool { return b.maySend(r, t) }) {
		b.end(r, b.interval)
		return
	}
	slack := b.useful(r) - b.now - span(b.expected(r.Class, millis(r.Cost))*b.median)
	r.waitUntil = b.now + slack/2
	b.waiting = append(b.waiting, r)
}

// gain is what serving a request now adds to the goal, for each unit of its work: its part of all
// worth, of its class's if that is the worst served, and of its tenant's likewise, times the
// chance that the answer comes in time.
func (b *Balancer) gain(r *request) float64 {
	g, c := &b.cfg.Goal, &b.cfg.Classes[r.Class]
	v := (g.Whole + g.WorstWindow) / max(b.all[0].asked, 1e-9)
	if t := &b.byClass[r.Class]; worst(t, b.byClass) {
		v += g.WorstClass / t.asked
	}
	if i := r.Tenant; i >= 0 && i < len(b.byTenant) && worst(&b.byTenant[i], b.byTenant) {
		v += g.WorstTenant / b.byTenant[i].asked * (1 - r.over)
	}
	mean := b.expected(r.Class, millis(r.Cost)) * b.median
	inTime := func(until time.Duration) float64 { return 1 - math.Exp(-max(0, millis(until-b.now))/mean) }
	chance := inTime(r.aimAt)
	chance += c.LateShare * (inTime(r.Deadline) - chance)
	return v * r.worth * chance / b.workOf(r)
}

// worst tells whether none of the others is served much less.
func worst(t *tally, others []tally) bool {
	return t.asked > 0 && !slices.ContainsFunc(others, func(o tally) bool {
		return o.share() < t.share()-worstNear
	})
}

// dispatch sends what waits, the greatest gain first, while there is room.
func (b *Balancer) dispatch() {
	waiting := b.waiting
	b.waiting = b.waiting[:0:0]
	for _, r := range waiting {
		r.rank = b.gain(r)
		b.meanRank = smooth(b.meanRank, r.rank, meanOver)
	}
	slices.SortStableFunc(waiting, func(x, y *request) int { return cmp.Compare(y.rank, x.rank) })
	misses := 0
	for _, r := range waiting {
		if r.ended {
			continue
		}
		if misses < dispatchMisses {
			if t := b.pick(r); t != nil && b.send(r, t) {
				continue
			}
			misses++
		}
		if b.now >= r.waitUntil || len(b.waiting) >= waitingEach*(len(b.ready)+1) {
			b.end(r, b.interval)
			continue
		}
		b.waiting = append(b.waiting, r)
	}
	if len(b.waiting) > 0 && !b.ticking {
		b.ticking = true
		b.host.After(2*b.cfg.Tick+time.Millisecond, timerDispatch<<56)
	}
}

// useful is the time after which an answer is worth nothing.
func (b *Balancer) useful(r *request) time.Duration {
	if b.cfg.Classes[r.Class].LateShare > 0 {
		return r.Deadline
	}
	return r.aimAt
}

// mayRefuse guards refusals: a refusal promises the client that trying again is harmless.
func (b *Balancer) mayRefuse(r *request) bool {
	c := &b.cfg.Classes[r.Class]
	if c.Effect == Safe || c.Effect == Keyed && c.Group == GroupAll {
		return true
	}
	return !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayRun })
}

// end gives the final answer and calls off what is still out.
func (b *Balancer) end(r *request, retryAfter time.Duration) {
	if r.ended || r.streaming {
		return
	}
	if b.mayRefuse(r) {
		if !b.cfg.Caps.RetryAfter {
			retryAfter = 0
		}
		b.host.Refuse(r.ID, min(retryAfter, b.cfg.Caps.MaxRetryAfter))
	} else {
		b.host.Fail(r.ID)
	}
	b.finish(r, nil)
}

// finish marks the request as over and cancels its other attempts.
func (b *Balancer) finish(r *request, winner *attempt) {
	r.ended = true
	b.cancelAllBut(r, winner)
	if r.out == 0 {
		delete(b.requests, r.ID)
	}
}

func (b *Balancer) cancelAllBut(r *request, winner *attempt) {
	for _, a := range r.attempts {
		if a != winner && !a.done {
			b.cancel(a)
		}
	}
}

func (b *Balancer) cancel(a *attempt) {
	if b.cfg.Caps.Cancel && !a.cancelled {
		a.cancelled = true
		b.host.Cancel(a.req.ID, a.n)
	}
}

// ---- attempts ----

// maySend guards further attempts: may this request be sent (again), and there?
func (b *Balancer) maySend(r *request, t *target) bool {
	c := &b.cfg.Classes[r.Class]
	if r.ended || r.streaming || len(r.attempts) >= b.cfg.Caps.MaxAttempts || b.now >= r.Deadline {
		return false
	}
	if r.out > 0 && !b.cfg.Caps.SecondCopies {
		return false
	}
	first := time.Duration(-1)
	for _, a := range r.attempts {
		if !a.mayRun || c.Effect == Safe {
			continue
		}
		if c.Effect == Unsafe || c.Group == GroupZone && a.zone != t.Zone ||
			c.Group == GroupCell && a.cell != t.Cell {
			return false
		}
		if first < 0 {
			first = a.sent
		}
	}
	return first < 0 || b.now < first+c.Window-b.cfg.Tick
}

// send is the one place where requests leave; both guards are asked again here.
func (b *Balancer) send(r *request, t *target) bool {
	work := b.workOf(r)
	if !b.maySend(r, t) || !b.mayReceive(t, work) {
		return false
	}
	e := b.expected(r.Class, millis(r.Cost))
	a := &attempt{req: r, n: len(r.attempts), to: t, zone: t.Zone, cell: t.Cell, sent: b.now, expected: e,
		work: work, weight: min(max(e/b.mean, 1.0/maxWeight), maxWeight), mayRun: true}
	r.attempts = append(r.attempts, a)
	r.out++
	t.out = append(t.out, a)
	t.lastSent = b.now
	t.load += a.weight
	a.crowd = t.load
	t.ageA, t.ageB = t.ageA+millis(b.now)/e, t.ageB+1/e
	// Danger: a budget lets light ones through, and handshakes are work too. None counts under the mean.
	t.tokens -= max(work, b.meanWork)
	// A request that is heavy by its hint may take longer, whatever else is there.
	mean, aim := b.expected(r.Class, 0), millis(r.aimAt-r.arrived)
	usual := max(lateFrom*b.tails[r.Class].least, lateLeast*aim)
	a.lateAt = b.now + span(max(1, e/mean)*min(usual, aim))
	until := min(r.Deadline, max(b.useful(r)-b.cfg.Tick, b.now+b.cfg.Tick))
	b.host.Send(r.ID, t.ID, until)
	return true
}

// Outcome takes the end of an attempt and decides what comes next.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	b.now = now
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].done {
		return
	}
	a := r.attempts[o.Attempt]
	b.land(a, o)
	if o.Final {
		r.ended = true
	}
	defer b.dispatch()
	if r.ended {
		b.finish(r, a)
		return
	}
	if o.Result == Declined { // and so would every other
		b.host.Fail(r.ID)
		b.finish(r, a)
		return
	}
	if r.out > 0 {
		return
	}
	paid := o.Result != ConnectFailed // which cost no work
	if b.now >= b.useful(r)-b.cfg.Tick || paid && b.retries < 1 {
		b.end(r, b.interval)
		return
	}
	if paid {
		b.retries--
	}
	b.place(r)
}

// land takes an attempt off its backend's books and learns from it.
func (b *Balancer) land(a *attempt, o Outcome) {
	t, r := a.to, a.req
	a.done, a.mayRun = true, !o.Result.NeverRan()
	r.out--
	if i := slices.Index(t.out, a); i >= 0 {
		t.out = slices.Delete(t.out, i, i+1)
	}
	if t.load -= a.weight; len(t.out) == 0 {
		t.load, t.ageA, t.ageB = 0, 0, 0
	} else {
		t.ageA, t.ageB = t.ageA-millis(a.sent)/a.expected, t.ageB-1/a.expected
	}
	b.judge(a, o.Result)
	took := millis(b.now - a.sent)
	b.crowd(a, o.Result)
	switch o.Result {
	case OK:
		if o.Final {
			v := r.worth
			if b.now > r.aimAt {
				v *= b.cfg.Classes[r.Class].LateShare
			}
			b.book(r, 0, v)
		}
		b.tails[r.Class].learn(took/max(1, a.expected/b.expected(r.Class, 0)), tailPart, tailStep)
		b.classes[r.Class].learn(millis(r.Cost), took, classKeep)
		b.note(t, took/a.expected, 1)
		t.served.add(a.work, b.now, servedOver*b.memory)
	case Cancelled, Moot, Declined:
		// A loser's age is a lower bound of its delay.
		if took > a.expected {
			b.note(t, took/a.expected, 0.5)
		}
	default:
		// Danger: a failure comes fast. It counts as slow as the aim, or a broken backend draws all traffic;
		// but as no multiple of the median, which would feed itself while all fail.
		b.note(t, max(took/a.expected, millis(b.cfg.Classes[r.Class].Aim)/a.expected, b.median), 1)
	}
}

func (b *Balancer) note(t *target, ratio, n float64) {
	t.delays.add(ratio, b.now, b.memory)
	t.answers.add(n, b.now, b.memory)
}

// crowd learns how much may be out at a backend from whether its answers take their usual time.
// Danger: a crowded server answers all of its requests late, and may turn slow for long. Waiting
// for an attempt's end would show that when it is done, so one counts as late while still out.
func (b *Balancer) crowd(a *attempt, result Result) {
	t := a.to
	if result == Full {
		a.lateAt = b.now
	}
	// Danger: each of many sharers sees few answers; if none learnt faster, all would be too slow.
	k := min(max(1, b.sharers()/crowdFew), crowdFew)
	if b.now >= a.lateAt && !a.late || result == Timeout {
		// The limit itself is cut, not what was out: one that was alone and late says little of a crowd.
		a.late, t.limit = true, max(1/b.sharers(), t.limit*math.Pow(crowdCut, k))
	} else if result == OK && !a.late && a.crowd > t.limit*crowdNear {
		t.limit += max(k*crowdGrow/b.sharers(), k*t.limit/crowdSteps)
	}
}

// FirstByte binds a streamed request to its attempt.
func (b *Balancer) FirstByte(now time.Duration, f FirstByte) {
	b.now = now
	r := b.requests[f.ID]
	if r == nil || f.Attempt < 0 || f.Attempt >= len(r.attempts) {
		return
	}
	r.streaming = true
	b.cancelAllBut(r, r.attempts[f.Attempt])
}

// Gone takes the client's leave: nothing is owed any more.
func (b *Balancer) Gone(now time.Duration, id RequestID) {
	b.now = now
	if r := b.requests[id]; r != nil && !r.ended {
		b.finish(r, nil)
	}
}

// Peer takes a message from another proxy.
func (b *Balancer) Peer(now time.Duration, m PeerMessage) { b.now = now }

// ---- timers ----

// Timer takes a time asked for by Host.After.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	b.now = now
	switch token >> 56 {
	case timerDiscover:
		b.host.Watch(true)
	case timerDispatch:
		b.ticking = false
		b.dispatch()
	case timerSweep:
		b.sweep()
		b.host.After(b.interval/sweeps, timerSweep<<56)
	}
}

// sweep does what time alone brings about.
func (b *Balancer) sweep() {
	b.forget() // one that had something out when it went; the next list may be long in coming
	b.findSubset()
	few := answersOf * time.Duration(len(b.subset)) * b.gap
	b.memory = max(memory*b.interval, min(few, b.cfg.Obligations.Cold))
	b.findMedian()
	for i := range b.classes {
		b.tails[i].findLeast(tailFrom, tailRise)
	}
	b.coldRates()
	b.probeDue()
	for _, t := range b.ready {
		for _, a := range t.out {
			b.crowd(a, Cancelled)
		}
		// Danger: a limit far above the need lets a burst tip the server before answers tell.
		need := max(crowdStart/b.sharers(), crowdRoom*t.load)
		if t.limit > need {
			t.limit += (need - t.limit) / (memory * sweeps)
		}
	}
	f := math.Exp(-float64(b.interval/sweeps) / float64(b.cfg.Obligations.Cold+b.interval))
	for _, list := range [3][]tally{b.all, b.byClass, b.byTenant} {
		for i := range list {
			list[i].asked, list[i].served = list[i].asked*f, list[i].served*f
		}
	}
}
