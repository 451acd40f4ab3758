package controlplane

import (
	"container/heap"
	"errors"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/syndtr/goleveldb/leveldb/storage"
	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/chain"
	"marlreel/internal/controlplane/result"
	"marlreel/internal/controlplane/state"
	"marlreel/internal/controlplane/store"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/bootstrap"
)

// A world is control processes with their stores, agents that follow them and hold roles, backends that take orders,
// and operators, on one queue of events: what happens, and in which order, comes from one seed. It runs the very
// replica, store, feed, lease granter and clocks of the program; what the program does by goroutines, it does by events.

// occurrence is something that happens at a time.
type occurrence struct {
	at    time.Duration
	order int
	do    func()
}

type schedule []occurrence

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].order < s[j].order
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(occurrence)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// direction is one direction between two addresses.
type direction struct{ from, to string }

// delayedCall is what a cut holds up on a connection.
type delayedCall struct {
	link            direction
	fromIncarnation int
	deliver         func()
}

type simulation struct {
	t           *testing.T
	rng         *rand.Rand
	now         time.Duration
	queue       schedule
	order       int
	controls    []*simulatedControl
	agents      []*simulatedAgent
	backend     *simulatedBackend
	seeds       []string
	partitioned map[direction]bool
	delayed     []delayedCall
	loss        float64 // of datagrams
	ackLoss     float64 // of answers to operators
	trace       hash.Hash64
	events      int
	failures    []string
	coverage    map[string]int // how often what a fault is about did happen
	operators   *simulatedOperators
	calm        bool // operators make no more changes
}

const (
	simulatedAgents = 3
	// controlTickInterval is how often a control process looks at the time.
	controlTickInterval = 30 * time.Millisecond
	// maxBacklog bounds what waits for a process that stands still.
	maxBacklog = 1024
	// mostLog bounds what is kept to tell of a history that fails.
	maxFailures = 12
)

func newSimulation(t *testing.T, seed uint64, cores int) *simulation {
	w := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 11)), now: time.Second, partitioned: map[direction]bool{}, trace: fnv.New64a(),
		coverage: map[string]int{},
	}
	for i := range cores {
		w.seeds = append(w.seeds, fmt.Sprintf("c%d", i))
	}
	for _, address := range w.seeds {
		w.addControl(address, true)
	}
	w.backend = &simulatedBackend{world: w}
	for i := range simulatedAgents {
		w.addAgent(i)
	}
	w.operators = newSimulatedOperators(w)
	return w
}

// clock is the time of the package time at this moment.
func (w *simulation) clock() time.Time { return time.Unix(1_700_000_000, 0).Add(w.now) }

func (w *simulation) after(span time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, occurrence{w.now + span, w.order, do})
}

// every does something again and again, from some moment within the first span on, until it gives false.
func (w *simulation) every(span time.Duration, do func() bool) {
	var again func()
	again = func() {
		if do() {
			w.after(span, again)
		}
	}
	w.after(time.Duration(w.rng.Int64N(int64(span))), again)
}

// advance lets time advance.
func (w *simulation) advance(span time.Duration) {
	end := w.now + span
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(occurrence)
		w.now = next.at
		w.events++
		next.do()
	}
	w.now = end
}

// advanceUntil lets time pass until something is so, for most.
func (w *simulation) advanceUntil(most time.Duration, is func() bool) bool {
	for end := w.now + most; w.now < end; w.advance(time.Millisecond) {
		if is() {
			return true
		}
	}
	return is()
}

// record adds something that happened to the trace.
func (w *simulation) record(format string, args ...any) {
	fmt.Fprintf(w.trace, "%d ", w.now)
	fmt.Fprintf(w.trace, format, args...)
	if testing.Verbose() && w.t != nil && traceWorlds {
		w.t.Logf("%v "+format, append([]any{w.now}, args...)...)
	}
}

// traceWorlds is set to look into a single history.
const traceWorlds = false

func (w *simulation) failf(format string, args ...any) {
	if len(w.failures) < maxFailures {
		w.failures = append(w.failures, fmt.Sprintf("%v ", w.now)+fmt.Sprintf(format, args...))
	}
}

// ---- the network ----

func (w *simulation) delay() time.Duration {
	return time.Millisecond + time.Duration(w.rng.Int64N(int64(2*time.Millisecond)))
}

// datagram carries something that is lost where a cut is in the way.
func (w *simulation) datagram(from, to string, deliver func()) {
	if w.partitioned[direction{from, to}] || w.rng.Float64() < w.loss {
		return
	}
	w.after(w.delay(), func() {
		if !w.partitioned[direction{from, to}] {
			deliver()
		}
	})
}

// carry carries something on a connection: what meets a cut waits for its end, whether or not its sender has given
// up. It is lost with either end's process.
func (w *simulation) carry(from, to string, deliver func()) {
	l, fromLife, toLife := direction{from, to}, w.incarnationOf(from), w.incarnationOf(to)
	arrive := func() {
		if w.incarnationOf(to) == toLife {
			deliver()
		}
	}
	if w.partitioned[l] {
		w.delayed = append(w.delayed, delayedCall{l, fromLife, arrive})
		return
	}
	w.after(w.delay(), func() {
		if w.partitioned[l] {
			w.delayed = append(w.delayed, delayedCall{l, fromLife, arrive})
			return
		}
		arrive()
	})
}

// incarnationOf counts the starts of the process at an address.
func (w *simulation) incarnationOf(address string) int {
	for _, c := range w.controls {
		if c.address == address {
			return c.incarnation
		}
	}
	return 0
}

// setPartitioned begins or ends a cut in one direction. What it held up arrives, unless its sender has died.
func (w *simulation) setPartitioned(from, to string, cut bool) {
	l := direction{from, to}
	w.partitioned[l] = cut
	if cut {
		return
	}
	var still []delayedCall
	for _, h := range w.delayed {
		switch {
		case h.link != l:
			still = append(still, h)
		case w.incarnationOf(from) == h.fromIncarnation:
			w.coverage["a call was held up"]++
			w.after(w.delay(), h.deliver)
		}
	}
	w.delayed = still
}

// call makes a call and hands its answer back; answered is called once, with nil where none came in time.
func call[A any](w *simulation, from, to string, timeout time.Duration, serve func(answer func(A)), answered func(answer *A)) {
	over := false
	finish := func(answer *A) {
		if !over {
			over = true
			answered(answer)
		}
	}
	w.after(timeout, func() { finish(nil) })
	w.carry(from, to, func() {
		serve(func(answer A) {
			w.carry(to, from, func() { finish(&answer) })
		})
	})
}

// ---- control processes ----

// simulatedControl is a machine with a control process.
type simulatedControl struct {
	world    *simulation
	address  string
	disk     storage.Storage
	first    bool
	replaced bool // another machine has taken its place

	up          bool
	incarnation int
	began       time.Duration // of this life's clock
	store       *store.Store
	replica     *Replica // nil: there is no store
	reopenAt    time.Duration
	feed        *watch.Store
	leases      *leaseGranter
	peerClocks  peerClocks
	view        chainView
	freshness   freshnessTracker
	leaving     bool

	frozen   bool // frozen, or its disk stalls
	backlog  []func()
	fullDisk bool
	slowDisk time.Duration // what each write takes
	dieAt    int           // how many writes from now on all power is lost, in the middle of one; 0: not
}

var errFullDisk = errors.New("no space left on device")

func (w *simulation) addControl(address string, first bool) {
	c := &simulatedControl{world: w, address: address, disk: storage.NewMemStorage(), first: first}
	w.controls = append(w.controls, c)
	c.start()
}

// clock is the steady clock of this life.
func (c *simulatedControl) clock(at time.Duration) time.Duration { return at - c.began + time.Second }

func (c *simulatedControl) start() {
	w := c.world
	c.incarnation++
	c.up, c.began, c.frozen, c.backlog, c.leaving, c.reopenAt = true, w.now, false, nil, false, 0
	c.peerClocks, c.view = peerClocks{}, chainView{seeds: func() []string { return w.seeds }}
	c.freshness = freshnessTracker{establishedAfter: 4 * time.Second}
	c.feed = watch.New(fmt.Sprintf("%s/%d", c.address, c.incarnation), w.clock)
	c.leases = newLeaseGranter(bootstrap.Bounds{Fencing: true, LeaseDurationMS: 3000}, c.feed, func() (uint64, bool) { return c.view.headOf(c.address) },
		c.grant, w.clock)
	life := c.incarnation
	alive := func() bool { return c.up && c.incarnation == life }
	regularly := func(span time.Duration, do func()) {
		w.every(span, func() bool {
			if alive() && !c.frozen { // a ticker that is not read drops its ticks
				do()
			}
			return alive()
		})
	}
	regularly(controlTickInterval, c.tick)
	regularly(chainStatusInterval, c.publishChainStatus)
	regularly(grantInterval, c.leases.submitDueGrants)
	regularly(expiryInterval, func() { c.feed.ExpireNodes(nodeTimeout) })
}

func (c *simulatedControl) kill() {
	c.up, c.incarnation = false, c.incarnation+1
	c.close()
}

func (c *simulatedControl) close() {
	c.replica = nil
	if c.store != nil {
		_ = c.store.Close() // the storage lives on, as a disk does
		c.store = nil
	}
}

// wipe loses the disk.
func (c *simulatedControl) wipe() {
	c.kill()
	c.disk, c.first = storage.NewMemStorage(), false
}

func (c *simulatedControl) tick() {
	if c.replica != nil && c.replica.Failure() != nil {
		c.close()
		c.reopenAt = c.world.now + storeReopenDelay
	}
	if c.replica == nil && c.world.now >= c.reopenAt {
		c.open()
	}
	if c.replica != nil {
		c.replica.Node().SetSeeds(c.world.seeds)
		c.replica.Tick(c.clock(c.world.now))
	}
}

// open opens the store, as the keeper does.
func (c *simulatedControl) open() {
	if c.fullDisk { // opening writes
		c.reopenAt = c.world.now + storeReopenDelay
		return
	}
	opened, err := store.OpenStorage(c.disk)
	if err != nil {
		c.world.failf("%s: opening the store: %v", c.address, err)
		return
	}
	c.store = opened
	durable, err := opened.Load()
	if err != nil {
		c.world.failf("%s: reading the store: %v", c.address, err)
		c.close()
		return
	}
	if durable.Self == nil {
		durable.Self = &api.Member{Address: c.address, Incarnation: chain.FounderIncarnation}
		if c.first {
			durable.View = chain.FoundingView(c.world.seeds)
		} else {
			durable.Self.Incarnation = c.world.rng.Uint64() | 1<<63
		}
		if err := opened.Save(&durable, chain.Changes{Self: true, View: durable.View != nil}); err != nil {
			c.world.failf("%s: founding: %v", c.address, err)
		}
	}
	c.first = false
	c.replica = NewReplica(simulatedChainConfig(len(c.world.seeds)), durable, c.world.seeds, c, c, c.feed, logr.Discard(), c.clock(c.world.now))
	if c.leaving {
		c.replica.Leave(c.clock(c.world.now))
	}
}

// simulatedChainConfig is the chain's configuration: logs are compacted often.
func simulatedChainConfig(members int) chain.Config {
	cfg := chain.DefaultConfig(members)
	cfg.MaxLogEntries, cfg.MaxJoinLagBytes = 8, 2<<10
	return cfg
}

// Save implements Saver.
func (c *simulatedControl) Save(d *chain.DurableState, changed chain.Changes) error {
	if c.fullDisk {
		if c.world.rng.IntN(2) == 0 {
			_ = c.store.Save(d, changed) // a write that is refused may be in the journal
		}
		c.world.coverage["a write was refused"]++
		return errFullDisk
	}
	if c.dieAt > 0 {
		if c.dieAt--; c.dieAt == 0 {
			if c.world.rng.IntN(2) == 0 {
				_ = c.store.Save(d, changed)
			}
			c.world.coverage["power was lost in a write"]++
			c.world.after(0, c.world.operators.powerIsLost)
			return errFullDisk // nothing of what follows gets out
		}
	}
	if c.slowDisk > 0 {
		c.freeze(c.slowDisk)
	}
	return c.store.Save(d, changed)
}

// Send implements Sender.
func (c *simulatedControl) Send(message *api.ChainMessage) {
	w, to := c.world, message.To.GetAddress()
	copied := proto.CloneOf(message)
	deliver := func() {
		if receiver := w.controlAt(to); receiver != nil {
			receiver.run(func() {
				if receiver.replica != nil {
					receiver.replica.Receive(receiver.clock(w.now), copied)
				}
			})
		}
	}
	if message.GetHeartbeat() != nil {
		w.datagram(c.address, to, deliver)
		return
	}
	w.carry(c.address, to, deliver)
}

// run does something on the process, or keeps it for when the process goes on.
func (c *simulatedControl) run(do func()) {
	switch {
	case !c.up:
	case c.frozen && len(c.backlog) < maxBacklog:
		c.backlog = append(c.backlog, do)
	case !c.frozen:
		do()
	}
}

// freeze lets the process freeze still for a while.
func (c *simulatedControl) freeze(span time.Duration) {
	if c.frozen {
		return
	}
	c.frozen = true
	life := c.incarnation
	c.world.after(span, func() {
		if c.incarnation == life {
			c.resume()
		}
	})
}

func (c *simulatedControl) resume() {
	c.frozen = false
	backlog := c.backlog
	c.backlog = nil
	for _, do := range backlog {
		c.run(do)
	}
}

func (c *simulatedControl) publishChainStatus() {
	s := chainStatusOf(c.replica)
	c.view.OnChainStatus(s)
	c.feed.SetSourceStatus(c.freshness.OnChainStatus(s, c.world.clock()))
	if s.Connected {
		c.world.operators.auditFresh(c)
	}
}

// controlAt is the machine at an address that has not been replaced.
func (w *simulation) controlAt(address string) *simulatedControl {
	for _, c := range w.controls {
		if c.address == address && !c.replaced {
			return c
		}
	}
	return nil
}

// inService tells whether a process is in a chain in service, by its own word.
func (c *simulatedControl) inService() bool {
	return c.up && c.replica != nil && c.replica.Failure() == nil && c.replica.Node().InService()
}

// ---- the calls of control, as Service makes them ----

// grant is Service.grant.
func (c *simulatedControl) grant(operation *api.Operation, view uint64) {
	w := c.world
	if c.replica == nil {
		return
	}
	c.replica.SubmitInView(c.clock(w.now), operation, view, c.clock(w.now+orderTimeout), func(code result.Code, _ string) {
		if code == result.Unavailable {
			w.coverage["a grant came to nothing"]++
		}
	})
}

// order has an operation done, wherever the head is.
func (c *simulatedControl) order(operation *api.Operation, reply func(*result.Error)) {
	w, deadline, tries := c.world, c.world.now+orderTimeout, newOrderAttempts()
	over, asking := false, false
	finish := func() {
		if over {
			return
		}
		over = true
		if asking && tries.outcome.Code == result.Unavailable {
			tries.outcome = result.Errorf(result.OutcomeUnknown, "no answer in time")
		}
		reply(tries.outcome)
	}
	w.after(orderTimeout, finish)
	var try func()
	again := func() { w.after(attemptInterval, func() { c.run(try) }) }
	try = func() {
		head := chainStatusOf(c.replica).Head
		if over || head == "" {
			if !over {
				again()
			}
			return
		}
		asking = true
		c.submitAt(head, operation, deadline, func(answer *api.SubmitReply) {
			asking = false
			if over {
				return
			}
			if tries.OnReply(answer) {
				finish()
				return
			}
			again()
		})
	}
	try()
}

// submitAt has an operation done by the head, if it gets there in time.
func (c *simulatedControl) submitAt(head string, operation *api.Operation, deadline time.Duration, reply func(*api.SubmitReply)) {
	w := c.world
	if head == c.address {
		c.submitHere(operation, c.clock(deadline), reply)
		return
	}
	at := func() *api.Instant { return c.peerClocks.instantAt(head, w.clock().Add(deadline-w.now)) }
	submit := func(until *api.Instant) {
		c.submitTo(head, &api.SubmitRequest{Operation: operation, Deadline: until}, deadline, func(answer *api.SubmitReply) {
			if answer == nil {
				answer = &api.SubmitReply{Code: uint32(result.OutcomeUnknown)}
			}
			reply(answer)
		})
	}
	if until := at(); until != nil {
		submit(until)
		return
	}
	c.submitTo(head, &api.SubmitRequest{}, deadline, func(answer *api.SubmitReply) {
		if answer == nil || at() == nil {
			reply(&api.SubmitReply{Code: uint32(result.Unavailable)})
			return
		}
		submit(at())
	})
}

func (c *simulatedControl) submitTo(head string, request *api.SubmitRequest, deadline time.Duration, reply func(*api.SubmitReply)) {
	w := c.world
	call(w, c.address, head, deadline-w.now, func(answer func(*api.SubmitReply)) {
		if server := w.controlAt(head); server != nil {
			server.run(func() { server.submit(request, answer) })
		}
	}, func(answer **api.SubmitReply) {
		if answer == nil {
			reply(nil)
			return
		}
		c.peerClocks.OnClockReading(head, (*answer).Clock, w.clock())
		reply(*answer)
	})
}

// submit is Service.Submit.
func (c *simulatedControl) submit(request *api.SubmitRequest, reply func(*api.SubmitReply)) {
	stamped := func(answer *api.SubmitReply) {
		answer.Clock = &api.Instant{Incarnation: uint64(c.incarnation), MonotonicNs: uint64(c.clock(c.world.now))}
		reply(answer)
	}
	if request.Operation == nil || request.Deadline.GetIncarnation() != uint64(c.incarnation) {
		stamped(&api.SubmitReply{Code: uint32(result.Unavailable)})
		return
	}
	if time.Duration(request.Deadline.MonotonicNs) <= c.clock(c.world.now) {
		c.world.coverage["an order came too late"]++
	}
	c.submitHere(request.Operation, time.Duration(request.Deadline.MonotonicNs), stamped)
}

func (c *simulatedControl) submitHere(operation *api.Operation, until time.Duration, reply func(*api.SubmitReply)) {
	if c.replica == nil {
		reply(&api.SubmitReply{Code: uint32(result.Unavailable)})
		return
	}
	c.replica.Submit(c.clock(c.world.now), operation, until, func(code result.Code, detail string) {
		reply(&api.SubmitReply{Code: uint32(code), Detail: detail})
	})
}

// reading is what a read of the newest state gives.
type newestState struct {
	version   uint64
	text      string
	evacuated bool // the zone that operators evacuate
	retired   map[string]bool
}

// read reads the newest state, wherever the tail is; nil: nobody can be sure of it.
func (c *simulatedControl) read(ids []string, reply func(*newestState)) {
	tail := chainStatusOf(c.replica).Tail
	if tail == "" {
		reply(nil)
		return
	}
	w := c.world
	call(w, c.address, tail, orderTimeout, func(answer func(*newestState)) {
		server := w.controlAt(tail)
		if server == nil {
			return
		}
		server.run(func() {
			if server.replica == nil {
				answer(nil)
				return
			}
			server.replica.ReadAtTail(server.clock(w.now), func(code result.Code, m *state.Machine) { answer(stateRead(code, m, ids)) })
		})
	}, func(answer **newestState) {
		if answer == nil {
			reply(nil)
			return
		}
		reply(*answer)
	})
}

func stateRead(code result.Code, m *state.Machine, ids []string) *newestState {
	if code != result.Committed {
		return nil
	}
	s := &newestState{version: m.Version(), evacuated: m.IsEvacuated(evacuatedZone), retired: map[string]bool{}}
	if m.Document() != nil {
		s.text = string(m.Document().Raw())
	}
	for _, id := range ids {
		s.retired[id] = m.IsRetired(id)
	}
	return s
}

// lease is Service.Lease: the head answers, and others pass the question on once.
func (c *simulatedControl) lease(holder string, forwarded bool, reply func(*api.LeaseReply)) {
	w, unavailable := c.world, &api.LeaseReply{Code: uint32(result.Unavailable)}
	head := chainStatusOf(c.replica).Head
	switch {
	case c.replica == nil || head == "":
		reply(unavailable)
	case head == c.address:
		c.replica.ReadAtHead(c.clock(w.now), func(code result.Code, m *state.Machine) {
			answer := &api.LeaseReply{Code: uint32(code)}
			if m != nil {
				answer.Renewed = c.leases.manager.Renew(holder, false, m.Leases())
				answer.ValidMs = uint32(c.leases.manager.GrantDuration().Milliseconds())
			}
			reply(answer)
		})
	case forwarded:
		reply(unavailable)
	default:
		call(w, c.address, head, forwardTimeout, func(answer func(*api.LeaseReply)) {
			if server := w.controlAt(head); server != nil {
				server.run(func() { server.lease(holder, true, answer) })
			}
		}, func(answer **api.LeaseReply) {
			if answer != nil {
				reply(*answer)
			}
		})
	}
}
