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

// Select returns the relay of a topic in the zone of a node, as that node sees it. The node itself is always a
// candidate, even while it drains. So from relay to relay the rank by which they are chosen only rises, and nodes that
// know different members of their zone never watch at each other in a circle.
func Select(topic watch.Topic, self *api.Node, nodes []*api.Node) *api.Node {
	candidates := []*api.Node{self}
	for _, node := range nodes {
		if node.Zone == self.Zone && node.Name != self.Name && !node.Draining {
			candidates = append(candidates, node)
		}
	}
	return lease.SelectNode(hashPrefix+topic, candidates)
}

// Subscription is what is watched at one source.
type Subscription struct {
	Relay  string // address of the relay; empty: the topics are watched at control
	Topics watch.Topics
}

// Plan returns what a node watches where, in the order of the relays' addresses: what is watched at control comes first.
func Plan(self *api.Node, nodes []*api.Node, topics watch.Topics) []Subscription {
	byRelay := map[string]watch.Topics{}
	for _, topic := range topics {
		address := ""
		relay := Select(topic, self, nodes)
		if relay.Name != self.Name {
			address = relay.Address
		}
		byRelay[address] = append(byRelay[address], topic)
	}
	plan := make([]Subscription, 0, len(byRelay))
	for address, watched := range byRelay {
		slices.Sort(watched)
		plan = append(plan, Subscription{Relay: address, Topics: watched})
	}
	slices.SortFunc(plan, func(a, b Subscription) int { return cmp.Compare(a.Relay, b.Relay) })
	return plan
}
