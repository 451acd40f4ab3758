package controlplane

import (
	"context"
	"sync"
	"time"

	"marlreel/internal/api"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/transport"
)

// expiryInterval is how often timeouts are looked at and links are made. Raising it drops who has timed out up to as
// much later; lowering it costs time under the lock.
const expiryInterval = 250 * time.Millisecond

// Membership is who is there: the backends and the nodes that call this control process or another one, the other
// control processes, and the nodes that watch the state here. It passes what it hears to the other control processes
// over a link to each, and to the local feed. The tables are in files of their own; one mutex guards them all, and the
// state of the links, and is never held while the network is used.
type Membership struct {
	self   *api.ControlNode
	feed   *watch.Store
	client *transport.Client

	mu          sync.Mutex
	backends    *backendTable
	nodes       *nodeTable
	peers       *peerTable
	subscribers *subscriberTable
	links       *peerLinks
}

// NewMembership makes a membership in which only self, this process, is known. heartbeatInterval is how often
// backends send their heartbeats.
func NewMembership(self *api.ControlNode, feed *watch.Store, heartbeatInterval time.Duration, client *transport.Client) *Membership {
	return &Membership{
		self: self, feed: feed, client: client, backends: newBackendTable(heartbeatInterval), nodes: newNodeTable(),
		peers: newPeerTable(), subscribers: newSubscriberTable(), links: newPeerLinks(),
	}
}

// BackendTimeout is how long a backend counts without a heartbeat.
func (m *Membership) BackendTimeout() time.Duration { return m.backends.timeout }

// OnHeartbeat handles the heartbeat of a backend. The other control processes are told at once of what is new in it.
func (m *Membership) OnHeartbeat(b *api.Backend) {
	m.mu.Lock()
	m.backends.lastSeen.onContact(time.Now(), b.Id)
	m.mu.Unlock()
	if m.feed.RecordBackend(b) {
		m.wakeLinks()
	}
}

// OnNodeCall handles the call by which a node says that it lives. The other control processes are told at once of a
// node that is new.
func (m *Membership) OnNodeCall(n *api.Node) {
	m.mu.Lock()
	known := m.nodes.onCall(time.Now(), n.Name)
	m.mu.Unlock()
	m.feed.RecordNode(n)
	if !known {
		m.wakeLinks()
	}
}

// OnWatch records that a node watches the state here.
func (m *Membership) OnWatch(node string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers.onWatch(time.Now(), node)
}

// Subscribers returns the names of the nodes that watch the state here, sorted.
func (m *Membership) Subscribers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.subscribers.names()
}

// OnObservations handles what an agent observed of backends; the other control processes are told at once.
func (m *Membership) OnObservations(observations []*api.Observation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, observation := range observations {
		m.feed.RecordObservation(observation)
		m.links.onObservation(observation)
	}
}

// ControlNodes returns where the members of a view are, in their order.
func (m *Membership) ControlNodes(members []string) []*api.ControlNode {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers.controlNodes(m.self, members)
}

// peerInZone returns the public address of another control process in a zone, where this one is not in that zone
// itself; "" is none.
func (m *Membership) peerInZone(zone string) string {
	if zone == m.self.Zone {
		return ""
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers.inZone(time.Now(), zone)
}

// Run keeps a link to each other member and expires who has timed out, until ctx ends. members returns the addresses of
// all control processes that count.
func (m *Membership) Run(ctx context.Context, members func() []string) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		m.updateLinks(ctx, members())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		m.expire()
	}
}

// Wait waits for the links' goroutines, after Run has returned: up to updateTimeout, where a call is pending.
func (m *Membership) Wait() { m.links.running.Wait() }

// updateLinks makes and ends links until there is one to each other member.
func (m *Membership) updateLinks(ctx context.Context, members []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.links.update(ctx, m, members)
}

// wakeLinks has the other control processes told of what is new.
func (m *Membership) wakeLinks() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.links.wake()
}

// expire removes who has timed out, here and from the feed.
func (m *Membership) expire() {
	now := time.Now()
	m.mu.Lock()
	expired := m.backends.expire(now, func(peer string) bool { return m.peers.timedOut(now, peer) })
	m.nodes.expire(now)
	m.subscribers.expire(now)
	m.mu.Unlock()
	m.feed.ExpireBackends(func(b *api.Backend, _ time.Duration) bool { return expired[b.Id] })
	m.feed.ExpireNodes(nodeTimeout)
}
