package chain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"marlreel/internal/system/api"
)

// proposal is this node's try to have the next view agreed.
type proposal struct {
	instance uint64
	ballot   *api.Ballot
	members  []*api.Member // of the view that is proposed, unless another was accepted
	joining  *api.Member   // who is taken into the chain; nil: nobody
	since    time.Duration
	promises map[string]*api.Promise
	enough   time.Duration // when a majority had promised; 0: not yet
	view     *api.View     // what is proposed, once there are promises
	accepted map[string]bool
}

// propose begins to have another view agreed.
func (n *Node) propose(reason string, members []*api.Member, joining *api.Member) {
	n.highest++
	n.proposal = &proposal{instance: n.durable.View.Number + 1, members: members, joining: joining, since: n.now,
		ballot:   &api.Ballot{Round: n.highest, Proposer: Key(n.durable.Self)},
		promises: map[string]*api.Promise{}, accepted: map[string]bool{}}
	n.note(fmt.Sprintf("proposes view %d: %s", n.proposal.instance, reason))
	prepare := &api.Prepare{Instance: n.proposal.instance, Ballot: n.proposal.ballot}
	for _, member := range n.others() {
		n.send(member, &api.ChainMessage{Body: &api.ChainMessage_Prepare{Prepare: prepare}})
	}
	n.onPromise(n.durable.Self, n.promise(prepare))
}

// promise votes on a ballot: no lower one is accepted here from now on.
func (n *Node) promise(prepare *api.Prepare) *api.Promise {
	reply := &api.Promise{Instance: prepare.Instance, Ballot: prepare.Ballot}
	n.highest = max(n.highest, prepare.Ballot.GetRound())
	if ballotLess(prepare.Ballot, n.durable.Promised) {
		reply.RefusedFor = n.durable.Promised
		return reply
	}
	if n.durable.Promised == nil {
		n.wedgedSince = n.now
	}
	n.durable.Promised = prepare.Ballot
	n.out.Save.Vote = true
	reply.AcceptedBallot, reply.AcceptedView = n.durable.AcceptedBallot, n.durable.AcceptedView
	reply.Position = n.durable.last()
	return reply
}

func (n *Node) onPrepare(from *api.Member, prepare *api.Prepare) {
	if prepare.Instance != n.durable.View.Number+1 || !contains(n.durable.View.Members, from) || !n.isMember() {
		return
	}
	reply := n.promise(prepare)
	if reply.RefusedFor == nil {
		n.wedgedSince = n.now
		n.proposal = nil // another one's ballot is higher
	}
	n.send(from, &api.ChainMessage{Body: &api.ChainMessage_Promise{Promise: reply}})
}

func (n *Node) onPromise(from *api.Member, promise *api.Promise) {
	p := n.proposal
	if promise.RefusedFor != nil {
		n.outbid(promise.RefusedFor)
		return
	}
	if p == nil || p.view != nil || promise.Instance != p.instance || !ballotEqual(promise.Ballot, p.ballot) ||
		!contains(n.durable.View.Members, from) {
		return
	}
	p.promises[Key(from)] = promise
	if p.enough == 0 && len(p.promises) >= majority(len(n.durable.View.Members)) {
		p.enough = n.now
	}
	n.pursue()
}

// outbid gives a proposal up for a higher ballot that somebody has promised.
func (n *Node) outbid(by *api.Ballot) {
	n.highest = max(n.highest, by.GetRound())
	if n.proposal != nil && ballotLess(n.proposal.ballot, by) {
		n.proposal = nil
		n.wedgedSince = n.now
	}
}

// pursue takes a proposal on where it can go on, or gives it up.
func (n *Node) pursue() {
	p := n.proposal
	if n.now-p.since > n.cfg.ProposalTimeout {
		n.proposal = nil
		n.wedgedSince = n.now - n.cfg.ProposalTimeout
		return
	}
	if p.view != nil || p.enough == 0 {
		return
	}
	if !n.allPromised() && n.now-p.enough < n.cfg.PromiseWait {
		return
	}
	if p.view = n.choose(); p.view == nil {
		n.proposal = nil
		return
	}
	accept := &api.Accept{Ballot: p.ballot, View: p.view}
	for _, member := range n.others() {
		n.send(member, &api.ChainMessage{Body: &api.ChainMessage_Accept{Accept: accept}})
	}
	n.onAccepted(n.durable.Self, n.accept(accept))
}

// allPromised tells whether everybody who can be heard has promised.
func (n *Node) allPromised() bool {
	for _, member := range n.durable.View.Members {
		if n.hears(member) && n.proposal.promises[Key(member)] == nil {
			return false
		}
	}
	return true
}

// choose gives the view to propose: one that may have been agreed already, or else a
// chain of those that have promised, the furthest log first.
func (n *Node) choose() *api.View {
	p := n.proposal
	var accepted *api.Promise
	for _, promise := range p.promises {
		if promise.AcceptedView != nil && (accepted == nil || ballotLess(accepted.AcceptedBallot, promise.AcceptedBallot)) {
			accepted = promise
		}
	}
	if accepted != nil {
		return accepted.AcceptedView
	}
	var chain []*api.Member
	for _, member := range slices.Concat(n.durable.View.Chain, n.durable.View.Members) {
		if p.promises[Key(member)] != nil && contains(p.members, member) && !contains(chain, member) {
			chain = append(chain, member)
		}
	}
	if p.joining != nil && !contains(chain, p.joining) && contains(p.members, p.joining) && n.hears(p.joining) {
		chain = append(chain, p.joining)
	}
	if len(chain) < majority(len(p.members)) {
		return nil
	}
	furthest := 0
	for i, member := range chain {
		promise, best := p.promises[Key(member)], p.promises[Key(chain[furthest])]
		if promise != nil && positionLess(best.Position, promise.Position) {
			furthest = i
		}
	}
	head := chain[furthest]
	return &api.View{Number: p.instance, Members: p.members, Chain: append([]*api.Member{head}, without(chain, head)...)}
}

// accept votes for a view.
func (n *Node) accept(accept *api.Accept) *api.Accepted {
	reply := &api.Accepted{Instance: accept.View.GetNumber(), Ballot: accept.Ballot}
	n.highest = max(n.highest, accept.Ballot.GetRound())
	if ballotLess(accept.Ballot, n.durable.Promised) {
		reply.RefusedFor = n.durable.Promised
		return reply
	}
	n.durable.Promised, n.durable.AcceptedBallot, n.durable.AcceptedView = accept.Ballot, accept.Ballot, accept.View
	n.out.Save.Vote = true
	return reply
}

func (n *Node) onAccept(from *api.Member, accept *api.Accept) {
	if accept.View.GetNumber() != n.durable.View.Number+1 || !contains(n.durable.View.Members, from) || !n.isMember() {
		return
	}
	n.wedgedSince = n.now
	n.send(from, &api.ChainMessage{Body: &api.ChainMessage_Accepted{Accepted: n.accept(accept)}})
}

func (n *Node) onAccepted(from *api.Member, accepted *api.Accepted) {
	p := n.proposal
	if accepted.RefusedFor != nil {
		n.outbid(accepted.RefusedFor)
		return
	}
	if p == nil || p.view == nil || accepted.Instance != p.instance || !ballotEqual(accepted.Ballot, p.ballot) ||
		!contains(n.durable.View.Members, from) {
		return
	}
	p.accepted[Key(from)] = true
	if len(p.accepted) < majority(len(n.durable.View.Members)) {
		return
	}
	told := slices.Concat(n.durable.View.Members, p.view.Members)
	n.install(p.view)
	for i, member := range told {
		if indexOf(told, member) == i {
			beat := n.heartbeat()
			beat.View = n.durable.View
			n.send(member, beat)
		}
	}
}

// install takes an agreed view in force here.
func (n *Node) install(view *api.View) {
	if view.GetNumber() <= n.durable.View.Number {
		return
	}
	n.durable.View = view
	n.durable.Promised, n.durable.AcceptedBallot, n.durable.AcceptedView = nil, nil, nil
	n.out.Save.View, n.out.Save.Vote = true, true
	n.proposal, n.troubled, n.syncing = nil, 0, nil
	clear(n.confirms)
	for _, p := range n.peers {
		p.behind = true // until they say otherwise
	}
	n.out.Deposed = true
	n.note("view " + describe(view))
	if n.isHead() {
		n.durable.SyncedView = view.Number
		n.out.Save.Synced = true
		n.startSync()
	}
}

// describe words a view for the log.
func describe(view *api.View) string {
	var addresses []string
	for _, member := range view.Chain {
		addresses = append(addresses, member.Address)
	}
	return fmt.Sprintf("%d: chain %s, %d members", view.Number, strings.Join(addresses, " "), len(view.Members))
}
