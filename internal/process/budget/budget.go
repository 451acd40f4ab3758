// Package budget says who may hold how many bytes of a process's memory. Every buffer
// whose size follows what others send is taken from here before it is filled, so that no
// traffic makes the process larger than its limit. It owns the sums and the order of those
// who wait. It never says which request goes on: a taker that gets nothing passes on what
// it has, waits, or turns its request away.
package budget

import (
	"container/list"
	"context"
	"sync"
)

// Kind is what bytes are for.
type Kind uint8

// The kinds. What is whole in hand can be sent again, and is small: a part of the limit is
// for it alone, so that a few large bodies don't keep all the usual ones out.
const (
	Small Kind = iota // a body, or an answer, that is small enough to be held whole
	Large             // what is held of larger ones
	kindCount
)

// maxLargePercent is the part of the limit that may be taken for Large, in percent.
const maxLargePercent = 70

// Budget is one process's bytes. Make it with New. Any goroutine may use it.
type Budget struct {
	mu      sync.Mutex
	limit   int
	used    [kindCount]int
	waiting list.List // of *waiter, the longest waiting first
}

type waiter struct {
	bytes    int
	kind Kind
	granted  chan struct{} // closed when the bytes are its own
}

// New makes a budget of so many bytes.
func New(limit int) *Budget { return &Budget{limit: max(0, limit)} }

// hasRoom tells whether there is room. Called with the lock.
func (b *Budget) hasRoom(n int, k Kind) bool {
	if b.used[Small]+b.used[Large]+n > b.limit {
		return false
	}
	return k != Large || b.used[Large]+n <= b.limit/100*maxLargePercent
}

// TryAcquire takes bytes, or none where there is no room or others wait for it.
func (b *Budget) TryAcquire(n int, k Kind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.hasRoom(n, k) || b.hasWaiter(k) {
		return false
	}
	b.used[k] += n
	return true
}

// hasWaiter tells whether somebody waits for bytes of a kind: who comes later goes behind.
func (b *Budget) hasWaiter(k Kind) bool {
	for e := b.waiting.Front(); e != nil; e = e.Next() {
		if e.Value.(*waiter).kind == k {
			return true
		}
	}
	return false
}

// Acquire takes bytes as soon as there is room, in turn. It gives an error, and has taken
// nothing, when ctx ends before.
func (b *Budget) Acquire(ctx context.Context, n int, k Kind) error {
	b.mu.Lock()
	if b.hasRoom(n, k) && !b.hasWaiter(k) {
		b.used[k] += n
		b.mu.Unlock()
		return nil
	}
	w := &waiter{bytes: n, kind: k, granted: make(chan struct{})}
	e := b.waiting.PushBack(w)
	b.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-w.granted: // just now
		return nil
	default:
	}
	b.waiting.Remove(e)
	b.grantWaiting() // it may have been first in a line that can go on without it
	return ctx.Err()
}

// Release gives bytes back.
func (b *Budget) Release(n int, k Kind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used[k] -= n; b.used[k] < 0 {
		panic("budget: more given back than was taken")
	}
	b.grantWaiting()
}

// grantWaiting gives room to those who wait, of each kind in turn. Called with the lock.
func (b *Budget) grantWaiting() {
	var stopped [kindCount]bool
	for e := b.waiting.Front(); e != nil; {
		w, next := e.Value.(*waiter), e.Next()
		if !stopped[w.kind] {
			if b.hasRoom(w.bytes, w.kind) {
				b.used[w.kind] += w.bytes
				b.waiting.Remove(e)
				close(w.granted)
			} else {
				stopped[w.kind] = true
			}
		}
		e = next
	}
}

// SetLimit puts another limit in force. What is over it already stays taken: nothing more
// is given until enough has come back.
func (b *Budget) SetLimit(limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = max(0, limit)
	b.grantWaiting()
}

// Limit is the limit in force.
func (b *Budget) Limit() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit
}

// Used is how many bytes are taken.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[Small] + b.used[Large]
}
