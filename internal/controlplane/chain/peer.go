package chain

import (
	"maps"
	"slices"
	"time"

	"marlreel/internal/api"
)

// peer is what this node knows about another member, or about a process that wants to become one.
type peer struct {
	member   *api.Member
	lastSeen time.Duration
	// lastReachedSelf is when the peer last reported that it receives this node's messages, or was seen again after a
	// failure.
	lastReachedSelf time.Duration
	stableSince     time.Duration // since when it has been seen without a gap
	wantsToJoin     bool
	reachablePeers  []string // member keys
	hasOlderView    bool     // older than this node's
	leaving         bool     // it is shutting down
	position        *api.Position
}

// markSeen records that a peer has sent a message.
func (n *Node) markSeen(message *api.ChainMessage) *peer {
	key := MemberKey(message.From)
	p := n.peers[key]
	if p == nil {
		p = &peer{member: message.From, stableSince: n.now, lastReachedSelf: n.now}
		n.peers[key] = p
	} else if !n.isAlive(p) {
		p.stableSince = n.now
	}
	if n.now-p.lastSeen >= n.config.FailureTimeout {
		p.lastReachedSelf = n.now // give this node's messages time to reach it
	}
	p.lastSeen = n.now
	p.hasOlderView = message.ViewNumber < n.durable.View.Number
	return p
}

// isAlive reports whether this node has recently received messages from the peer, and the peer from this node. A peer
// with which messages pass in only one direction cannot take part in an agreement.
func (n *Node) isAlive(p *peer) bool {
	return p != nil && n.now-p.lastSeen < n.config.FailureTimeout && n.now-p.lastReachedSelf < 2*n.config.FailureTimeout
}

// isReachable reports whether a member is this node itself or a live peer.
func (n *Node) isReachable(member *api.Member) bool {
	return sameMember(member, n.durable.Self) || n.isAlive(n.peers[MemberKey(member)])
}

// reachesMajority reports whether a majority of the members is reachable.
func (n *Node) reachesMajority() bool {
	reachable := 0
	for _, member := range n.durable.View.Members {
		if n.isReachable(member) {
			reachable++
		}
	}
	return reachable >= majority(len(n.durable.View.Members))
}

// reachesChain reports whether a peer reaches all members of the chain, which is required of each of them.
func (n *Node) reachesChain(p *peer) bool {
	for _, member := range n.durable.View.Chain {
		if !slices.Contains(p.reachablePeers, MemberKey(member)) {
			return false
		}
	}
	return true
}

// expirePeers removes peers that are not members and have not been seen for a long time.
func (n *Node) expirePeers() {
	for key, p := range n.peers {
		if n.now-p.lastSeen > 10*n.config.RemovalTimeout && !containsMember(n.durable.View.Members, p.member) {
			delete(n.peers, key)
		}
	}
}

// sortedPeers returns the keys of the peers in a deterministic order.
func (n *Node) sortedPeers() []string {
	keys := slices.AppendSeq(make([]string, 0, len(n.peers)), maps.Keys(n.peers))
	slices.Sort(keys)
	return keys
}

// longestUnseen returns the member outside the chain that has been unseen for the longest time, or nil if none has been
// unseen for at least minSilence.
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
