package chain

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// leave makes a process leave the chain and returns how long that took. The process keeps running.
func (c *cluster) leave(p *process, limit time.Duration) (took time.Duration) {
	c.t.Helper()
	c.carryOut(p, p.node.Leave(c.now))
	return c.runUntil(p.address+" has left the chain", limit, p.node.HasLeft)
}

// A member that shuts down is removed from the chain before it exits, and writes are hardly delayed by that.
func TestMemberLeavesBeforeItStops(t *testing.T) {
	for place := range 3 {
		t.Run(fmt.Sprint(place), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 31, 3)
			c.mustServe("founding")
			p := c.processOf(c.head().node.View().Chain[place])
			c.longestGap, c.lastAcknowledgement = 0, c.now
			took := c.leave(p, time.Second)
			c.kill(p)
			c.runFor(time.Second)
			t.Logf("left after %v, longest time without an acknowledgement %v", took, c.longestGap)
			is.True(c.longestGap < maxGapWithoutFaults)
			is.Equal(len(c.head().node.View().Chain), 2)
			is.Equal(len(c.head().node.View().Members), 3) // it remains a member, since it may come back
			c.start(p, false)
			c.mustServe("it is back")
			is.True(p.node.InService())
		})
	}
}

// A member that leaves while the chain needs it stays until another one has the whole log.
func TestNeededMemberCannotLeave(t *testing.T) {
	is := is.New(t)
	c := newLargeCluster(t, 32, 3)
	c.mustServe("founding")
	head := c.head()
	chain := head.node.View().Chain
	leaving, learner := c.processOf(chain[1]), c.processOf(chain[2])
	c.wipe(learner)
	c.runFor(time.Second)
	c.start(learner, false)
	c.runUntil("it catches up", time.Second, func() bool { return head.node.isCatchingUp() })
	c.carryOut(leaving, leaving.node.Leave(c.now))
	c.runFor(500 * time.Millisecond)
	is.True(!leaving.node.HasLeft()) // it has the only other complete copy
	c.runUntil("it has left", 8*time.Second, leaving.node.HasLeft)
	is.True(learner.node.InService() && len(learner.node.View().Chain) == 2)
	c.kill(leaving)
	c.mustServe("it has left")
}

// In a planned replacement the new member joins before the old one leaves. Another loss may follow immediately.
func TestLossRightAfterPlannedReplacement(t *testing.T) {
	for name, lose := range map[string]func(c *cluster, p *process){
		"a disk":               func(c *cluster, p *process) { c.wipe(p) },
		"a disk and all power": func(c *cluster, p *process) { c.wipe(p); c.restartAll(200 * time.Millisecond) },
	} {
		for place := range 3 {
			t.Run(fmt.Sprintf("%s, %d", name, place), func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 33, 3)
				c.mustServe("founding")
				old := c.processOf(c.head().node.View().Chain[place])
				c.add("d0", false)
				c.mustServe("the new one has joined")
				is.Equal(len(c.head().node.View().Members), 4)
				c.leave(old, time.Second)
				is.Equal(len(c.head().node.View().Members), 3) // it is no longer a member
				c.kill(old)
				old.replaced = true
				lost := c.head()
				lose(c, lost)
				if lost.node == nil {
					c.runFor(500 * time.Millisecond)
					c.start(lost, false)
				}
				c.mustServe("a disk was lost right after")
				is.True(lost.node.InService())
			})
		}
	}
}

// If all members ask to leave, the chain keeps a majority.
func TestAllMembersLeave(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 34, 3)
	c.mustServe("founding")
	for _, p := range c.processes {
		c.carryOut(p, p.node.Leave(c.now))
	}
	c.runFor(2 * time.Second)
	left := 0
	for _, p := range c.processes {
		if p.node.HasLeft() {
			left++
		}
	}
	is.Equal(left, 1)
	c.restartAll(300 * time.Millisecond)
	c.mustServe("all are back")
}

// A planned change waits for a member that is slow to promise, such as one with a slow disk, instead of dropping it
// from the chain.
func TestPlannedChangeWaitsForSlowMember(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 35, 5)
	c.mustServe("founding")
	view := c.head().node.View()
	is.Equal(len(view.Chain), 5)
	slow, leaving := c.processOf(view.Chain[2]), c.processOf(view.Chain[4])
	c.proposalsPaused = true // an entry in flight would wait for the slow member, and the proposal for the entry
	c.runFor(c.cfg.HeartbeatInterval)
	slow.stalled = true
	c.carryOut(leaving, leaving.node.Leave(c.now))
	c.runFor(2 * c.cfg.PromiseGracePeriod)
	c.thaw(slow)
	c.runUntil("it has left", time.Second, leaving.node.HasLeft)
	is.Equal(c.head().node.View().Number, view.Number+1)
	is.Equal(len(c.head().node.View().Chain), 4)
}

// Membership changes only while the chain is in service: after several incomplete changes in a row, a majority could
// have none of the committed entries.
func TestMembershipChangesOnlyInService(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 36, 3)
	c.mustServe("founding")
	c.proposalsPaused = true
	head := c.head().node
	c.add("d0", false)
	c.runUntil("the new one may join", time.Second, func() bool {
		for _, p := range head.peers {
			if p.member.Address == "d0" && p.wantsToJoin && !p.hasOlderView && head.now-p.stableSince > c.cfg.MinStableTime/2 {
				return true
			}
		}
		return false
	})
	head.now += c.cfg.MinStableTime
	for _, p := range head.peers {
		p.lastSeen, p.lastReachedSelf = head.now, head.now
	}
	active := head.inServiceView
	head.inServiceView = 0 // as after a view change, before the chain is synchronized
	head.checkMembership()
	is.True(head.proposal == nil)
	head.inServiceView = active
	head.checkMembership()
	is.True(head.proposal != nil)
	is.Equal(len(head.proposal.members), 4)
}
