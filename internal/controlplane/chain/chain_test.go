package chain

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// settleTime is how long a cluster may take to recover from a fault.
const settleTime = 4 * time.Second

// mustServe waits for settleTime, then fails the test unless the cluster acknowledges operations and passes its audits.
func (c *cluster) mustServe(why string) {
	c.t.Helper()
	c.runFor(settleTime)
	before := len(c.acknowledged)
	c.runFor(200 * time.Millisecond)
	if len(c.acknowledged) == before {
		c.fail("%s: no operation is acknowledged after %v", why, settleTime)
	}
	c.audit()
	c.auditService()
}

func TestFoundersFormTheFirstChain(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 3)
	c.mustServe("founding")
	for _, p := range c.processes {
		is.True(p.node.InService()) // every founder is in the chain
		is.Equal(len(p.node.View().Chain), 3)
	}
}

func TestEachMemberFailsAndReturns(t *testing.T) {
	for victim := range 3 {
		t.Run(fmt.Sprint(victim), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 2, 3)
			c.mustServe("founding")
			c.kill(c.processes[victim])
			c.mustServe("one has failed")
			c.start(c.processes[victim], false)
			c.mustServe("it is back")
			is.True(c.processes[victim].node.InService())
		})
	}
}

// A machine whose disk was lost comes back under a new incarnation. It must receive more than the chain's heartbeats to
// its old incarnation; otherwise it never joins.
func TestWipedMemberRejoinsUnderNewIncarnation(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 3)
	c.mustServe("founding")
	wiped := c.processes[1]
	c.wipe(wiped)
	c.runFor(time.Second)
	c.start(wiped, false)
	c.mustServe("a wiped member is back")
	is.True(wiped.node.InService())
	is.Equal(len(wiped.node.View().Members), 3) // it has replaced its old incarnation
	// If another disk is now lost together with all power, only two copies remain.
	c.wipe(c.processes[0])
	c.kill(c.processes[1])
	c.kill(c.processes[2])
	c.runFor(500 * time.Millisecond)
	for _, p := range c.processes {
		c.start(p, false)
	}
	c.mustServe("power is back, and one more disk is empty")
}

func TestReplacementAtAnotherAddress(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4, 3)
	c.mustServe("founding")
	c.kill(c.processes[0])
	c.runFor(time.Second)
	joined := c.add("d0", false)
	c.mustServe("a replacement has started")
	is.True(joined.node.InService())
	is.Equal(len(joined.node.View().Members), 3)
}

func TestReplacementJoinsBeforeMemberIsRemoved(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 5, 3)
	c.mustServe("founding")
	joined := c.add("d0", false)
	c.mustServe("a fourth has joined")
	is.Equal(len(joined.node.View().Members), 4)
	c.kill(c.processes[0])
	c.mustServe("the first was killed")
	is.Equal(len(joined.node.View().Members), 3) // it is no longer a member
}

func TestIsolatedHeadAcknowledgesNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 6, 3)
	c.mustServe("founding")
	head := c.head()
	c.isolate(head, true)
	c.mustServe("the head is isolated")
	is.Equal(head.node.CanPropose(), false)
	c.isolate(head, false)
	c.mustServe("the partition has healed")
	is.True(head.node.InService())
}

// A head is replaced if messages pass only from it, or only to it.
func TestHeadWithOneWayPartitionIsReplaced(t *testing.T) {
	for _, blockIncoming := range []bool{true, false} {
		c := newCluster(t, 9, 3)
		c.mustServe("founding")
		head := c.head()
		for _, other := range c.processes {
			if blockIncoming {
				c.partitioned[other.address+">"+head.address] = true
			} else {
				c.partitioned[head.address+">"+other.address] = true
			}
		}
		c.mustServe("messages pass in only one direction")
		clear(c.partitioned)
		c.mustServe("and in both directions again")
		if !head.node.InService() {
			c.fail("the former head is not back in service")
		}
	}
}

func TestAllMembersRestartAtOnce(t *testing.T) {
	c := newCluster(t, 7, 3)
	c.mustServe("founding")
	for range 3 {
		for _, p := range c.processes {
			c.kill(p)
		}
		c.runFor(300 * time.Millisecond)
		for _, p := range c.processes {
			c.start(p, false)
		}
		c.mustServe("all are back")
	}
}

func TestConfirmViewNeedsMajority(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 8, 3)
	c.mustServe("founding")
	tail := c.processes[0]
	for _, p := range c.processes {
		if p.node.CanRead() {
			tail = p
		}
	}
	confirmed := func(token uint64) bool {
		got := false
		out := tail.node.ConfirmView(c.now, token)
		for _, t := range out.ConfirmedTokens {
			got = got || t == token
		}
		c.carryOut(tail, out)
		for range 200 {
			c.runFor(time.Millisecond)
			if _, waits := tail.node.confirmations[token]; !waits {
				got = true
				break
			}
		}
		return got
	}
	is.True(confirmed(1)) // a tail that reaches a majority can read
	c.isolate(tail, true)
	tail.node.ConfirmView(c.now, 2)
	c.runFor(100 * time.Millisecond)
	_, waits := tail.node.confirmations[2]
	is.True(waits) // an isolated tail cannot
}

// A member that was isolated while all others were replaced finds the chain through new seeds.
func TestIsolatedMemberFindsReplacedChainBySeeds(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 6, 3)
	c.mustServe("founding")
	isolated := c.processes[0]
	c.isolate(isolated, true)
	c.mustServe("one is isolated")
	replacements := []string{"d0", "d1", "d2"}
	c.add(replacements[0], false)
	c.isolate(isolated, true)
	c.mustServe("a replacement has started")
	for i, address := range replacements[1:] {
		c.add(address, false)
		c.isolate(isolated, true)
		c.mustServe("a new one has joined")
		c.kill(c.processes[1+i])
		c.mustServe("an old one was killed")
	}
	c.isolate(isolated, false)
	c.runFor(settleTime)
	is.True(!isolated.node.Connected()) // all members that it knows were replaced
	isolated.node.SetSeeds(replacements)
	c.mustServe("it has the new members as seeds")
	is.True(isolated.node.InService())
}

// A machine whose disk was lost, and whose seeds name no remaining member, finds the chain through the members that
// send messages to its old incarnation.
func TestWipedMemberFindsChainWithoutSeeds(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 7, 3)
	c.mustServe("founding")
	for i, address := range []string{"d1", "d2"} {
		c.kill(c.processes[1+i])
		c.runFor(time.Second)
		c.add(address, false)
		c.mustServe("a replacement has started")
	}
	wiped := c.processes[0]
	c.wipe(wiped)
	c.runFor(time.Second)
	c.start(wiped, false) // its seeds are the founders
	c.mustServe("it is back")
	is.True(wiped.node.InService())
}
