package controlplane

import "time"

// lastSeen is when something gave its last sign of life, and to which control process.
type lastSeen struct {
	reporter string // the address of the control process that said so; "" is this one
	at       time.Time
}

// lastSeenTable is when each of some things gave its last sign of life, by its id.
type lastSeenTable map[string]lastSeen

// onSignOfLife records that something gave a sign of life to this process.
func (t lastSeenTable) onSignOfLife(now time.Time, id string) { t[id] = lastSeen{at: now} }

// onReport records what another control process said, unless something newer is known.
func (t lastSeenTable) onReport(reporter, id string, at time.Time) {
	if t[id].at.Before(at) {
		t[id] = lastSeen{reporter: reporter, at: at}
	}
}

// reportedHere tells whether the newest sign of life came to this process: it tells the others of that.
func (t lastSeenTable) reportedHere(id string) bool {
	seen, known := t[id]
	return known && seen.reporter == ""
}
