package budgetshare

import (
	"hash/fnv"
	"io"
	"slices"
	"time"
)

const (
	// SettleTime is how long a list must stay unchanged before a share that it increases is used.
	SettleTime = 4 * time.Second
	// MembershipTimeout is how long a list is used without a fresh update.
	MembershipTimeout = 3 * time.Second
)

// Membership is the list of proxies that share the budgets, as one proxy knows it. Not safe for concurrent use.
type Membership struct {
	self        string
	names       []string // the newest list, sorted
	previous    []previousMembers
	updatedAt   time.Duration
	everUpdated bool
}

// previousMembers is an earlier list and the time until which it was in force.
type previousMembers struct {
	names []string
	until time.Duration
}

// NewMembership returns the membership of a proxy that has just started: it has no share until its list has been
// unchanged for SettleTime.
func NewMembership(self string, now time.Duration) *Membership {
	return &Membership{self: self, previous: []previousMembers{{nil, now}}}
}

// Update sets the list of proxies; fresh says that the list is known to be current.
func (s *Membership) Update(now time.Duration, names []string, fresh bool) {
	if fresh {
		s.updatedAt, s.everUpdated = now, true
	}
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	if slices.Equal(sorted, s.names) {
		return
	}
	if len(s.names) > 0 {
		s.previous = append(s.previous, previousMembers{s.names, now})
	}
	s.names = sorted
}

// Count returns the number of proxies, including this one.
func (s *Membership) Count() int { return max(1, len(s.names)) }

// Expired reports whether the list may be too old to act on.
func (s *Membership) Expired(now time.Duration) bool {
	return !s.everUpdated || now-s.updatedAt > MembershipTimeout
}

// minShare returns the smallest share under any list that was in force within SettleTime, and 0 if the list has
// expired.
func (s *Membership) minShare(now time.Duration, share func(names []string) int) int {
	if s.Expired(now) {
		return 0
	}
	s.previous = slices.DeleteFunc(s.previous, func(v previousMembers) bool { return now-v.until > SettleTime })
	smallest := share(s.names)
	for _, v := range s.previous {
		smallest = min(smallest, share(v.names))
	}
	return smallest
}

// Share returns this proxy's share of a total that belongs to a key, such as a backend.
func (s *Membership) Share(now time.Duration, key string, total int) int {
	return s.minShare(now, func(names []string) int { return s.shareAmong(names, key, total) })
}

func (s *Membership) shareAmong(names []string, key string, total int) int {
	if !slices.Contains(names, s.self) {
		return 0
	}
	each, remainder := total/len(names), total%len(names)
	if remainder == 0 {
		return each
	}
	mine := score(key, s.self)
	ahead := 0
	for _, name := range names {
		if other := score(key, name); other > mine || other == mine && name < s.self {
			ahead++
		}
	}
	if ahead < remainder {
		return each + 1
	}
	return each
}

func score(key, name string) uint64 {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, key+"|"+name) // a hash never returns an error
	h := hash.Sum64()
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	return h ^ h>>33
}
