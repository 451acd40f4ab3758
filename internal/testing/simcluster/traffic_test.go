package simcluster

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"marlreel/internal/testing/simnet"
)

const (
	// maxIdleControlBytes and maxIdleEdgeBytes bound what a machine of each kind sends and receives in a second, without
	// headers of packets, while nothing happens: some half more than 10.8 and 2.5 KB, which were measured with 16 backends.
	maxIdleControlBytes = 16 << 10
	maxIdleEdgeBytes    = 3 << 10
)

// kindOf names what the machine of an address is.
func (c *Cluster) kindOf(ip string) string {
	is := func(m *Machine) bool { return m.IP == ip }
	switch {
	case slices.ContainsFunc(c.Controls, is):
		return "control"
	case slices.ContainsFunc(c.Edges, is):
		return "edge"
	}
	return "outside"
}

// logTraffic logs which kind of machine sends how much to which.
func (c *Cluster) logTraffic(t *testing.T, traffic simnet.Traffic, span time.Duration) {
	sums := map[string]int64{}
	for flow, bytes := range traffic {
		sums[fmt.Sprintf("%s to %s, port %s/%s", c.kindOf(flow.From), c.kindOf(flow.To), flow.Port(), flow.Kind)] += bytes
	}
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		t.Logf("%6.0f bytes a second: %s", float64(sums[name])/span.Seconds(), name)
	}
}

// Without requests and changes the machines send each other little.
func TestIdleTrafficIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, controls, 6)
		for i := range 12 {
			c.AddBackend(slipBackend(fmt.Sprintf("s-%d", i), zones[i%len(zones)]))
		}
		const settleTime, measureTime = 10 * time.Second, 10 * time.Second
		c.Sleep(settleTime)
		c.Net.TakeTraffic()
		c.Sleep(measureTime)
		traffic := c.Net.TakeTraffic()
		c.logTraffic(t, traffic, measureTime)
		for _, m := range c.Machines() {
			limit, kind := int64(maxIdleEdgeBytes), c.kindOf(m.IP)
			if kind == "control" {
				limit = maxIdleControlBytes
			}
			perSecond := traffic.Total(func(f simnet.Flow) bool { return f.From == m.IP || f.To == m.IP }) / int64(measureTime/time.Second)
			t.Logf("%s: %d bytes a second", m.Name, perSecond)
			if perSecond > limit {
				t.Errorf("%s sends and receives %d bytes a second, more than %d", m.Name, perSecond, limit)
			}
			if perSecond == 0 {
				t.Errorf("%s sends and receives nothing", m.Name)
			}
		}
	})
}
