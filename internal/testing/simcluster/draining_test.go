package simcluster

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDrainingBackendGetsNoNewRequests(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		draining := c.Backends[2] // one of the plain route's two backends
		draining.Drain()
		for !draining.DrainAcknowledged() {
			c.Sleep(50 * time.Millisecond)
		}
		c.Sleep(drainTime)
		before := len(draining.Executions())
		for range 10 {
			c.checkServed(t, c.Edges, "/slip/1", 200)
		}
		is.Equal(len(draining.Executions()), before)
	})
}

// evacuate begins or terminates the evacuation of a zone, and waits until the change is in force.
func (c *Cluster) evacuate(t *testing.T, zone, verb string) {
	t.Helper()
	status, answer, err := c.CallOperatorAPI(http.MethodPost, "/marlreel/evacuation/"+zone+"/"+verb, "", "", 4*time.Second)
	if err != nil || status != 200 {
		t.Fatalf("evacuation of zone %s, %s: %d %s %v", zone, verb, status, answer, err)
	}
	c.Sleep(applyTime)
}

func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		inZone, edge := c.Backends[2], c.Edges[2]
		c.evacuate(t, "west", "begin")
		before := len(inZone.Executions())
		for range 10 {
			c.checkServed(t, []*Machine{edge}, "/slip/1", 200)
		}
		is.Equal(len(inZone.Executions()), before)
		c.evacuate(t, "west", "terminate")
		for range 10 {
			_, err := c.Send(edge, slipRequest())
			is.NoErr(err)
		}
		is.True(len(inZone.Executions()) > before) // backends in the proxy's zone are preferred
	})
}
