// Package stableindex gives things that are known by name, such as the classes of requests, a
// number each that stays theirs while the list of them changes. What was learnt of one
// hangs on its number: one that stays in the list keeps it, and so does one that comes
// back. It is pure. What a thing is, and what was learnt of it, is its callers'.
package stableindex

import (
	"fmt"
	"time"
)

// Table is the numbers in use. The zero value has none and room for none: see New.
type Table struct {
	maxLen int
	slots  []slot
}

type slot struct {
	name      string
	removed   bool
	removedAt time.Duration // gone: since when
}

// MinReuseAge is how long a number stays its last owner's after that has gone: what was on its
// way to be counted under it has come by then.
const MinReuseAge = 10 * time.Second

// New makes a table of at most so many numbers.
func New(most int) *Table { return &Table{maxLen: most} }

// Len is how many numbers there are: from 0 to it.
func (t *Table) Len() int { return len(t.slots) }

// Name is the owner of a number, also one that is not in the list now.
func (t *Table) Name(i int) string { return t.slots[i].name }

// Removed tells whether the owner of a number is not in the list now.
func (t *Table) Removed(i int) bool { return t.slots[i].removed }

// Assign puts a new list of names in force and gives the number of each. fresh are the
// numbers, among those that were there before, whose owner is another one now: what was
// learnt under them is to be forgotten. inUse tells whether something of a number's owner
// is still open; such a number is not given away. Where it fails, nothing has changed.
func (t *Table) Assign(now time.Duration, names []string, inUse func(i int) bool) (at, fresh []int, err error) {
	next := append([]slot(nil), t.slots...)
	for i := range next {
		if !next[i].removed {
			next[i].removed, next[i].removedAt = true, now
		}
	}
	at = make([]int, len(names))
	var left []int // places in names that have no number yet
	for k, name := range names {
		at[k] = -1
		for i := range next {
			if next[i].name != name {
				continue
			}
			if !next[i].removed {
				return nil, nil, fmt.Errorf("%q stands in the list twice", name)
			}
			next[i].removed, at[k] = false, i
		}
		if at[k] < 0 {
			left = append(left, k)
		}
	}
	for n, k := range left {
		for _, before := range left[:n] {
			if names[before] == names[k] {
				return nil, nil, fmt.Errorf("%q stands in the list twice", names[k])
			}
		}
		i := len(next)
		if i < t.maxLen {
			next = append(next, slot{})
		} else if i = oldestRemoved(next, now, len(t.slots), inUse); i >= 0 {
			fresh = append(fresh, i)
		} else {
			return nil, nil, fmt.Errorf("%q is one too many beside those of which something is still open: there is room for %d",
				names[k], t.maxLen)
		}
		next[i], at[k] = slot{name: names[k]}, i
	}
	t.slots = next
	return at, fresh, nil
}

// oldestRemoved finds the number that is the longest without an owner and may be given away, or -1.
func oldestRemoved(s []slot, now time.Duration, old int, inUse func(i int) bool) int {
	best := -1
	for i := range s[:old] {
		if !s[i].removed || now-s[i].removedAt < MinReuseAge || inUse(i) {
			continue
		}
		if best < 0 || s[i].removedAt < s[best].removedAt {
			best = i
		}
	}
	return best
}
