package controlplane

import "time"

// lastSeen is the last sign of life of a backend or node, and the control process that received it.
type lastSeen struct {
	reporter string // the address of the control process that received it; "" for this process
	at       time.Time
}

// lastSeenTable holds the last sign of life of each backend or node, by its id.
type lastSeenTable map[string]lastSeen

// onContact records that a backend or node has called this process.
func (t lastSeenTable) onContact(now time.Time, id string) { t[id] = lastSeen{at: now} }

// onReport records a contact that another control process reported, unless a newer one is known.
func (t lastSeenTable) onReport(reporter, id string, at time.Time) {
	if t[id].at.Before(at) {
		t[id] = lastSeen{reporter: reporter, at: at}
	}
}

// reportedHere reports whether the newest contact was with this process, which then reports it to the others.
func (t lastSeenTable) reportedHere(id string) bool {
	seen, known := t[id]
	return known && seen.reporter == ""
}
