package simcluster

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/api"
	"marlreel/internal/dataplane/backlog"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/transport"
)

// reportBacklog tells an agent of a node's backlog, as that node's agent does, and gives the answer's figure for a backend.
func (c *Cluster) reportBacklog(t *testing.T, to *Machine, node string, work backlog.Work, backend string) uint32 {
	t.Helper()
	agent := api.NewAgentProtobufClient(fmt.Sprintf("http://%s:%d", to.IP, peerPort), transport.NewClient(c.outside.Dial))
	reply, err := agent.PassDemand(context.Background(), &api.DemandBatch{
		Node: node, Zone: to.Zone,
		Reports: []*api.DemandReport{{Node: node, Zone: to.Zone, Backlogs: []*api.Backlog{backlog.ToProto("llm", work)}}},
	})
	if err != nil {
		t.Fatalf("%s reports: %v", node, err)
	}
	for _, b := range reply.OtherBacklogs {
		if b.Service == "llm" {
			return backlog.FromProto(b)[backlog.Key(backend)]
		}
	}
	return 0
}

// What a proxy has sent to a backend is known to the others of its zone by their next report, to those of other zones
// a little later, and to nobody once it is old. A node's own work comes back to nobody but others.
func TestBacklogsAreKnownToAllProxies(t *testing.T) {
	runWithRelays(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		placer := c.holderOf(c.placementLease(t))
		near, _ := c.relayOf(watch.ServiceTopic("llm"), zones[0])
		far, _ := c.relayOf(watch.ServiceTopic("llm"), zones[1])
		is.True(placer != nil)
		const backend = "some-backend"
		is.Equal(c.reportBacklog(t, near, "first", backlog.Work{backlog.Key(backend): 300}, backend), uint32(0))
		is.Equal(c.reportBacklog(t, near, "second", backlog.Work{backlog.Key(backend): 40}, backend), uint32(300))
		is.Equal(c.reportBacklog(t, near, "first", backlog.Work{backlog.Key(backend): 300}, backend), uint32(40))
		// The word goes by the holder to other zones, with the reports of these.
		heard := uint32(0)
		for range 10 {
			c.Sleep(100 * time.Millisecond)
			c.reportBacklog(t, near, "first", backlog.Work{backlog.Key(backend): 300}, backend)
			heard = max(heard, c.reportBacklog(t, far, "third", nil, backend))
		}
		is.True(heard >= 300)
		c.Sleep(2 * backlog.ReportTTL)
		is.Equal(c.reportBacklog(t, near, "fourth", nil, backend), uint32(0))
	})
}

// A model that nobody holds is loaded for a request at any proxy, also where the home that
// passes its zone's demand on has just died or hangs.
func TestDemandBypassesAFaultyRelay(t *testing.T) {
	troubles := map[string]func(c *Cluster, m *Machine){
		"none":                func(*Cluster, *Machine) {},
		"the home is killed":  func(_ *Cluster, m *Machine) { m.Kill() },
		"the home hangs":      func(c *Cluster, m *Machine) { c.isolate(m) },
		"the home terminates": func(_ *Cluster, m *Machine) { go m.Terminate() },
	}
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			runWithRelays(t, func(t *testing.T, c *Cluster) {
				is := is.New(t)
				placer := c.holderOf(c.placementLease(t))
				zone := zones[0]
				if placer.Zone == zone {
					zone = zones[1]
				}
				home, others := c.relayOf(watch.ServiceTopic("llm"), zone)
				trouble(c, home)
				r := chatRequest("m2")
				got, err := c.Send(others[0], r)
				is.NoErr(err)
				checkStream(t, r, got, 10)
				is.True(got.TimeToHead < 6*time.Second) // the load takes 3 s
				c.Sleep(5 * time.Second)                // who terminates has ended
			})
		})
	}
}

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

// The role of placing models passes on when its holder dies, and orders go on under a
// higher token.
func TestPlacementContinuesAfterItsHolderDies(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		for victim := range c.Edges {
			c.Edges[victim].Kill()
			c.Sleep(4 * time.Second)
			r := chatRequest("m2")
			r.Timeout = 14 * time.Second
			got, err := c.Send(c.Edges[(victim+1)%3], r)
			is.NoErr(err)
			is.Equal(got.Status, 200)
			c.Edges[victim].Start()
			c.Sleep(3 * time.Second)
		}
	})
}
