package engine

import (
	"sync/atomic"
	"time"
)

// Lease bounds how long the settings in force may be used. It is checked where they are used: before a call is accepted,
// an attempt decided on, and its first byte written. Any goroutine may call its methods.
type Lease struct {
	// Clock is a clock that goes on while the process is stopped or its machine sleeps.
	Clock     func() time.Duration
	expiresAt atomic.Int64
}

// Extend makes the lease valid until then, on its clock.
func (l *Lease) Extend(expiresAt time.Duration) { l.expiresAt.Store(int64(expiresAt)) }

// ExpiresAt is when it expires, on its clock.
func (l *Lease) ExpiresAt() time.Duration { return time.Duration(l.expiresAt.Load()) }

// Expired tells whether it has expired. It is one comparison and allocates nothing.
func (l *Lease) Expired() bool { return int64(l.Clock()) >= l.expiresAt.Load() }
