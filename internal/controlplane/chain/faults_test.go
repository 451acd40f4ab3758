package chain

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// faultKinds are what can happen.
var faultKinds = map[string]func(c *cluster, f fault){
	"kill": func(c *cluster, f fault) {
		p := c.live(f.machine)
		c.kill(p)
		c.runFor(f.lasts)
		c.start(p, false)
	},
	// One disk is lost at a time, and its machine is given time to catch up.
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
	// While one machine is cut off, another one is restarted.
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
	// A disk, and the power of all, some ms after something was sent.
	"lose-disk-and-power": func(c *cluster, f fault) {
		p := c.live(f.machine)
		c.heal()
		c.runFor(settleTime)
		c.runFor(f.lasts)
		c.loseDiskAndPower(p)
	},
	// The same, right after something was acknowledged.
	"lose-disk-and-power-at-acknowledgement": func(c *cluster, f fault) {
		p := c.live(f.machine)
		c.heal()
		c.runFor(settleTime)
		c.awaitAcknowledgement()
		c.loseDiskAndPower(p)
	},
	"replace": func(c *cluster, f fault) { c.replace(c.live(f.machine), f.lasts, f.back) },
	// What a machine sends is delayed, as a connection delays it, and arrives at the end.
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
	// A machine leaves, as it is told to, and comes back; meanwhile another one is cut off.
	"leave": func(c *cluster, f fault) {
		p, other := c.live(f.machine), c.live(f.other)
		c.carryOut(p, p.node.Leave(c.now))
		if other != p {
			c.runFor(f.lasts / 200)
			c.isolate(other, true)
		}
		c.runFor(f.lasts)
		c.isolate(other, false)
		if f.machine%2 == 0 && len(c.processes) == 3 { // whoever is left is cut off in turn; the one that leaves still votes
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
	// A second loss right behind a first one, before the chain has its length again.
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

// await passes time until something is so, or for at most limit.
func (c *cluster) await(limit time.Duration, is func() bool) bool {
	for end := c.now + limit; c.now < end; c.runFor(time.Millisecond) {
		if is() {
			return true
		}
	}
	return is()
}

// minority draws some of the machines, less than half of them.
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

// interruptProposal makes a view necessary, and interrupts whoever proposes it: at some step it reaches some of
// the others alone, and then it is cut off, killed, or goes on.
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
			c.restart(trigger) // it leaves, to come back
		}
	}()
	if proposer == nil {
		return
	}
	c.faultHits["a proposal"]++
	c.interruptProposer(proposer, rng, f.lasts)
}

// proposerAt is a process whose proposal has come to a step: it is begun, has a majority of promises, or a view; nil:
// there is none.
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

// interruptProposer lets a proposer reach some of the others alone, and then cuts it off, kills it, or lets it go on.
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

// interruptHandover lets some members miss entries, and kills others in the moment in which they are back: the new
// chain needs them. The head that makes that chain's logs equal reaches some of it alone, and is killed in turn; those
// that were killed first come back.
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

// letLag cuts off a minority, which misses entries.
func (c *cluster) letLag(rng *rand.Rand, lasts time.Duration) []*process {
	lagging := c.minority(rng)
	if head := c.servingHead(); head != nil && rng.IntN(2) == 0 {
		lagging[0] = head // which keeps an entry that nobody else has
	}
	for _, p := range lagging {
		c.isolate(p, true)
	}
	if rng.IntN(2) == 0 {
		c.runFor(time.Second + lasts/2)
		return lagging
	}
	// One entry is acknowledged without them, and then all is quiet.
	c.runFor(100 * time.Millisecond)
	before := len(c.acknowledged)
	c.await(2*time.Second, func() bool { return len(c.acknowledged) > before })
	c.proposalsPaused = true
	return lagging
}

// interruptSync lets a head that makes its chain's logs equal reach some of it alone, and kills it.
func (c *cluster) interruptSync(head *process, lagging []*process, rng *rand.Rand) {
	c.faultHits["a head that makes logs equal"]++
	for _, other := range c.processes {
		if rng.IntN(2) == 0 {
			c.partitioned[head.address+">"+other.address] = true
		}
	}
	c.runFor(time.Duration(rng.IntN(12)) * time.Millisecond)
	c.kill(head)
	if rng.IntN(2) == 0 && len(c.processes) > 3 { // and one whose log is equal to its
		for _, p := range c.processes {
			if p.node != nil && !slices.Contains(lagging, p) {
				c.kill(p)
				break
			}
		}
	}
	clear(c.partitioned)
}

// servingHead is the head of a chain that acknowledges, or nil.
func (c *cluster) servingHead() *process {
	for _, p := range c.processes {
		if p.node != nil && p.node.CanPropose() && p.node.Connected() {
			return p
		}
	}
	return nil
}

// interruptVote cuts two members off from each other, so that one of them proposes a view that the other one knows
// nothing of. In the moment in which a third has voted, the proposer's messages are delayed, and voters are restarted.
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
		// Another one may be voted for meanwhile, whose messages are delayed as well.
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

// lateEntry delays an entry that a head sends, lets views pass in which that head and others go and come back, and
// then lets the entry arrive, where nothing else has come since.
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
	clear(c.delayedLinks) // what comes after it passes
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

// delayProposal delays what a process sends, and so the ballot with which it proposes a view, until others have
// voted for another one's.
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

// delayFrom delays what a process sends.
func (c *cluster) delayFrom(p *process) {
	for _, other := range c.processes {
		c.delayedLinks[p.address+">"+other.address] = true
	}
}

// releaseFrom lets what a process sent arrive.
func (c *cluster) releaseFrom(p *process) {
	for _, other := range c.processes {
		delete(c.delayedLinks, p.address+">"+other.address)
	}
	late := c.delayed
	c.delayed = nil
	for _, message := range late {
		c.deliver(message.from, message.message) // what others sent is delayed again
	}
}

// proposerWithVote is a process, but for one, whose proposal another one has voted for; nil: there is none. accepted
// asks for an acceptance, or else a promise.
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

// syncingHead is a head that makes its chain's logs equal, or nil.
func (c *cluster) syncingHead() *process {
	for _, p := range c.processes {
		if p.node != nil && p.node.syncing != nil {
			return p
		}
	}
	return nil
}

// release lets what was delayed arrive.
func (c *cluster) release() {
	clear(c.delayedLinks)
	late := c.delayed
	c.delayed = nil
	for _, message := range late {
		c.deliver(message.from, message.message)
	}
}

// live is a process that has not been replaced.
func (c *cluster) live(number int) *process {
	var live []*process
	for _, p := range c.processes {
		if !p.replaced {
			live = append(live, p)
		}
	}
	return live[number%len(live)]
}

// awaitAcknowledgement passes time until something is acknowledged, or 200 ms.
func (c *cluster) awaitAcknowledgement() {
	before := len(c.acknowledged)
	for range 200 {
		if len(c.acknowledged) > before {
			return
		}
		c.runFor(time.Millisecond)
	}
}

// loseDiskAndPower takes a disk, and the power of all.
func (c *cluster) loseDiskAndPower(p *process) {
	c.wipe(p)
	c.restartAll(200 * time.Millisecond)
	c.runFor(settleTime)
}

// restartAll ends all processes at once, and starts them after a while.
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

// replace puts another machine in the place of one, which has gone for good, or comes back
// with its old disk for a while when the other one has been taken in.
func (c *cluster) replace(p *process, gone, back time.Duration) {
	c.heal()
	c.runFor(settleTime)
	c.kill(p)
	c.runFor(gone)
	c.add(fmt.Sprintf("r%d", len(c.processes)), false)
	c.runFor(settleTime)
	p.replaced = true
	c.renewContacts()
	if back > 0 {
		c.start(p, false)
		c.runFor(back)
		c.kill(p)
	}
	c.runFor(settleTime)
}

// renewContacts names those that are there to machines that start from now on. One that replaces another is told
// who was there before: of a list where nobody is any more, no machine could find the chain.
func (c *cluster) renewContacts() {
	c.contacts = nil
	for _, p := range c.processes {
		if !p.replaced {
			c.contacts = append(c.contacts, p.address)
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
