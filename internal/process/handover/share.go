package handover

import "time"

// Stage is a process's stage between its start and its end.
type Stage uint8

// The stages. Their values are stored in files, so they must not change.
const (
	Starting Stage = iota // it can't serve yet
	Serving
	Leaving // it accepts nothing new, and ends when its pending requests are answered
	stageCount
)

// String implements fmt.Stringer.
func (s Stage) String() string {
	return [...]string{"starting", "serving", "leaving"}[min(s, stageCount-1)]
}

// Peer is another live process of the same proxy.
type Peer struct {
	ID    int // process id
	Stage Stage
}

// Share is the fraction of the machine's capacity that a process may use.
type Share struct{ Numerator, Denominator int }

// FullShare is the whole capacity.
var FullShare = Share{1, 1}

// Of returns the share of an amount.
func (s Share) Of(amount int) int { return amount / max(1, s.Denominator) * s.Numerator }

const (
	// pollInterval is how often a process looks for others. Raising it lets a new process and this one together exceed
	// the capacity for longer; at the present value a new process is seen long before it serves.
	pollInterval = 100 * time.Millisecond
	// reclaimDelay is how long a process must be absent before its share is reclaimed. Danger: if lowered, a process that
	// has just ended may still hold its memory and sockets.
	reclaimDelay = 500 * time.Millisecond
	// maxShares bounds how many shares the capacity is divided into, so that files that are never cleaned up can't leave
	// a process without capacity.
	maxShares = 4
)

// ShareTracker decides what share of the capacity a process has. It is pure: the caller passes in which other processes
// were seen and when. The zero value is for a process that is alone.
//
// With n live processes, each has an equal share. A process reduces its share as soon as it sees another one, and
// reclaims it only after the other one has been absent for reclaimDelay. The processes exchange no messages for this: a
// process counts while it holds its lock, whatever its file contains.
type ShareTracker struct {
	processes   int           // processes that share the capacity now; 0 means 1
	shrinking   bool          // recent updates saw fewer processes
	shrinkingAt time.Duration // start of the current wait for reclaimDelay
	mostRecent  int           // the most processes seen since then
}

// Update records which other processes are alive, and returns this process's share.
func (t *ShareTracker) Update(now time.Duration, peers []Peer) Share {
	seen := min(1+len(peers), maxShares)
	switch {
	case seen >= max(1, t.processes):
		t.processes, t.shrinking = seen, false
	case !t.shrinking:
		t.shrinking, t.shrinkingAt, t.mostRecent = true, now, seen
	case seen > t.mostRecent:
		t.shrinkingAt, t.mostRecent = now, seen
	case now-t.shrinkingAt >= reclaimDelay:
		t.processes, t.shrinking = t.mostRecent, false
	}
	return Share{1, max(1, t.processes)}
}
