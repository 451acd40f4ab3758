package engine

import (
	"sync/atomic"
	"time"
)

// Lease limits how long the settings in force may be used. It is checked wherever they are used: before a call is
// accepted, before an attempt is started, and when the carrier claims the attempt's permit to write it. Any goroutine
// may call its methods.
type Lease struct {
	// Clock returns the time on a clock that keeps running while the process is stopped or the machine is suspended.
	Clock     func() time.Duration
	expiresAt atomic.Int64
}

// Extend makes the lease valid until expiresAt, on its clock.
func (l *Lease) Extend(expiresAt time.Duration) { l.expiresAt.Store(int64(expiresAt)) }

// ExpiresAt returns when the lease expires, on its clock.
func (l *Lease) ExpiresAt() time.Duration { return time.Duration(l.expiresAt.Load()) }

// Expired reports whether the lease has expired. It is one comparison and allocates nothing.
func (l *Lease) Expired() bool { return int64(l.Clock()) >= l.expiresAt.Load() }
