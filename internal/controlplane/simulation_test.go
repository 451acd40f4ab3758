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

// link is one direction between two addresses.
type link struct{ from, to string }

// heldCall is what a cut holds up on a connection.
type heldCall struct {
	link     link
	fromLife int
	deliver  func()
}

type world struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	queue   schedule
	order   int
	cores   []*core
	agents  []*simAgent
	backend *simBackend
	seeds   []string
	cut     map[link]bool
	held    []heldCall
	loss    float64 // of datagrams
	ackLoss float64 // of answers to operators
	trace   hash.Hash64
	events  int
	wrong   []string
	crossed map[string]int // how often what a fault is about did happen
	clients *worldClients
	calm    bool // operators make no more changes
}

const (
	worldAgents = 3
	// coreTick is how often a control process looks at the time.
	coreTick = 30 * time.Millisecond
	// mostBacklog bounds what waits for a process that stands still.
	mostBacklog = 1024
	// mostLog bounds what is kept to tell of a history that fails.
	mostWrong = 12
)

func newWorld(t *testing.T, seed uint64, cores int) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 11)), now: time.Second, cut: map[link]bool{}, trace: fnv.New64a(),
		crossed: map[string]int{},
	}
	for i := range cores {
		w.seeds = append(w.seeds, fmt.Sprintf("c%d", i))
	}
	for _, address := range w.seeds {
		w.addCore(address, true)
	}
	w.backend = &simBackend{world: w}
	for i := range worldAgents {
		w.addAgent(i)
	}
	w.clients = newWorldClients(w)
	return w
}

// clock is the time of the package time at this moment.
func (w *world) clock() time.Time { return time.Unix(1_700_000_000, 0).Add(w.now) }

func (w *world) after(span time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, occurrence{w.now + span, w.order, do})
}

// every does something again and again, from some moment within the first span on, until it gives false.
func (w *world) every(span time.Duration, do func() bool) {
	var again func()
	again = func() {
		if do() {
			w.after(span, again)
		}
	}
	w.after(time.Duration(w.rng.Int64N(int64(span))), again)
}

// pass lets time pass.
func (w *world) pass(span time.Duration) {
	end := w.now + span
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(occurrence)
		w.now = next.at
		w.events++
		next.do()
	}
	w.now = end
}

// passUntil lets time pass until something is so, for most.
func (w *world) passUntil(most time.Duration, is func() bool) bool {
	for end := w.now + most; w.now < end; w.pass(time.Millisecond) {
		if is() {
			return true
		}
	}
	return is()
}

// note adds something that happened to the trace.
func (w *world) note(format string, args ...any) {
	fmt.Fprintf(w.trace, "%d ", w.now)
	fmt.Fprintf(w.trace, format, args...)
	if testing.Verbose() && w.t != nil && traceWorlds {
		w.t.Logf("%v "+format, append([]any{w.now}, args...)...)
	}
}

// traceWorlds is set to look into a single history.
const traceWorlds = false

func (w *world) fault(format string, args ...any) {
	if len(w.wrong) < mostWrong {
		w.wrong = append(w.wrong, fmt.Sprintf("%v ", w.now)+fmt.Sprintf(format, args...))
	}
}

// ---- the network ----

func (w *world) delay() time.Duration {
	return time.Millisecond + time.Duration(w.rng.Int64N(int64(2*time.Millisecond)))
}

// datagram carries something that is lost where a cut is in the way.
func (w *world) datagram(from, to string, deliver func()) {
	if w.cut[link{from, to}] || w.rng.Float64() < w.loss {
		return
	}
	w.after(w.delay(), func() {
		if !w.cut[link{from, to}] {
			deliver()
		}
	})
}

// carry carries something on a connection: what meets a cut waits for its end, whether or not its sender has given
// up. It is lost with either end's process.
func (w *world) carry(from, to string, deliver func()) {
	l, fromLife, toLife := link{from, to}, w.life(from), w.life(to)
	arrive := func() {
		if w.life(to) == toLife {
			deliver()
		}
	}
	if w.cut[l] {
		w.held = append(w.held, heldCall{l, fromLife, arrive})
		return
	}
	w.after(w.delay(), func() {
		if w.cut[l] {
			w.held = append(w.held, heldCall{l, fromLife, arrive})
			return
		}
		arrive()
	})
}

// life counts the starts of the process at an address.
func (w *world) life(address string) int {
	for _, c := range w.cores {
		if c.address == address {
			return c.life
		}
	}
	return 0
}

// setCut begins or ends a cut in one direction. What it held up arrives, unless its sender has died.
func (w *world) setCut(from, to string, cut bool) {
	l := link{from, to}
	w.cut[l] = cut
	if cut {
		return
	}
	var still []heldCall
	for _, h := range w.held {
		switch {
		case h.link != l:
			still = append(still, h)
		case w.life(from) == h.fromLife:
			w.crossed["a call was held up"]++
			w.after(w.delay(), h.deliver)
		}
	}
	w.held = still
}

// call makes a call and hands its answer back; answered is called once, with nil where none came in time.
func call[A any](w *world, from, to string, timeout time.Duration, serve func(answer func(A)), answered func(answer *A)) {
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

// core is a machine with a control process.
type core struct {
	world    *world
	address  string
	disk     storage.Storage
	first    bool
	replaced bool // another machine has taken its place

	up      bool
	life    int
	began   time.Duration // of this life's clock
	store   *store.Store
	replica *Replica // nil: there is no store
	openAt  time.Duration
	feed    *watch.Store
	leases  *leaseGranter
	clocks  peerClocks
	members chainView
	word    freshnessTracker
	leaving bool

	still    bool // frozen, or its disk stalls
	backlog  []func()
	fullDisk bool
	slowDisk time.Duration // what each write takes
	dieAt    int           // how many writes from now on all power is lost, in the middle of one; 0: not
}

var errFullDisk = errors.New("no space left on device")

func (w *world) addCore(address string, first bool) {
	c := &core{world: w, address: address, disk: storage.NewMemStorage(), first: first}
	w.cores = append(w.cores, c)
	c.start()
}

// clock is the steady clock of this life.
func (c *core) clock(at time.Duration) time.Duration { return at - c.began + time.Second }

func (c *core) start() {
	w := c.world
	c.life++
	c.up, c.began, c.still, c.backlog, c.leaving, c.openAt = true, w.now, false, nil, false, 0
	c.clocks, c.members = peerClocks{}, chainView{seeds: func() []string { return w.seeds }}
	c.word = freshnessTracker{establishedAfter: 4 * time.Second}
	c.feed = watch.New(fmt.Sprintf("%s/%d", c.address, c.life), w.clock)
	c.leases = newLeaseGranter(bootstrap.Bounds{Fencing: true, LeaseDurationMS: 3000}, c.feed, func() (uint64, bool) { return c.members.headOf(c.address) },
		c.grant, w.clock)
	life := c.life
	alive := func() bool { return c.up && c.life == life }
	regularly := func(span time.Duration, do func()) {
		w.every(span, func() bool {
			if alive() && !c.still { // a ticker that is not read drops its ticks
				do()
			}
			return alive()
		})
	}
	regularly(coreTick, c.tick)
	regularly(chainStatusInterval, c.followStanding)
	regularly(grantInterval, c.leases.submitDueGrants)
	regularly(expiryInterval, func() { c.feed.ExpireNodes(nodeTimeout) })
}

func (c *core) kill() {
	c.up, c.life = false, c.life+1
	c.close()
}

func (c *core) close() {
	c.replica = nil
	if c.store != nil {
		_ = c.store.Close() // the storage lives on, as a disk does
		c.store = nil
	}
}

// wipe loses the disk.
func (c *core) wipe() {
	c.kill()
	c.disk, c.first = storage.NewMemStorage(), false
}

func (c *core) tick() {
	if c.replica != nil && c.replica.Failure() != nil {
		c.close()
		c.openAt = c.world.now + storeReopenDelay
	}
	if c.replica == nil && c.world.now >= c.openAt {
		c.open()
	}
	if c.replica != nil {
		c.replica.Node().SetSeeds(c.world.seeds)
		c.replica.Tick(c.clock(c.world.now))
	}
}

// open opens the store, as the keeper does.
func (c *core) open() {
	if c.fullDisk { // opening writes
		c.openAt = c.world.now + storeReopenDelay
		return
	}
	opened, err := store.OpenStorage(c.disk)
	if err != nil {
		c.world.fault("%s: opening the store: %v", c.address, err)
		return
	}
	c.store = opened
	durable, err := opened.Load()
	if err != nil {
		c.world.fault("%s: reading the store: %v", c.address, err)
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
			c.world.fault("%s: founding: %v", c.address, err)
		}
	}
	c.first = false
	c.replica = NewReplica(worldChain(len(c.world.seeds)), durable, c.world.seeds, c, c, c.feed, logr.Discard(), c.clock(c.world.now))
	if c.leaving {
		c.replica.Leave(c.clock(c.world.now))
	}
}

// worldChain is the chain's configuration: logs are compacted often.
func worldChain(members int) chain.Config {
	cfg := chain.DefaultConfig(members)
	cfg.MaxLogEntries, cfg.MaxJoinLagBytes = 8, 2<<10
	return cfg
}

// Save implements Saver.
func (c *core) Save(d *chain.DurableState, changed chain.Changes) error {
	if c.fullDisk {
		if c.world.rng.IntN(2) == 0 {
			_ = c.store.Save(d, changed) // a write that is refused may be in the journal
		}
		c.world.crossed["a write was refused"]++
		return errFullDisk
	}
	if c.dieAt > 0 {
		if c.dieAt--; c.dieAt == 0 {
			if c.world.rng.IntN(2) == 0 {
				_ = c.store.Save(d, changed)
			}
			c.world.crossed["power was lost in a write"]++
			c.world.after(0, c.world.clients.powerIsLost)
			return errFullDisk // nothing of what follows gets out
		}
	}
	if c.slowDisk > 0 {
		c.stand(c.slowDisk)
	}
	return c.store.Save(d, changed)
}

// Send implements Sender.
func (c *core) Send(message *api.ChainMessage) {
	w, to := c.world, message.To.GetAddress()
	copied := proto.CloneOf(message)
	deliver := func() {
		if receiver := w.coreAt(to); receiver != nil {
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
func (c *core) run(do func()) {
	switch {
	case !c.up:
	case c.still && len(c.backlog) < mostBacklog:
		c.backlog = append(c.backlog, do)
	case !c.still:
		do()
	}
}

// stand lets the process stand still for a while.
func (c *core) stand(span time.Duration) {
	if c.still {
		return
	}
	c.still = true
	life := c.life
	c.world.after(span, func() {
		if c.life == life {
			c.goOn()
		}
	})
}

func (c *core) goOn() {
	c.still = false
	backlog := c.backlog
	c.backlog = nil
	for _, do := range backlog {
		c.run(do)
	}
}

func (c *core) followStanding() {
	s := chainStatusOf(c.replica)
	c.members.OnChainStatus(s)
	c.feed.SetSourceStatus(c.word.OnChainStatus(s, c.world.clock()))
	if s.Connected {
		c.world.clients.auditFresh(c)
	}
}

// coreAt is the machine at an address that has not been replaced.
func (w *world) coreAt(address string) *core {
	for _, c := range w.cores {
		if c.address == address && !c.replaced {
			return c
		}
	}
	return nil
}

// inService tells whether a process is in a chain in service, by its own word.
func (c *core) inService() bool {
	return c.up && c.replica != nil && c.replica.Failure() == nil && c.replica.Node().InService()
}

// ---- the calls of control, as Service makes them ----

// grant is Service.grant.
func (c *core) grant(operation *api.Operation, view uint64) {
	w := c.world
	if c.replica == nil {
		return
	}
	c.replica.SubmitInView(c.clock(w.now), operation, view, c.clock(w.now+orderTimeout), func(code result.Code, _ string) {
		if code == result.Unavailable {
			w.crossed["a grant came to nothing"]++
		}
	})
}

// order has an operation done, wherever the head is.
func (c *core) order(operation *api.Operation, reply func(*result.Error)) {
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
func (c *core) submitAt(head string, operation *api.Operation, deadline time.Duration, reply func(*api.SubmitReply)) {
	w := c.world
	if head == c.address {
		c.submitHere(operation, c.clock(deadline), reply)
		return
	}
	at := func() *api.Instant { return c.clocks.instantAt(head, w.clock().Add(deadline-w.now)) }
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

func (c *core) submitTo(head string, request *api.SubmitRequest, deadline time.Duration, reply func(*api.SubmitReply)) {
	w := c.world
	call(w, c.address, head, deadline-w.now, func(answer func(*api.SubmitReply)) {
		if server := w.coreAt(head); server != nil {
			server.run(func() { server.submit(request, answer) })
		}
	}, func(answer **api.SubmitReply) {
		if answer == nil {
			reply(nil)
			return
		}
		c.clocks.OnClockReading(head, (*answer).Clock, w.clock())
		reply(*answer)
	})
}

// submit is Service.Submit.
func (c *core) submit(request *api.SubmitRequest, reply func(*api.SubmitReply)) {
	stamped := func(answer *api.SubmitReply) {
		answer.Clock = &api.Instant{Incarnation: uint64(c.life), MonotonicNs: uint64(c.clock(c.world.now))}
		reply(answer)
	}
	if request.Operation == nil || request.Deadline.GetIncarnation() != uint64(c.life) {
		stamped(&api.SubmitReply{Code: uint32(result.Unavailable)})
		return
	}
	if time.Duration(request.Deadline.MonotonicNs) <= c.clock(c.world.now) {
		c.world.crossed["an order came too late"]++
	}
	c.submitHere(request.Operation, time.Duration(request.Deadline.MonotonicNs), stamped)
}

func (c *core) submitHere(operation *api.Operation, until time.Duration, reply func(*api.SubmitReply)) {
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
func (c *core) read(ids []string, reply func(*newestState)) {
	tail := chainStatusOf(c.replica).Tail
	if tail == "" {
		reply(nil)
		return
	}
	w := c.world
	call(w, c.address, tail, orderTimeout, func(answer func(*newestState)) {
		server := w.coreAt(tail)
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
func (c *core) lease(holder string, forwarded bool, reply func(*api.LeaseReply)) {
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
			if server := w.coreAt(head); server != nil {
				server.run(func() { server.lease(holder, true, answer) })
			}
		}, func(answer **api.LeaseReply) {
			if answer != nil {
				reply(*answer)
			}
		})
	}
}
