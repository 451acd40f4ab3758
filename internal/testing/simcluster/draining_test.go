package simcluster

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDrainingBackendGetsNoNewRequests(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		leaving := c.Backends[2] // one of two that take slips
		leaving.Drain()
		for !leaving.DrainAcknowledged() {
			c.Sleep(50 * time.Millisecond)
		}
		c.Sleep(2 * time.Second) // drain_ms
		before := len(leaving.Executions())
		for range 10 {
			for _, edge := range c.Edges {
				got, err := c.Send(edge, slipRequest())
				is.NoErr(err)
				is.Equal(got.Status, 200)
			}
		}
		is.Equal(len(leaving.Executions()), before)
	})
}

func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		status, _, err := c.CallOperatorAPI("POST", "/marlreel/evacuation/west/begin", "", "", 4*time.Second)
		is.NoErr(err)
		is.Equal(status, 200)
		c.Sleep(2 * time.Second)
		before := len(c.Backends[2].Executions())
		for range 10 {
			got, err := c.Send(c.Edges[2], slipRequest())
			is.NoErr(err)
			is.Equal(got.Status, 200)
		}
		is.Equal(len(c.Backends[2].Executions()), before)
		status, _, err = c.CallOperatorAPI("POST", "/marlreel/evacuation/west/terminate", "", "", 4*time.Second)
		is.NoErr(err)
		is.Equal(status, 200)
		c.Sleep(2 * time.Second)
		for range 10 {
			_, err := c.Send(c.Edges[2], slipRequest())
			is.NoErr(err)
		}
		is.True(len(c.Backends[2].Executions()) > before) // it is near
	})
}
