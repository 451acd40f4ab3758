package controlplane

import (
	"sync"
	"time"

	"marlreel/internal/api"
)

// peerClocks are the steady peerClocks of other processes, as they have told them. A deadline that is
// said by the receiver's own clock holds however long the call is held up on its way.
type peerClocks struct {
	mu    sync.Mutex
	known map[string]clockReading // by address
}

// clockReading is what a process has told of its clock.
type clockReading struct {
	instant *api.Instant
	taken   time.Time // when the answer was here: the clock showed more by then
}

// maxPeerClocks bounds the processes whose clocks are kept.
const maxPeerClocks = 64

// OnClockReading takes in what a process says of its clock, in an answer that was here at a time.
func (c *peerClocks) OnClockReading(address string, instant *api.Instant, taken time.Time) {
	if instant == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known == nil || len(c.known) >= maxPeerClocks {
		c.known = map[string]clockReading{}
	}
	c.known[address] = clockReading{instant, taken}
}

// instantAt is a time by a process's clock, or a little before it; nil: its clock is not known.
func (c *peerClocks) instantAt(address string, at time.Time) *api.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, known := c.known[address]
	if !known {
		return nil
	}
	return &api.Instant{Incarnation: r.instant.Incarnation, MonotonicNs: r.instant.MonotonicNs + uint64(max(0, at.Sub(r.taken)))}
}
