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

// Guards against links that fill up as a zone grows, as on the largest site: at any size no node serves a topic to more
// than maxFanOut others, and the depth of the tree grows only with the logarithm of the size.
func TestFanOutAndDepthAreBounded(t *testing.T) {
	for size, maxDepth := range map[int]int{1: 0, 9: 1, 42: 2, 73: 2, 295: 3, 585: 3} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			var nodes []*api.Node
			for i := range size {
				nodes = append(nodes, node(i, "east"))
			}
			for _, topic := range topics {
				children, depth := map[string]int{}, 0
				for _, n := range nodes {
					ancestors := Ancestors(topic, n, nodes)
					depth = max(depth, len(ancestors))
					if len(ancestors) > 0 {
						children[ancestors[0].Name]++
					}
				}
				for name, count := range children {
					if count > maxFanOut {
						t.Errorf("%s serves %s to %d others", name, topic, count)
					}
				}
				if depth > maxDepth {
					t.Errorf("the tree of %s is %d levels deep", topic, depth)
				}
			}
		})
	}
}

// In a zone with at most maxFanOut nodes besides the relay, all watch a topic at its relay and fall back to control.
func TestSmallZoneWatchesAtItsRelay(t *testing.T) {
	is := is.New(t)
	var nodes []*api.Node
	for i := range maxFanOut + 1 {
		nodes = append(nodes, node(i, "east"))
	}
	for _, topic := range topics {
		root := Select(topic, nodes[0], nodes)
		for _, n := range nodes {
			plan := Plan(n, nodes, watch.Topics{topic})
			is.Equal(len(plan), 1)
			is.Equal(plan[0].Fallback, "")
			if n == root {
				is.Equal(plan[0].Relay, "")
			} else {
				is.Equal(plan[0].Relay, root.Address)
			}
		}
	}
}

// If a node's relay watches at another relay, that one is the fallback.
func TestFallbackIsTheRelaysRelay(t *testing.T) {
	is := is.New(t)
	var nodes []*api.Node
	for i := range 42 {
		nodes = append(nodes, node(i, "east"))
	}
	fallbacks := 0
	for _, n := range nodes {
		ancestors := Ancestors(watch.TopicState, n, nodes)
		if len(ancestors) < 2 {
			continue
		}
		fallbacks++
		subscription := Plan(n, nodes, watch.Topics{watch.TopicState})[0]
		is.Equal(subscription.Relay, ancestors[0].Address)
		is.Equal(subscription.Fallback, ancestors[1].Address)
		is.Equal(ancestors[1], Select(watch.TopicState, n, nodes))
	}
	is.Equal(fallbacks, 42-1-maxFanOut)
}

// Relays never form a cycle, whatever subset of the others each node knows and whichever nodes drain: the path from
// relay to relay ends at control.
func TestRelaysNeverFormACycle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 24).Draw(t, "nodes")
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
						t.Fatalf("topic %s: the relays form a cycle that starts at node %d", topic, first)
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
