package controlplane

import (
	"time"

	"marlreel/internal/api"
	"marlreel/internal/distribution/hintedhandoff"
)

// OnPeerUpdate handles a membership update from another control process. It returns false if the update names a live
// backend that is not known here: the peer then has to send everything.
func (m *Membership) OnPeerUpdate(update *api.MembershipUpdate) bool {
	m.mergeLastSeen(time.Now(), update)
	for _, b := range update.Backends {
		m.feed.RecordBackend(b)
	}
	allKnown := m.onPeerHeartbeats(update.Heartbeats)
	for _, n := range update.Nodes {
		m.feed.RecordNode(n)
	}
	for _, observation := range update.Observations {
		m.feed.RecordObservation(observation)
	}
	return allKnown
}

// mergeLastSeen merges an update's times of last contact into the tables.
func (m *Membership) mergeLastSeen(now time.Time, update *api.MembershipUpdate) {
	seenAt := func(ageMS uint32) time.Time { return now.Add(-time.Duration(ageMS) * time.Millisecond) }
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers.onUpdate(now, update.From, update.Node)
	for _, b := range update.Backends {
		m.backends.lastSeen.onReport(update.From, b.Id, seenAt(b.AgeMs))
	}
	for _, heartbeat := range update.Heartbeats {
		m.backends.lastSeen.onReport(update.From, heartbeat.Id, seenAt(heartbeat.AgeMs))
	}
	for _, n := range update.Nodes {
		m.nodes.lastSeen.onReport(update.From, n.Name, seenAt(n.AgeMs))
	}
}

// onPeerHeartbeats refreshes in the feed the backends whose heartbeats a peer reports. It reports whether all of them
// are known here.
func (m *Membership) onPeerHeartbeats(heartbeats []*api.BackendHeartbeat) bool {
	allKnown := true
	for _, heartbeat := range heartbeats {
		known := m.feed.RefreshBackend(heartbeat.Id, heartbeat.CallSequence, time.Duration(heartbeat.AgeMs)*time.Millisecond)
		allKnown = allKnown && known
	}
	return allKnown
}

// updateFor returns the changes that a peer has not been sent yet, the feed's revision that they reach, and the hints
// among them. A full update also lists all live members; a peer that is not synced always gets a full one.
func (m *Membership) updateFor(l *peerLink, full bool) (*api.MembershipUpdate, uint64, []hintedhandoff.Hint[*api.Observation]) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sinceRevision := l.sentRevision
	if !l.synced {
		sinceRevision, full = 0, true
	}
	changed, revision := m.feed.BackendsChangedSince(sinceRevision)
	update := &api.MembershipUpdate{From: m.self.Address, Complete: !l.synced}
	included := map[string]bool{}
	for _, b := range changed {
		if m.backends.lastSeen.reportedHere(b.Id) {
			update.Backends = append(update.Backends, b)
			included[b.Id] = true
		}
	}
	if full {
		update.Node = m.self
		m.addHeartbeats(update, included)
	}
	if full || m.feed.NodesChangedSince(sinceRevision) {
		m.addNodes(update)
	}
	hints := l.observations.Pending(l.now())
	for _, hint := range hints {
		update.Observations = append(update.Observations, hint.Message)
	}
	return update, revision, hints
}

// addHeartbeats adds the backends that report to this process and are not in the update yet. The caller holds the lock.
func (m *Membership) addHeartbeats(update *api.MembershipUpdate, included map[string]bool) {
	now := time.Now()
	for id, seen := range m.backends.lastSeen {
		if seen.reporter == "" && !included[id] {
			update.Heartbeats = append(update.Heartbeats, &api.BackendHeartbeat{Id: id, AgeMs: uint32(now.Sub(seen.at).Milliseconds())})
		}
	}
}

// addNodes adds the nodes that no other control process has reported since they called here. The caller holds the lock.
func (m *Membership) addNodes(update *api.MembershipUpdate) {
	for _, n := range m.feed.Nodes() {
		if m.nodes.lastSeen[n.Name].reporter == "" {
			update.Nodes = append(update.Nodes, n)
		}
	}
}
