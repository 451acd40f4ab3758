package simcluster

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// bootDifference is how much later than the proxies' machines control's come back.
const bootDifference = 300 * time.Millisecond

// losePower ends all processes at once, and starts them again after a while: first the proxies' machines, while
// control's answer nothing yet.
func (c *Cluster) losePower(dark time.Duration) {
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
	c.Sleep(dark)
	for _, edge := range c.Edges {
		edge.Start()
	}
	c.Sleep(bootDifference)
	for _, control := range c.Controls {
		c.Net.Isolate(control.IP, addresses, false)
	}
	for _, control := range c.Controls {
		control.Start()
	}
}

// awaitServing waits until a proxy serves, and gives the time that it took.
func (c *Cluster) awaitServing(edge *Machine, most time.Duration) (span time.Duration, served bool) {
	const look = 10 * time.Millisecond
	for span = 0; span < most; span += look {
		if got, err := c.Send(edge, slipRequest()); err == nil && got.Status == 200 {
			return span, true
		}
		c.Sleep(look)
	}
	return span, false
}

// After a loss of power everywhere, each proxy serves as soon as control does: a call to a machine that was still
// dark holds nobody up.
func TestProxiesServeSoonAfterPowerIsBack(t *testing.T) {
	runWithRelays(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		c.losePower(time.Second)
		began := time.Now()
		for _, edge := range c.Edges {
			_, served := c.awaitServing(edge, 10*time.Second)
			is.True(served)
		}
		t.Logf("all proxies serve %v after control has started", time.Since(began))
		const soon = 900 * time.Millisecond // control starts, a backend reports, and three hops gather news
		is.True(time.Since(began) < soon)
	})
}
