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
				relayMachine, _ := c.relayOf(topic, zone)
				expected[relayMachine.Name] = true
			}
		}
		c.Sleep(10 * time.Second) // subscriptions made before the relays were known have expired
		subscribers := map[string]bool{}
		for _, m := range c.Controls {
			for _, name := range c.status(t, m).Subscribers {
				subscribers[name] = true
			}
		}
		is.Equal(subscribers, expected)
	})
}

// A relay that hangs or is partitioned from control doesn't delay the zone's other proxies beyond the bound: changes are in
// force there in time.
func TestChangesBypassAFaultyRelay(t *testing.T) {
	faults := map[string]func(c *Cluster, m *Machine){
		"it hangs":                       func(c *Cluster, m *Machine) { c.isolate(m) },
		"it is partitioned from control": func(c *Cluster, m *Machine) { c.isolateFromControl(m) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			runWithRelays(t, func(t *testing.T, c *Cluster) {
				relayMachine, others := c.relayOf(watch.TopicState, zones[0])
				fault(c, relayMachine)
				c.replaceConfiguration(t, documentWithSlipsAt("/voucher/"), 4*time.Second)
				c.Sleep(applyTime / 2) // the other half is the margin
				c.checkServed(t, others, "/voucher/1", 200)
			})
		})
	}
}

func TestDrainWhileTheRelayHangs(t *testing.T) {
	runWithRelays(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		relayMachine, others := c.relayOf(watch.TopicState, zones[0])
		draining := c.Backends[2] // one of the plain route's two backends
		c.isolate(relayMachine)
		draining.Drain()
		for !draining.DrainAcknowledged() {
			c.Sleep(20 * time.Millisecond)
		}
		c.Sleep(drainTime)
		before := len(draining.Executions())
		for range 10 {
			c.checkServed(t, others, "/slip/1", 200)
		}
		is.Equal(len(draining.Executions()), before)
	})
}

// When the relay of a service stops or hangs, the zone's other proxies still learn of new backends.
func TestNewBackendsAreKnownAfterTheRelayEnds(t *testing.T) {
	ends := map[string]func(c *Cluster, m *Machine){
		"killed":     func(_ *Cluster, m *Machine) { m.Kill() },
		"terminated": func(_ *Cluster, m *Machine) { go m.Terminate() },
		"hangs":      func(c *Cluster, m *Machine) { c.isolate(m) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			runWithRelays(t, func(t *testing.T, c *Cluster) {
				relayMachine, others := c.relayOf(watch.ServiceTopic("slips"), zones[0])
				end(c, relayMachine)
				c.Backends[2].Kill()
				c.Backends[3].Kill()
				for i := range 2 {
					c.AddBackend(slipBackend(fmt.Sprint("i-new-", i), zones[i]))
				}
				c.Sleep(4 * time.Second)
				c.checkServed(t, others, "/slip/1", 200)
				c.Sleep(5 * time.Second) // until a terminated machine has shut down
			})
		})
	}
}
