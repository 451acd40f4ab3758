package hintedhandoff

import (
	"cmp"
	"slices"
	"time"
)

// Hint is a message that has not been delivered yet.
type Hint[M any] struct {
	Key     string // what the message is about
	Message M

	number   uint64 // of the Store call that added it
	deadline time.Duration
}

// Table holds the hints for one receiver.
type Table[M any] struct {
	maxKeys int
	ttl     time.Duration
	stored  uint64 // Store calls so far
	hints   map[string]Hint[M]
}

// New returns a table of at most maxKeys keys. Messages that are not delivered within ttl are dropped. A higher ttl
// costs memory, and a receiver that returns late gets messages that it has already received in another way; with a
// lower ttl it receives them only in that slower way.
func New[M any](maxKeys int, ttl time.Duration) *Table[M] {
	return &Table[M]{maxKeys: maxKeys, ttl: ttl, hints: map[string]Hint[M]{}}
}

// Store adds a message and replaces an older one with the same key. If the table is full, it drops the oldest hint. now
// is the time since some fixed moment, the same one in all calls.
func (t *Table[M]) Store(now time.Duration, key string, message M) {
	if _, known := t.hints[key]; !known {
		t.makeRoom(now)
	}
	t.stored++
	t.hints[key] = Hint[M]{Key: key, Message: message, number: t.stored, deadline: now + t.ttl}
}

// makeRoom makes room for one more key by dropping expired hints or, if there are none, the oldest one.
func (t *Table[M]) makeRoom(now time.Duration) {
	if len(t.hints) < t.maxKeys {
		return
	}
	t.expire(now)
	if len(t.hints) >= t.maxKeys {
		delete(t.hints, t.oldestKey())
	}
}

func (t *Table[M]) oldestKey() string {
	key, number := "", uint64(0)
	for _, hint := range t.hints {
		if number == 0 || hint.number < number {
			key, number = hint.Key, hint.number
		}
	}
	return key
}

func (t *Table[M]) expire(now time.Duration) {
	for key, hint := range t.hints {
		if now >= hint.deadline {
			delete(t.hints, key)
		}
	}
}

// Pending returns the hints to deliver, oldest first. They stay in the table until Remove is called.
func (t *Table[M]) Pending(now time.Duration) []Hint[M] {
	t.expire(now)
	pending := make([]Hint[M], 0, len(t.hints))
	for _, hint := range t.hints {
		pending = append(pending, hint)
	}
	slices.SortFunc(pending, func(a, b Hint[M]) int { return cmp.Compare(a.number, b.number) })
	return pending
}

// Remove drops hints that have been delivered. A newer message that has replaced one of them in the meantime stays.
func (t *Table[M]) Remove(delivered []Hint[M]) {
	for _, hint := range delivered {
		kept, known := t.hints[hint.Key]
		if known && kept.number == hint.number {
			delete(t.hints, hint.Key)
		}
	}
}
