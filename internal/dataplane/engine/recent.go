package engine

import "time"

// recent remembers names for a span and up to twice as long. It keeps two sets and
// throws the older away whole, so that it costs no timer for each name and its
// memory follows the rate of names, never their number.
type recent struct {
	span     time.Duration
	turned   time.Duration
	now, old map[string]struct{}
}

func newRecent(span time.Duration) *recent {
	return &recent{span: span, now: map[string]struct{}{}, old: map[string]struct{}{}}
}

// add remembers a name, and tells whether it was new.
func (r *recent) add(name string, at time.Duration) bool {
	if gone := at - r.turned; gone >= r.span {
		r.old, r.now = r.now, map[string]struct{}{}
		if gone >= 2*r.span {
			r.old = nil
		}
		r.turned = at
	}
	_, now := r.now[name]
	_, old := r.old[name]
	if now || old {
		return false
	}
	r.now[name] = struct{}{}
	return true
}
