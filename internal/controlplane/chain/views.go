package chain

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"marlreel/internal/api"
)

// proposal is this node's try to have the next view agreed.
type proposal struct {
	instance uint64
	ballot   *api.Ballot
	members  []*api.Member // of the view that is proposed, unless another was accepted
	change   change        // of the chain
	since    time.Duration
	promises map[string]*api.Promise
	enough   time.Duration   // when a majority had promised; 0: not yet
	view     *api.View       // what is proposed, once there are promises
	accepted map[string]bool // by members of the view before
}

// change is who is taken into the chain and who is let go of; nil: nobody.
type change struct {
	joining, leaving *api.Member
}

// propose begins to have another view agreed.
func (n *Node) propose(reason string, members []*api.Member, wanted change) {
	n.highest++
	n.proposal = &proposal{
		instance: n.durable.View.Number + 1, members: members, change: wanted, since: n.now,
		ballot:   &api.Ballot{Round: n.highest, Proposer: MemberKey(n.durable.Self)},
		promises: map[string]*api.Promise{}, accepted: map[string]bool{},
	}
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
	n.out.Save.Acceptor = true
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
	p.promises[MemberKey(from)] = promise
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
	if !n.allPromised() && n.now-p.enough < n.promiseWait() {
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

// promiseWait is how long a proposer that has a majority waits for the rest. Where nothing has
// failed it is longer: a member whose disk is slow is not left out for that.
func (n *Node) promiseWait() time.Duration {
	if n.proposal.change == (change{}) && len(n.proposal.members) == len(n.durable.View.Members) {
		return n.cfg.PromiseGracePeriod
	}
	return n.cfg.ProposalTimeout / 2
}

// allPromised tells whether everybody who can be heard has promised.
func (n *Node) allPromised() bool {
	for _, member := range n.durable.View.Members {
		if n.hears(member) && n.proposal.promises[MemberKey(member)] == nil {
			return false
		}
	}
	return true
}

// choose gives the view to propose: one that may have been agreed already, or else a
// chain of those that have promised, the furthest log first. nil: there is none.
func (n *Node) choose() *api.View {
	if agreed := n.proposal.highestAccepted(); agreed != nil {
		return agreed
	}
	candidates := n.candidates()
	if len(candidates) == 0 {
		return nil
	}
	head := n.furthest(candidates)
	if head == nil {
		return nil // only who leaves has all that may have been acknowledged
	}
	chain := n.chainBehind(head, candidates)
	if len(chain) < majority(len(n.proposal.members)) {
		return nil
	}
	return &api.View{Number: n.proposal.instance, Members: n.proposal.members, Chain: chain}
}

// highestAccepted is the view accepted under the highest ballot that promises name, or nil.
func (p *proposal) highestAccepted() *api.View {
	var highest *api.Promise
	for _, promise := range p.promises {
		if promise.AcceptedView != nil && (highest == nil || ballotLess(highest.AcceptedBallot, promise.AcceptedBallot)) {
			highest = promise
		}
	}
	return highest.GetAcceptedView()
}

// candidates are the members to be that have promised: those of the chain first, in its order.
func (n *Node) candidates() []*api.Member {
	var found []*api.Member
	for _, member := range slices.Concat(n.durable.View.Chain, n.durable.View.Members) {
		promised := n.proposal.promises[MemberKey(member)] != nil
		if promised && contains(n.proposal.members, member) && !contains(found, member) {
			found = append(found, member)
		}
	}
	leaving := n.proposal.change.leaving
	if leaving != nil && !contains(found, leaving) && n.proposal.promises[MemberKey(leaving)] != nil {
		found = append(found, leaving) // what its log holds counts, also where it is no member to be
	}
	return found
}

// furthest is the candidate whose log reaches furthest, but for who leaves; nil where that one
// alone reaches so far.
func (n *Node) furthest(candidates []*api.Member) *api.Member {
	position := func(member *api.Member) *api.Position { return n.proposal.promises[MemberKey(member)].Position }
	var head, leaving *api.Member
	for _, member := range candidates {
		switch {
		case n.proposal.change.leaving != nil && sameMember(member, n.proposal.change.leaving):
			leaving = member
		case head == nil || positionLess(position(head), position(member)):
			head = member
		}
	}
	if head != nil && leaving != nil && positionLess(position(head), position(leaving)) {
		return nil
	}
	return head
}

// chainBehind makes a chain of candidates. Members from outside the old chain whose logs are far
// behind are taken only where a majority needs them: the chain is out of service until they have all.
func (n *Node) chainBehind(head *api.Member, candidates []*api.Member) []*api.Member {
	chain := []*api.Member{head}
	var far []*api.Member
	for _, member := range candidates {
		switch {
		case sameMember(member, head) || n.proposal.change.leaving != nil && sameMember(member, n.proposal.change.leaving):
		case contains(n.durable.View.Chain, member) || n.isNear(member, head):
			chain = append(chain, member)
		default:
			far = append(far, member)
		}
	}
	joining := n.proposal.change.joining
	if joining != nil && !contains(chain, joining) && contains(n.proposal.members, joining) && n.hears(joining) {
		chain = append(chain, joining)
		far = without(far, joining)
	}
	slices.SortStableFunc(far, func(a, b *api.Member) int {
		return cmp.Compare(n.promisedSequence(b), n.promisedSequence(a))
	})
	for len(far) > 0 && len(chain) < majority(len(n.proposal.members)) {
		chain, far = append(chain, far[0]), far[1:]
	}
	return chain
}

// promisedSequence is how long a member's log was when it promised.
func (n *Node) promisedSequence(member *api.Member) uint64 {
	return n.proposal.promises[MemberKey(member)].GetPosition().GetSequence()
}

// isNear tells whether a member lacks little of a head's log.
func (n *Node) isNear(member, head *api.Member) bool {
	return n.promisedSequence(member)+n.cfg.MaxLagEntries >= n.promisedSequence(head)
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
	n.out.Save.Acceptor = true
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
	p.accepted[MemberKey(from)] = true
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
	n.out.Save.View, n.out.Save.Acceptor = true, true
	n.proposal, n.troubled, n.syncing, n.catchUp = nil, 0, nil, nil
	clear(n.confirms)
	for _, p := range n.peers {
		p.behind = true // until they say otherwise
	}
	n.out.ViewChanged = true
	n.note("view " + describe(view))
	if n.isHead() {
		n.durable.SyncedView = view.Number
		n.out.Save.SyncedView = true
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
