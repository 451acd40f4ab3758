package relay

import (
	"cmp"
	"slices"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/lease"
	"marlreel/internal/distribution/watch"
)

// hashPrefix makes the choice of relays independent of that of lease holders, which uses the same hash. It must be the
// same for all agents of a zone, whatever their version.
const hashPrefix = "home/"

// maxFanOut bounds the number of nodes that watch a topic at one node. Raising it delays changes at the node's link,
// which sends to its children one after the other; lowering it makes the tree deeper.
const maxFanOut = 8

// Select returns the relay of a topic in the zone of self, according to the nodes that self knows: the root of the
// topic's tree.
func Select(topic watch.Topic, self *api.Node, nodes []*api.Node) *api.Node {
	return lease.SelectNode(hashPrefix+topic, candidates(self, nodes))
}

// candidates returns the nodes in the zone of self that may serve a topic to others. self is always one of them, even
// while it drains.
func candidates(self *api.Node, nodes []*api.Node) []*api.Node {
	candidates := []*api.Node{self}
	for _, node := range nodes {
		if node.Zone == self.Zone && node.Name != self.Name && !node.Draining {
			candidates = append(candidates, node)
		}
	}
	return candidates
}

// Ancestors returns the nodes on the path from self to control in a topic's tree, the nearest first, according to the
// nodes that self knows. The list is empty if self is the root, which watches the topic at control.
//
// The zone's nodes form a heap ordered by rank: each has up to maxFanOut children, which rank lower. The rank rises at
// each step to the root, so there is no cycle even if nodes know different members of their zone.
func Ancestors(topic watch.Topic, self *api.Node, nodes []*api.Node) []*api.Node {
	ranked := lease.RankNodes(hashPrefix+topic, candidates(self, nodes))
	var ancestors []*api.Node
	for at := slices.Index(ranked, self); at > 0; {
		at = (at - 1) / maxFanOut
		ancestors = append(ancestors, ranked[at])
	}
	return ancestors
}

// Subscription is a set of topics that a node watches at the same source.
type Subscription struct {
	Relay    string // address of the relay; empty: the topics are watched at control
	Fallback string // address to use if the relay does not answer, that of the relay's own relay; empty: control
	Topics   watch.Topics
}

// Plan returns the subscriptions of a node, ordered by the relays' addresses. Those at control come first.
func Plan(self *api.Node, nodes []*api.Node, topics watch.Topics) []Subscription {
	type source struct{ relay, fallback string }
	bySource := map[source]watch.Topics{}
	for _, topic := range topics {
		var from source
		ancestors := Ancestors(topic, self, nodes)
		if len(ancestors) > 0 {
			from.relay = ancestors[0].Address
		}
		if len(ancestors) > 1 {
			from.fallback = ancestors[1].Address
		}
		bySource[from] = append(bySource[from], topic)
	}
	plan := make([]Subscription, 0, len(bySource))
	for from, watched := range bySource {
		slices.Sort(watched)
		plan = append(plan, Subscription{Relay: from.relay, Fallback: from.fallback, Topics: watched})
	}
	slices.SortFunc(plan, func(a, b Subscription) int {
		return cmp.Or(cmp.Compare(a.Relay, b.Relay), cmp.Compare(a.Fallback, b.Fallback))
	})
	return plan
}
