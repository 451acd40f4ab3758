// Package stableindex gives named things, such as the classes of requests, an index each that stays theirs while
// the list of names changes. What was learned of one is kept under its index: a name that stays in the list keeps it,
// and so does one that comes back.
//
// It is pure, and its Table belongs to its caller. What a name stands for, and what was learned of it, is the caller's.
package stableindex

import (
	"fmt"
	"slices"
	"time"
)

// Table has the indices in use. The zero value has room for none: see New.
type Table struct {
	maxLen int
	slots  []slot
}

type slot struct {
	name      string
	removed   bool
	removedAt time.Duration // gone: since when
}

// MinReuseAge is how long an index stays its last owner's after that was removed: what was in flight under it has
// been counted by then.
const MinReuseAge = 10 * time.Second

// New makes a table of at most maxLen indices.
func New(maxLen int) *Table { return &Table{maxLen: maxLen} }

// Grow makes room for so many indices, where there is less.
func (t *Table) Grow(maxLen int) { t.maxLen = max(t.maxLen, maxLen) }

// Len is how many indices there are: 0 to Len-1.
func (t *Table) Len() int { return len(t.slots) }

// Name is the owner of an index, also one that is not in the list now.
func (t *Table) Name(i int) string { return t.slots[i].name }

// Removed tells whether the owner of an index is not in the list now.
func (t *Table) Removed(i int) bool { return t.slots[i].removed }

// DuplicateError is a list in which a name stands twice.
type DuplicateError struct{ Name string }

// Error implements error.
func (e *DuplicateError) Error() string { return fmt.Sprintf("%q stands in the list twice", e.Name) }

// FullError is a list for which there are not enough indices.
type FullError struct {
	Name   string // the first that has none
	MaxLen int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("%q is one too many beside those of which something is still open: there is room for %d", e.Name, e.MaxLen)
}

// Assign puts a new list of names in force and gives the index of each. reused are the
// indices, among those that there were before, whose owner is another one now: what was
// learned under them is to be forgotten. inUse tells whether something of an index's owner
// is still open; such an index is not reused. The error is a DuplicateError or a FullError; then nothing has changed.
func (t *Table) Assign(now time.Duration, names []string, inUse func(i int) bool) (indices, reused []int, err error) {
	next := slices.Clone(t.slots)
	for i := range next {
		if !next[i].removed {
			next[i].removed, next[i].removedAt = true, now
		}
	}
	indices, unassigned, err := keepAssigned(next, names)
	if err != nil {
		return nil, nil, err
	}
	for _, k := range unassigned {
		i := len(next)
		if i < t.maxLen {
			next = append(next, slot{})
		} else {
			i = oldestRemoved(next, now, len(t.slots), inUse)
			if i < 0 {
				return nil, nil, &FullError{names[k], t.maxLen}
			}
			reused = append(reused, i)
		}
		next[i], indices[k] = slot{name: names[k]}, i
	}
	t.slots = next
	return indices, reused, nil
}

// keepAssigned gives the names that have an index already theirs, and the positions in names of those that have none.
func keepAssigned(slots []slot, names []string) (indices, unassigned []int, err error) {
	indices = make([]int, len(names))
	for k, name := range names {
		if slices.Contains(names[:k], name) {
			return nil, nil, &DuplicateError{name}
		}
		indices[k] = slices.IndexFunc(slots, func(s slot) bool { return s.name == name })
		if indices[k] < 0 {
			unassigned = append(unassigned, k)
			continue
		}
		slots[indices[k]].removed = false
	}
	return indices, unassigned, nil
}

// oldestRemoved finds the index, below old, that has been without an owner for the longest time and may be reused, or
// -1.
func oldestRemoved(slots []slot, now time.Duration, old int, inUse func(i int) bool) int {
	best := -1
	for i := range slots[:old] {
		if !slots[i].removed || now-slots[i].removedAt < MinReuseAge || inUse(i) {
			continue
		}
		if best < 0 || slots[i].removedAt < slots[best].removedAt {
			best = i
		}
	}
	return best
}
