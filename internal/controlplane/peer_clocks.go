package controlplane

import (
	"sync"
	"time"

	"marlreel/internal/api"
)

// maxPeerClocks bounds the processes whose clocks are kept; beyond it all are forgotten, and read anew when they are
// needed.
const maxPeerClocks = 64

// peerClocks are the monotonic clocks of other processes, as they have told them. A deadline on the receiver's own
// clock holds however long the call is delayed on its way. Its zero value is ready for use.
type peerClocks struct {
	mu       sync.Mutex
	readings map[string]clockReading // by the peer's address
}

// clockReading is what a process has told of its clock.
type clockReading struct {
	instant    *api.Instant
	receivedAt time.Time // the clock showed more by then
}

// onClockReading handles what a process says of its clock, in an answer that was received at a time; nil: nothing.
func (c *peerClocks) onClockReading(address string, instant *api.Instant, receivedAt time.Time) {
	if instant == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readings == nil || len(c.readings) >= maxPeerClocks {
		c.readings = map[string]clockReading{}
	}
	c.readings[address] = clockReading{instant, receivedAt}
}

// instantAt returns what a process's clock shows at a time, or a little less; nil: its clock is not known.
func (c *peerClocks) instantAt(address string, t time.Time) *api.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	reading, known := c.readings[address]
	if !known {
		return nil
	}
	elapsed := max(0, t.Sub(reading.receivedAt))
	return &api.Instant{Incarnation: reading.instant.Incarnation, MonotonicNs: reading.instant.MonotonicNs + uint64(elapsed)}
}
