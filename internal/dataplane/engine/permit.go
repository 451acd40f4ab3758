package engine

import (
	"sync/atomic"
	"time"
)

// Permit is the right to write the byte of an attempt with which a backend may begin to run it; which byte that is depends on
// the protocol. The carrier claims it and the engine revokes it, concurrently; the first of them decides whether that byte is
// written.
type Permit struct {
	state         atomic.Int32
	lease         *Lease        // nil if there is none
	needsLease    bool          // the permit may only be claimed while the lease is valid
	expiresAt     time.Duration // on the lease's clock: when the attempt times out
	writeDeadline time.Time     // that byte must be written before; zero means no limit
}

const (
	permitAvailable = iota
	permitClaimed
	permitRevoked
	permitExpired
)

// TryClaim claims the permit. The carrier calls it just before that byte. If it returns false, the byte must not be
// written, and if other bytes of the attempt have been written, their connection must be closed. Any goroutine may
// call it.
//
// It checks the lease and the idempotency window, because the process may have been stopped since the engine started
// the attempt, or a dial may have taken long.
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

// Revoke revokes the permit, or reports false if it has been claimed or revoked already. Any goroutine may call it.
func (p *Permit) Revoke() bool {
	return p.state.CompareAndSwap(permitAvailable, permitRevoked) || p.state.CompareAndSwap(permitExpired, permitRevoked)
}

// Available reports whether the permit can still be claimed. Any goroutine may call it.
func (p *Permit) Available() bool { return p.state.Load() == permitAvailable }

// Claimed reports whether the attempt may have run. Any goroutine may call it.
func (p *Permit) Claimed() bool { return p.state.Load() == permitClaimed }
