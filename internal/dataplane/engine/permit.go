package engine

import (
	"sync/atomic"
	"time"
)

// Permit is the right to write one attempt completely. The engine and the carrier race for it: whoever is first decides
// whether its last byte goes out at all, and with that whether it can run.
type Permit struct {
	state         atomic.Int32
	lease         *Lease        // nil: there is none
	needsLease    bool          // it may only be claimed while the lease is valid
	expiresAt     time.Duration // on the lease's clock: when the attempt times out
	writeDeadline time.Time     // when the last byte has to be out; zero: no bound
}

const (
	permitAvailable = iota
	permitClaimed
	permitRevoked
	permitExpired
)

// TryClaim claims the permit, just before the last byte. Where it returns false, that byte must not be written, and what
// has been written of the attempt has to end with its connection. Any goroutine may call it.
//
// The process may have been stopped since the engine decided on the attempt, or a dial have taken long: that is why the
// lease and the idempotency window are checked here, where the attempt goes out.
func (p *Permit) TryClaim() bool {
	if p.overdue() {
		p.state.CompareAndSwap(permitAvailable, permitExpired)
		return false
	}
	return p.state.CompareAndSwap(permitAvailable, permitClaimed)
}

func (p *Permit) overdue() bool {
	if !p.writeDeadline.IsZero() && !time.Now().Before(p.writeDeadline) {
		return true
	}
	if p.lease == nil {
		return false
	}
	return p.needsLease && p.lease.Expired() || p.lease.Clock() >= p.expiresAt
}

// Revoke takes the permit away, unless it was claimed, and tells whether it did. Any goroutine may call it.
func (p *Permit) Revoke() bool {
	return p.state.CompareAndSwap(permitAvailable, permitRevoked) || p.state.CompareAndSwap(permitExpired, permitRevoked)
}

// Available tells whether the attempt may still go out. Any goroutine may call it.
func (p *Permit) Available() bool { return p.state.Load() == permitAvailable }

// Claimed tells whether the attempt may have gone out. Any goroutine may call it.
func (p *Permit) Claimed() bool { return p.state.Load() == permitClaimed }
