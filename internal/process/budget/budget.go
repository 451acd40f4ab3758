package budget

import (
	"container/list"
	"context"
	"sync"
)

// Kind is what bytes are for.
type Kind uint8

// The kinds. What is Small can be sent again: a part of the limit is for it alone, so that a few large bodies
// don't keep all the usual ones out.
const (
	Small Kind = iota // a body, or an answer, that is small enough to be buffered complete
	Large             // what is buffered of larger ones
	kindCount
)

// maxLargePercent is the part of the limit that may be acquired for Large.
const maxLargePercent = 70

// Budget is the bytes of one process. Make it with New. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	limit   int
	used    [kindCount]int
	waiting list.List // of *waiter, the longest waiting first
}

type waiter struct {
	bytes   int
	kind    Kind
	granted chan struct{} // closed when the bytes are its own
}

// New makes a budget of limit bytes.
func New(limit int) *Budget { return &Budget{limit: max(0, limit)} }

// TryAcquire acquires bytes. It returns false, and acquires none, where there is no room or others wait for bytes
// of the kind.
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

// Acquire acquires bytes as soon as there is room, in turn within the kind. It returns the context's error, and
// has acquired nothing, when ctx ends before.
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

// abandon ends a wait with an error, or without one if the bytes were granted in the meantime.
func (b *Budget) abandon(element *list.Element, err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-element.Value.(*waiter).granted:
		return nil
	default:
	}
	b.waiting.Remove(element)
	b.grantWaiting() // it may have been the first, and those behind it may fit
	return err
}

// Release gives acquired bytes back. It panics when more is released than was acquired.
func (b *Budget) Release(bytes int, kind Kind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used[kind] -= bytes
	if b.used[kind] < 0 {
		panic("budget: more released than was acquired")
	}
	b.grantWaiting()
}

// SetLimit puts another limit in force, in bytes. What is acquired beyond it stays acquired: nothing more is
// granted until enough has been released.
func (b *Budget) SetLimit(limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = max(0, limit)
	b.grantWaiting()
}

// Limit is the limit in force, in bytes.
func (b *Budget) Limit() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit
}

// Used is how many bytes are acquired.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[Small] + b.used[Large]
}

// hasRoom says whether bytes fit into the limit. Called with the lock.
func (b *Budget) hasRoom(bytes int, kind Kind) bool {
	if b.used[Small]+b.used[Large]+bytes > b.limit {
		return false
	}
	return kind != Large || b.used[Large]+bytes <= b.limit/100*maxLargePercent
}

// hasWaiter says whether somebody waits for bytes of a kind: who comes later queues behind. Called with the lock.
func (b *Budget) hasWaiter(kind Kind) bool {
	for e := b.waiting.Front(); e != nil; e = e.Next() {
		if e.Value.(*waiter).kind == kind {
			return true
		}
	}
	return false
}

// grantWaiting grants bytes to those who wait, in turn within each kind: the first of a kind that doesn't fit
// holds up those behind it of the same kind. Called with the lock.
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
