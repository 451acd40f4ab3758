package handover

import "time"

// Stage is where a process is in its life.
type Stage uint8

// The stages.
const (
	Starting Stage = iota // it can't serve yet
	Serving
	Leaving // it takes nothing new, and ends when what it has is answered
	stages
)

func (s Stage) String() string {
	return [...]string{"starting", "serving", "leaving"}[min(s, stages-1)]
}

// Peer is another process of the same proxy that is alive.
type Peer struct {
	ID    int
	Stage Stage
}

// Share is the part of the machine's room that a process may take.
type Share struct{ Part, Of int }

// Whole is all of it.
var Whole = Share{1, 1}

// Take gives the part of an amount.
func (s Share) Take(n int) int { return n / max(1, s.Of) * s.Part }

const (
	// lookEvery is how often a process looks for others. A new one is seen long before it
	// serves.
	lookEvery = 100 * time.Millisecond
	// aloneFor is how long no other has to be seen before the room is taken back. Danger:
	// one that has just died has its memory and its sockets taken from it a little later.
	aloneFor = 500 * time.Millisecond
	// mostShares bounds how thin the room is cut: files that nobody cleans up must not
	// leave a process with nothing.
	mostShares = 4
)

// Machine decides what share a process takes. It is pure: it is told what was seen and
// when, and says what holds from then on. The zero value is a process that is alone.
//
// With so many alive, each takes an equal part. A part is given up as soon as another
// process is seen, and taken back only when it has not been seen for a while. No message
// is needed for that, and none is believed: a process counts while it holds its lock,
// whatever its file says.
type Machine struct {
	among    int           // processes that the room is cut for now; 0 is 1
	fewer    time.Duration // since when fewer have been seen
	fewerNow int
	falling  bool
}

// Look takes in which others are alive, and gives the share.
func (m *Machine) Look(now time.Duration, peers []Peer) Share {
	n := min(1+len(peers), mostShares)
	have := max(1, m.among)
	switch {
	case n >= have:
		m.among, m.falling = n, false
	case !m.falling:
		m.falling, m.fewer, m.fewerNow = true, now, n
	case n > m.fewerNow:
		m.fewer, m.fewerNow = now, n
	case now-m.fewer >= aloneFor:
		m.among, m.falling = m.fewerNow, false
	}
	return Share{1, max(1, m.among)}
}
