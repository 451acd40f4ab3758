package chain

import (
	"testing"

	"github.com/matryer/is"

	"marlreel/internal/system/api"
)

// hand gives a process a message of a member, and gives its answers.
func (c *cluster) hand(p *process, from *api.Member, body *api.ChainMessage) []*api.ChainMessage {
	c.t.Helper()
	body.From, body.To, body.ViewNumber = from, p.node.durable.Self, p.node.View().Number
	out := p.node.Receive(c.now, body)
	answers := out.Send
	out.Send = nil // nobody else hears of it
	c.carryOut(p, out)
	return answers
}

// prepare asks a process for its promise.
func (c *cluster) prepare(p *process, from *api.Member, round uint64) *api.Promise {
	c.t.Helper()
	answers := c.hand(p, from, &api.ChainMessage{Body: &api.ChainMessage_Prepare{Prepare: &api.Prepare{
		Instance: p.node.View().Number + 1, Ballot: &api.Ballot{Round: round, Proposer: Key(from)}}}})
	for _, answer := range answers {
		if promise := answer.GetPromise(); promise != nil {
			return promise
		}
	}
	c.fail("%s has not answered a ballot", p.address)
	return nil
}

// restart ends a process and starts it on what its disk holds.
func (c *cluster) restart(p *process) {
	c.kill(p)
	c.start(p, false)
}

func TestAPromiseOutlivesARestart(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 8, 3)
	c.mustServe("founding")
	p, from := c.processes[2], c.processes[0].node.durable.Self
	is.True(c.prepare(p, from, 1000).RefusedFor == nil)
	c.restart(p)
	is.Equal(c.prepare(p, from, 999).GetRefusedFor().GetRound(), uint64(1000))
}

func TestAnAcceptanceOutlivesARestart(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 9, 3)
	c.mustServe("founding")
	p, from := c.processes[2], c.processes[0].node.durable.Self
	view := &api.View{Number: p.node.View().Number + 1, Members: p.node.View().Members, Chain: p.node.View().Chain[:2]}
	c.hand(p, from, &api.ChainMessage{Body: &api.ChainMessage_Accept{Accept: &api.Accept{
		Ballot: &api.Ballot{Round: 1000, Proposer: Key(from)}, View: view}}})
	c.restart(p)
	promise := c.prepare(p, from, 1001)
	is.Equal(promise.GetAcceptedBallot().GetRound(), uint64(1000))
	is.Equal(len(promise.GetAcceptedView().GetChain()), 2)
}

// A member that has promised takes no part in its old view any more.
func TestAMemberThatHasPromisedIsOutOfItsView(t *testing.T) {
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
	end := tail.node.durable.last()
	entry := &api.Entry{Sequence: end.Sequence + 1, PreviousHash: end.Hash}
	entry.Hash = hashOf(end.Hash, entry.Sequence, nil)
	answers := c.hand(tail, before, &api.ChainMessage{Body: &api.ChainMessage_Replicate{Replicate: &api.Replicate{Entry: entry}}})
	is.Equal(tail.node.durable.last().Sequence, end.Sequence) // it appends nothing
	is.Equal(len(answers), 0)
	answers = c.hand(tail, before, &api.ChainMessage{Body: &api.ChainMessage_Confirm{Confirm: &api.Confirm{Token: 1}}})
	is.Equal(len(answers), 0) // nor does it confirm
}
