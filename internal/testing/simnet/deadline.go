package simnet

import (
	"sync"
	"time"
)

// deadline is a deadline that may change while a goroutine waits for it.
type deadline struct {
	mu      sync.Mutex
	at      time.Time     // zero: no deadline
	changed chan struct{} // closed and replaced by set
}

func newDeadline() *deadline { return &deadline{changed: make(chan struct{})} }

func (d *deadline) set(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at = at
	close(d.changed)
	d.changed = make(chan struct{})
}

// remaining returns the time until the deadline; set is false if there is none. changed is closed by the next call of set.
func (d *deadline) remaining() (remaining time.Duration, set bool, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Until(d.at), !d.at.IsZero(), d.changed
}
