package chain

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// repairSeeds is how often each kind of loss is simulated, at each position in the chain in turn.
	repairSeeds = 30
	// backAfter is how long a lost machine stays down before it, or its replacement, is started.
	backAfter = time.Second
	// catchUpTime is how long a machine may take after its start to have the whole log (catch_up_s of the deployments).
	catchUpTime = 4 * time.Second
)

// losses are the kinds of losses. Each returns the time from which the repair is measured: when the machine, or the one
// that replaces it, is started, or when the replaced machine starts leaving.
var losses = map[string]func(c *cluster, p *process) (from time.Duration){
	"killed": func(c *cluster, p *process) time.Duration {
		c.kill(p)
		c.runFor(backAfter)
		c.start(p, false)
		return c.now
	},
	"its disk lost": func(c *cluster, p *process) time.Duration {
		c.wipe(p)
		c.runFor(backAfter)
		c.start(p, false)
		return c.now
	},
	"its disk lost and all power lost": func(c *cluster, p *process) time.Duration {
		c.wipe(p)
		c.restartAll(200 * time.Millisecond)
		return c.now
	},
	"replaced after a failure, at another address": func(c *cluster, p *process) time.Duration {
		c.kill(p)
		p.replaced = true
		c.runFor(backAfter)
		c.updateSeeds()
		c.add("d0", false)
		return c.now
	},
	"replaced as planned": func(c *cluster, p *process) time.Duration {
		c.add("d0", false)
		c.runFor(settleTime)
		from := c.now
		c.carryOut(p, p.node.Leave(c.now))
		c.runUntil("it has left", time.Second, p.node.HasLeft)
		c.kill(p)
		p.replaced = true
		return from
	},
	"isolated for 20 s": func(c *cluster, p *process) time.Duration {
		c.isolate(p, true)
		c.runFor(20 * time.Second)
		c.isolate(p, false)
		return c.now
	},
}

// fullLength reports whether the chain in service has TargetMembers, and no other members vote.
func (c *cluster) fullLength() bool {
	for _, p := range c.processes {
		if p.node != nil && p.node.isHead() && p.node.Connected() {
			view := p.node.View()
			return len(view.Chain) == c.cfg.TargetMembers && len(view.Members) == c.cfg.TargetMembers
		}
	}
	return false
}

// After each kind of loss the chain has its full length again within catchUpTime. Writes are expected to stop no longer
// than it takes to detect a failure; the test logs for how long they stopped but does not check it.
func TestRepairTimes(t *testing.T) {
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var repairs, gaps []time.Duration
			for seed := range uint64(repairSeeds) {
				c := newCluster(t, 400+seed, 3)
				c.mustServe("founding")
				p := c.processOf(c.head().node.View().Chain[seed%3])
				c.longestGap, c.lastAcknowledgement = 0, c.now
				from := lose(c, p)
				c.runUntil("the chain has its full length again", 20*time.Second, c.fullLength)
				repairs = append(repairs, c.now-from)
				c.runFor(time.Second)
				gaps = append(gaps, c.longestGap)
				c.audit()
			}
			slices.Sort(repairs)
			slices.Sort(gaps)
			median, last := len(repairs)/2, len(repairs)-1
			t.Logf("| %s | %v | %v | %v | %v |", name, repairs[median].Round(time.Millisecond), repairs[last].Round(time.Millisecond),
				gaps[median].Round(time.Millisecond), gaps[last].Round(time.Millisecond))
			is.True(repairs[last] < catchUpTime)
		})
	}
}

// The time that a member takes to catch up grows linearly with the size of the state, over 10 Mbit/s and while entries
// are committed. It makes no jump where the member has missed more entries than the log keeps.
func TestCatchUpTimes(t *testing.T) {
	for _, tc := range []struct{ entries, state int }{
		{1, 0}, {64, 0}, {65, 0}, {1000, 0}, {5000, 0}, {100, 256 << 10}, {100, 1 << 20}, {100, 2 << 20}, {100, 4 << 20},
	} {
		t.Run(fmt.Sprintf("%d entries, %d KB", tc.entries, tc.state>>10), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 500, 3)
			c.cfg.MaxLogEntries = 64
			c.linkRate, c.ballast = slowLink, make([]byte, tc.state)
			for _, p := range c.processes {
				p.node.config, p.machine.ballast = c.cfg, c.ballast
			}
			c.mustServe("founding")
			p := c.processOf(c.head().node.View().Chain[1])
			c.kill(p)
			c.runFor(time.Second)
			c.proposeInterval = 10 * time.Millisecond
			c.awaitEntries(tc.entries)
			c.proposeInterval = defaultProposeInterval
			c.start(p, false)
			took := c.runUntil("it is back", 20*time.Second, c.inChain(p))
			t.Logf("| %d | %d KB | %v |", tc.entries, tc.state>>10, took)
			transfer := time.Duration(float64(tc.state) / slowLink * float64(time.Second))
			is.True(took < time.Second+transfer+transfer/4)
		})
	}
}
