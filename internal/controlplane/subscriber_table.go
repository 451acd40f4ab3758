package controlplane

import (
	"maps"
	"slices"
	"time"
)

// subscriberTimeout is how long a node counts as a subscriber after its last watch here. It has to be longer than a
// watch without an update takes (clients request less than maxWatchWait), or subscribers come and go in the status.
// Raising it shows nodes for longer that have switched to another source.
const subscriberTimeout = nodeTimeout

// subscriberTable records when each node last watched the state at this process. The caller must hold the lock.
type subscriberTable struct {
	lastWatch map[string]time.Time // by node name
}

func newSubscriberTable() *subscriberTable {
	return &subscriberTable{lastWatch: map[string]time.Time{}}
}

// onWatch records that a node watches the state here.
func (t *subscriberTable) onWatch(now time.Time, name string) { t.lastWatch[name] = now }

// names returns the subscribers' names, sorted.
func (t *subscriberTable) names() []string { return slices.Sorted(maps.Keys(t.lastWatch)) }

// expire removes the subscribers that have timed out.
func (t *subscriberTable) expire(now time.Time) {
	maps.DeleteFunc(t.lastWatch, func(_ string, at time.Time) bool { return now.Sub(at) > subscriberTimeout })
}
