package quotaclient

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/lease"
	"marlreel/internal/quota/ledger"
	"marlreel/internal/quota/shard"
	"marlreel/internal/quota/tokenbucket"
)

const (
	historyTime = 40 * time.Second
	// maxSendDelay is the longest time from the sending of a request by a client to the call for quota. The call may take
	// the rest of the delay allowance.
	maxSendDelay = tokenbucket.DelayAllowance - callTimeout
)

// event is a function that runs at a simulated time.
type event struct {
	at  time.Duration
	run func()
}

// events is a heap of events with the earliest one on top.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// node is a machine with a proxy and an agent.
type node struct {
	*api.Node
	client           *Client
	ledger           *ledger.Ledger
	leases           map[string]ledger.Lease
	known            map[string]*api.Ownership // the owners of shards, by lease key, in the state that the node has received
	version          uint64                    // the version of the limits in the ledger
	frozenUntil      time.Duration
	partitionedUntil time.Duration
}

func (n *node) holder() string { return lease.HolderID(n.Name, n.Incarnation) }

// restart replaces the processes of a node by new ones without any state.
func (n *node) restart(rule tokenbucket.Rule) {
	n.Incarnation++
	n.version = 0
	n.client = New(Config{Metrics: vm.NewSet()})
	n.ledger, n.leases, n.known = ledger.New(rule), map[string]ledger.Lease{}, map[string]*api.Ownership{}
}

// sent is a request that a client has sent. withinLimit means that it is within the tenant's limit.
type sent struct {
	at                        time.Duration
	withinLimit, granted, ran bool
}

// limitChange is the limit that a tenant has from a time on.
type limitChange struct {
	at    time.Duration
	limit tokenbucket.Limit
}

// history is a random run of proxies, owners, leases and faults in simulated time. Afterwards worstExcess and
// refusedShare check which requests were granted and run by backends.
type history struct {
	*rand.Rand
	now                time.Duration
	pending            events
	nodes              []*node
	manager            *lease.Manager
	owned              map[string]*api.Ownership
	lastToken          uint64
	version            uint64
	limits             map[string]tokenbucket.Limit
	changes            map[string][]limitChange
	requests           map[string][]*sent
	rule               tokenbucket.Rule
	cost               float64       // of each request
	faultGap           time.Duration // the longest time between two faults; 0: no faults
	sendDelay          time.Duration // the longest time from the sending of a request to the call for quota
	faultKinds         int           // the number of cases that injectFault chooses from: 4, or 5 with changes of limits
	faultyMessageEvery int           // one in this many messages is late, lost or duplicated; 0: none
	idle               time.Duration // the longest pause in a tenant's requests
	down               time.Duration // backends are down for this long, then up for as long, and so on; 0: always up
}

func newHistory(seed uint64, nodes int, faults bool) *history {
	h := &history{
		Rand: rand.New(rand.NewPCG(seed, uint64(nodes))), owned: map[string]*api.Ownership{}, limits: map[string]tokenbucket.Limit{},
		changes: map[string][]limitChange{}, requests: map[string][]*sent{},
	}
	h.rule = tokenbucket.Rule{Window: 8 * time.Second, Excess: 0.1, Slack: 17000}
	h.cost, h.sendDelay = 2400, 10*time.Millisecond
	if faults {
		h.drawFaults()
	}
	h.manager = lease.NewManager(lease.NewConfig(3*time.Second, true), func() time.Time { return h.time() })
	h.manager.OnView(1, true)
	for i := range nodes {
		n := &node{Node: &api.Node{Name: fmt.Sprintf("edge-%d", i), Address: strconv.Itoa(i)}}
		n.restart(h.rule)
		h.nodes = append(h.nodes, n)
	}
	for i := range 3 {
		h.setLimit(fmt.Sprintf("tenant-%d", i), tokenbucket.Limit{RatePerS: 4200, BurstSize: 16800 * h.Float64(), RequestCost: h.cost})
	}
	return h
}

// drawFaults draws the faults of a history, and a rule that may have no excess and no slack.
func (h *history) drawFaults() {
	h.rule.Excess, h.rule.Slack = 0.1*float64(h.IntN(2)), 17000*float64(h.IntN(2))
	h.cost = []float64{600, 2400}[h.IntN(2)]
	h.faultGap, h.sendDelay = 2*time.Second+h.upTo(16*time.Second), maxSendDelay
	h.faultKinds = 4 + h.IntN(2)
	h.faultyMessageEvery = []int{6, 50}[h.IntN(2)]
	h.idle = time.Duration(h.IntN(2)) * 16 * time.Second
	h.down = time.Duration(h.IntN(2)) * (time.Second + h.upTo(4*time.Second))
}

func (h *history) time() time.Time { return time.Unix(1_700_000_000, 0).Add(h.now) }

func (h *history) after(delay time.Duration, run func()) {
	heap.Push(&h.pending, event{h.now + delay, run})
}

// upTo draws a duration below limit.
func (h *history) upTo(limit time.Duration) time.Duration {
	return time.Duration(h.Int64N(int64(limit)))
}

// onNode runs a function on a node after a delay. If the node is frozen then, it runs once the freeze ends; if the node
// has been restarted in the meantime, it never runs.
func (h *history) onNode(n *node, delay time.Duration, run func()) {
	incarnation := n.Incarnation
	h.after(delay, func() {
		switch {
		case n.Incarnation != incarnation:
		case h.now < n.frozenUntil:
			h.onNode(n, n.frozenUntil-h.now, run)
		default:
			run()
		}
	})
}

// setLimit changes a tenant's limit. Each node receives the change with its own delay.
func (h *history) setLimit(name string, limit tokenbucket.Limit) {
	h.version++
	h.limits[name] = limit
	h.changes[name] = append(h.changes[name], limitChange{h.now, limit})
}

// control simulates a round of the chain's head: it grants leases and sends the state to every node.
func (h *history) control() {
	var records []lease.Record
	for number := range shard.Count {
		key := shard.LeaseKey(number)
		records = append(records, lease.Record{Key: key, Ownership: h.owned[key]})
	}
	var nodes []*api.Node
	for _, n := range h.nodes {
		nodes = append(nodes, n.Node)
	}
	for _, operation := range h.manager.DueGrants(records, nodes) {
		grant := operation.GetGrant()
		h.lastToken++
		h.owned[grant.Key] = &api.Ownership{Key: grant.Key, Holder: grant.Holder, Address: grant.Address, FencingToken: h.lastToken}
	}
	owned, limits, version := maps.Clone(h.owned), maps.Clone(h.limits), h.version
	for _, n := range h.nodes {
		if h.now < n.partitionedUntil {
			continue
		}
		h.onNode(n, h.upTo(100*time.Millisecond), func() {
			n.known = owned
			if n.version != version {
				n.version = version
				n.ledger.Configure(h.now, version, limits)
			}
			h.renew(n)
		})
	}
	h.after(150*time.Millisecond, h.control)
}

// renew makes a node renew its leases. Their expiry is computed from the time before the call.
func (h *history) renew(n *node) {
	asked, holder := h.now, n.holder()
	var named []*api.Ownership
	for _, ownership := range h.owned {
		if ownership.Holder == holder {
			named = append(named, ownership)
		}
	}
	if len(named) == 0 || h.now < n.partitionedUntil {
		return
	}
	renewed := h.manager.Renew(holder, false, named)
	h.onNode(n, h.upTo(50*time.Millisecond), func() {
		for _, o := range renewed {
			held := ledger.Lease{FencingToken: o.FencingToken, Since: h.now, Expiry: asked + h.manager.GrantDuration()}
			if before := n.leases[o.Key]; before.FencingToken == o.FencingToken {
				held.Since = before.Since
			}
			n.leases[o.Key] = held
		}
	})
}

// sendRequests makes clients of a tenant send requests through random proxies at load times the rate of its limit.
func (h *history) sendRequests(name string, load float64, reference *tokenbucket.Bucket) {
	r := &sent{at: h.now, withinLimit: reference.Take(h.now, h.cost)}
	h.requests[name] = append(h.requests[name], r)
	n := h.nodes[h.IntN(len(h.nodes))]
	h.onNode(n, h.upTo(h.sendDelay), func() {
		if h.now-r.at <= maxSendDelay { // otherwise the machine was frozen, and the client has given up
			h.ask(n, name, r)
		}
	})
	mean := time.Duration(h.cost / (4200 * load) * float64(time.Second))
	pause := h.upTo(2 * mean)
	if h.idle > 0 && load > 1 && h.IntN(40) == 0 {
		pause = h.upTo(h.idle)
	}
	h.after(pause, func() { h.sendRequests(name, load, reference) })
}

// ask simulates a proxy's call to the owner that it knows. The call may be lost, late or made twice.
func (h *history) ask(n *node, name string, r *sent) {
	began, end := h.time(), h.time().Add(callTimeout)
	key := shard.LeaseKey(shard.Of(name))
	ownership := n.known[key]
	if n.client.refusals.find(name, h.cost, began).Verdict != 0 || ownership == nil {
		return
	}
	index, _ := strconv.Atoi(ownership.Address)
	owner := h.nodes[index]
	request := &api.AcquireQuotaRequest{Subscriber: name, Cost: h.cost, Refunds: n.client.refunds.take(shard.Of(name), began)}
	copies := 1
	if h.faultyMessageEvery > 0 && h.IntN(h.faultyMessageEvery) == 0 {
		copies = h.IntN(3)
	}
	decided := false
	for range copies {
		h.onNode(owner, h.delay(n, owner), func() {
			reply := owner.answer(h.now, key, request)
			h.onNode(n, h.delay(owner, n), func() {
				decision, accepted := n.client.decide(request, reply, began, h.time(), end)
				if accepted && !decided && decision.Verdict == Granted {
					h.runOrRefund(n, r, decision)
				}
				decided = decided || accepted
			})
		})
	}
}

// delay draws the delay of a message between two nodes: usually short, sometimes long, and beyond the end of the history
// if one of the nodes is cut off.
func (h *history) delay(from, to *node) time.Duration {
	switch {
	case from != to && (h.now < from.partitionedUntil || h.now < to.partitionedUntil):
		return historyTime
	case h.faultyMessageEvery > 0 && h.IntN(h.faultyMessageEvery) == 0:
		return h.upTo(3 * time.Second)
	}
	return time.Millisecond + h.upTo(8*time.Millisecond)
}

// answer simulates the owner's agent: it processes the refunds and acquires the quota.
func (n *node) answer(now time.Duration, key string, request *api.AcquireQuotaRequest) *api.AcquireQuotaReply {
	for _, refund := range request.Refunds {
		n.ledger.Refund(now, refund.FencingToken, refund.Subscriber, refund.Number)
	}
	held := n.leases[key]
	answer := n.ledger.Acquire(now, held, ledger.Request{Subscriber: request.Subscriber, Cost: request.Cost})
	switch answer.Verdict {
	case ledger.Granted:
		grant := &api.QuotaGrant{Subscriber: request.Subscriber, FencingToken: held.FencingToken, Number: answer.Grant}
		return &api.AcquireQuotaReply{Verdict: api.QuotaVerdict_QUOTA_GRANTED, Grant: grant}
	case ledger.Exceeded:
		return &api.AcquireQuotaReply{Verdict: api.QuotaVerdict_QUOTA_EXCEEDED, RetryAfterMs: uint32(answer.RetryAfter.Milliseconds())}
	case ledger.NotOwner, ledger.SubscriberUnknown:
	}
	return &api.AcquireQuotaReply{}
}

// runOrRefund makes a backend run a request, or refunds the grant if the backends are down.
func (h *history) runOrRefund(n *node, r *sent, decision Decision) {
	r.granted = true
	if h.down == 0 || h.now%(2*h.down) > h.down {
		r.ran = true
		return
	}
	h.onNode(n, h.upTo(500*time.Millisecond), func() { n.client.Refund(decision) })
}

// injectFault draws faults and changes of limits.
func (h *history) injectFault() {
	n := h.nodes[h.IntN(len(h.nodes))]
	if h.IntN(2) == 0 { // hit the owner of tenant-0's shard
		if ownership := h.owned[shard.LeaseKey(shard.Of("tenant-0"))]; ownership != nil {
			index, _ := strconv.Atoi(ownership.Address)
			n = h.nodes[index]
		}
	}
	switch h.IntN(h.faultKinds) {
	case 0, 1:
		n.restart(h.rule)
	case 2:
		n.frozenUntil = h.now + h.upTo(6*time.Second)
	case 3:
		n.partitionedUntil = h.now + h.upTo(6*time.Second)
	case 4:
		limit := tokenbucket.Limit{RatePerS: 1000 + 5000*h.Float64(), BurstSize: 16800 * h.Float64(), RequestCost: h.cost}
		name := fmt.Sprintf("tenant-%d", h.IntN(3))
		h.setLimit(name, limit)
		if h.IntN(3) == 0 { // remove the tenant and add it again soon: only some nodes receive both changes
			delete(h.limits, name)
			h.after(h.upTo(time.Second), func() { h.setLimit(name, limit) })
		}
	}
	h.after(h.upTo(h.faultGap), h.injectFault)
}

// play runs the history to its end.
func (h *history) play() {
	h.control()
	for i, load := range []float64{0.8, 4, 8} {
		name := fmt.Sprintf("tenant-%d", i)
		limit := h.limits[name]
		plain := tokenbucket.Parameters{RatePerS: limit.RatePerS, Capacity: limit.BurstSize, Exposure: math.Inf(1)}
		reference := tokenbucket.NewBucket(plain, 0)
		h.after(6*time.Second, func() { h.sendRequests(name, load, reference) })
	}
	if h.faultGap > 0 {
		h.after(4*time.Second, h.injectFault)
	}
	for len(h.pending) > 0 && h.pending[0].at < historyTime {
		next := heap.Pop(&h.pending).(event)
		h.now = next.at
		next.run()
	}
}

// worstExcess returns the highest cost that any tenant had run in one window, as a fraction of the rule's bound. The bound
// is that of the highest limit in force in the window, or within the time that a change may take before it.
func (h *history) worstExcess() float64 {
	const changeTime = 8 * time.Second // longer than any partition or freeze
	worst := 0.0
	for name, requests := range h.requests {
		var ran []time.Duration
		for _, r := range requests {
			if r.ran {
				ran = append(ran, r.at)
			}
		}
		from := 0
		for to := range ran {
			for ran[to]-ran[from] > h.rule.Window {
				from++
			}
			bound := h.boundOf(name, ran[from]-changeTime, ran[to]+maxSendDelay+callTimeout)
			worst = max(worst, float64(to-from+1)*h.cost/bound)
		}
	}
	return worst
}

// boundOf returns the highest bound of the limits that a tenant had between two times.
func (h *history) boundOf(name string, from, to time.Duration) float64 {
	bound := 0.0
	changes := h.changes[name]
	for i, change := range changes {
		ended := i+1 < len(changes) && changes[i+1].at < from
		if change.at <= to && !ended {
			bound = max(bound, h.rule.Bound(change.limit))
		}
	}
	return bound
}

// refusedShare returns the fraction of a tenant's requests within its limit that were not granted.
func (h *history) refusedShare(name string) float64 {
	withinLimit, refused := 0, 0
	for _, r := range h.requests[name] {
		if r.withinLimit {
			withinLimit++
		}
		if r.withinLimit && !r.granted {
			refused++
		}
	}
	return float64(refused) / float64(max(1, withinLimit))
}

// playAll plays histories. It returns the highest result of worstExcess and, sorted, the refusedShare of each history for
// the tenant that stays below its limit.
func playAll(t *testing.T, histories, nodes int, faults bool) (worst float64, refused []float64) {
	t.Helper()
	for seed := range uint64(max(1, histories)) {
		h := newHistory(seed, nodes, faults)
		h.play()
		excess := h.worstExcess()
		if excess > 1 {
			t.Errorf("%d nodes, seed %d: a tenant ran %.3f times its bound in one window", nodes, seed, excess)
		}
		worst = max(worst, excess)
		refused = append(refused, h.refusedShare("tenant-0"))
	}
	slices.Sort(refused)
	t.Logf("%d nodes, faults %v: %d histories, at most %.3f of the bound; refused of requests within the limit: median %.3f, worst %.3f",
		nodes, faults, len(refused), worst, refused[len(refused)/2], refused[len(refused)-1])
	return worst, refused
}

// In no history does a tenant run more than the rule allows in any window, whatever the number of proxies, takeovers,
// partitions, freezes, late and duplicated calls, refunds and changes of its limit.
func TestDrawnHistoriesKeepTheBound(t *testing.T) {
	histories := 160
	if more, err := strconv.Atoi(os.Getenv("QUOTA_HISTORIES")); err == nil {
		histories = more
	}
	for _, nodes := range []int{3, 30, 295} {
		playAll(t, histories/(1+nodes/30), nodes, true)
	}
}

// Without faults, no request of a tenant below its limit is refused, and the others get nearly all that the bound allows.
func TestCalmHistoriesRefuseNothingOwed(t *testing.T) {
	for _, nodes := range []int{3, 30} {
		worst, refused := playAll(t, 10, nodes, false)
		if refused[len(refused)-1] > 0 || worst < 0.8 {
			t.Errorf("%d nodes: refused shares %v, want 0; at most %.3f of the bound, want at least 0.8", nodes, refused, worst)
		}
	}
}
