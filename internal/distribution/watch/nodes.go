package watch

import (
	"slices"
	"strings"
	"time"

	"marlreel/internal/api"
)

// nodeRecord is the last report of a node on itself.
type nodeRecord struct {
	node     *api.Node
	lastSeen time.Time
}

// RecordNode records a node's report on itself.
func (s *Store) RecordNode(n *api.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recordNode(n) {
		s.publishNodes()
	}
}

// publishNodes starts the next revision after a change of the nodes.
func (s *Store) publishNodes() {
	s.nodesRevision = s.nextRevision()
	s.publish()
}

// recordNode records a report and returns whether it changed anything.
func (s *Store) recordNode(n *api.Node) bool {
	lastSeen := s.now().Add(-time.Duration(n.AgeMs) * time.Millisecond)
	old := s.nodes[n.Name]
	if old == nil {
		s.nodes[n.Name] = &nodeRecord{n, lastSeen}
		return true
	}
	if sameNode(old.node, n) {
		if lastSeen.After(old.lastSeen) {
			old.lastSeen = lastSeen
		}
		return false
	}
	if old.lastSeen.After(lastSeen) {
		return false // a report of an earlier incarnation
	}
	s.nodes[n.Name] = &nodeRecord{n, lastSeen}
	return true
}

// sameNode reports whether report b adds nothing to the earlier report a. A node that drains never stops draining.
func sameNode(a, b *api.Node) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address && (a.Draining || !b.Draining)
}

// ExpireNodes removes the nodes whose last report is older than timeout.
func (s *Store) ExpireNodes(timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, removed := s.now(), false
	for name, record := range s.nodes {
		if now.Sub(record.lastSeen) > timeout {
			delete(s.nodes, name)
			removed = true
		}
	}
	if removed {
		s.publishNodes()
	}
}

// Nodes returns copies of all nodes ordered by name, with their current ages.
func (s *Store) Nodes() []*api.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listNodes()
}

// NodeCount returns the number of known nodes.
func (s *Store) NodeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.nodes)
}

func (s *Store) listNodes() []*api.Node {
	now := s.now()
	nodes := make([]*api.Node, 0, len(s.nodes))
	for _, record := range s.nodes {
		n := record.node
		nodes = append(nodes, &api.Node{
			Name: n.Name, Address: n.Address, Zone: n.Zone, Incarnation: n.Incarnation, Draining: n.Draining,
			AgeMs: uint32(max(0, now.Sub(record.lastSeen)).Milliseconds()),
		})
	}
	slices.SortFunc(nodes, func(a, b *api.Node) int { return strings.Compare(a.Name, b.Name) })
	return nodes
}

// NodesChangedSince reports whether a node was added or removed, or has reported something new, since a revision.
func (s *Store) NodesChangedSince(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodesRevision > revision
}

// SetControlNodes records the addresses of the control processes. An empty list changes nothing.
func (s *Store) SetControlNodes(nodes []*api.ControlNode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(nodes) > 0 && !sameControlNodes(s.controlNodes, nodes) {
		s.controlNodes = slices.Clone(nodes)
		s.publishState()
	}
}

func sameControlNodes(a, b []*api.ControlNode) bool {
	return slices.EqualFunc(a, b, func(x, y *api.ControlNode) bool {
		return x.Address == y.Address && x.Zone == y.Zone && x.PublicAddress == y.PublicAddress
	})
}

// ControlNodes returns the last known control processes. The caller must not modify the list.
func (s *Store) ControlNodes() []*api.ControlNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controlNodes
}
