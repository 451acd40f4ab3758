package chain

import (
	"slices"
	"time"

	"marlreel/internal/api"
)

// Tick does the periodic work: it sends heartbeats, retransmits, and checks whether another view is needed. Call it a
// few times in each Config.HeartbeatInterval.
func (n *Node) Tick(now time.Duration) Output {
	n.now = now
	if n.now-n.lastTick > n.config.FailureTimeout/2 {
		// The process was paused. Messages that arrived meanwhile have not been read, so their senders must not count as
		// failed yet.
		n.runningSince = n.now
	}
	n.lastTick = n.now
	if n.now >= n.nextHeartbeat {
		n.nextHeartbeat = n.now + n.config.HeartbeatInterval
		n.sendHeartbeats()
	}
	n.retransmit()
	n.checkView()
	return n.takeOutput()
}

// sendHeartbeats sends a heartbeat to each member and joining process, and also to the seeds while this node is not
// connected.
func (n *Node) sendHeartbeats() {
	sent := map[string]bool{}
	for _, member := range n.otherMembers() {
		sent[member.Address] = true
	}
	n.sendMemberHeartbeats()
	if n.isMember() && n.Connected() {
		return
	}
	// While this node received nothing, all members that it knows may have been replaced.
	for _, address := range slices.Concat(n.seeds, n.learnedAddresses) {
		if !sent[address] && address != n.durable.Self.Address {
			sent[address] = true
			n.send(&api.Member{Address: address}, n.heartbeatMessage())
		}
	}
}

// sendMemberHeartbeats sends a heartbeat to all members, and to live peers that are joining or leaving: like members,
// these must be in contact with every member of the chain.
func (n *Node) sendMemberHeartbeats() {
	for _, member := range n.otherMembers() {
		n.send(member, n.heartbeatMessage())
	}
	for _, key := range n.sortedPeers() {
		p := n.peers[key]
		if (p.wantsToJoin || p.leaving) && n.isAlive(p) && !containsMember(n.durable.View.Members, p.member) {
			n.send(p.member, n.heartbeatMessage())
		}
	}
}

func (n *Node) heartbeatMessage() *api.ChainMessage {
	heartbeat := &api.Heartbeat{
		Active: n.InService(), Committed: n.committed, Position: n.durable.lastPosition(),
		WantsToJoin: !n.inChain() && !n.leaving, Leaving: n.leaving,
	}
	for key, p := range n.peers {
		if n.now-p.lastSeen < n.config.FailureTimeout {
			heartbeat.ReachablePeers = append(heartbeat.ReachablePeers, key)
		}
	}
	slices.Sort(heartbeat.ReachablePeers)
	return &api.ChainMessage{Body: &api.ChainMessage_Heartbeat{Heartbeat: heartbeat}}
}

// onHeartbeat records what a peer reports about itself.
func (n *Node) onHeartbeat(p *peer, message *api.ChainMessage, heartbeat *api.Heartbeat) {
	p.wantsToJoin, p.leaving = heartbeat.WantsToJoin, heartbeat.Leaving
	p.reachablePeers, p.position = heartbeat.ReachablePeers, heartbeat.Position
	if slices.Contains(heartbeat.ReachablePeers, MemberKey(n.durable.Self)) {
		p.lastReachedSelf = n.now
	}
	if message.ViewNumber < n.durable.View.Number {
		n.send(message.From, n.heartbeatMessage()) // carries the newer view
		return
	}
	if message.ViewNumber == n.durable.View.Number && heartbeat.Active {
		n.reportedServiceView = message.ViewNumber
		n.enterService(heartbeat.Committed)
	}
}

// maxLearnedAddresses bounds Node.learnedAddresses; the oldest are dropped first.
const maxLearnedAddresses = 16

// learnAddress records an address where a member of the chain may be found.
func (n *Node) learnAddress(address string) {
	if slices.Contains(n.learnedAddresses, address) {
		return
	}
	n.learnedAddresses = append(n.learnedAddresses, address)
	if len(n.learnedAddresses) > maxLearnedAddresses {
		n.learnedAddresses = n.learnedAddresses[1:]
	}
}
