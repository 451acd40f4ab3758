package simcluster

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/api"
	"marlreel/internal/dataplane/backlog"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/transport"
)

func TestUnloadedModelIsLoadedOnDemand(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		r := chatRequest("m2")
		got, err := c.Send(c.Edges[0], r)
		is.NoErr(err)
		checkStream(t, r, got, 10)
		is.True(got.TimeToHead < 5*time.Second) // the load takes 3 s
	})
}

func TestAdapterIsLoadedOnDemand(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		r := chatRequest("m0/a3")
		got, err := c.Send(c.Edges[1], r)
		is.NoErr(err)
		checkStream(t, r, got, 10)
		is.True(got.TimeToHead < time.Second)
	})
}

// When its holder is killed, the placement lease is granted to another node, and orders continue with a higher fencing
// token.
func TestPlacementContinuesAfterItsHolderDies(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		for victim := range c.Edges {
			c.Edges[victim].Kill()
			c.Sleep(4 * time.Second)
			r := chatRequest("m2")
			r.Timeout = 14 * time.Second
			got, err := c.Send(c.edge(victim+1), r)
			is.NoErr(err)
			is.Equal(got.Status, 200)
			c.Edges[victim].Start()
			c.Sleep(3 * time.Second)
		}
	})
}

// A model that no backend has loaded is loaded for a request at any proxy, even if the relay that forwards its zone's
// demand was just killed, is shutting down or hangs.
func TestDemandBypassesAFaultyRelay(t *testing.T) {
	faults := map[string]func(c *Cluster, m *Machine){
		"none":                 func(*Cluster, *Machine) {},
		"the relay is killed":  func(_ *Cluster, m *Machine) { m.Kill() },
		"the relay hangs":      func(c *Cluster, m *Machine) { c.isolate(m) },
		"the relay terminates": func(_ *Cluster, m *Machine) { go m.Terminate() },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			runWithRelays(t, func(t *testing.T, c *Cluster) {
				is := is.New(t)
				holder := c.holderOf(c.placementLease(t))
				zone := zones[0]
				if holder.Zone == zone {
					zone = zones[1]
				}
				relayMachine, others := c.relayOf(watch.ServiceTopic("llm"), zone)
				fault(c, relayMachine)
				r := chatRequest("m2")
				got, err := c.Send(others[0], r)
				is.NoErr(err)
				checkStream(t, r, got, 10)
				is.True(got.TimeToHead < 6*time.Second) // the load takes 3 s
				c.Sleep(5 * time.Second)                // until a terminated machine has shut down
			})
		})
	}
}

// reportedBackend is the backend that the reported backlogs are for.
const reportedBackend = "some-backend"

// reportBacklog reports a node's work at reportedBackend to an agent, as that node's agent does. It returns the backend's
// backlog in the response, which is the work that other nodes have sent to it, in ms.
func (c *Cluster) reportBacklog(t *testing.T, to *Machine, node string, work backlog.Work) uint32 {
	t.Helper()
	agent := api.NewAgentProtobufClient("http://"+to.peerAddress(), transport.NewClient(c.outside.Dial))
	reply, err := agent.PassDemand(context.Background(), &api.DemandBatch{
		Node: node, Zone: to.Zone,
		Reports: []*api.DemandReport{{Node: node, Zone: to.Zone, Backlogs: []*api.Backlog{backlog.ToProto("llm", work)}}},
	})
	if err != nil {
		t.Fatalf("reporting the backlog of node %s: %v", node, err)
	}
	for _, b := range reply.OtherBacklogs {
		if b.Service == "llm" {
			return backlog.FromProto(b)[backlog.Key(reportedBackend)]
		}
	}
	return 0
}

func workMS(ms uint32) backlog.Work { return backlog.Work{backlog.Key(reportedBackend): ms} }

// The work that a proxy has sent to a backend is known to the other proxies of its zone with their next report, and to
// those of other zones a little later, until it expires. A node is told only the work of others.
func TestBacklogsAreKnownToAllProxies(t *testing.T) {
	runWithRelays(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		is.True(c.holderOf(c.placementLease(t)) != nil)
		near, _ := c.relayOf(watch.ServiceTopic("llm"), zones[0])
		far, _ := c.relayOf(watch.ServiceTopic("llm"), zones[1])
		is.Equal(c.reportBacklog(t, near, "first", workMS(300)), uint32(0))
		is.Equal(c.reportBacklog(t, near, "second", workMS(40)), uint32(300))
		is.Equal(c.reportBacklog(t, near, "first", workMS(300)), uint32(40))
		// It reaches other zones through the lease holder, in the responses to their reports.
		known := uint32(0)
		for range 10 {
			c.Sleep(100 * time.Millisecond)
			c.reportBacklog(t, near, "first", workMS(300))
			known = max(known, c.reportBacklog(t, far, "third", nil))
		}
		is.True(known >= 300)
		c.Sleep(2 * backlog.ReportTTL)
		is.Equal(c.reportBacklog(t, near, "fourth", nil), uint32(0))
	})
}
