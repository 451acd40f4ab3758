package controlplane

import (
	"sync"
	"time"

	"marlreel/internal/api"
)

// maxPeerClocks bounds the processes whose clock readings are kept. Beyond it all readings are dropped, and requested
// again when they are needed.
const maxPeerClocks = 64

// peerClocks holds readings of the monotonic clocks of other processes. They make it possible to send a deadline on the
// receiver's own clock, which holds however long the call is delayed in the network. Its zero value is ready for use.
type peerClocks struct {
	mu       sync.Mutex
	readings map[string]clockReading // by the peer's address
}

// clockReading is a reading of a process's clock.
type clockReading struct {
	instant    *api.Instant
	receivedAt time.Time // when the reply arrived; the peer's clock was already ahead of instant
}

// onClockReading stores the clock reading of a reply that was received at receivedAt. instant is nil if it had none.
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

// instantAt returns what a process's clock shows at a time, or a little less. It returns nil if its clock is not known.
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
