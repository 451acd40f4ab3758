package watch

import (
	"slices"
	"time"

	"marlreel/internal/api"
)

type nodeRecord struct {
	node    *api.Node
	heardAt time.Time
}

// RecordNode notes that a node lives.
func (s *Store) RecordNode(n *api.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.putNode(n) {
		s.nodesRevision = s.revision + 1
		s.touchState()
	}
}

func (s *Store) putNode(n *api.Node) (news bool) {
	heardAt := s.now().Add(-time.Duration(n.AgeMs) * time.Millisecond)
	old := s.nodes[n.Name]
	if old != nil && old.node.Incarnation == n.Incarnation && old.node.Address == n.Address && (old.node.Draining || !n.Draining) {
		if heardAt.After(old.heardAt) {
			old.heardAt = heardAt
		}
		return false
	}
	if old != nil && old.heardAt.After(heardAt) {
		return false // word of an earlier life
	}
	s.nodes[n.Name] = &nodeRecord{n, heardAt}
	return true
}

// ExpireNodes drops the nodes that have been silent for so long.
func (s *Store) ExpireNodes(silent time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, dropped := s.now(), false
	for name, record := range s.nodes {
		if now.Sub(record.heardAt) > silent {
			delete(s.nodes, name)
			dropped = true
		}
	}
	if dropped {
		s.nodesRevision = s.revision + 1
		s.touchState()
	}
}

// Nodes gives all nodes, in the order of their names.
func (s *Store) Nodes() []*api.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listNodes()
}

func (s *Store) listNodes() []*api.Node {
	now := s.now()
	list := make([]*api.Node, 0, len(s.nodes))
	for _, record := range s.nodes {
		n := record.node
		list = append(list, &api.Node{
			Name: n.Name, Address: n.Address, Zone: n.Zone, Incarnation: n.Incarnation, Draining: n.Draining,
			AgeMs: uint32(max(0, now.Sub(record.heardAt)).Milliseconds()),
		})
	}
	slices.SortFunc(list, func(a, b *api.Node) int { return compareStrings(a.Name, b.Name) })
	return list
}

// NodesChangedSince tells whether a node has come, gone or said something new since a revision.
func (s *Store) NodesChangedSince(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodesRevision > revision
}

// SetControlNodes says where the control processes are.
func (s *Store) SetControlNodes(controls []*api.ControlNode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(controls) > 0 && !sameControls(s.controls, controls) {
		s.controls = slices.Clone(controls)
		s.touchState()
	}
}

func sameControls(a, b []*api.ControlNode) bool {
	return slices.EqualFunc(a, b, func(x, y *api.ControlNode) bool {
		return x.Address == y.Address && x.Zone == y.Zone && x.PublicAddress == y.PublicAddress
	})
}

// ControlNodes are the control processes, as last known. They must not be changed.
func (s *Store) ControlNodes() []*api.ControlNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controls
}
