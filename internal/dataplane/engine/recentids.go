package engine

import "time"

// recentIDs remembers each request ID for at least span and at most twice as long. It keeps two generations and drops
// the older one as a whole, so that it needs no timer per ID, and its memory depends on the rate of IDs, not their
// total.
type recentIDs struct {
	span              time.Duration
	rotatedAt         time.Duration
	current, previous map[string]struct{}
}

func newRecentIDs(span time.Duration) *recentIDs {
	return &recentIDs{span: span, current: map[string]struct{}{}, previous: map[string]struct{}{}}
}

// add records an ID and reports whether it was new.
func (r *recentIDs) add(id string, at time.Duration) bool {
	if elapsed := at - r.rotatedAt; elapsed >= r.span {
		r.previous, r.current = r.current, map[string]struct{}{}
		if elapsed >= 2*r.span {
			r.previous = nil
		}
		r.rotatedAt = at
	}
	_, isCurrent := r.current[id]
	_, isPrevious := r.previous[id]
	if isCurrent || isPrevious {
		return false
	}
	r.current[id] = struct{}{}
	return true
}
