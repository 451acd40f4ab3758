package chain

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// faultKinds inject a fault into a cluster, by the name of its kind.
var faultKinds = map[string]func(c *cluster, f fault){
	"kill": func(c *cluster, f fault) {
		p := c.live(f.machine)
		c.kill(p)
		c.runFor(f.lasts)
		c.start(p, false)
	},
	// Only one disk is lost at a time, and its machine gets time to catch up.
	"lose-disk": func(c *cluster, f fault) {
		p := c.live(f.machine)
		c.heal()
		c.runFor(settleTime)
		c.wipe(p)
		c.runFor(f.lasts)
		c.start(p, false)
		c.runFor(settleTime)
	},
	"freeze": func(c *cluster, f fault) {
		p := c.live(f.machine)
		p.frozen = true
		c.runFor(f.lasts)
		c.thaw(p)
	},
	"stall-disk": func(c *cluster, f fault) {
		p := c.live(f.machine)
		p.stalled = true
		c.runFor(f.lasts)
		c.thaw(p)
	},
	"cut": func(c *cluster, f fault) {
		p := c.live(f.machine)
		c.isolate(p, true)
		c.runFor(f.lasts)
		c.isolate(p, false)
	},
	"cut-one-way": func(c *cluster, f fault) {
		way := c.live(f.machine).address + ">" + c.live(f.other).address
		c.partitioned[way] = true
		c.runFor(f.lasts)
		c.partitioned[way] = false
	},
	"lose-messages": func(c *cluster, f fault) {
		c.loss = 0.2
		c.runFor(f.lasts)
		c.loss = 0
	},
	"lose-power": func(c *cluster, f fault) { c.restartAll(f.lasts) },
	// While one machine is isolated, another one is restarted.
	"cut-and-restart": func(c *cluster, f fault) {
		p, other := c.live(f.machine), c.live(f.other)
		c.isolate(p, true)
		c.runFor(f.lasts / 2)
		if other != p {
			c.kill(other)
			c.start(other, false)
		}
		c.runFor(f.lasts / 2)
		c.isolate(p, false)
	},
	// A disk is lost, and then all machines lose power, at a random time.
	"lose-disk-and-power": func(c *cluster, f fault) {
		p := c.live(f.machine)
		c.heal()
		c.runFor(settleTime)
		c.runFor(f.lasts)
		c.loseDiskAndPower(p)
	},
	// The same, right after an operation was acknowledged.
	"lose-disk-and-power-at-acknowledgement": func(c *cluster, f fault) {
		p := c.live(f.machine)
		c.heal()
		c.runFor(settleTime)
		c.awaitAcknowledgement()
		c.loseDiskAndPower(p)
	},
	"replace": func(c *cluster, f fault) { c.replace(c.live(f.machine), f.lasts, f.back) },
	// Messages from a machine to one or all others are delayed, as on a stalled connection, and arrive at the end.
	"hold": func(c *cluster, f fault) {
		p := c.live(f.machine)
		for _, other := range c.processes {
			if f.other%3 == 0 || other == c.live(f.other) {
				c.delayedLinks[p.address+">"+other.address] = true
			}
		}
		c.runFor(f.lasts)
		c.release()
	},
	// A machine leaves as planned and comes back; meanwhile another one is isolated.
	"leave": func(c *cluster, f fault) {
		p, other := c.live(f.machine), c.live(f.other)
		c.carryOut(p, p.node.Leave(c.now))
		if other != p {
			c.runFor(f.lasts / 200)
			c.isolate(other, true)
		}
		c.runFor(f.lasts)
		c.isolate(other, false)
		if f.machine%2 == 0 && len(c.processes) == 3 { // then isolate the third machine; the leaving one still votes
			for _, left := range c.processes {
				if left != p && left != other {
					c.isolate(left, true)
					c.runFor(time.Second + f.lasts/2)
					c.isolate(left, false)
				}
			}
		}
		c.kill(p)
		c.runFor(f.back)
		c.start(p, false)
	},
	"interrupt-proposal": func(c *cluster, f fault) { c.interruptProposal(f) },
	"interrupt-handover": func(c *cluster, f fault) { c.interruptHandover(f) },
	"interrupt-vote":     func(c *cluster, f fault) { c.interruptVote(f) },
	"late-entry":         func(c *cluster, f fault) { c.lateEntry(f) },
	// A second loss follows a first one before the chain has its full length again.
	"lose-two": func(c *cluster, f fault) {
		p, other := c.live(f.machine), c.live(f.other)
		c.heal()
		c.runFor(settleTime)
		c.wipe(p)
		c.runFor(f.lasts / 4)
		if other != p {
			c.kill(other)
		}
		c.start(p, false)
		c.runFor(f.lasts / 2)
		c.restartAll(f.back)
		c.runFor(settleTime)
	},
}

// await advances the simulation until a condition holds, or for at most limit. It reports whether the condition holds.
func (c *cluster) await(limit time.Duration, condition func() bool) bool {
	for end := c.now + limit; c.now < end; c.runFor(time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// minority returns a random set of machines, fewer than half of them.
func (c *cluster) minority(rng *rand.Rand) []*process {
	var live []*process
	for _, p := range c.processes {
		if !p.replaced {
			live = append(live, p)
		}
	}
	rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:1+rng.IntN(max(1, (len(live)-1)/2))]
}

// interruptProposal makes another view necessary, and interrupts its proposer at a random step: the proposer's messages
// reach only some of the others, and then it is isolated, killed, or continues.
func (c *cluster) interruptProposal(f fault) {
	rng := rand.New(rand.NewPCG(uint64(f.machine), uint64(f.other)))
	c.heal()
	c.runFor(settleTime)
	trigger := c.live(f.machine)
	if rng.IntN(2) == 0 {
		c.carryOut(trigger, trigger.node.Leave(c.now))
	} else {
		c.isolate(trigger, true)
	}
	var proposer *process
	step := rng.IntN(3)
	c.await(2*time.Second, func() bool {
		proposer = c.proposerAt(step)
		return proposer != nil
	})
	defer func() {
		c.heal()
		if trigger.node.leaving {
			c.restart(trigger) // it may have left, and comes back
		}
	}()
	if proposer == nil {
		return
	}
	c.faultHits["a proposal"]++
	c.interruptProposer(proposer, rng, f.lasts)
}

// proposerAt returns a process whose proposal has reached a step (0: it has started, 1: it has a majority of promises,
// 2: it has chosen a view), or nil.
func (c *cluster) proposerAt(step int) *process {
	var proposer *process
	for _, p := range c.processes {
		if p.node == nil || p.node.proposal == nil {
			continue
		}
		proposal := p.node.proposal
		if step == 0 || step == 1 && proposal.quorumAt > 0 || step == 2 && proposal.view != nil {
			proposer = p
		}
	}
	return proposer
}

// interruptProposer lets a proposer exchange messages with only some of the others, and then isolates it, kills it, or
// lets it continue.
func (c *cluster) interruptProposer(proposer *process, rng *rand.Rand, lasts time.Duration) {
	for _, other := range c.processes {
		if rng.IntN(2) == 0 {
			c.partitioned[proposer.address+">"+other.address] = true
		}
		if rng.IntN(3) == 0 {
			c.partitioned[other.address+">"+proposer.address] = true
		}
	}
	c.runFor(time.Duration(rng.IntN(60)) * time.Millisecond)
	switch rng.IntN(3) {
	case 0:
		c.isolate(proposer, true)
		c.runFor(lasts)
	case 1:
		c.kill(proposer)
		clear(c.partitioned)
		c.runFor(lasts)
	default:
		c.runFor(lasts / 4)
	}
}

// interruptHandover makes some members miss entries, and kills others at the moment when the lagging ones are back, so
// that the new chain needs them. The head that synchronizes the new chain reaches only some of its members and is then
// killed too. Most of the members killed first are restarted.
func (c *cluster) interruptHandover(f fault) {
	rng := rand.New(rand.NewPCG(uint64(f.machine), uint64(f.other)+1))
	c.heal()
	c.runFor(settleTime)
	for range 1 + rng.IntN(2) {
		lagging := c.letLag(rng, f.lasts)
		var killed []*process
		for _, p := range c.minority(rng) {
			c.kill(p)
			killed = append(killed, p)
		}
		clear(c.partitioned)
		var head *process
		if c.await(2*time.Second, func() bool { head = c.syncingHead(); return head != nil }) {
			c.interruptSync(head, lagging, rng)
		}
		for _, p := range killed {
			if rng.IntN(4) > 0 && p.node == nil {
				c.start(p, false)
			}
		}
		c.proposalsPaused = false
		c.runFor(f.lasts)
		c.heal()
		c.runFor(settleTime)
	}
}

// letLag isolates a minority, so that it misses entries, and returns it.
func (c *cluster) letLag(rng *rand.Rand, lasts time.Duration) []*process {
	lagging := c.minority(rng)
	if head := c.servingHead(); head != nil && rng.IntN(2) == 0 {
		lagging[0] = head // it may have an entry that no other member has
	}
	for _, p := range lagging {
		c.isolate(p, true)
	}
	if rng.IntN(2) == 0 {
		c.runFor(time.Second + lasts/2)
		return lagging
	}
	// One entry is acknowledged without them, and then proposals pause.
	c.runFor(100 * time.Millisecond)
	before := len(c.acknowledged)
	c.await(2*time.Second, func() bool { return len(c.acknowledged) > before })
	c.proposalsPaused = true
	return lagging
}

// interruptSync lets a head that synchronizes its chain reach only some of its members, and kills it.
func (c *cluster) interruptSync(head *process, lagging []*process, rng *rand.Rand) {
	c.faultHits["a synchronizing head"]++
	for _, other := range c.processes {
		if rng.IntN(2) == 0 {
			c.partitioned[head.address+">"+other.address] = true
		}
	}
	c.runFor(time.Duration(rng.IntN(12)) * time.Millisecond)
	c.kill(head)
	if rng.IntN(2) == 0 && len(c.processes) > 3 { // also kill a member that did not lag
		for _, p := range c.processes {
			if p.node != nil && !slices.Contains(lagging, p) {
				c.kill(p)
				break
			}
		}
	}
	clear(c.partitioned)
}

// servingHead returns the head of a chain that can commit entries, or nil.
func (c *cluster) servingHead() *process {
	for _, p := range c.processes {
		if p.node != nil && p.node.CanPropose() && p.node.Connected() {
			return p
		}
	}
	return nil
}

// interruptVote partitions two members from each other, so that one of them proposes a view without the other one
// learning of it. When a third member has voted, the proposer's messages are delayed and voters are restarted.
func (c *cluster) interruptVote(f fault) {
	rng := rand.New(rand.NewPCG(uint64(f.machine), uint64(f.other)+2))
	c.heal()
	c.runFor(settleTime)
	a, b := c.live(f.machine), c.live(f.other)
	if a == b {
		b = c.live(f.other + 1)
	}
	c.partitioned[a.address+">"+b.address], c.partitioned[b.address+">"+a.address] = true, true
	if rng.IntN(3) == 0 {
		c.delayProposal(a, rng, f.lasts/2)
		return
	}
	for range 1 + rng.IntN(2) {
		accepted := rng.IntN(2) == 0
		var proposer *process
		if !c.await(3*time.Second, func() bool { proposer = c.proposerWithVote(accepted, nil); return proposer != nil }) {
			break
		}
		c.faultHits["a vote"]++
		c.runFor(time.Duration(rng.IntN(4)) * time.Millisecond)
		c.delayFrom(proposer)
		// Members may meanwhile vote for another proposer, whose messages are delayed as well.
		var rival *process
		if rng.IntN(2) == 0 && c.await(time.Second, func() bool { rival = c.proposerWithVote(false, proposer); return rival != nil }) {
			c.delayFrom(rival)
		}
		for _, voter := range c.processes {
			if voter != proposer && voter != rival && voter.node != nil && voter.node.wedged() && rng.IntN(3) > 0 {
				c.restart(voter)
			}
		}
		if rival == nil {
			c.runFor(time.Duration(50+rng.IntN(800)) * time.Millisecond)
		}
		c.releaseFrom(proposer)
		c.runFor(time.Duration(rng.IntN(8)) * time.Millisecond)
		c.release()
		c.runFor(f.lasts / 2)
	}
	c.heal()
}

// lateEntry delays an entry that a head has sent while views change because that head and other members are isolated
// and come back. Then it delivers the entry, with no other entry proposed in between.
func (c *cluster) lateEntry(f fault) {
	rng := rand.New(rand.NewPCG(uint64(f.machine), uint64(f.other)+3))
	c.heal()
	c.runFor(settleTime)
	head := c.servingHead()
	if head == nil {
		return
	}
	defer func() {
		c.proposalsPaused = false
		c.heal()
	}()
	c.delayFrom(head)
	if !c.await(time.Second, func() bool { return head.node.committed < head.node.durable.lastPosition().GetSequence() }) {
		return
	}
	c.proposalsPaused = true
	c.runFor(time.Millisecond)
	clear(c.delayedLinks) // later messages are not delayed
	back := func(p *process) func() bool { return func() bool { return p.node.InService() } }
	c.isolate(head, true)
	c.runFor(time.Second)
	c.isolate(head, false)
	if !c.await(3*time.Second, back(head)) {
		return
	}
	for _, p := range c.minority(rng) {
		if p == head {
			continue
		}
		c.isolate(p, true)
		c.runFor(time.Second)
		c.isolate(p, false)
		c.await(3*time.Second, back(p))
	}
	c.faultHits["an entry of an earlier view"]++
	c.release()
	c.runFor(f.lasts / 4)
}

// delayProposal delays the messages of a process, and so the ballot with which it proposes a view, until another member
// has voted for a rival's ballot.
func (c *cluster) delayProposal(p *process, rng *rand.Rand, lasts time.Duration) {
	accepted := rng.IntN(2) == 0
	c.runFor(time.Duration(rng.IntN(400)) * time.Millisecond)
	c.delayFrom(p)
	if c.await(3*time.Second, func() bool { return p.node.proposal != nil && c.proposerWithVote(accepted, p) != nil }) {
		c.faultHits["a vote for a rival"]++
		c.runFor(time.Duration(rng.IntN(4)) * time.Millisecond)
	}
	c.release()
	c.runFor(lasts)
	c.heal()
}

// delayFrom starts delaying the messages that a process sends.
func (c *cluster) delayFrom(p *process) {
	for _, other := range c.processes {
		c.delayedLinks[p.address+">"+other.address] = true
	}
}

// releaseFrom delivers the delayed messages of a process and stops delaying them.
func (c *cluster) releaseFrom(p *process) {
	for _, other := range c.processes {
		delete(c.delayedLinks, p.address+">"+other.address)
	}
	late := c.delayed
	c.delayed = nil
	for _, message := range late {
		c.deliver(message.from, message.message) // messages of others are delayed again
	}
}

// proposerWithVote returns a process other than except for whose proposal another process has voted, or nil. The vote
// is an acceptance if accepted is set, and otherwise a promise.
func (c *cluster) proposerWithVote(accepted bool, except *process) *process {
	for _, p := range c.processes {
		if p == except || p.node == nil || p.node.proposal == nil {
			continue
		}
		proposal := p.node.proposal
		for _, voter := range c.processes {
			if voter == p || voter.node == nil || voter.node.durable.View.Number+1 != proposal.instance {
				continue
			}
			d := &voter.node.durable
			voted := d.Promised
			if accepted {
				voted = d.AcceptedBallot
			}
			if voted != nil && ballotEqual(voted, proposal.ballot) {
				return p
			}
		}
	}
	return nil
}

// syncingHead returns a head that is synchronizing its chain, or nil.
func (c *cluster) syncingHead() *process {
	for _, p := range c.processes {
		if p.node != nil && p.node.syncing != nil {
			return p
		}
	}
	return nil
}

// release delivers all delayed messages and stops delaying.
func (c *cluster) release() {
	clear(c.delayedLinks)
	late := c.delayed
	c.delayed = nil
	for _, message := range late {
		c.deliver(message.from, message.message)
	}
}

// live returns the process with a number, modulo their count, among those that have not been replaced.
func (c *cluster) live(number int) *process {
	var live []*process
	for _, p := range c.processes {
		if !p.replaced {
			live = append(live, p)
		}
	}
	return live[number%len(live)]
}

// awaitAcknowledgement advances the simulation until an operation is acknowledged, for at most 200 ms.
func (c *cluster) awaitAcknowledgement() {
	before := len(c.acknowledged)
	for range 200 {
		if len(c.acknowledged) > before {
			return
		}
		c.runFor(time.Millisecond)
	}
}

// loseDiskAndPower wipes the disk of a process and restarts all processes.
func (c *cluster) loseDiskAndPower(p *process) {
	c.wipe(p)
	c.restartAll(200 * time.Millisecond)
	c.runFor(settleTime)
}

// restartAll kills all processes at once, and starts them after a time.
func (c *cluster) restartAll(down time.Duration) {
	for _, p := range c.processes {
		c.kill(p)
	}
	c.runFor(down)
	for _, p := range c.processes {
		if !p.replaced {
			c.start(p, false)
		}
	}
}

// replace replaces a machine with another one. If back is positive, the old machine comes back with its old disk for
// that time after the new one has joined.
func (c *cluster) replace(p *process, downtime, back time.Duration) {
	c.heal()
	c.runFor(settleTime)
	c.kill(p)
	c.runFor(downtime)
	c.add(fmt.Sprintf("r%d", len(c.processes)), false)
	c.runFor(settleTime)
	p.replaced = true
	c.updateSeeds()
	if back > 0 {
		c.start(p, false)
		c.runFor(back)
		c.kill(p)
	}
	c.runFor(settleTime)
}

// updateSeeds makes the machines that have not been replaced the seeds of those that start from now on. With a list
// that names no remaining machine, a starting machine could not find the chain.
func (c *cluster) updateSeeds() {
	c.seeds = nil
	for _, p := range c.processes {
		if !p.replaced {
			c.seeds = append(c.seeds, p.address)
		}
	}
}

// heal ends all faults.
func (c *cluster) heal() {
	c.release()
	clear(c.partitioned)
	c.loss = 0
	for _, p := range c.processes {
		if p.node == nil && !p.replaced {
			c.start(p, false)
		}
		c.thaw(p)
	}
}
