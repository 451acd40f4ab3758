package chain

import (
	"fmt"
	"slices"
	"time"

	"marlreel/internal/api"
)

// Tick does what time alone brings about. Call it a few times in each
// HeartbeatEvery.
func (n *Node) Tick(now time.Duration) Output {
	n.now = now
	if n.now-n.lastTick > n.cfg.FailureTimeout/2 {
		n.listening = n.now // it stood still: what others sent meanwhile has not been read
	}
	n.lastTick = n.now
	if n.now >= n.nextBeat {
		n.nextBeat = n.now + n.cfg.HeartbeatInterval
		n.beat()
	}
	n.resend()
	n.look()
	return n.take()
}

// beat tells all members, and whoever reports here, that this node lives.
func (n *Node) beat() {
	told := map[string]bool{}
	for _, member := range n.others() {
		told[member.Address] = true
	}
	n.tellAll()
	if n.isMember() && n.inChain() && n.Connected() {
		return
	}
	// All that this node knows of may have been replaced while it heard nothing.
	for _, address := range slices.Concat(n.contacts, n.met) {
		if !told[address] && address != n.durable.Self.Address {
			told[address] = true
			n.send(&api.Member{Address: address}, n.heartbeat())
		}
	}
}

// tellAll sends a heartbeat to all members, and to those that wait to be taken in or to be let go
// of: they have to hear the chain, as each of its members must.
func (n *Node) tellAll() {
	for _, member := range n.others() {
		n.send(member, n.heartbeat())
	}
	for _, key := range n.sortedPeers() {
		p := n.peers[key]
		if (p.wantsIn || p.leaving) && n.alive(p) && !contains(n.durable.View.Members, p.member) {
			n.send(p.member, n.heartbeat())
		}
	}
}

// mostMet bounds the addresses from which a call for another life of this one has come.
const mostMet = 16

// meet remembers an address at which a member of the chain may be found.
func (n *Node) meet(address string) {
	if slices.Contains(n.met, address) {
		return
	}
	if n.met = append(n.met, address); len(n.met) > mostMet {
		n.met = n.met[1:]
	}
}

func (n *Node) heartbeat() *api.ChainMessage {
	beat := &api.Heartbeat{
		Active: n.InService(), Committed: n.committed, Position: n.durable.last(),
		WantsToJoin: !n.inChain() && !n.leaving, Leaving: n.leaving,
	}
	for key, p := range n.peers {
		if n.now-p.heardAt < n.cfg.FailureTimeout {
			beat.ReachablePeers = append(beat.ReachablePeers, key)
		}
	}
	slices.Sort(beat.ReachablePeers)
	return &api.ChainMessage{Body: &api.ChainMessage_Heartbeat{Heartbeat: beat}}
}

// alive tells whether a peer was heard of late and has said so of this node: where words
// pass one way alone, nothing can be done together.
func (n *Node) alive(p *peer) bool {
	return p != nil && n.now-p.heardAt < n.cfg.FailureTimeout && n.now-p.hearsUs < 2*n.cfg.FailureTimeout
}

// hears tells whether a member is this node or was heard of late.
func (n *Node) hears(member *api.Member) bool {
	return sameMember(member, n.durable.Self) || n.alive(n.peers[MemberKey(member)])
}

// heard notes a sign of life.
func (n *Node) heard(message *api.ChainMessage) *peer {
	key := MemberKey(message.From)
	p := n.peers[key]
	if p == nil {
		p = &peer{member: message.From, steadySince: n.now, hearsUs: n.now}
		n.peers[key] = p
	} else if !n.alive(p) {
		p.steadySince = n.now
	}
	if n.now-p.heardAt >= n.cfg.FailureTimeout {
		p.hearsUs = n.now // it may not have heard yet that this node is there
	}
	p.heardAt = n.now
	p.behind = message.ViewNumber < n.durable.View.Number
	return p
}

// forgetPeers drops those that have been silent for long and do not count.
func (n *Node) forgetPeers() {
	for key, p := range n.peers {
		if n.now-p.heardAt > 10*n.cfg.RemovalTimeout && !contains(n.durable.View.Members, p.member) {
			delete(n.peers, key)
		}
	}
}

// onHeartbeat takes in what a peer says of itself.
func (n *Node) onHeartbeat(p *peer, message *api.ChainMessage, beat *api.Heartbeat) {
	p.wantsIn, p.leaving, p.hears, p.position = beat.WantsToJoin, beat.Leaving, beat.ReachablePeers, beat.Position
	if slices.Contains(beat.ReachablePeers, MemberKey(n.durable.Self)) {
		p.hearsUs = n.now
	}
	if message.ViewNumber < n.durable.View.Number {
		n.send(message.From, n.heartbeat()) // which carries the view
		return
	}
	if message.ViewNumber == n.durable.View.Number && beat.Active {
		n.servedView = message.ViewNumber
		n.entersService(beat.Committed)
	}
}

// entersService notes that this node's view is in service and how far it has committed. A head that makes the
// chain's logs equal is not in service by others' word, not even where it has only been restarted: what it proposed
// meanwhile would count as committed at the end of that, with members that have been made equal before.
func (n *Node) entersService(committed uint64) {
	if n.durable.SyncedView != n.durable.View.Number || n.syncing != nil {
		return
	}
	n.activeView = n.durable.View.Number
	if n.isTail() {
		// All before it hold what it holds: it may have answered reads by it before it was restarted.
		committed = n.durable.last().Sequence
	}
	n.commit(committed)
}

// look finds out whether another view is needed, and proposes it in turn.
func (n *Node) look() {
	n.forgetPeers()
	if n.proposal != nil {
		n.pursue()
		return
	}
	if !n.isMember() {
		return
	}
	reason := n.trouble()
	if reason == "" {
		n.troubled = 0
		n.lookForChange()
		return
	}
	if n.troubled == 0 {
		n.troubled = n.now
	}
	if n.now-n.troubled >= time.Duration(n.rank())*n.cfg.ProposalStagger {
		n.propose(reason, n.durable.View.Members, change{})
	}
}

// trouble says why the view has to be replaced, or "".
func (n *Node) trouble() string {
	view := n.durable.View
	live := 0
	for _, member := range view.Members {
		if n.hears(member) {
			live++
		}
	}
	if live < majority(len(view.Members)) {
		return "" // nothing can be agreed
	}
	if len(view.Chain) == 0 {
		return "the cluster is founded"
	}
	for _, member := range view.Chain {
		if !n.hears(member) && n.now-n.listening >= n.cfg.FailureTimeout {
			return fmt.Sprintf("%s is silent", member.Address)
		}
	}
	if n.wedged() && n.now-n.wedgedSince > n.cfg.ProposalTimeout {
		return "a proposal came to nothing"
	}
	return ""
}

// rank is this node's turn to propose: by the chain's order, then the members'.
func (n *Node) rank() int {
	rank := 0
	for _, member := range slices.Concat(n.durable.View.Chain, n.durable.View.Members) {
		if sameMember(member, n.durable.Self) {
			return rank
		}
		if n.hears(member) {
			rank++
		}
	}
	return rank
}

// lookForChange lets the head of a chain in service take members in, or let go of
// those that have been lost.
func (n *Node) lookForChange() {
	if !n.isHead() || !n.inService() {
		return
	}
	if n.letLeave() {
		return
	}
	n.dropCatchUp()
	view := n.durable.View
	for _, key := range n.sortedPeers() {
		p := n.peers[key]
		if !n.mayJoin(p) || !n.bringUp(p) {
			continue
		}
		if contains(view.Members, p.member) {
			n.propose(p.member.Address+" is back", view.Members, change{joining: p.member})
			return
		}
		n.propose(p.member.Address+" joins", n.membersWith(p.member), change{joining: p.member})
		return
	}
	if len(view.Members) <= n.cfg.TargetMembers {
		return
	}
	if lost := n.longestSilent(n.cfg.RemovalTimeout); lost != nil {
		n.propose(lost.Address+" has left", without(view.Members, lost), change{})
	}
}

// mayJoin tells whether a peer outside the chain can be heard well enough to be one of it.
func (n *Node) mayJoin(p *peer) bool {
	return !contains(n.durable.View.Chain, p.member) && p.member.Incarnation != 0 && n.alive(p) && p.wantsIn && !p.behind &&
		n.now-p.steadySince >= n.cfg.MinStableTime && n.hearsChain(p)
}

func (n *Node) sortedPeers() []string {
	keys := make([]string, 0, len(n.peers))
	for key := range n.peers {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// hearsChain tells whether a peer hears all of the chain, as each of its members must.
func (n *Node) hearsChain(p *peer) bool {
	for _, member := range n.durable.View.Chain {
		if !slices.Contains(p.hears, MemberKey(member)) {
			return false
		}
	}
	return true
}

// membersWith are the members once another has joined: it takes the place of the one
// whose disk it had, or of one that is lost, where there are enough.
func (n *Node) membersWith(joining *api.Member) []*api.Member {
	members := n.durable.View.Members
	for _, member := range members {
		if member.Address == joining.Address {
			return append(without(members, member), joining)
		}
	}
	if len(members) >= n.cfg.TargetMembers {
		if lost := n.longestSilent(n.cfg.FailureTimeout); lost != nil {
			return append(without(members, lost), joining)
		}
	}
	return append(slices.Clone(members), joining)
}

// longestSilent is the member outside the chain that was heard last the longest ago,
// and not for at least so long; nil: there is none.
func (n *Node) longestSilent(atLeast time.Duration) *api.Member {
	var found *api.Member
	var since time.Duration
	for _, member := range n.durable.View.Members {
		if contains(n.durable.View.Chain, member) {
			continue
		}
		var heardAt time.Duration
		if p := n.peers[MemberKey(member)]; p != nil {
			heardAt = p.heardAt
		}
		heardAt = max(heardAt, n.listening)
		if n.now-heardAt >= atLeast && (found == nil || heardAt < since) {
			found, since = member, heardAt
		}
	}
	return found
}
