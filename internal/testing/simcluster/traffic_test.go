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
	// maxIdleControlBytes and maxIdleEdgeBytes limit the bytes per second that an idle machine of each kind sends and
	// receives, without packet headers. Some half above the 10.8 and 2.5 KB that were measured with 16 backends.
	maxIdleControlBytes = 16 << 10
	maxIdleEdgeBytes    = 3 << 10
)

// kindOf returns the kind of the machine with an address.
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

// logTraffic logs how much each kind of machine sends to each other kind.
func (c *Cluster) logTraffic(t *testing.T, traffic simnet.Traffic, span time.Duration) {
	sums := map[string]int64{}
	for flow, bytes := range traffic {
		sums[fmt.Sprintf("%s to %s, port %s/%s", c.kindOf(flow.From), c.kindOf(flow.To), flow.Port(), flow.Kind)] += bytes
	}
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		t.Logf("%6.0f bytes per second: %s", float64(sums[name])/span.Seconds(), name)
	}
}

// Without requests and configuration changes, the machines exchange little traffic.
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
			t.Logf("%s: %d bytes per second", m.Name, perSecond)
			if perSecond > limit {
				t.Errorf("%s sends and receives %d bytes per second, more than %d", m.Name, perSecond, limit)
			}
			if perSecond == 0 {
				t.Errorf("%s sends and receives nothing", m.Name)
			}
		}
	})
}
