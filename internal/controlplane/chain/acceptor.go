package chain

import "marlreel/internal/api"

// The acceptor's state is DurableState.Promised, AcceptedBallot and AcceptedView. Every change of it is saved before
// the reply is sent; otherwise a restarted member could promise or accept a ballot lower than one that it promised
// before.

func (n *Node) onPrepare(from *api.Member, prepare *api.Prepare) {
	if !n.isAcceptorOf(from, prepare.Instance) {
		return
	}
	reply := n.promiseBallot(prepare)
	if reply.RefusedFor == nil {
		n.wedgedSince = n.now
		n.proposal = nil // the other proposer's ballot is higher
	}
	n.send(from, &api.ChainMessage{Body: &api.ChainMessage_Promise{Promise: reply}})
}

// isAcceptorOf reports whether this node votes on a proposer's view: both must be members of the previous view.
func (n *Node) isAcceptorOf(proposer *api.Member, instance uint64) bool {
	return instance == n.durable.View.Number+1 && containsMember(n.durable.View.Members, proposer) && n.isMember()
}

// promiseBallot promises to accept no ballot lower than the given one, unless this node has already promised a higher
// one. The promise includes the view accepted before, if any, and the position of this node's log, which does not
// change while the node is wedged.
func (n *Node) promiseBallot(prepare *api.Prepare) *api.Promise {
	reply := &api.Promise{Instance: prepare.Instance, Ballot: prepare.Ballot}
	n.highestRound = max(n.highestRound, prepare.Ballot.GetRound())
	if ballotLess(prepare.Ballot, n.durable.Promised) {
		reply.RefusedFor = n.durable.Promised
		return reply
	}
	if n.durable.Promised == nil {
		n.wedgedSince = n.now
	}
	n.durable.Promised = prepare.Ballot
	n.output.Save.Acceptor = true
	reply.AcceptedBallot, reply.AcceptedView = n.durable.AcceptedBallot, n.durable.AcceptedView
	reply.Position = n.durable.lastPosition()
	return reply
}

func (n *Node) onAccept(from *api.Member, accept *api.Accept) {
	if !n.isAcceptorOf(from, accept.View.GetNumber()) {
		return
	}
	n.wedgedSince = n.now
	n.send(from, &api.ChainMessage{Body: &api.ChainMessage_Accepted{Accepted: n.acceptView(accept)}})
}

// acceptView accepts a view, unless this node has promised a higher ballot.
func (n *Node) acceptView(accept *api.Accept) *api.Accepted {
	reply := &api.Accepted{Instance: accept.View.GetNumber(), Ballot: accept.Ballot}
	n.highestRound = max(n.highestRound, accept.Ballot.GetRound())
	if ballotLess(accept.Ballot, n.durable.Promised) {
		reply.RefusedFor = n.durable.Promised
		return reply
	}
	n.durable.Promised, n.durable.AcceptedBallot, n.durable.AcceptedView = accept.Ballot, accept.Ballot, accept.View
	n.output.Save.Acceptor = true
	return reply
}
