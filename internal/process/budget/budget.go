package budget

import (
	"container/list"
	"context"
	"sync"
)

// Kind is the purpose for which bytes are acquired.
type Kind uint8

// The kinds. A part of the limit is reserved for Small bodies, which can be sent again in a retry, so that a few
// large bodies don't exclude all the others.
const (
	Small Kind = iota // a request or response body that is small enough to be buffered whole
	Large             // the buffered part of a larger body
	kindCount
)

// maxLargePercent is the percentage of the limit that may be acquired for Large.
const maxLargePercent = 70

// Budget tracks the acquired bytes of one process. Create it with New. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	limit   int
	used    [kindCount]int
	waiting list.List // of *waiter, in order of arrival
}

type waiter struct {
	bytes   int
	kind    Kind
	granted chan struct{} // closed when the bytes are granted
}

// New creates a budget of limit bytes.
func New(limit int) *Budget { return &Budget{limit: max(0, limit)} }

// TryAcquire acquires bytes without waiting. It returns false and acquires nothing if there is no room or others
// already wait for bytes of the kind.
func (b *Budget) TryAcquire(bytes int, kind Kind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tryAcquireLocked(bytes, kind)
}

func (b *Budget) tryAcquireLocked(bytes int, kind Kind) bool {
	if !b.hasRoom(bytes, kind) || b.hasWaiter(kind) {
		return false
	}
	b.used[kind] += bytes
	return true
}

// Acquire acquires bytes as soon as there is room, in order of arrival within the kind. If ctx ends first, it returns
// the context's error and acquires nothing.
func (b *Budget) Acquire(ctx context.Context, bytes int, kind Kind) error {
	b.mu.Lock()
	if b.tryAcquireLocked(bytes, kind) {
		b.mu.Unlock()
		return nil
	}
	w := &waiter{bytes: bytes, kind: kind, granted: make(chan struct{})}
	element := b.waiting.PushBack(w)
	b.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		return b.abandon(element, ctx.Err())
	}
}

// abandon ends a wait. It returns err, or nil if the bytes were granted in the meantime.
func (b *Budget) abandon(element *list.Element, err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-element.Value.(*waiter).granted:
		return nil
	default:
	}
	b.waiting.Remove(element)
	b.grantWaiting() // this waiter may have blocked others that fit
	return err
}

// Release returns acquired bytes. It panics if more is released than was acquired.
func (b *Budget) Release(bytes int, kind Kind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used[kind] -= bytes
	if b.used[kind] < 0 {
		panic("budget: more released than was acquired")
	}
	b.grantWaiting()
}

// SetLimit changes the limit, in bytes. If more is acquired than the new limit allows, nothing is revoked, but
// nothing more is granted until enough has been released.
func (b *Budget) SetLimit(limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = max(0, limit)
	b.grantWaiting()
}

// Limit returns the current limit in bytes.
func (b *Budget) Limit() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit
}

// Used returns the number of acquired bytes.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[Small] + b.used[Large]
}

// hasRoom reports whether bytes fit into the limit. The caller holds the lock.
func (b *Budget) hasRoom(bytes int, kind Kind) bool {
	if b.used[Small]+b.used[Large]+bytes > b.limit {
		return false
	}
	return kind != Large || b.used[Large]+bytes <= b.limit/100*maxLargePercent
}

// hasWaiter reports whether anyone waits for bytes of a kind; later callers queue behind them. The caller holds the
// lock.
func (b *Budget) hasWaiter(kind Kind) bool {
	for e := b.waiting.Front(); e != nil; e = e.Next() {
		if e.Value.(*waiter).kind == kind {
			return true
		}
	}
	return false
}

// grantWaiting grants bytes to waiters in order within each kind: the first waiter that doesn't fit blocks those of
// the same kind behind it. The caller holds the lock.
func (b *Budget) grantWaiting() {
	var blocked [kindCount]bool
	var next *list.Element
	for e := b.waiting.Front(); e != nil; e = next {
		next = e.Next()
		w := e.Value.(*waiter)
		if blocked[w.kind] {
			continue
		}
		if !b.hasRoom(w.bytes, w.kind) {
			blocked[w.kind] = true
			continue
		}
		b.used[w.kind] += w.bytes
		b.waiting.Remove(e)
		close(w.granted)
	}
}
