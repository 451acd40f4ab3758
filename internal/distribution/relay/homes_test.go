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

func TestAnAgentAloneInItsZoneReadsFromControl(t *testing.T) {
	is := is.New(t)
	plan := Plan(node(1, "east"), []*api.Node{node(1, "east"), node(2, "west"), node(3, "west")}, topics)
	is.Equal(len(plan), 1)
	is.Equal(plan[0].Relay, "")
	is.Equal(len(plan[0].Topics), len(topics))
}

func TestALeavingNodeIsNoHome(t *testing.T) {
	is := is.New(t)
	leaving := node(2, "east")
	leaving.Draining = true
	plan := Plan(node(1, "east"), []*api.Node{node(1, "east"), leaving}, topics)
	is.Equal(len(plan), 1)
	is.Equal(plan[0].Relay, "")
}

// Every zone has one home a topic, however many agents it has, and the homes are spread.
func TestOneHomeATopicAndZone(t *testing.T) {
	is := is.New(t)
	var nodes []*api.Node
	for i := range 120 {
		nodes = append(nodes, node(i, fmt.Sprint("zone-", i%4)))
	}
	var many watch.Topics
	for i := range 40 {
		many = append(many, watch.ServiceTopic(fmt.Sprint(i)))
	}
	direct, homes := 0, map[string]int{}
	for _, n := range nodes {
		for _, subscription := range Plan(n, nodes, many) {
			if subscription.Relay == "" {
				direct += len(subscription.Topics)
				homes[n.Zone] += len(subscription.Topics)
			}
		}
	}
	is.Equal(direct, 4*len(many))
	for _, count := range homes {
		is.Equal(count, len(many))
	}
}

// Nodes that know any lists of each other, some of which leave, never read a topic from one
// another in a circle: whoever follows the way from home to home gets to control.
func TestNoCircles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 12).Draw(t, "nodes")
		lists := make([][]*api.Node, count)
		for i := range lists {
			for j := range count {
				if rapid.Bool().Draw(t, "known") {
					known := node(j, "east")
					known.Draining = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
					lists[i] = append(lists[i], known)
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
						t.Fatalf("topic %s: a circle from node %d", topic, first)
					}
					subscription := Plan(node(at, "east"), lists[at], watch.Topics{topic})[0]
					if subscription.Relay == "" {
						break
					}
					at = byAddress[subscription.Relay]
				}
			}
		}
	})
}
