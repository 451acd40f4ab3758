package chain

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
)

// A cluster of nodes on a simulated network, clock and disks. All randomness comes from one seed. Methods of the
// cluster inject faults; audit checks everything that was committed.

// register is the state machine of the tests: a list of the applied operations. The ballast makes its state larger.
type register struct {
	applied []string
	ballast []byte
}

func (r *register) Apply(entry *api.Entry) {
	for _, operation := range entry.Operations {
		if e := operation.GetEvacuation(); e != nil {
			r.applied = append(r.applied, e.Zone)
		}
	}
}

func (r *register) State() *api.State {
	state := &api.State{Document: r.ballast}
	for _, name := range r.applied {
		state.Evacuations = append(state.Evacuations, &api.Evacuation{Zone: name})
	}
	return state
}

func (r *register) Restore(state *api.State) {
	r.applied = nil
	for _, e := range state.GetEvacuations() {
		r.applied = append(r.applied, e.Zone)
	}
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// process is a machine with a disk and, while it runs, a node.
type process struct {
	address    string
	node       *Node // nil while it is down
	machine    *register
	disk       *DurableState // nil if empty
	generation int
	frozen     bool
	stalled    bool // writes to its disk don't return
	// replaced means that another machine has replaced it for good.
	replaced  bool
	backlog   []func()                 // work deferred while it is frozen or stalled
	proposals map[uint64]string        // names of its proposals, by entry hash
	reads     map[uint64]time.Duration // call times of pending reads, by token
}

// delayedMessage is a message that is delivered later.
type delayedMessage struct {
	from    string
	message *api.ChainMessage
}

type cluster struct {
	t            *testing.T
	rng          *rand.Rand
	now          time.Duration
	queue        events
	order        int
	processes    []*process
	partitioned  map[string]bool // "a>b": messages are dropped
	delayedLinks map[string]bool // "a>b": messages are delayed
	delayed      []delayedMessage
	loss         float64
	cfg          Config
	acknowledged []string // in the order of their acknowledgements
	founders     []string
	seeds        []string // of processes that start from now on
	proposed     int
	log          []string
	events       []Event // of all processes, in order
	// faultHits counts how often a fault reached the step of the protocol that it targets.
	faultHits      map[string]int
	panicOnFailure bool // a failed check ends the history, not the test
	clients        *clients
	nextRead       time.Duration
	// linkRate is the bandwidth of a link for large messages, in bytes per second; 0 means unlimited.
	linkRate            int
	linkFree            map[string]time.Duration // when a link has transmitted all its large messages
	ballast             []byte                   // added to the state
	padding             []byte                   // added to each entry
	proposeInterval     time.Duration            // between two proposals
	proposalsPaused     bool
	lastAcknowledgement time.Duration
	longestGap          time.Duration // between two acknowledgements, since it was reset to 0
}

const (
	// maxDelayed bounds the delayed messages.
	maxDelayed = 2000
	// largeMessage is the size above which a message takes time on the link. Large messages are sent in parts, so small
	// messages are not delayed behind them.
	largeMessage           = 32 << 10
	simulatedTick          = 20 * time.Millisecond
	defaultProposeInterval = 40 * time.Millisecond
)

func newCluster(t *testing.T, seed uint64, members int) *cluster {
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Second, partitioned: map[string]bool{}, delayedLinks: map[string]bool{}, faultHits: map[string]int{}, cfg: DefaultConfig(members),
		clients: newClients(), linkFree: map[string]time.Duration{}, proposeInterval: defaultProposeInterval,
	}
	c.cfg.MaxLogEntries = 8
	for i := range members {
		c.founders = append(c.founders, fmt.Sprintf("c%d", i))
	}
	c.seeds = c.founders
	for _, address := range c.founders {
		c.add(address, true)
	}
	return c
}

// add creates a machine and starts it.
func (c *cluster) add(address string, founder bool) *process {
	p := &process{address: address}
	c.processes = append(c.processes, p)
	c.start(p, founder)
	return p
}

func (c *cluster) start(p *process, founder bool) {
	p.generation++
	p.frozen, p.stalled, p.backlog = false, false, nil
	p.proposals, p.reads = map[uint64]string{}, map[uint64]time.Duration{}
	if p.disk == nil {
		p.disk = &DurableState{Self: &api.Member{Address: p.address, Incarnation: FounderIncarnation}}
		if founder {
			p.disk.View = FoundingView(c.founders)
		} else {
			p.disk.Self.Incarnation = c.rng.Uint64() | 1<<63
		}
	}
	p.machine = &register{ballast: c.ballast}
	p.node = New(c.cfg, load(p.disk), p.machine, c.seeds, c.now)
	generation := p.generation
	var tick func()
	tick = func() {
		if p.generation != generation || p.node == nil {
			return
		}
		c.run(p, func() { c.carryOut(p, p.node.Tick(c.now)) })
		c.after(simulatedTick, tick)
	}
	c.after(time.Duration(c.rng.Int64N(int64(simulatedTick))), tick)
}

// run calls a function on behalf of a process, or defers it until the process thaws.
func (c *cluster) run(p *process, do func()) {
	if p.node == nil {
		return
	}
	if p.frozen || p.stalled {
		if len(p.backlog) < 200 {
			p.backlog = append(p.backlog, do)
		}
		return
	}
	do()
}

func (c *cluster) thaw(p *process) {
	p.frozen, p.stalled = false, false
	backlog := p.backlog
	p.backlog = nil
	for _, do := range backlog {
		c.run(p, do)
	}
}

func (c *cluster) after(span time.Duration, do func()) {
	c.order++
	heap.Push(&c.queue, event{c.now + span, c.order, do})
}

func (c *cluster) carryOut(p *process, out Output) {
	if out.Save.Any() {
		saved := save(p.disk, p.node.DurableState(), out.Save)
		if !saved.LogIsIntact() {
			c.fail("the log on disk is not intact: snapshot at %d, %d entries", saved.Snapshot.GetSequence(), len(saved.Entries))
		}
		p.disk = &saved
	}
	for _, event := range out.Events {
		c.events = append(c.events, event)
		c.log = append(c.log, fmt.Sprintf("%v %s: %T%+v", c.now, p.address, event, event))
	}
	for _, message := range out.Messages {
		c.deliver(p.address, proto.Clone(message).(*api.ChainMessage))
	}
	for _, entry := range out.Committed {
		if name, mine := p.proposals[entry.Hash]; mine {
			delete(p.proposals, entry.Hash)
			c.acknowledged = append(c.acknowledged, name)
			c.longestGap = max(c.longestGap, c.now-c.lastAcknowledgement)
			c.lastAcknowledgement = c.now
			c.clients.acked[name] = c.now
			c.auditAcknowledged(p, entry)
		}
	}
	for _, token := range out.ConfirmedTokens {
		c.answerRead(p, token)
	}
}

func (c *cluster) deliver(from string, message *api.ChainMessage) {
	to := message.To.Address
	if c.delayedLinks[from+">"+to] && len(c.delayed) < maxDelayed {
		c.delayed = append(c.delayed, delayedMessage{from, message})
		return
	}
	if c.partitioned[from+">"+to] || c.rng.Float64() < c.loss {
		return
	}
	delay := time.Millisecond + time.Duration(c.rng.Int64N(int64(2*time.Millisecond)))
	if size := proto.Size(message); c.linkRate > 0 && size > largeMessage {
		free := max(c.linkFree[from+">"+to], c.now) + time.Duration(float64(size)/float64(c.linkRate)*float64(time.Second))
		c.linkFree[from+">"+to] = free
		delay += free - c.now
	}
	for _, p := range c.processes {
		if p.address != to {
			continue
		}
		generation := p.generation
		c.after(delay, func() {
			if p.generation != generation || c.partitioned[from+">"+to] {
				return
			}
			c.run(p, func() { c.carryOut(p, p.node.Receive(c.now, message)) })
		})
	}
}

// propose proposes an operation at the first process that can propose.
func (c *cluster) propose() {
	if c.proposalsPaused {
		return
	}
	for _, p := range c.processes {
		if p.node == nil || p.frozen || p.stalled || !p.node.CanPropose() {
			continue
		}
		c.proposed++
		name := fmt.Sprintf("o%d", c.proposed)
		c.clients.called[name] = c.now
		operations := []*api.Operation{{Kind: &api.Operation_Evacuation{Evacuation: &api.SetEvacuation{Zone: name}}}}
		if len(c.padding) > 0 {
			operations = append(operations, &api.Operation{Kind: &api.Operation_Replace{Replace: &api.ReplaceConfiguration{Document: c.padding}}})
		}
		entry, out := p.node.Propose(c.now, operations)
		p.proposals[entry.Hash] = name
		c.carryOut(p, out)
		return
	}
}

// runFor advances the simulation by a time, with proposals and reads at their intervals.
func (c *cluster) runFor(span time.Duration) {
	end := c.now + span
	next := c.now
	for c.now < end {
		if len(c.queue) == 0 || c.queue[0].at > next {
			c.now = next
			c.propose()
			if c.now >= c.nextRead {
				c.nextRead = c.now + readInterval
				c.read()
			}
			next += c.proposeInterval
			continue
		}
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
}

// kill stops a process at once. No data is lost with it, because the simulated disk syncs every write.
func (c *cluster) kill(p *process) { p.node, p.generation = nil, p.generation+1 }

func (c *cluster) wipe(p *process) {
	c.kill(p)
	p.disk = nil
}

func (c *cluster) isolate(p *process, isolated bool) {
	for _, other := range c.processes {
		c.partitioned[p.address+">"+other.address] = isolated
		c.partitioned[other.address+">"+p.address] = isolated
	}
}
