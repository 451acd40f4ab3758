package simcluster

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// controlBootDelay is how much later control machines are back than the proxies' machines.
const controlBootDelay = 300 * time.Millisecond

// losePower kills all processes at once, and starts them again after an outage: first those on the proxies' machines,
// while the control machines don't respond yet.
func (c *Cluster) losePower(outage time.Duration) {
	for _, m := range c.Machines() {
		m.Kill()
	}
	var addresses []string
	for _, m := range c.Machines() {
		addresses = append(addresses, m.IP)
	}
	for _, control := range c.Controls {
		c.Net.Isolate(control.IP, addresses, true)
	}
	c.Sleep(outage)
	for _, edge := range c.Edges {
		edge.Start()
	}
	c.Sleep(controlBootDelay)
	for _, control := range c.Controls {
		c.Net.Isolate(control.IP, addresses, false)
	}
	c.startControls()
}

// awaitServing waits until a proxy serves, and returns how long that took, counting only the pauses between requests.
func (c *Cluster) awaitServing(t *testing.T, edge *Machine, timeout time.Duration) time.Duration {
	t.Helper()
	const interval = 10 * time.Millisecond
	for waited := time.Duration(0); waited < timeout; waited += interval {
		got, err := c.Send(edge, slipRequest())
		if err == nil && got.Status == 200 {
			return waited
		}
		c.Sleep(interval)
	}
	t.Fatalf("%s does not serve after %s", edge.Name, timeout)
	return 0
}

// After a power loss everywhere, each proxy serves soon after control has started: a call to a machine that was still down
// must not delay it.
func TestProxiesServeSoonAfterPowerIsBack(t *testing.T) {
	runWithRelays(t, func(t *testing.T, c *Cluster) {
		c.losePower(time.Second)
		began := time.Now()
		for _, edge := range c.Edges {
			c.awaitServing(t, edge, 10*time.Second)
		}
		took := time.Since(began)
		t.Logf("all proxies serve %v after control was started", took)
		const maxTime = 900 * time.Millisecond // start of control, a backend's report, and three hops that batch updates
		if took >= maxTime {
			t.Errorf("all proxies serve after %v, want less than %v", took, maxTime)
		}
	})
}

// Guards against losing an acknowledged configuration when two of five disks are lost right after the acknowledgement, and
// all other machines, including the proxies', lose power at the same moment.
func TestConfigurationOutlivesTwoDisksAndAllPower(t *testing.T) {
	for first := range 5 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := startCluster(t, 5, 3)
			c.replaceConfiguration(t, documentWithSlipsAt("/kept/"), 5*time.Second)
			for _, m := range []*Machine{c.Controls[first], c.Controls[(first+1)%5]} {
				m.Kill()
				m.EraseDisk()
			}
			c.losePower(500 * time.Millisecond)
			const recovery = 10 * time.Second
			began := time.Now()
			for _, edge := range c.Edges {
				for {
					got, err := c.Send(edge, slipRequestTo("/kept/1"))
					if err == nil && got.Status == 200 {
						break
					}
					if time.Since(began) > recovery {
						t.Fatalf("%s does not serve the newest configuration: %d %v", edge.Name, got.Status, err)
					}
					c.Sleep(50 * time.Millisecond)
				}
			}
			status, answer, err := c.CallOperatorAPI("GET", "/marlreel/config/read", "", "", 5*time.Second)
			is.NoErr(err)
			is.Equal(status, 200)
			is.True(strings.Contains(answer, "/kept/"))
			t.Logf("lost the disks of control process %d and the next one: all proxies serve after %v", first, time.Since(began))
		})
	}
}
