// Package hintedhandoff keeps messages for a receiver that can't be reached, until it can: hinted
// handoff. Of each subject the newest message alone is kept, for a bounded time, and of a
// bounded number of subjects. The package is pure; one goroutine at a time may use a table.
package hintedhandoff

import (
	"cmp"
	"slices"
	"time"
)

// Hint is a message that waits for its delivery.
type Hint[M any] struct {
	Key     string
	Message M
	number  uint64 // of the Put that brought it
	until   time.Duration
}

// Table holds the hints for one receiver.
type Table[M any] struct {
	most   int
	life   time.Duration
	last   uint64
	hinted map[string]Hint[M]
}

// New makes a table of so many subjects at most. What could not be delivered within life is
// dropped: by then the receiver has heard the same in another way, or it matters no more.
func New[M any](most int, life time.Duration) *Table[M] {
	return &Table[M]{most: most, life: life, hinted: map[string]Hint[M]{}}
}

// Store keeps a message, in place of an older one on the same subject. Where there is no room
// the oldest goes.
func (t *Table[M]) Store(now time.Duration, subject string, message M) {
	if _, known := t.hinted[subject]; !known && len(t.hinted) >= t.most {
		t.expire(now)
		if len(t.hinted) >= t.most {
			delete(t.hinted, t.oldest())
		}
	}
	t.last++
	t.hinted[subject] = Hint[M]{subject, message, t.last, now + t.life}
}

func (t *Table[M]) oldest() string {
	subject, number := "", uint64(0)
	for _, hint := range t.hinted {
		if number == 0 || hint.number < number {
			subject, number = hint.Key, hint.number
		}
	}
	return subject
}

func (t *Table[M]) expire(now time.Duration) {
	for subject, hint := range t.hinted {
		if now >= hint.until {
			delete(t.hinted, subject)
		}
	}
}

// Pending gives what is to be delivered, the oldest first. It stays until it is Delivered.
func (t *Table[M]) Pending(now time.Duration) []Hint[M] {
	t.expire(now)
	due := make([]Hint[M], 0, len(t.hinted))
	for _, hint := range t.hinted {
		due = append(due, hint)
	}
	slices.SortFunc(due, func(a, b Hint[M]) int { return cmp.Compare(a.number, b.number) })
	return due
}

// Remove drops hints that have arrived. What has been replaced meanwhile stays.
func (t *Table[M]) Remove(hints []Hint[M]) {
	for _, hint := range hints {
		if kept, known := t.hinted[hint.Key]; known && kept.number == hint.number {
			delete(t.hinted, hint.Key)
		}
	}
}
