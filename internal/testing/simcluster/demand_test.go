package simcluster

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/distribution/watch"
)

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
