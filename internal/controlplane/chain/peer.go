package chain

import (
	"maps"
	"slices"
	"time"

	"marlreel/internal/api"
)

// peer is what is known of another member, or of a process that wants to be one.
type peer struct {
	member   *api.Member
	lastSeen time.Duration
	// lastReachedUs is when it last said that it receives this node's messages, or was seen again after a failure.
	lastReachedUs  time.Duration
	stableSince    time.Duration // seen without a gap since
	wantsToJoin    bool
	reachablePeers []string // member keys
	hasOlderView   bool     // than this node has
	leaving        bool     // it is about to end
	position       *api.Position
}

// markSeen records that a peer has sent a message.
func (n *Node) markSeen(message *api.ChainMessage) *peer {
	key := MemberKey(message.From)
	p := n.peers[key]
	if p == nil {
		p = &peer{member: message.From, stableSince: n.now, lastReachedUs: n.now}
		n.peers[key] = p
	} else if !n.isAlive(p) {
		p.stableSince = n.now
	}
	if n.now-p.lastSeen >= n.config.FailureTimeout {
		p.lastReachedUs = n.now // this node's messages may not have reached it yet
	}
	p.lastSeen = n.now
	p.hasOlderView = message.ViewNumber < n.durable.View.Number
	return p
}

// isAlive tells whether a peer was seen of late, and has said so of this node. With one to which messages pass in one
// direction alone nothing can be agreed.
func (n *Node) isAlive(p *peer) bool {
	return p != nil && n.now-p.lastSeen < n.config.FailureTimeout && n.now-p.lastReachedUs < 2*n.config.FailureTimeout
}

// isReachable tells whether a member is this node or alive.
func (n *Node) isReachable(member *api.Member) bool {
	return sameMember(member, n.durable.Self) || n.isAlive(n.peers[MemberKey(member)])
}

// reachesMajority tells whether a majority of the members is reachable.
func (n *Node) reachesMajority() bool {
	reachable := 0
	for _, member := range n.durable.View.Members {
		if n.isReachable(member) {
			reachable++
		}
	}
	return reachable >= majority(len(n.durable.View.Members))
}

// reachesChain tells whether a peer reaches all of the chain, as each of its members must.
func (n *Node) reachesChain(p *peer) bool {
	for _, member := range n.durable.View.Chain {
		if !slices.Contains(p.reachablePeers, MemberKey(member)) {
			return false
		}
	}
	return true
}

// expirePeers drops those that are no members and have not been seen for long.
func (n *Node) expirePeers() {
	for key, p := range n.peers {
		if n.now-p.lastSeen > 10*n.config.RemovalTimeout && !containsMember(n.durable.View.Members, p.member) {
			delete(n.peers, key)
		}
	}
}

// sortedPeers are the peers' keys in an order that is the same in each run.
func (n *Node) sortedPeers() []string {
	keys := slices.AppendSeq(make([]string, 0, len(n.peers)), maps.Keys(n.peers))
	slices.Sort(keys)
	return keys
}

// longestUnseen is the member outside the chain that was last seen the longest ago, and not for at least minSilence;
// nil: there is none.
func (n *Node) longestUnseen(minSilence time.Duration) *api.Member {
	var found *api.Member
	var since time.Duration
	for _, member := range n.durable.View.Members {
		if containsMember(n.durable.View.Chain, member) {
			continue
		}
		lastSeen := n.runningSince
		if p := n.peers[MemberKey(member)]; p != nil {
			lastSeen = max(lastSeen, p.lastSeen)
		}
		if n.now-lastSeen >= minSilence && (found == nil || lastSeen < since) {
			found, since = member, lastSeen
		}
	}
	return found
}
