package engine

import "time"

// recentNames remembers names for a span and up to twice as long. It keeps two generations and drops the older one at
// once, so that it needs no timer for each name and its memory follows the rate of names, not their total.
type recentNames struct {
	span              time.Duration
	rotatedAt         time.Duration
	current, previous map[string]struct{}
}

func newRecentNames(span time.Duration) *recentNames {
	return &recentNames{span: span, current: map[string]struct{}{}, previous: map[string]struct{}{}}
}

// add remembers a name, and tells whether it was new.
func (r *recentNames) add(name string, at time.Duration) bool {
	if elapsed := at - r.rotatedAt; elapsed >= r.span {
		r.previous, r.current = r.current, map[string]struct{}{}
		if elapsed >= 2*r.span {
			r.previous = nil
		}
		r.rotatedAt = at
	}
	_, isCurrent := r.current[name]
	_, isPrevious := r.previous[name]
	if isCurrent || isPrevious {
		return false
	}
	r.current[name] = struct{}{}
	return true
}
