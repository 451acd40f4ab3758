package handover

import "time"

// Stage is where a process is in its life.
type Stage uint8

// The stages. Their numbers are stored.
const (
	Starting Stage = iota // it can't serve yet
	Serving
	Leaving // it takes nothing new, and ends when its pending requests are answered
	stageCount
)

// String implements fmt.Stringer.
func (s Stage) String() string {
	return [...]string{"starting", "serving", "leaving"}[min(s, stageCount-1)]
}

// Peer is another process of the same proxy that is alive.
type Peer struct {
	ID    int // of the process, as the system numbers them
	Stage Stage
}

// Share is the part of the machine's capacity that a process may use: Numerator in Denominator.
type Share struct{ Numerator, Denominator int }

// FullShare is all of the capacity.
var FullShare = Share{1, 1}

// Of returns the part of an amount.
func (s Share) Of(amount int) int { return amount / max(1, s.Denominator) * s.Numerator }

const (
	// pollInterval is how often a process looks for others. Raising it lets a new process and this one use more than the
	// capacity for longer; a new one is seen long before it serves.
	pollInterval = 100 * time.Millisecond
	// reclaimDelay is how long no other process has to be seen before its share is taken back. Danger: lowered, a process
	// that has just died may still have its memory and its sockets.
	reclaimDelay = 500 * time.Millisecond
	// maxShares bounds into how many shares the capacity is divided: files that nobody cleans up must not leave a process
	// with nothing.
	maxShares = 4
)

// ShareTracker decides what share of the capacity a process has. It is pure: it is given which others were seen and
// when, and returns what holds from then on. The zero value is a process that is alone.
//
// With n processes alive, each has an equal share. A larger share is given up as soon as another process is seen, and
// taken back only when that has not been seen for reclaimDelay. No message is needed for that, and none is believed: a
// process counts while it holds its lock, whatever its file says.
type ShareTracker struct {
	processes   int           // that the capacity is divided among now; 0 is 1
	shrinking   bool          // fewer were seen of late
	shrinkingAt time.Duration // since when
	mostRecent  int           // the most that were seen since then
}

// Update takes in which other processes are alive, and returns the share.
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
