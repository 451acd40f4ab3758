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
	// slowLink is 10 Mbit/s, in bytes a second.
	slowLink = 1_250_000
	// largeDocument is a configuration of 2 MB.
	largeDocument = 2 << 20
)

// A control process whose disk was lost takes in a state of 2 MB over 10 Mbit/s while changes go on.
func TestControlCatchesUpOverASlowLink(t *testing.T) {
	for place := range 3 {
		t.Run(fmt.Sprint(place), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := startControlPlane(t, 3)
				defer c.Stop()
				status, _, err := c.ReplaceConfiguration(documentWithRemark(largeDocument), 10*time.Second)
				is.NoErr(err)
				is.Equal(status, 200)
				c.Sleep(time.Second)
				c.Net.SetRate(slowLink)
				m := c.Controls[place]
				m.Kill()
				m.EraseDisk()
				c.Sleep(time.Second)
				m.Start()
				began, longest := time.Now(), time.Duration(0)
				for {
					longest = max(longest, c.modifyConfiguration(t, 10*time.Second))
					if s := c.fetchStatus(m); s != nil && s.Connected {
						break
					}
					if time.Since(began) > 15*time.Second {
						t.Fatal("it is not back after 15 s")
					}
					c.Sleep(100 * time.Millisecond)
				}
				t.Logf("back after %v, the longest change took %v", time.Since(began), longest)
				is.True(time.Since(began) > time.Second) // the state does take that long
				is.True(longest < time.Second)
			})
		})
	}
}

// A proxy that is restarted gets a configuration of 2 MB over 10 Mbit/s, from control or from its home, and serves.
func TestProxyReceivesALargeStateOverASlowLink(t *testing.T) {
	for place := range 3 {
		t.Run(fmt.Sprint(place), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := startCluster(t, 3, 6)
				defer c.Stop()
				status, _, err := c.ReplaceConfiguration(documentWithRemark(largeDocument), 10*time.Second)
				is.NoErr(err)
				is.Equal(status, 200)
				c.Sleep(3 * time.Second)
				c.Net.SetRate(slowLink)
				edge := c.Edges[place]
				edge.Kill()
				c.Sleep(time.Second)
				edge.Start()
				took, served := c.awaitServing(edge, 15*time.Second)
				t.Logf("serves after %v", took)
				is.True(served)
			})
		})
	}
}

const (
	// manyEdges share one home a zone, on links of 10 Mbit/s.
	manyEdges = 36
	// manyRoutes are added by one change, of some 250 KB.
	manyRoutes = 1000
	// coreLink is 170 Mbit/s, in bytes a second.
	coreLink = 21_250_000
)

// A change of a thousand routes is in force everywhere in time where many proxies on slow links share a home.
func TestThousandRoutesAreInForceInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, 3, manyEdges)
		defer c.Stop()
		for _, edge := range c.Edges {
			c.Net.SetMachineRate(edge.IP, slowLink)
		}
		for _, m := range c.Controls {
			c.Net.SetMachineRate(m.IP, coreLink)
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
			r := slipRequest()
			r.Host, r.Path = "r.example", fmt.Sprintf("/r%d/1", manyRoutes-1)
			got, err := c.Send(edge, r)
			is.NoErr(err)
			is.Equal(got.Status, 200)
		}
	})
}
