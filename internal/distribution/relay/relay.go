package relay

import (
	"cmp"
	"slices"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/lease"
	"marlreel/internal/distribution/watch"
)

// hashPrefix sets the choice of relays apart from that of lease holders, which is made by the same hash. All agents of
// a zone have to use the same, whatever their version.
const hashPrefix = "home/"

// maxFanOut bounds the nodes that watch a topic at one node. Raising it makes changes wait longer for the link of a node,
// which sends them to one after the other; lowering it makes the tree deeper.
const maxFanOut = 8

// Select returns the relay of a topic in the zone of a node, as that node sees it: the root of the topic's tree there.
func Select(topic watch.Topic, self *api.Node, nodes []*api.Node) *api.Node {
	return lease.SelectNode(hashPrefix+topic, candidates(self, nodes))
}

// candidates are the nodes of a zone that may serve a topic to others. The node itself is always one, even while it
// drains.
func candidates(self *api.Node, nodes []*api.Node) []*api.Node {
	candidates := []*api.Node{self}
	for _, node := range nodes {
		if node.Zone == self.Zone && node.Name != self.Name && !node.Draining {
			candidates = append(candidates, node)
		}
	}
	return candidates
}

// Ancestors returns the nodes on the way of a topic from a node to control, as that node sees it, the nearest first;
// none: it is the root of its zone's tree, and watches the topic at control.
//
// The zone's nodes form a heap by their rank: each has up to maxFanOut children of lower ranks. From node to node the
// rank only rises, so nodes that know different members of their zone never watch at each other in a circle.
func Ancestors(topic watch.Topic, self *api.Node, nodes []*api.Node) []*api.Node {
	ranked := lease.RankNodes(hashPrefix+topic, candidates(self, nodes))
	var ancestors []*api.Node
	for at := slices.Index(ranked, self); at > 0; {
		at = (at - 1) / maxFanOut
		ancestors = append(ancestors, ranked[at])
	}
	return ancestors
}

// Subscription is what is watched at one source.
type Subscription struct {
	Relay    string // address of the relay; empty: the topics are watched at control
	Fallback string // address of the relay's own relay, which is asked where the relay does not answer; empty: control is
	Topics   watch.Topics
}

// Plan returns what a node watches where, in the order of the relays' addresses: what is watched at control comes first.
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
