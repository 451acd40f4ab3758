package controlplane

import "time"

// lastSeen is when something last showed that it lives, and to which control process.
type lastSeen struct {
	reporter string // the address of the control process that said so; "" is this one
	at       time.Time
}

// lastSeenTable is when each of some things last showed that it lives, by its id.
type lastSeenTable map[string]lastSeen

// onContact records that something called this process.
func (t lastSeenTable) onContact(now time.Time, id string) { t[id] = lastSeen{at: now} }

// onReport records what another control process said, unless something newer is known.
func (t lastSeenTable) onReport(reporter, id string, at time.Time) {
	if t[id].at.Before(at) {
		t[id] = lastSeen{reporter: reporter, at: at}
	}
}

// reportedHere reports whether the newest contact was to this process: it tells the others of that.
func (t lastSeenTable) reportedHere(id string) bool {
	seen, known := t[id]
	return known && seen.reporter == ""
}
