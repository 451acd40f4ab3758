// Package relay decides from where each agent reads each part of the feed. Every topic has a
// home in every zone: the agent there that reads it from control, and from which the others
// of the zone read it. So a change crosses to a zone once for each topic, and the topics are
// spread over the zone's agents. The package is pure.
package relay

import (
	"cmp"
	"slices"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/lease"
	"marlreel/internal/distribution/watch"
)

// keyPrefix sets the choice of homes apart from that of other roles.
const keyPrefix = "home/"

// Select is the home of a topic in the zone of a node, as that node sees it. The node itself
// counts always, and in its own eyes: so along a way from home to home the rank by which
// homes are chosen only rises, and nodes that know different lists of nodes never read from
// each other in a circle.
func Select(topic watch.Topic, self *api.Node, nodes []*api.Node) *api.Node {
	candidates := []*api.Node{self}
	for _, node := range nodes {
		if node.Zone == self.Zone && node.Name != self.Name && !node.Draining {
			candidates = append(candidates, node)
		}
	}
	return lease.SelectNode(keyPrefix+topic, candidates)
}

// Subscription is what is read from one source.
type Subscription struct {
	// Relay is the address of the home; empty: the topics are read from control.
	Relay  string
	Topics watch.Topics
}

// Plan says what a node reads from where, in the order of the homes' addresses, what is
// read from control first.
func Plan(self *api.Node, nodes []*api.Node, topics watch.Topics) []Subscription {
	byHome := map[string]watch.Topics{}
	for _, topic := range topics {
		address := ""
		if home := Select(topic, self, nodes); home.Name != self.Name {
			address = home.Address
		}
		byHome[address] = append(byHome[address], topic)
	}
	plan := make([]Subscription, 0, len(byHome))
	for address, followed := range byHome {
		slices.Sort(followed)
		plan = append(plan, Subscription{Relay: address, Topics: followed})
	}
	slices.SortFunc(plan, func(a, b Subscription) int { return cmp.Compare(a.Relay, b.Relay) })
	return plan
}
