package relay

import (
	"fmt"
	"strings"
	"testing"

	"marlreel/internal/api"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/testing/recorded"
)

// The files under testdata/compatibility were written by the code of commit 6fb9894, with
// WRITE_COMPATIBILITY=1. They record formats that other processes, backends and operators rely on.
// They must not be regenerated to make a test pass.

// Each agent chooses the relays by itself. An agent of a version that chooses differently would watch at a node that
// does not watch the topic.
func TestCompatibilityOfRelays(t *testing.T) {
	var nodes []*api.Node
	for i := range 6 {
		nodes = append(nodes, &api.Node{
			Name: fmt.Sprintf("edge-%d", i), Address: fmt.Sprintf("10.2.0.%d:7660", i), Zone: []string{"east", "west"}[i%2],
			Draining: i == 4,
		})
	}
	topics := watch.Topics{watch.TopicState}
	for i := range 12 {
		topics = append(topics, watch.ServiceTopic(fmt.Sprintf("s%d", i)))
	}
	var out strings.Builder
	for _, self := range nodes {
		for _, subscription := range Plan(self, nodes, topics) {
			fmt.Fprintf(&out, "%s reads from %q: %s\n", self.Name, subscription.Relay, strings.Join(subscription.Topics, " "))
		}
	}
	recorded.Check(t, "homes.txt", out.String())
}
