package controlplane

import (
	"context"
	"sync"
	"time"

	"marlreel/internal/api"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/transport"
)

// expiryInterval is how often timeouts are checked and links are updated. Raising it delays the removal of members that
// have timed out by up to that; lowering it costs time under the lock.
const expiryInterval = 250 * time.Millisecond

// Membership tracks the live members of the system: the backends and nodes that call this control process or another
// one, the other control processes, and the nodes that watch the state here. It passes what this process receives to
// the other control processes, over a link to each, and to the local feed. One mutex guards all tables and the state of
// the links; it is never held during network calls.
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

// NewMembership makes a membership that initially knows only this process, self. heartbeatInterval is how often
// backends send heartbeats.
func NewMembership(self *api.ControlNode, feed *watch.Store, heartbeatInterval time.Duration, client *transport.Client) *Membership {
	return &Membership{
		self: self, feed: feed, client: client, backends: newBackendTable(heartbeatInterval), nodes: newNodeTable(),
		peers: newPeerTable(), subscribers: newSubscriberTable(), links: newPeerLinks(),
	}
}

// BackendTimeout is how long a backend without a heartbeat remains a member.
func (m *Membership) BackendTimeout() time.Duration { return m.backends.timeout }

// OnHeartbeat handles a backend's heartbeat. Changes in it are reported to the other control processes at once.
func (m *Membership) OnHeartbeat(b *api.Backend) {
	m.mu.Lock()
	m.backends.lastSeen.onContact(time.Now(), b.Id)
	m.mu.Unlock()
	if m.feed.RecordBackend(b) {
		m.wakeLinks()
	}
}

// OnNodeCall handles a node's keepalive call. A new node is reported to the other control processes at once.
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

// OnObservations handles an agent's observations of backends, and reports them to the other control processes at once.
func (m *Membership) OnObservations(observations []*api.Observation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, observation := range observations {
		m.feed.RecordObservation(observation)
		m.links.onObservation(observation)
	}
}

// ControlNodes returns the addresses and zones of the members of a view, in the same order.
func (m *Membership) ControlNodes(members []string) []*api.ControlNode {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers.controlNodes(m.self, members)
}

// peerInZone returns the public address of another control process in a zone. It returns "" if there is none, or if
// this process is in that zone itself.
func (m *Membership) peerInZone(zone string) string {
	if zone == m.self.Zone {
		return ""
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers.inZone(time.Now(), zone)
}

// Run keeps a link to each other member and expires members that have timed out, until ctx ends. members returns the
// addresses of the control processes to link to.
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

// Wait waits for the links' goroutines, after Run has returned. That takes up to updateTimeout if a call is pending.
func (m *Membership) Wait() { m.links.running.Wait() }

// updateLinks starts and stops links so that there is exactly one to each other member.
func (m *Membership) updateLinks(ctx context.Context, members []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.links.update(ctx, m, members)
}

// wakeLinks has the links send changes to the other control processes.
func (m *Membership) wakeLinks() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.links.wake()
}

// expire removes members that have timed out, here and from the feed.
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
