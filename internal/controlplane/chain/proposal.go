package chain

import (
	"slices"
	"time"

	"marlreel/internal/api"
)

// proposal is this node's attempt, as a Paxos proposer, to get the next view agreed.
type proposal struct {
	instance uint64 // the number of the view
	ballot   *api.Ballot
	members  []*api.Member // of the proposed view, unless a view was already accepted
	change   chainChange
	// startedAt is when the ballot was prepared, and quorumAt when a majority had promised it; 0 if it has not yet.
	startedAt time.Duration
	quorumAt  time.Duration
	promises  map[string]*api.Promise // by member key
	view      *api.View               // sent for acceptance; nil until there are enough promises
	accepted  map[string]bool         // by member key, of the previous view's members
}

// chainChange is the process that joins the chain and the member that leaves it; nil if there is none.
type chainChange struct {
	joining, leaving *api.Member
}

// propose prepares a ballot, higher than any seen, for the view after the current one.
func (n *Node) propose(why cause, members []*api.Member, change chainChange) {
	n.highestRound++
	n.proposal = &proposal{
		instance: n.durable.View.Number + 1, members: members, change: change, startedAt: n.now,
		ballot:   &api.Ballot{Round: n.highestRound, Proposer: MemberKey(n.durable.Self)},
		promises: map[string]*api.Promise{}, accepted: map[string]bool{},
	}
	n.report(ViewProposed{Number: n.proposal.instance, Reason: why.reason, Member: why.member.GetAddress()})
	prepare := &api.Prepare{Instance: n.proposal.instance, Ballot: n.proposal.ballot}
	for _, member := range n.otherMembers() {
		n.send(member, &api.ChainMessage{Body: &api.ChainMessage_Prepare{Prepare: prepare}})
	}
	n.onPromise(n.durable.Self, n.promiseBallot(prepare))
}

func (n *Node) onPromise(from *api.Member, promise *api.Promise) {
	if promise.RefusedFor != nil {
		n.yieldTo(promise.RefusedFor)
		return
	}
	p := n.proposal
	if p == nil || p.view != nil || !containsMember(n.durable.View.Members, from) {
		return
	}
	if promise.Instance != p.instance || !ballotEqual(promise.Ballot, p.ballot) {
		return
	}
	p.promises[MemberKey(from)] = promise
	if p.quorumAt == 0 && len(p.promises) >= majority(len(n.durable.View.Members)) {
		p.quorumAt = n.now
	}
	n.advanceProposal()
}

// yieldTo abandons this node's proposal if another member has promised a higher ballot.
func (n *Node) yieldTo(ballot *api.Ballot) {
	n.highestRound = max(n.highestRound, ballot.GetRound())
	if n.proposal != nil && ballotLess(n.proposal.ballot, ballot) {
		n.proposal = nil
		n.wedgedSince = n.now
	}
}

// advanceProposal sends the view for acceptance once there are enough promises, or abandons the proposal after
// ProposalTimeout.
func (n *Node) advanceProposal() {
	p := n.proposal
	if n.now-p.startedAt > n.config.ProposalTimeout {
		n.proposal = nil
		n.wedgedSince = n.now - n.config.ProposalTimeout
		return
	}
	if p.view != nil || p.quorumAt == 0 {
		return
	}
	if !n.allPromised() && n.now-p.quorumAt < n.promiseGracePeriod() {
		return
	}
	p.view = n.chooseView()
	if p.view == nil {
		n.proposal = nil
		return
	}
	accept := &api.Accept{Ballot: p.ballot, View: p.view}
	for _, member := range n.otherMembers() {
		n.send(member, &api.ChainMessage{Body: &api.ChainMessage_Accept{Accept: accept}})
	}
	n.onAccepted(n.durable.Self, n.acceptView(accept))
}

// promiseGracePeriod returns how long a proposer that has a majority of promises waits for the others. It is longer for
// a planned change, when no member has failed, so that a member with a slow disk is not removed from the chain.
func (n *Node) promiseGracePeriod() time.Duration {
	if n.proposal.change == (chainChange{}) && len(n.proposal.members) == len(n.durable.View.Members) {
		return n.config.PromiseGracePeriod
	}
	return n.config.ProposalTimeout / 2
}

// allPromised reports whether all reachable members have promised.
func (n *Node) allPromised() bool {
	for _, member := range n.durable.View.Members {
		if n.isReachable(member) && n.proposal.promises[MemberKey(member)] == nil {
			return false
		}
	}
	return true
}

// onAccepted counts acceptances. The view is agreed when a majority of the previous view's members has accepted it.
func (n *Node) onAccepted(from *api.Member, accepted *api.Accepted) {
	if accepted.RefusedFor != nil {
		n.yieldTo(accepted.RefusedFor)
		return
	}
	p := n.proposal
	if p == nil || p.view == nil || !containsMember(n.durable.View.Members, from) {
		return
	}
	if accepted.Instance != p.instance || !ballotEqual(accepted.Ballot, p.ballot) {
		return
	}
	p.accepted[MemberKey(from)] = true
	if len(p.accepted) < majority(len(n.durable.View.Members)) {
		return
	}
	n.announceView(p.view)
}

// announceView installs an agreed view and sends it to its members and to those of the previous view.
func (n *Node) announceView(view *api.View) {
	receivers := slices.Concat(n.durable.View.Members, view.Members)
	n.installView(view)
	for i, member := range receivers {
		if indexOfMember(receivers, member) != i {
			continue
		}
		heartbeat := n.heartbeatMessage()
		heartbeat.View = n.durable.View
		n.send(member, heartbeat)
	}
}
