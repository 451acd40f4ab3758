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
	// maxIdleControlBytes and quietEdge bound what a machine of each kind sends and gets in a second, without headers of
	// packets, where nothing happens: some half more than 10.8 and 2.5 KB, which were measured with 16 backends.
	maxIdleControlBytes = 16 << 10
	maxIdleEdgeBytes    = 3 << 10
)

// kindOf names what a machine of a cluster is.
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

// logTraffic tells who sends how much to whom.
func (c *Cluster) logTraffic(t *testing.T, traffic simnet.Traffic, span time.Duration) {
	sums := map[string]int64{}
	for flow, bytes := range traffic {
		sums[fmt.Sprintf("%s to %s, port %s/%s", c.kindOf(flow.From), c.kindOf(flow.To), flow.Port(), flow.Kind)] += bytes
	}
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		t.Logf("%6.0f bytes a second: %s", float64(sums[name])/span.Seconds(), name)
	}
}

// TestIdleTrafficIsBounded bounds what the system says to itself where nothing happens.
func TestIdleTrafficIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, controls, 6)
		for i := range 12 {
			c.AddBackend(slipBackend(fmt.Sprintf("s-%d", i), zones[i%len(zones)]))
		}
		const settled, watched = 10 * time.Second, 10 * time.Second
		c.Sleep(settled)
		c.Net.TakeTraffic()
		c.Sleep(watched)
		traffic := c.Net.TakeTraffic()
		c.logTraffic(t, traffic, watched)
		for _, m := range c.Machines() {
			most, kind := int64(maxIdleEdgeBytes), c.kindOf(m.IP)
			if kind == "control" {
				most = maxIdleControlBytes
			}
			perSecond := traffic.Total(func(f simnet.Flow) bool { return f.From == m.IP || f.To == m.IP }) / int64(watched/time.Second)
			t.Logf("%s: %d bytes a second", m.Name, perSecond)
			if perSecond > most {
				t.Errorf("%s sends and gets %d bytes a second, %d are the most", m.Name, perSecond, most)
			}
			if perSecond == 0 {
				t.Errorf("%s sends and gets nothing", m.Name)
			}
		}
	})
}
