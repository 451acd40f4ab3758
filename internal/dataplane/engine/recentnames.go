package engine

import "time"

// recentNames remembers each name for at least span and at most twice as long. It keeps two generations and drops the
// older one as a whole, so that it needs no timer per name, and its memory depends on the rate of names, not their total.
type recentNames struct {
	span              time.Duration
	rotatedAt         time.Duration
	current, previous map[string]struct{}
}

func newRecentNames(span time.Duration) *recentNames {
	return &recentNames{span: span, current: map[string]struct{}{}, previous: map[string]struct{}{}}
}

// add records a name and reports whether it was new.
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
