package controlplane

import (
	"fmt"
	"time"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/lease"
	"marlreel/internal/controlplane/result"
	"marlreel/internal/controlplane/state"
	"marlreel/internal/distribution/watch"
)

// simulatedAgent watches a control process, and sends orders to the backend while it holds the lease.
type simulatedAgent struct {
	sim          *simulation
	node         *api.Node
	holder       string
	feed         *watch.Store
	cursor       *watch.Cursor
	sourceIndex  int // index of the control process that it watches
	watchPending bool
	staleSince   time.Duration // since when its source has not been fresh; 0 while it is
	sequence     uint64
	frozen       bool
	fencingToken uint64
	leaseExpiry  time.Duration
	orders       int
}

const (
	agentWatchInterval  = 50 * time.Millisecond
	agentRenewInterval  = 400 * time.Millisecond
	agentReportInterval = 600 * time.Millisecond
	agentOrderInterval  = 70 * time.Millisecond
	agentTimeout        = 600 * time.Millisecond
	maxAgentStaleness   = 300 * time.Millisecond
)

var placementKey = lease.PlacementKey("llm")

func (sim *simulation) addAgent(number int) {
	name := fmt.Sprintf("a%d", number)
	a := &simulatedAgent{
		sim: sim, node: &api.Node{Name: name, Address: name + ":1", Incarnation: 1}, holder: lease.HolderID(name, 1),
		feed: watch.New(name, sim.clock), cursor: watch.NewCursor(nil), sourceIndex: number,
	}
	sim.agents = append(sim.agents, a)
	regularly := func(span time.Duration, do func()) {
		sim.every(span, func() bool {
			if !a.frozen {
				do()
			}
			return true
		})
	}
	regularly(agentWatchInterval, a.watchSource)
	regularly(agentReportInterval, a.report)
	regularly(agentRenewInterval, a.renew)
	regularly(agentOrderInterval, a.sendOrder)
}

// source is the control process that the agent watches.
func (a *simulatedAgent) source() *simulatedControl {
	return a.sim.controls[a.sourceIndex%len(a.sim.controls)]
}

// watchSource requests the changes since the agent's position.
func (a *simulatedAgent) watchSource() {
	if a.watchPending {
		return
	}
	a.watchPending = true
	sim, c, incarnation := a.sim, a.source(), a.node.Incarnation
	request := a.feed.NewRequest(a.cursor)
	call(sim, a.node.Name, c.address, agentTimeout, func(answer func(*api.WatchReply)) {
		c.run(func() { answer(c.feed.HandleWatch(sim.t.Context(), request, 0)) })
	}, func(answer **api.WatchReply) {
		if a.node.Incarnation != incarnation {
			return // the request was sent before the agent lost power
		}
		a.watchPending = false
		if answer == nil {
			a.sourceIndex++
			return
		}
		if !a.frozen {
			a.onReply(*answer)
		}
	})
}

func (a *simulatedAgent) onReply(answer *api.WatchReply) {
	sim := a.sim
	a.feed.ApplyReply(answer, a.cursor)
	sequence, _ := a.feed.Position()
	if sequence < a.sequence {
		sim.failf("%s went back from entry %d to %d", a.node.Name, a.sequence, sequence)
	}
	a.sequence = sequence
	newest := sim.operators.newest
	if answer.Fresh && agentVersion(a) < newest.version && sim.now-newest.at > freshAge+agentTimeout {
		sim.failf("%s got version %d as fresh; version %d was acknowledged at %v", a.node.Name, agentVersion(a), newest.version, newest.at)
	}
	switch {
	case answer.Fresh:
		a.staleSince = 0
	case a.staleSince == 0:
		a.staleSince = sim.now
	case sim.now-a.staleSince > maxAgentStaleness:
		a.sourceIndex++
		a.staleSince = 0
	}
}

// report sends a keepalive to all control processes.
func (a *simulatedAgent) report() {
	for _, c := range a.sim.controls {
		node := &api.Node{Name: a.node.Name, Address: a.node.Address, Incarnation: a.node.Incarnation}
		a.sim.datagram(a.node.Name, c.address, func() { c.run(func() { c.feed.RecordNode(node) }) })
	}
}

// renew requests a renewal of the agent's lease.
func (a *simulatedAgent) renew() {
	sim, asked, incarnation := a.sim, a.sim.now, a.node.Incarnation
	c := sim.controls[sim.rng.IntN(len(sim.controls))]
	call(sim, a.node.Name, c.address, agentTimeout, func(answer func(*api.LeaseReply)) {
		c.run(func() { c.lease(a.holder, false, answer) })
	}, func(answer **api.LeaseReply) {
		if answer == nil || result.Code((*answer).Code) != result.Committed || a.node.Incarnation != incarnation {
			return
		}
		a.leaseExpiry = 0
		for _, held := range (*answer).Renewed {
			if held.Key == placementKey {
				a.fencingToken, a.leaseExpiry = held.FencingToken, asked+time.Duration((*answer).ValidMs)*time.Millisecond
			}
		}
	})
}

// holdsLease reports whether the agent holds the lease at present.
func (a *simulatedAgent) holdsLease() bool { return a.sim.now < a.leaseExpiry }

// sendOrder sends the backend an order if the agent holds the lease, and checks that no other agent holds it.
func (a *simulatedAgent) sendOrder() {
	sim := a.sim
	if !a.holdsLease() {
		return
	}
	for _, other := range sim.agents {
		if other != a && other.holdsLease() {
			sim.failf("%s sends an order with fencing token %d while %s holds the lease with token %d", a.node.Name, a.fencingToken, other.node.Name, other.fencingToken)
		}
	}
	a.orders++
	holder, token := a.holder, a.fencingToken // copied, as the agent may lose power before the order arrives
	sim.datagram(a.node.Name, "backend", func() { sim.backend.onOrder(holder, token) })
}

// simulatedBackend receives orders.
type simulatedBackend struct {
	sim          *simulation
	holder       string
	fencingToken uint64
	tokens       int // number of different tokens among the orders
}

// onOrder receives an order. It checks that fencing tokens never decrease, and that no two holders share one.
func (b *simulatedBackend) onOrder(holder string, token uint64) {
	switch {
	case token < b.fencingToken:
		b.sim.failf("an order with fencing token %d came after one with %d", token, b.fencingToken)
	case token == b.fencingToken && holder != b.holder:
		b.sim.failf("%s and %s send orders with the same fencing token %d", holder, b.holder, token)
	case token > b.fencingToken:
		b.tokens++
		b.fencingToken, b.holder = token, holder
	}
}

// agentVersion is the version of the configuration that an agent has received.
func agentVersion(a *simulatedAgent) uint64 {
	version := uint64(0)
	a.feed.ReadState(func(m *state.Machine) { version = m.Version() })
	return version
}
