package controlplane

import "time"

const (
	// maxMissedHeartbeats is how many heartbeats in a row a backend may miss before it expires. Raising it keeps
	// dead backends in the proxies' membership for longer; lowering it drops live ones when datagrams are lost.
	maxMissedHeartbeats = 3
	// lostPeerFactor is how many times longer a backend is kept whose heartbeats came by way of a control process
	// that has timed out itself. Raising it keeps backends for longer that died together with their control
	// process; lowering it drops live ones before they have turned to another process.
	lostPeerFactor = 5
)

// backendTable is when each backend sent its last heartbeat, to this control process or to another one. It does no
// locking of its own.
type backendTable struct {
	timeout  time.Duration // without a heartbeat, after which a backend expires
	lastSeen lastSeenTable // by the backend's id
}

// newBackendTable makes an empty table for backends that send a heartbeat each interval.
func newBackendTable(interval time.Duration) *backendTable {
	return &backendTable{timeout: maxMissedHeartbeats*interval + interval/2, lastSeen: lastSeenTable{}}
}

// expire removes the backends that have timed out, and returns their ids. peerTimedOut reports whether another control
// process has timed out: its silence says nothing of the backends that reported to it.
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
