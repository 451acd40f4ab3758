package budgetshare

import (
	"hash/fnv"
	"io"
	"slices"
	"time"
)

const (
	// SettleTime is how long a list must stand before a share that grows by it is used.
	SettleTime = 4 * time.Second
	// MembershipTimeout is how long a list counts without an update that says that it is fresh.
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

// previousMembers is a list that was in force until a time.
type previousMembers struct {
	names []string
	until time.Duration
}

// NewMembership makes the membership of a proxy that has just started: it has no share until its
// list has stood for SettleTime.
func NewMembership(self string, now time.Duration) *Membership {
	return &Membership{self: self, previous: []previousMembers{{nil, now}}}
}

// Update takes in the list of proxies, and whether it is fresh.
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

// Count is how many proxies there are, itself among them.
func (s *Membership) Count() int { return max(1, len(s.names)) }

// Expired tells whether the list may be too old to act on.
func (s *Membership) Expired(now time.Duration) bool {
	return !s.everUpdated || now-s.updatedAt > MembershipTimeout
}

// minShare gives the smallest share by any list that was in force within SettleTime.
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

// Share is this proxy's share of a total that belongs to a key, such as a backend.
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
	_, _ = io.WriteString(hash, key+"|"+name) // a hash takes all that it is given
	h := hash.Sum64()
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	return h ^ h>>33
}
