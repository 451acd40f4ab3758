package simcluster

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	// slowLinkBytesPerSecond is a link rate of 10 Mbit/s.
	slowLinkBytesPerSecond = 1_250_000
	// largeDocumentBytes is the size of a large configuration: 2 MB.
	largeDocumentBytes = 2 << 20
)

// A control process whose disk was lost catches up with a state of 2 MB over 10 Mbit/s while changes go on.
func TestControlCatchesUpOverASlowLink(t *testing.T) {
	for number := range 3 {
		t.Run(fmt.Sprint(number), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := startControlPlane(t)
				c.replaceConfiguration(t, documentWithRemark(largeDocumentBytes), 10*time.Second)
				c.Sleep(time.Second)
				c.Net.SetRate(slowLinkBytesPerSecond)
				m := c.Controls[number]
				m.Kill()
				m.EraseDisk()
				c.Sleep(time.Second)
				m.Start()
				took, maxChange := c.modifyUntilConnected(t, m, 15*time.Second)
				t.Logf("connected after %v, the longest change took %v", took, maxChange)
				is.True(took > time.Second) // proves that the link rate limits the transfer of the state
				is.True(maxChange < time.Second)
			})
		})
	}
}

// modifyUntilConnected makes changes until a control process is a member of the chain again. It returns how long that
// took, and the duration of the longest change.
func (c *Cluster) modifyUntilConnected(t *testing.T, m *Machine, timeout time.Duration) (took, maxChange time.Duration) {
	t.Helper()
	began := time.Now()
	for time.Since(began) <= timeout {
		maxChange = max(maxChange, c.modifyConfiguration(t, 10*time.Second))
		status := c.fetchStatus(m)
		if status != nil && status.Connected {
			return time.Since(began), maxChange
		}
		c.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("%s is not connected to the chain after %s", m.Name, timeout)
	return 0, 0
}

// A restarted proxy receives a configuration of 2 MB over 10 Mbit/s, from control or from its relay, and serves.
func TestProxyReceivesALargeStateOverASlowLink(t *testing.T) {
	for number := range 3 {
		t.Run(fmt.Sprint(number), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startCluster(t, controls, 6)
				c.replaceConfiguration(t, documentWithRemark(largeDocumentBytes), 10*time.Second)
				c.Sleep(3 * time.Second)
				c.Net.SetRate(slowLinkBytesPerSecond)
				edge := c.Edges[number]
				edge.Kill()
				c.Sleep(time.Second)
				edge.Start()
				took := c.awaitServing(t, edge, 15*time.Second)
				t.Logf("serves after %v", took)
			})
		})
	}
}

const (
	// manyEdges is the number of proxies, which share one relay in each zone, on links of 10 Mbit/s.
	manyEdges = 36
	// manyRoutes is the number of routes that one change of about 250 KB adds.
	manyRoutes = 1000
	// coreLinkBytesPerSecond is a link rate of 170 Mbit/s.
	coreLinkBytesPerSecond = 21_250_000
)

// A change of a thousand routes is in force at all proxies in time, even if many of them share a relay over slow links.
func TestThousandRoutesAreInForceInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, controls, manyEdges)
		for _, edge := range c.Edges {
			c.Net.SetMachineRate(edge.IP, slowLinkBytesPerSecond)
		}
		for _, m := range c.Controls {
			c.Net.SetMachineRate(m.IP, coreLinkBytesPerSecond)
		}
		var routes []string
		for i := range manyRoutes {
			routes = append(routes, fmt.Sprintf(`{"name":"r%d","host":"r.example","path_prefix":"/r%d/","route_class":"unsafe","timeout_ms":900,`+
				`"target_latency_ms":150,"priority":2,"service":"slips","max_attempts":1,"remark":"%s"}`, i, i, strings.Repeat("x", 100)))
		}
		body := fmt.Sprintf(`{"config_version":%d,"upsert":{"route_list":[%s]}}`, c.version+1, strings.Join(routes, ","))
		status, answer, err := c.CallOperatorAPI("POST", "/marlreel/config/modify", fmt.Sprint(c.version), body, 4*time.Second)
		is.NoErr(err)
		is.Equal(status, 200)
		is.True(answer != "")
		c.Sleep(applyTime)
		for _, edge := range c.Edges {
			r := slipRequestTo(fmt.Sprintf("/r%d/1", manyRoutes-1))
			r.Host = "r.example"
			got, err := c.Send(edge, r)
			is.NoErr(err)
			is.Equal(got.Status, 200)
		}
	})
}
