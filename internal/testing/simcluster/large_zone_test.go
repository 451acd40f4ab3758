package simcluster

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"marlreel/internal/api"
	"marlreel/internal/distribution/relay"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/testing/simnet"
)

const (
	// largeZoneEdges is the number of proxies in one zone of the largest sites.
	largeZoneEdges = 42
	// largeChangeRoutes is the number of routes that one change of about 370 KB adds.
	largeChangeRoutes = 1480
	// largeSiteApplyTime is config_apply_ms of the largest sites.
	largeSiteApplyTime = 3 * time.Second
	// largeSiteCoreRate is the link rate of control machines in bytes per second: 120 Mbit/s.
	largeSiteCoreRate = 15_000_000
	// largeSiteEdges and largeSiteControls are the numbers of proxies and control machines of the largest site, where all
	// proxies share the links of control.
	largeSiteEdges, largeSiteControls = 295, 5
	// sharedCoreRate gives each proxy in the test's single zone the same share of control's links as on that site.
	sharedCoreRate = largeSiteCoreRate * largeSiteControls / controls * largeZoneEdges / largeSiteEdges
)

// startLargeZone starts a cluster whose proxies are all in one zone, with the links of the largest sites.
func startLargeZone(t *testing.T, edges int) *Cluster {
	t.Helper()
	c := New(Config{
		Controls: controls, Edges: edges, Zones: zones[:1], Log: logr.Discard(),
		Net: simnet.Config{Delay: time.Millisecond, Jitter: time.Millisecond, Seed: 1},
	})
	t.Cleanup(c.Stop)
	for i := range 2 {
		c.AddBackend(slipBackend(fmt.Sprint("i-", i), zones[0]))
	}
	c.configureFirst(t, document)
	c.Sleep(3 * time.Second)
	for _, edge := range c.Edges {
		c.Net.SetMachineRate(edge.IP, slowLinkBytesPerSecond)
	}
	for _, m := range c.Controls {
		c.Net.SetMachineRate(m.IP, largeSiteCoreRate)
	}
	return c
}

// largeChange returns the body of a change that adds routes with random names and prefixes, as an operator's
// change has, and a path of the last route.
func largeChange(version uint64, routes int) (body, path string) {
	rng := rand.New(rand.NewPCG(version, 1))
	var list []string
	prefix := ""
	for range routes {
		prefix = fmt.Sprintf("/%07x-%d/", rng.Uint32()>>4, version)
		list = append(list, fmt.Sprintf(`{"name":"r-%07x%d","host":"large.example","path_prefix":"%s","route_class":"unsafe",`+
			`"timeout_ms":%d,"target_latency_ms":%d,"priority":2,"service":"slips","max_attempts":1,"keyless":false,"affinity":false,`+
			`"resumable":false,"gap_aim_ms":0}`, rng.Uint32()>>4, version, prefix, 900+rng.IntN(900), 100+rng.IntN(200)))
	}
	return fmt.Sprintf(`{"config_version":%d,"upsert":{"route_list":[%s]}}`, version, strings.Join(list, ",")), prefix + "1"
}

// modifyLarge makes a change that adds routes, and returns its size in bytes and a path of the last route.
func (c *Cluster) modifyLarge(t *testing.T, routes int) (size int64, path string) {
	t.Helper()
	body, path := largeChange(c.version+1, routes)
	began := time.Now()
	status, answer, err := c.CallOperatorAPI("POST", "/marlreel/config/modify", fmt.Sprint(c.version), body, 4*time.Second)
	if err != nil || status != 200 {
		t.Fatalf("modifying the configuration by %d bytes: %d %s %v", len(body), status, answer, err)
	}
	t.Logf("a change of %d bytes was acknowledged after %v", len(body), time.Since(began))
	c.version++
	return int64(len(body)), path
}

// countRouting counts the proxies that have a route for a path of the added routes; without one they answer 404.
func (c *Cluster) countRouting(path string) int {
	count := 0
	for _, edge := range c.Edges {
		r := slipRequestTo(path)
		r.Host = "large.example"
		if got, err := c.Send(edge, r); err == nil && got.Status != 404 {
			count++
		}
	}
	return count
}

// Guards against CONFIG and DENIED violations on the largest sites: a change of 1,480 routes reached a zone's 42 proxies on
// 10 Mbit/s links later than config_apply_ms, because one relay sent the whole change to all others and they also fetched
// it from control. The next change was queued behind it. Both must be in force in time.
func TestLargeChangeIsInForceInALargeZoneInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startLargeZone(t, largeZoneEdges)
		relayMachine, _ := c.relayOf(watch.TopicState, zones[0])
		c.Net.TakeTraffic()
		size, path := c.modifyLarge(t, largeChangeRoutes)
		c.Sleep(largeSiteApplyTime / 6) // the first change may still be in flight
		_, second := c.modifyLarge(t, 1)
		c.Sleep(largeSiteApplyTime - largeSiteApplyTime/6)
		traffic := c.Net.TakeTraffic()
		sentBy := func(ip string) int64 { return traffic.Total(func(f simnet.Flow) bool { return f.From == ip }) }
		most := int64(0)
		for _, edge := range c.Edges {
			most = max(most, sentBy(edge.IP))
		}
		control := int64(0)
		for _, m := range c.Controls {
			control += sentBy(m.IP)
		}
		t.Logf("the relay sent %d bytes, the busiest proxy %d, control %d", sentBy(relayMachine.IP), most, control)
		is.Equal(c.countRouting("/unknown/1"), 0)
		is.Equal(c.countRouting(path), largeZoneEdges)
		c.Sleep(largeSiteApplyTime / 6)
		is.Equal(c.countRouting(second), largeZoneEdges)
		is.True(most <= slowLinkBytesPerSecond/2) // each of the tree's three levels may use half of a third of the time; the rest is for other traffic
		is.True(control <= (controls+1)*size)     // each control process gets one copy; the agents together get less than one more
	})
}

// Guards against changes that are no longer acknowledged on the largest site: fetches of an earlier large change filled
// the links of control, and the chain's messages were queued behind them.
func TestChangesAreAcknowledgedBehindALargeOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startLargeZone(t, largeZoneEdges)
		for _, m := range c.Controls {
			c.Net.SetMachineRate(m.IP, sharedCoreRate)
		}
		_, path := c.modifyLarge(t, largeChangeRoutes)
		for range 6 {
			c.Sleep(largeSiteApplyTime / 6)
			took := c.modifyConfiguration(t, 30*time.Second)
			t.Logf("a small change was acknowledged after %v", took)
			is.True(took < largeSiteApplyTime/6) // a twelfth of ack_ms
		}
		is.Equal(c.countRouting(path), largeZoneEdges)
	})
}

// innerRelay returns a proxy that watches the state at the zone's relay and serves it to others, and those others.
func (c *Cluster) innerRelay(t *testing.T) (inner *Machine, children []*Machine) {
	t.Helper()
	var nodes []*api.Node
	byName := map[string]*Machine{}
	for _, m := range c.Edges {
		nodes = append(nodes, &api.Node{Name: m.Name, Address: m.IP, Zone: m.Zone})
		byName[m.Name] = m
	}
	for i, m := range c.Edges {
		ancestors := relay.Ancestors(watch.TopicState, nodes[i], nodes)
		if len(ancestors) != 2 || inner != nil && inner.Name != ancestors[0].Name {
			continue
		}
		inner = byName[ancestors[0].Name]
		children = append(children, m)
	}
	if inner == nil {
		t.Fatal("only the zone's relay has children")
	}
	return inner, children
}

// Guards against delayed changes below an inner node of a large zone's tree that hangs or is partitioned from its own
// relay: they are in force at its children within half of config_apply_ms.
func TestChangesBypassAFaultyInnerRelay(t *testing.T) {
	faults := map[string]func(c *Cluster, inner, root *Machine){
		"it hangs": func(c *Cluster, inner, _ *Machine) { c.isolate(inner) },
		"it is partitioned from its relay": func(c *Cluster, inner, root *Machine) {
			c.Net.Isolate(inner.IP, []string{root.IP}, true)
		},
		"it is killed":        func(_ *Cluster, inner, _ *Machine) { inner.Kill() },
		"its relay hangs too": func(c *Cluster, inner, root *Machine) { c.isolate(inner); c.isolate(root) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startLargeZone(t, 12)
				inner, children := c.innerRelay(t)
				root, _ := c.relayOf(watch.TopicState, zones[0])
				fault(c, inner, root)
				c.replaceConfiguration(t, documentWithSlipsAt("/voucher/"), 4*time.Second)
				c.Sleep(applyTime / 2)
				for _, edge := range children {
					got, err := c.Send(edge, slipRequestTo("/voucher/1"))
					if err != nil || got.Status == 404 {
						t.Errorf("%s answers with %d %v", edge.Name, got.Status, err)
					}
				}
			})
		})
	}
}
