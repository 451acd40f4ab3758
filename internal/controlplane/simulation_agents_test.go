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

// simulatedAgent watches control, and gives orders while it holds the lease.
type simulatedAgent struct {
	sim          *simulation
	node         *api.Node
	holder       string
	feed         *watch.Store
	cursor       *watch.Cursor
	at           int // which control process it follows
	asking       bool
	stale        time.Duration // since when its source's word is not fresh; 0: it is
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
		feed: watch.New(name, sim.clock), cursor: watch.NewCursor(nil), at: number,
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
	regularly(agentWatchInterval, a.follow)
	regularly(agentReportInterval, a.report)
	regularly(agentRenewInterval, a.renew)
	regularly(agentOrderInterval, a.sendOrder)
}

// source is the control process that the agent follows.
func (a *simulatedAgent) source() *simulatedControl {
	return a.sim.controls[a.at%len(a.sim.controls)]
}

// follow asks for what is new.
func (a *simulatedAgent) follow() {
	if a.asking {
		return
	}
	a.asking = true
	sim, c, incarnation := a.sim, a.source(), a.node.Incarnation
	request := a.feed.NewRequest(a.cursor)
	call(sim, a.node.Name, c.address, agentTimeout, func(answer func(*api.WatchReply)) {
		c.run(func() { answer(c.feed.HandleWatch(sim.t.Context(), request, 0)) })
	}, func(answer **api.WatchReply) {
		if a.node.Incarnation != incarnation {
			return // it asked before it lost power
		}
		a.asking = false
		if answer == nil {
			a.at++
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
		sim.failf("%s was told that version %d is fresh; %d was acknowledged at %v", a.node.Name, agentVersion(a), newest.version, newest.at)
	}
	switch {
	case answer.Fresh:
		a.stale = 0
	case a.stale == 0:
		a.stale = sim.now
	case sim.now-a.stale > maxAgentStaleness:
		a.at++
		a.stale = 0
	}
}

// report tells control processes that the agent lives.
func (a *simulatedAgent) report() {
	for _, c := range a.sim.controls {
		node := &api.Node{Name: a.node.Name, Address: a.node.Address, Incarnation: a.node.Incarnation}
		a.sim.datagram(a.node.Name, c.address, func() { c.run(func() { c.feed.RecordNode(node) }) })
	}
}

// renew asks for its lease.
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

// holdsLease reports whether the agent's lease runs.
func (a *simulatedAgent) holdsLease() bool { return a.sim.now < a.leaseExpiry }

// sendOrder gives the backend an order, if the agent may. Nobody else may at that moment.
func (a *simulatedAgent) sendOrder() {
	sim := a.sim
	if !a.holdsLease() {
		return
	}
	for _, other := range sim.agents {
		if other != a && other.holdsLease() {
			sim.failf("%s gives an order under token %d, and %s holds the role under %d", a.node.Name, a.fencingToken, other.node.Name, other.fencingToken)
		}
	}
	a.orders++
	holder, token := a.holder, a.fencingToken // it may have lost power when the order arrives
	sim.datagram(a.node.Name, "backend", func() { sim.backend.onOrder(holder, token) })
}

// simulatedBackend takes orders.
type simulatedBackend struct {
	sim          *simulation
	holder       string
	fencingToken uint64
	tokens       int // under which orders came
}

// onOrder takes an order. Tokens never go back, and none is two holders'.
func (b *simulatedBackend) onOrder(holder string, token uint64) {
	switch {
	case token < b.fencingToken:
		b.sim.failf("an order under token %d after one under %d", token, b.fencingToken)
	case token == b.fencingToken && holder != b.holder:
		b.sim.failf("%s and %s give orders under token %d", holder, b.holder, token)
	case token > b.fencingToken:
		b.tokens++
		b.fencingToken, b.holder = token, holder
	}
}

// agentVersion is the version of the configuration that an agent goes by.
func agentVersion(a *simulatedAgent) uint64 {
	version := uint64(0)
	a.feed.ReadState(func(m *state.Machine) { version = m.Version() })
	return version
}
