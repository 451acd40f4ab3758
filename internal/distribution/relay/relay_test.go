package relay

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"marlreel/internal/api"
	"marlreel/internal/distribution/watch"
)

func node(number int, zone string) *api.Node {
	return &api.Node{Name: fmt.Sprintf("edge-%d", number), Address: fmt.Sprintf("10.0.0.%d:7660", number), Zone: zone}
}

var topics = watch.Topics{watch.TopicState, watch.ServiceTopic("llm"), watch.ServiceTopic("slips")}

func TestOnlyAgentOfAZoneWatchesAtControl(t *testing.T) {
	is := is.New(t)
	plan := Plan(node(1, "east"), []*api.Node{node(1, "east"), node(2, "west"), node(3, "west")}, topics)
	is.Equal(len(plan), 1)
	is.Equal(plan[0].Relay, "")
	is.Equal(len(plan[0].Topics), len(topics))
}

func TestDrainingNodeIsNoRelay(t *testing.T) {
	is := is.New(t)
	draining := node(2, "east")
	draining.Draining = true
	plan := Plan(node(1, "east"), []*api.Node{node(1, "east"), draining}, topics)
	is.Equal(len(plan), 1)
	is.Equal(plan[0].Relay, "")
}

// Every zone has one relay for each topic, however many agents it has.
func TestOneRelayForEachTopicAndZone(t *testing.T) {
	is := is.New(t)
	var nodes []*api.Node
	for i := range 120 {
		nodes = append(nodes, node(i, fmt.Sprint("zone-", i%4)))
	}
	var manyTopics watch.Topics
	for i := range 40 {
		manyTopics = append(manyTopics, watch.ServiceTopic(fmt.Sprint(i)))
	}
	atControl, relayed := 0, map[string]int{}
	for _, n := range nodes {
		for _, subscription := range Plan(n, nodes, manyTopics) {
			if subscription.Relay == "" {
				atControl += len(subscription.Topics)
				relayed[n.Zone] += len(subscription.Topics)
			}
		}
	}
	is.Equal(atControl, 4*len(manyTopics))
	for _, count := range relayed {
		is.Equal(count, len(manyTopics))
	}
}

// Nodes that know any subsets of each other, some of which drain, never watch a topic at one another in a circle: the
// way from relay to relay ends at control.
func TestRelaysNeverFormACycle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 12).Draw(t, "nodes")
		known := make([][]*api.Node, count)
		for i := range known {
			for j := range count {
				if rapid.Bool().Draw(t, "knows") {
					peer := node(j, "east")
					peer.Draining = rapid.IntRange(0, 3).Draw(t, "draining") == 0
					known[i] = append(known[i], peer)
				}
			}
		}
		byAddress := map[string]int{}
		for i := range count {
			byAddress[node(i, "east").Address] = i
		}
		for _, topic := range topics {
			for first := range count {
				at := first
				for step := 0; ; step++ {
					if step > count {
						t.Fatalf("topic %s: a cycle from node %d", topic, first)
					}
					subscription := Plan(node(at, "east"), known[at], watch.Topics{topic})[0]
					if subscription.Relay == "" {
						break
					}
					at = byAddress[subscription.Relay]
				}
			}
		}
	})
}
