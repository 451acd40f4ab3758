package simcluster

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/distribution/watch"
)

func TestEachZoneWatchesEachTopicAtControlOnce(t *testing.T) {
	runWithRelays(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		expected := map[string]bool{}
		for _, zone := range zones {
			for _, topic := range []watch.Topic{watch.TopicState, watch.ServiceTopic("llm"), watch.ServiceTopic("slips")} {
				home, _ := c.relayOf(topic, zone)
				expected[home.Name] = true
			}
		}
		c.Sleep(10 * time.Second) // those that read there before the homes were known are forgotten
		readers := map[string]bool{}
		for _, m := range c.Controls {
			for _, name := range c.status(t, m).Subscribers {
				readers[name] = true
			}
		}
		is.Equal(readers, expected)
	})
}

// A home that hangs, or that answers and hears nothing itself, holds nobody up beyond the
// bound: changes are in force at the zone's other proxies in time.
func TestChangesBypassAFaultyRelay(t *testing.T) {
	troubles := map[string]func(c *Cluster, m *Machine){
		"it hangs":                   func(c *Cluster, m *Machine) { c.isolate(m) },
		"it is cut off from control": func(c *Cluster, m *Machine) { c.isolateFromControl(m) },
	}
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			runWithRelays(t, func(t *testing.T, c *Cluster) {
				is := is.New(t)
				home, others := c.relayOf(watch.TopicState, zones[0])
				trouble(c, home)
				status, _, err := c.ReplaceConfiguration(documentWithSlipsAt("/voucher/"), 4*time.Second)
				is.NoErr(err)
				is.Equal(status, 200)
				c.Sleep(applyTime / 2) // the other half is the margin
				for _, edge := range others {
					r := slipRequest()
					r.Path = "/voucher/1"
					got, err := c.Send(edge, r)
					is.NoErr(err)
					is.Equal(got.Status, 200)
				}
			})
		})
	}
}

func TestDrainWhileTheRelayHangs(t *testing.T) {
	runWithRelays(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		home, others := c.relayOf(watch.TopicState, zones[0])
		leaving := c.Backends[2] // one of two that take slips
		c.isolate(home)
		leaving.Drain()
		for !leaving.DrainAcknowledged() {
			c.Sleep(20 * time.Millisecond)
		}
		c.Sleep(drainTime)
		before := len(leaving.Executions())
		for range 10 {
			for _, edge := range others {
				got, err := c.Send(edge, slipRequest())
				is.NoErr(err)
				is.Equal(got.Status, 200)
			}
		}
		is.Equal(len(leaving.Executions()), before)
	})
}

// When the home of a service ends, the zone's others hear of new backends all the same.
func TestNewBackendsAreKnownAfterTheRelayEnds(t *testing.T) {
	ends := map[string]func(c *Cluster, m *Machine){
		"killed":     func(_ *Cluster, m *Machine) { m.Kill() },
		"terminated": func(_ *Cluster, m *Machine) { go m.Terminate() },
		"hangs":      func(c *Cluster, m *Machine) { c.isolate(m) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			runWithRelays(t, func(t *testing.T, c *Cluster) {
				is := is.New(t)
				home, others := c.relayOf(watch.ServiceTopic("slips"), zones[0])
				end(c, home)
				c.Backends[2].Kill()
				c.Backends[3].Kill()
				for i := range 2 {
					c.AddBackend(slipBackend(fmt.Sprint("i-new-", i), zones[i]))
				}
				c.Sleep(4 * time.Second)
				for _, edge := range others {
					got, err := c.Send(edge, slipRequest())
					is.NoErr(err)
					is.Equal(got.Status, 200)
				}
				c.Sleep(5 * time.Second) // who terminates has ended
			})
		})
	}
}
