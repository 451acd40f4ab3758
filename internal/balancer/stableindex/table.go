// Package stableindex assigns an index to each name in a list, such as the classes of requests, and keeps it stable
// while the list changes. What was learned of a name is stored under its index: a name that stays in the list keeps it,
// and so does one that returns before its index is reused.
//
// The package is pure, and its Table belongs to its caller, which also owns what a name stands for and what was learned
// of it.
package stableindex

import (
	"fmt"
	"slices"
	"time"
)

// Table holds the assigned indices. The zero value has room for none: see New.
type Table struct {
	maxLen int
	slots  []slot
}

type slot struct {
	name      string
	removed   bool
	removedAt time.Duration // if removed
}

// MinReuseAge is how long the index of a removed name is not reused: what was in flight under it has been counted by
// then.
const MinReuseAge = 10 * time.Second

// New returns a table of at most maxLen indices.
func New(maxLen int) *Table { return &Table{maxLen: maxLen} }

// Grow makes room for maxLen indices, if there is less.
func (t *Table) Grow(maxLen int) { t.maxLen = max(t.maxLen, maxLen) }

// Len returns the number of indices: 0 to Len-1.
func (t *Table) Len() int { return len(t.slots) }

// Name returns the owner of an index, even if it is not in the list now.
func (t *Table) Name(i int) string { return t.slots[i].name }

// Removed reports whether the owner of an index is not in the list now.
func (t *Table) Removed(i int) bool { return t.slots[i].removed }

// DuplicateError reports a list that contains a name twice.
type DuplicateError struct{ Name string }

// Error implements error.
func (e *DuplicateError) Error() string { return fmt.Sprintf("%q stands in the list twice", e.Name) }

// FullError reports a list for which there are not enough indices.
type FullError struct {
	Name   string // the first name without an index
	MaxLen int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("%q is one too many beside those of which something is still open: there is room for %d", e.Name, e.MaxLen)
}

// Assign sets a new list of names and returns the index of each. reused are the indices, among those that existed
// before, that now belong to another name: what was learned under them must be discarded. inUse reports whether
// something of an index's owner is still open; such an index is not reused. The error is a DuplicateError or a
// FullError; then nothing has changed.
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

// keepAssigned returns the indices of the names that already have one, and the positions in names of those that have
// none.
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

// oldestRemoved returns the index below old whose owner was removed the longest time ago and that may be reused, or -1.
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
