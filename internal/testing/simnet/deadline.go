package simnet

import (
	"sync"
	"time"
)

// deadline is a time that may be changed while it is waited for.
type deadline struct {
	mu      sync.Mutex
	at      time.Time // zero: there is none
	changed chan struct{}
}

func newDeadline() *deadline { return &deadline{changed: make(chan struct{})} }

func (d *deadline) set(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at = at
	close(d.changed)
	d.changed = make(chan struct{})
}

// remaining is how long it is until the deadline; set is false where there is none.
func (d *deadline) remaining() (remaining time.Duration, set bool, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Until(d.at), !d.at.IsZero(), d.changed
}
