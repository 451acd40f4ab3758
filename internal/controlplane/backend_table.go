package controlplane

import "time"

const (
	// maxMissedHeartbeats is how many heartbeats in a row a backend may miss before it expires. Raising it keeps
	// failed backends in the proxies' membership for longer; lowering it drops live ones when heartbeats are lost.
	maxMissedHeartbeats = 3
	// lostPeerFactor multiplies the timeout of a backend whose heartbeats were reported by a control process that has
	// itself timed out. Raising it keeps backends that failed together with that process for longer; lowering it
	// drops live backends before they have switched to another control process.
	lostPeerFactor = 5
)

// backendTable records when each backend last sent a heartbeat, to this control process or to another one. The caller
// must hold the lock.
type backendTable struct {
	timeout  time.Duration // a backend without a heartbeat for this long expires
	lastSeen lastSeenTable // by backend id
}

// newBackendTable makes an empty table for backends that send a heartbeat every interval.
func newBackendTable(interval time.Duration) *backendTable {
	return &backendTable{timeout: maxMissedHeartbeats*interval + interval/2, lastSeen: lastSeenTable{}}
}

// expire removes the backends that have timed out, and returns their ids. peerTimedOut reports whether another control
// process has timed out: its silence doesn't mean that the backends that reported to it have failed.
func (t *backendTable) expire(now time.Time, peerTimedOut func(address string) bool) map[string]bool {
	expired := map[string]bool{}
	for id, seen := range t.lastSeen {
		timeout := t.timeout
		if seen.reporter != "" && peerTimedOut(seen.reporter) {
			timeout *= lostPeerFactor
		}
		if now.Sub(seen.at) > timeout {
			expired[id] = true
			delete(t.lastSeen, id)
		}
	}
	return expired
}
