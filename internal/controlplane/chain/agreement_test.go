package chain

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/api"
)

// receive delivers a message from a member to a process and returns the replies.
func (c *cluster) receive(p *process, from *api.Member, body *api.ChainMessage) []*api.ChainMessage {
	c.t.Helper()
	return c.receiveInView(p, from, p.node.View().Number, body)
}

// prepare sends a process a Prepare and returns its promise.
func (c *cluster) prepare(p *process, from *api.Member, round uint64) *api.Promise {
	c.t.Helper()
	answers := c.receive(p, from, &api.ChainMessage{Body: &api.ChainMessage_Prepare{Prepare: &api.Prepare{
		Instance: p.node.View().Number + 1, Ballot: &api.Ballot{Round: round, Proposer: MemberKey(from)},
	}}})
	for _, answer := range answers {
		if promise := answer.GetPromise(); promise != nil {
			return promise
		}
	}
	c.fail("%s sent no Promise in reply to a Prepare", p.address)
	return nil
}

// restart kills a process and starts it again from its disk.
func (c *cluster) restart(p *process) {
	c.kill(p)
	c.start(p, false)
}

func TestPromiseSurvivesRestart(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 8, 3)
	c.mustServe("founding")
	p, from := c.processes[2], c.processes[0].node.durable.Self
	is.True(c.prepare(p, from, 1000).RefusedFor == nil)
	c.restart(p)
	is.Equal(c.prepare(p, from, 999).GetRefusedFor().GetRound(), uint64(1000))
}

func TestAcceptanceSurvivesRestart(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 9, 3)
	c.mustServe("founding")
	p, from := c.processes[2], c.processes[0].node.durable.Self
	view := &api.View{Number: p.node.View().Number + 1, Members: p.node.View().Members, Chain: p.node.View().Chain[:2]}
	c.receive(p, from, &api.ChainMessage{Body: &api.ChainMessage_Accept{Accept: &api.Accept{
		Ballot: &api.Ballot{Round: 1000, Proposer: MemberKey(from)}, View: view,
	}}})
	c.restart(p)
	promise := c.prepare(p, from, 1001)
	is.Equal(promise.GetAcceptedBallot().GetRound(), uint64(1000))
	is.Equal(len(promise.GetAcceptedView().GetChain()), 2)
}

// A member that has promised a ballot stops taking part in its current view.
func TestWedgedMemberTakesNoPartInItsView(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 10, 3)
	c.mustServe("founding")
	tail := c.processes[0]
	for _, p := range c.processes {
		if sameMember(p.node.Tail(), p.node.durable.Self) {
			tail = p
		}
	}
	before := tail.node.View().Chain[1]
	c.prepare(tail, before, 1000)
	end := tail.node.durable.lastPosition()
	entry := &api.Entry{Sequence: end.Sequence + 1, PreviousHash: end.Hash}
	entry.Hash = entryHash(end.Hash, entry.Sequence, nil)
	answers := c.receive(tail, before, &api.ChainMessage{Body: &api.ChainMessage_Replicate{Replicate: &api.Replicate{Entry: entry}}})
	is.Equal(tail.node.durable.lastPosition().Sequence, end.Sequence) // nothing is appended
	is.Equal(len(answers), 0)
	answers = c.receive(tail, before, &api.ChainMessage{Body: &api.ChainMessage_Confirm{Confirm: &api.Confirm{Token: 1}}})
	is.Equal(len(answers), 0) // the view is not confirmed
}

// receiveInView delivers to a process a message sent in a given view, and returns the replies.
func (c *cluster) receiveInView(p *process, from *api.Member, view uint64, body *api.ChainMessage) []*api.ChainMessage {
	c.t.Helper()
	body.From, body.To, body.ViewNumber = from, p.node.durable.Self, view
	out := p.node.Receive(c.now, body)
	answers := out.Messages
	out.Messages = nil
	c.carryOut(p, out)
	return answers
}

// beginProposal makes a process propose the next view, and drops its messages.
func (c *cluster) beginProposal(p *process, members []*api.Member) *proposal {
	c.t.Helper()
	p.node.now = c.now
	p.node.propose(cause{reason: "proposed by a test"}, members, chainChange{})
	out := p.node.takeOutput()
	out.Messages = nil
	c.carryOut(p, out)
	return p.node.proposal
}

// promiseTo delivers to a proposer a member's promise that states a log position.
func (c *cluster) promiseTo(p *process, from *api.Member, position *api.Position) []*api.ChainMessage {
	c.t.Helper()
	proposed := p.node.proposal
	return c.receive(p, from, &api.ChainMessage{Body: &api.ChainMessage_Promise{Promise: &api.Promise{
		Instance: proposed.instance, Ballot: proposed.ballot, Position: position,
	}}})
}

// acceptedBy delivers to a proposer a member's acceptance of its proposal.
func (c *cluster) acceptedBy(p *process, from *api.Member) {
	c.t.Helper()
	proposed := p.node.proposal
	c.receive(p, from, &api.ChainMessage{Body: &api.ChainMessage_Accepted{Accepted: &api.Accepted{
		Instance: proposed.instance, Ballot: proposed.ballot,
	}}})
}

// A view that any member has accepted may have been agreed, so the next proposer must propose it again.
func TestAcceptedViewIsProposedAgain(t *testing.T) {
	for _, acceptor := range []int{0, 1} {
		is := is.New(t)
		c := newCluster(t, 11, 3)
		c.mustServe("founding")
		chain := c.processes[0].node.View().Chain
		failed := c.processOf(chain[2])
		survivors := []*process{c.processOf(chain[0]), c.processOf(chain[1])}
		next := c.processes[0].node.View().Number + 1
		view := &api.View{Number: next, Members: failed.node.View().Members, Chain: []*api.Member{chain[2], chain[acceptor]}}
		c.receive(survivors[acceptor], chain[2], &api.ChainMessage{Body: &api.ChainMessage_Accept{Accept: &api.Accept{
			Ballot: &api.Ballot{Round: 1000, Proposer: MemberKey(chain[2])}, View: view,
		}}})
		c.kill(failed)
		for survivors[0].node.View().Number < next && c.now < 2*settleTime+time.Minute {
			c.runFor(time.Millisecond)
		}
		is.Equal(survivors[0].node.View().Number, next)
		is.Equal(describe(survivors[0].node.View()), describe(view))
		c.mustServe("the accepted view names a failed head")
	}
}

// A view is installed once a majority has accepted it, and not before.
func TestViewNeedsMajorityOfAcceptances(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 12, 5)
	c.mustServe("founding")
	proposer := c.processes[0]
	members := proposer.node.View().Members
	others := withoutMember(members, proposer.node.durable.Self)
	proposed := c.beginProposal(proposer, members)
	for _, other := range others {
		c.promiseTo(proposer, other, proposer.node.durable.lastPosition())
	}
	is.True(proposed.view != nil) // all have promised
	c.acceptedBy(proposer, others[0])
	c.acceptedBy(proposer, others[0]) // a repeated acceptance counts once
	is.Equal(proposer.node.View().Number, proposed.instance-1)
	c.acceptedBy(proposer, others[1])
	is.Equal(proposer.node.View().Number, proposed.instance)
}

// A chain must contain a majority of the new view's members, so that every later majority shares a member with it. A
// promise from a member that leaves does not count towards that majority.
func TestChainHasMajorityOfNewMembers(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 13, 3)
	c.mustServe("founding")
	proposer := c.processes[0]
	members := proposer.node.View().Members
	others := withoutMember(members, proposer.node.durable.Self)
	joining := &api.Member{Address: "d0", Incarnation: 1 << 63}
	proposed := c.beginProposal(proposer, append(withoutMember(members, others[0]), joining))
	proposed.promises[MemberKey(others[0])] = &api.Promise{Position: proposer.node.durable.lastPosition()} // it is replaced
	is.True(proposer.node.chooseView() == nil)
	proposed.promises[MemberKey(others[1])] = &api.Promise{Position: proposer.node.durable.lastPosition()}
	is.Equal(len(proposer.node.chooseView().GetChain()), 2)
}

// The head is the member whose log was synchronized in the latest view and, among several such members, is the longest.
func TestFurthestLogBecomesHead(t *testing.T) {
	for _, tc := range []struct {
		name      string
		near, far *api.Position
	}{
		{
			name: "longer in the same view",
			near: &api.Position{SyncedView: 7, Sequence: 40}, far: &api.Position{SyncedView: 7, Sequence: 41},
		},
		{
			name: "shorter but synchronized in a later view",
			near: &api.Position{SyncedView: 7, Sequence: 90}, far: &api.Position{SyncedView: 8, Sequence: 41},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for furthest := range 3 {
				is := is.New(t)
				c := newCluster(t, 14, 3)
				c.mustServe("founding")
				proposer := c.processes[0]
				members := proposer.node.View().Members
				proposed := c.beginProposal(proposer, members)
				for i, member := range members {
					position := tc.near
					if i == furthest {
						position = tc.far
					}
					proposed.promises[MemberKey(member)] = &api.Promise{Position: position}
				}
				is.Equal(MemberKey(proposer.node.chooseView().Chain[0]), MemberKey(members[furthest]))
			}
		})
	}
}

// An entry sent in an earlier view is ignored, because its head may have been replaced since.
func TestEntryOfEarlierViewIsIgnored(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 15, 3)
	c.mustServe("founding")
	view := c.processes[0].node.View()
	tail := c.processOf(view.Chain[2])
	end := tail.node.durable.lastPosition()
	entry := &api.Entry{Sequence: end.Sequence + 1, PreviousHash: end.Hash}
	entry.Hash = entryHash(end.Hash, entry.Sequence, nil)
	replicate := func() *api.ChainMessage {
		return &api.ChainMessage{Body: &api.ChainMessage_Replicate{Replicate: &api.Replicate{Entry: entry}}}
	}
	c.receiveInView(tail, view.Chain[1], view.Number-1, replicate())
	is.Equal(tail.node.durable.lastPosition().Sequence, end.Sequence)
	c.receiveInView(tail, view.Chain[1], view.Number, replicate())
	is.Equal(tail.node.durable.lastPosition().Sequence, entry.Sequence) // it is appended in the current view
}

// head returns a process that considers itself the head of its chain.
func (c *cluster) head() *process {
	c.t.Helper()
	for _, p := range c.processes {
		if p.node != nil && p.node.isHead() {
			return p
		}
	}
	c.fail("no process is the head of a chain")
	return nil
}

// processOf returns the process of a member.
func (c *cluster) processOf(member *api.Member) *process {
	c.t.Helper()
	for _, p := range c.processes {
		if p.node != nil && sameMember(p.node.durable.Self, member) {
			return p
		}
	}
	c.fail("no running process is member %s", MemberKey(member))
	return nil
}

// A restarted head synchronizes the chain before it enters service, even if heartbeats report the view as in service.
// Otherwise an entry that it proposes meanwhile could be committed without being on the tail's disk.
func TestRestartedHeadIgnoresReportsOfService(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 16, 3)
	c.mustServe("founding")
	view := c.processes[0].node.View()
	head, next := c.processOf(view.Chain[0]), c.processOf(view.Chain[1])
	c.restart(head)
	heartbeat := next.node.heartbeatMessage()
	is.True(heartbeat.GetHeartbeat().Active)
	c.receive(head, view.Chain[1], heartbeat)
	is.Equal(head.node.CanPropose(), false)
	is.Equal(head.node.InService(), false)
	c.mustServe("the head was restarted")
}

// A restarted tail commits its whole log, however much the other members have committed, because it may have answered
// reads from all of it before the restart.
func TestRestartedTailCommitsItsWholeLog(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 17, 3)
	c.mustServe("founding")
	view := c.processes[0].node.View()
	before, tail := c.processOf(view.Chain[1]), c.processOf(view.Chain[2])
	c.isolate(before, true) // loses the acknowledgement
	end := tail.node.durable.lastPosition()
	entry := &api.Entry{Sequence: end.Sequence + 1, PreviousHash: end.Hash}
	entry.Hash = entryHash(entry.PreviousHash, entry.Sequence, nil)
	c.receiveInView(tail, view.Chain[1], view.Number,
		&api.ChainMessage{Body: &api.ChainMessage_Replicate{Replicate: &api.Replicate{Entry: entry, Committed: end.Sequence}}})
	is.Equal(tail.node.Committed(), entry.Sequence)

	c.restart(tail)
	is.Equal(tail.node.CanRead(), false)
	heartbeat := before.node.heartbeatMessage()
	is.Equal(heartbeat.GetHeartbeat().Committed, end.Sequence)
	c.receive(tail, view.Chain[1], heartbeat)
	is.True(tail.node.CanRead())
	is.Equal(tail.node.Committed(), entry.Sequence)
}

// A leaving member stays if it is the only one with an entry, since no member of a chain without it would have the
// entry.
func TestLeavingMemberWithTheFurthestLogStays(t *testing.T) {
	for name, tc := range map[string]struct {
		alone bool
		chain int
	}{"only it has the entry": {alone: true}, "the others have the entry too": {chain: 2}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 18, 3)
			c.mustServe("founding")
			proposer := c.processes[0]
			members := proposer.node.View().Members
			leaving := c.processes[2].node.durable.Self
			proposed := c.beginProposal(proposer, members)
			proposed.change.leaving = leaving
			for _, member := range members {
				position := &api.Position{SyncedView: 7, Sequence: 40}
				if tc.alone && sameMember(member, leaving) {
					position = &api.Position{SyncedView: 7, Sequence: 41}
				}
				proposed.promises[MemberKey(member)] = &api.Promise{Position: position}
			}
			view := proposer.node.chooseView()
			is.Equal(len(view.GetChain()), tc.chain)
			is.True(!containsMember(view.GetChain(), leaving))
		})
	}
}
