package controlplane

import (
	"maps"
	"time"
)

// nodeTimeout is how long a node without a call remains a member. Raising it keeps failed nodes among the candidates for
// a lease for longer; lowering it drops live ones that are slow to call.
const nodeTimeout = 4 * time.Second

// nodeTable records when each node, a machine that carries traffic, last called this control process or another one.
// The caller must hold the lock.
type nodeTable struct {
	lastSeen lastSeenTable // by node name
}

func newNodeTable() *nodeTable { return &nodeTable{lastSeen: lastSeenTable{}} }

// onCall records a node's call, and reports whether the node was known before.
func (t *nodeTable) onCall(now time.Time, name string) bool {
	_, known := t.lastSeen[name]
	t.lastSeen.onContact(now, name)
	return known
}

// expire removes the nodes that have timed out.
func (t *nodeTable) expire(now time.Time) {
	maps.DeleteFunc(t.lastSeen, func(_ string, seen lastSeen) bool { return now.Sub(seen.at) > nodeTimeout })
}
