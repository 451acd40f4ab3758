package chain

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
)

const (
	// slowLink is 10 Mbit/s, in bytes per second.
	slowLink = 1_250_000
	// largeState is the size of a state of 2 MB.
	largeState = 2 << 20
	// maxGapWithoutFaults is the longest time without an acknowledgement while nothing fails: a view change, including
	// the time to send a member the few entries that it lacks.
	maxGapWithoutFaults = 300 * time.Millisecond
)

// newLargeCluster creates a cluster with a state of 2 MB and slow links.
func newLargeCluster(t *testing.T, seed uint64, members int) *cluster {
	c := newCluster(t, seed, members)
	c.linkRate, c.ballast = slowLink, make([]byte, largeState)
	for _, p := range c.processes {
		p.machine.ballast = c.ballast
	}
	return c
}

// runUntil advances the simulation until a condition holds, and fails if that takes longer than limit.
func (c *cluster) runUntil(what string, limit time.Duration, condition func() bool) (took time.Duration) {
	c.t.Helper()
	began := c.now
	for !condition() {
		if c.now-began > limit {
			c.fail("%s: not reached within %v", what, limit)
		}
		c.runFor(10 * time.Millisecond)
	}
	return c.now - began
}

func (c *cluster) inChain(p *process) func() bool {
	return func() bool { return p.node != nil && p.node.InService() }
}

// awaitEntries runs until the given number of further entries is acknowledged.
func (c *cluster) awaitEntries(entries int) {
	c.t.Helper()
	until := len(c.acknowledged) + entries
	c.runUntil(fmt.Sprintf("%d entries", entries), time.Hour, func() bool { return len(c.acknowledged) >= until })
}

// A member that was down catches up while the chain stays in service, however many entries it missed.
func TestReturningMemberCatchesUpWhileInService(t *testing.T) {
	for _, away := range []int{1, 64, 65, 1000, 5000} {
		t.Run(fmt.Sprint(away), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 21, 3)
			c.cfg.MaxLogEntries = 64
			c.proposeInterval = 5 * time.Millisecond
			c.mustServe("founding")
			p := c.processOf(c.head().node.View().Chain[1])
			c.kill(p)
			c.runFor(time.Second)
			c.awaitEntries(away)
			c.start(p, false)
			c.longestGap, c.lastAcknowledgement = 0, c.now
			took := c.runUntil("it is back", 5*time.Second, c.inChain(p))
			t.Logf("%d entries: back after %v, longest time without an acknowledgement %v", away, took, c.longestGap)
			is.True(c.longestGap < maxGapWithoutFaults)
			c.mustServe("it is back")
		})
	}
}

// A member receives a state of 2 MB over 10 Mbit/s while entries are committed, and the chain stays in service.
func TestLargeSnapshotTransferWhileEntriesAreCommitted(t *testing.T) {
	for name, lose := range map[string]func(c *cluster, p *process){
		"an old log": func(c *cluster, p *process) { c.kill(p) },
		"no log":     func(c *cluster, p *process) { c.wipe(p) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newLargeCluster(t, 22, 3)
			c.padding = make([]byte, 2000)
			c.mustServe("founding")
			p := c.processOf(c.head().node.View().Chain[2])
			lose(c, p)
			c.runFor(time.Second)
			c.awaitEntries(50) // more than the log keeps
			c.start(p, false)
			c.longestGap, c.lastAcknowledgement = 0, c.now
			took := c.runUntil("it is back", 8*time.Second, c.inChain(p))
			t.Logf("back after %v, longest time without an acknowledgement %v", took, c.longestGap)
			is.True(took > time.Second) // it received a snapshot
			is.True(c.longestGap < maxGapWithoutFaults)
			c.mustServe("it is back")
		})
	}
}

// A member whose catch-up is interrupted starts again and completes it.
func TestInterruptedCatchUpCompletes(t *testing.T) {
	for name, interrupt := range map[string]func(c *cluster, learner, head, other *process){
		"the member is restarted": func(c *cluster, learner, _, _ *process) { c.restart(learner) },
		"its link is cut": func(c *cluster, learner, _, _ *process) {
			c.isolate(learner, true)
			c.runFor(2 * time.Second)
			c.isolate(learner, false)
		},
		"the head is killed": func(c *cluster, _, head, _ *process) {
			c.kill(head)
			c.runFor(2 * time.Second)
			c.start(head, false)
		},
		"the other member is killed": func(c *cluster, _, _, other *process) {
			c.kill(other)
			c.runFor(2 * time.Second)
			c.start(other, false)
		},
		"all lose power": func(c *cluster, _, _, _ *process) { c.restartAll(200 * time.Millisecond) },
		"its disk is lost once more": func(c *cluster, learner, _, _ *process) {
			c.wipe(learner)
			c.runFor(100 * time.Millisecond)
			c.start(learner, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newLargeCluster(t, 23, 3)
			c.mustServe("founding")
			head := c.head()
			chain := head.node.View().Chain
			other, learner := c.processOf(chain[1]), c.processOf(chain[2])
			c.wipe(learner)
			c.runFor(time.Second)
			c.start(learner, false)
			c.runUntil("it catches up", time.Second, func() bool { return head.node.isCatchingUp() })
			c.runFor(800 * time.Millisecond) // half of the snapshot has arrived
			is.True(head.node.isCatchingUp() && !learner.node.inChain())
			interrupt(c, learner, head, other)
			c.runUntil("all are in the chain", 15*time.Second, func() bool {
				return c.inChain(learner)() && c.inChain(head)() && c.inChain(other)()
			})
			c.mustServe("all members are in the chain")
			c.auditLinearizable()
		})
	}
}

// A chain that needs a lagging member for its majority is out of service until that member has the whole log, and
// nothing is lost.
func TestChainWaitsForLaggingMemberItNeeds(t *testing.T) {
	is := is.New(t)
	c := newLargeCluster(t, 24, 3)
	c.mustServe("founding")
	head := c.head()
	chain := head.node.View().Chain
	other, lagging := c.processOf(chain[1]), c.processOf(chain[2])
	c.kill(lagging)
	c.runFor(time.Second)
	c.awaitEntries(50)
	c.start(lagging, false)
	c.runUntil("it catches up", time.Second, func() bool { return head.node.isCatchingUp() })
	c.kill(head) // it is not restarted in this test
	took := c.runUntil("the remaining two are in service", 10*time.Second, func() bool {
		return c.inChain(other)() && c.inChain(lagging)()
	})
	t.Logf("the remaining two are in service after %v", took)
	is.True(sameMember(other.node.Head(), other.node.durable.Self)) // the member with the whole log is head
	c.mustServe("two members remain")
}

// A member that lags far behind is left out of a chain that has a majority without it, because the chain would be out
// of service until that member has the whole log.
func TestLaggingMemberIsLeftOutOfNewChain(t *testing.T) {
	is := is.New(t)
	c := newLargeCluster(t, 25, 5)
	c.mustServe("founding")
	chain := c.head().node.View().Chain
	lagging, failing := c.processOf(chain[4]), c.processOf(chain[1])
	c.kill(lagging)
	c.runFor(time.Second)
	c.awaitEntries(50)
	c.start(lagging, false)
	c.runUntil("it catches up", time.Second, func() bool { return c.head().node.isCatchingUp() })
	c.longestGap, c.lastAcknowledgement = 0, c.now
	c.kill(failing)
	c.runUntil("the failed one is left out", 2*time.Second, func() bool { return len(c.head().node.View().Chain) == 3 })
	c.runFor(200 * time.Millisecond)
	t.Logf("longest time without an acknowledgement %v", c.longestGap)
	is.True(c.longestGap < time.Second)
	c.runUntil("the lagging one is in", 10*time.Second, c.inChain(lagging))
	c.mustServe("the lagging one is in")
}

// The log stays within its bounds while a process that never completes is catching up.
func TestLogIsBoundedDuringCatchUp(t *testing.T) {
	is := is.New(t)
	c := newLargeCluster(t, 26, 3)
	c.cfg.MaxCatchUpLogEntries = 60
	for _, p := range c.processes {
		p.node.config = c.cfg
	}
	c.mustServe("founding")
	head := c.head()
	learner := c.processOf(head.node.View().Chain[2])
	c.wipe(learner)
	c.runFor(time.Second)
	c.start(learner, false)
	c.runUntil("it catches up", time.Second, func() bool { return head.node.isCatchingUp() })
	// The link carries heartbeats but is too slow for the state.
	c.linkRate = 1000
	longest := 0
	c.runUntil("many entries", time.Minute, func() bool {
		longest = max(longest, len(head.node.durable.Entries))
		return len(c.acknowledged) > 800
	})
	t.Logf("longest log %d entries", longest)
	is.True(longest > 2*c.cfg.MaxLogEntries) // compaction was deferred
	is.True(longest <= c.cfg.MaxCatchUpLogEntries+1)
}

// Large entries are compacted sooner.
func TestLogIsBoundedInBytes(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 27, 3)
	c.cfg.MaxLogEntries = 64
	for _, p := range c.processes {
		p.node.config = c.cfg
	}
	c.padding = make([]byte, 300<<10)
	c.mustServe("founding")
	for range 20 {
		c.awaitEntries(1)
		for _, p := range c.processes {
			is.Equal(p.node.logBytes, sizeOfEntries(p.node.durable.Entries))
			is.True(p.node.logBytes < c.cfg.MaxLogBytes+2*len(c.padding))
		}
	}
}

// catchUpMessage returns the message that a head would send to a process without a matching log.
func catchUpMessage(head *process) *api.ChainMessage {
	data := head.node.catchUpFor(&peer{position: &api.Position{Sequence: 1 << 40}})
	return &api.ChainMessage{Body: &api.ChainMessage_CatchUp{CatchUp: proto.CloneOf(data)}}
}

// A CatchUp that arrives late, or at a member of the chain, removes no entries.
func TestStaleCatchUpIsIgnored(t *testing.T) {
	for name, leaves := range map[string]bool{"at a member of the chain": false, "at a member outside the chain": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 28, 3)
			c.mustServe("founding")
			head := c.head()
			p := c.processOf(head.node.View().Chain[2])
			if leaves {
				c.leave(p, time.Second)
			}
			view := p.node.View()
			early := catchUpMessage(head)
			c.awaitEntries(20)
			if leaves { // it catches up and has more entries than the stale message
				c.receive(p, view.Chain[0], catchUpMessage(head))
			}
			end, committed := p.node.durable.lastPosition(), p.node.Committed()
			is.True(committed > early.GetCatchUp().Target.Sequence)
			c.receive(p, view.Chain[0], early)
			is.Equal(p.node.durable.lastPosition().Sequence, end.Sequence)
			is.Equal(p.node.Committed(), committed)
			is.True(p.disk.lastPosition().Sequence >= end.Sequence)
			c.mustServe("a CatchUp arrived late")
		})
	}
}

// Members of the chain ignore even a CatchUp that is newer than their log: they receive entries by replication.
func TestCatchUpIsIgnoredInTheChain(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 29, 3)
	c.mustServe("founding")
	head := c.head()
	view := head.node.View()
	p := c.processOf(view.Chain[1])
	before := p.node.durable.lastPosition()
	data := catchUpMessage(head)
	end := data.GetCatchUp().Target
	entry := &api.Entry{Sequence: end.Sequence + 1, PreviousHash: end.Hash}
	entry.Hash = entryHash(entry.PreviousHash, entry.Sequence, nil)
	data.GetCatchUp().Entries = append(data.GetCatchUp().Entries, entry)
	data.GetCatchUp().Target = &api.Position{Sequence: entry.Sequence, Hash: entry.Hash}
	c.receive(p, view.Chain[0], data)
	is.Equal(p.node.durable.lastPosition().Sequence, before.Sequence)
	c.mustServe("a CatchUp arrived at a member of the chain")
}
