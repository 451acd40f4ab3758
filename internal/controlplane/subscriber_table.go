package controlplane

import (
	"maps"
	"slices"
	"time"
)

// subscriberTimeout is how long a node counts as a subscriber after its last watch here. It has to be longer than a
// watch without an update takes (maxWatchWait is the most, clients ask for less), or subscribers come and go in the
// status; raising it shows nodes for longer that have turned to another source.
const subscriberTimeout = nodeTimeout

// subscriberTable is when each node watched the state at this process last. It does no locking of its own.
type subscriberTable struct {
	lastWatch map[string]time.Time // by the node's name
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
