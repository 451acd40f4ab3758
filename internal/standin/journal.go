package standin

import (
	"sync"
	"time"
)

// The effects of a request that reached a node.
const (
	Ran        = "ran"         // started or queued: it may have run
	Dropped    = "dropped"     // a duplicate of a key that its group remembers
	TurnedAway = "turned away" // never ran
	Failed     = "error"       // answered 500 after it had started
)

// Send records one request that reached a node completely.
type Send struct {
	Node, Zone  string
	Proxy       int // the proxy whose path it came by; -1 for a path open to everyone
	ID, Key     string
	Class       string
	Attempt     int           // number of this arrival among those of the ID at all nodes, from 1
	Began       time.Duration // arrival of the first byte
	Whole       time.Duration // arrival of the last byte
	Effect      string
	Work        time.Duration // of a reference core, including the handshake's
	Fresh       bool          // the first on its connection
	Ended       time.Duration // 0: never
	Answered    int           // response status; 0: none
	Probe       bool
	CrossesZone bool
}

// Told records that discovery told a proxy the state of a node.
type Told struct {
	Proxy int
	Node  string
	State string // as in the list: Ready, Terminating, Gone
	At    time.Duration
}

// NodeEvent records a change of a node's state, or its cold start.
type NodeEvent struct {
	Node  string
	At    time.Duration
	State string // up, cold, slow, taken, crowded, draining, vanished, dead, fallen
}

// StartedCold is the event of a process that starts without warm capacity.
const StartedCold = "started cold"

// Sample records a node's state at a point in time.
type Sample struct {
	At           time.Duration
	Node, State  string
	Held, InWork int
	Connections  int
}

// Journal records what the stand-ins of a run saw. Its methods are safe for concurrent use;
// on a nil Journal they record nothing.
type Journal struct {
	mu      sync.Mutex
	sends   []*Send
	told    []Told
	events  []NodeEvent
	samples []Sample
	seen    map[string]int
	fresh   int // connections that nodes accepted
}

// send records an arrival and numbers it among those of its ID.
func (j *Journal) send(s *Send) {
	if j == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.seen == nil {
		j.seen = map[string]int{}
	}
	if !s.Probe {
		j.seen[s.ID]++
		s.Attempt = j.seen[s.ID]
	}
	j.sends = append(j.sends, s)
}

// end records the outcome of an arrival.
func (j *Journal) end(s *Send, effect string, status int, at time.Duration) {
	if j == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if effect != "" {
		s.Effect = effect
	}
	s.Answered, s.Ended = status, at
}

func (j *Journal) tell(t Told) {
	if j != nil {
		j.mu.Lock()
		j.told = append(j.told, t)
		j.mu.Unlock()
	}
}

func (j *Journal) event(e NodeEvent) {
	if j != nil {
		j.mu.Lock()
		j.events = append(j.events, e)
		j.mu.Unlock()
	}
}

func (j *Journal) sample(s Sample) {
	if j != nil {
		j.mu.Lock()
		j.samples = append(j.samples, s)
		j.mu.Unlock()
	}
}

func (j *Journal) connection() {
	if j != nil {
		j.mu.Lock()
		j.fresh++
		j.mu.Unlock()
	}
}

// Records is a copy of a journal.
type Records struct {
	Sends       []Send
	Told        []Told
	Events      []NodeEvent
	Samples     []Sample
	Connections int // accepted by nodes
}

// Records returns a copy of what was recorded so far.
func (j *Journal) Records() Records {
	if j == nil {
		return Records{}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	r := Records{
		Sends: make([]Send, len(j.sends)), Told: append([]Told(nil), j.told...),
		Events: append([]NodeEvent(nil), j.events...), Samples: append([]Sample(nil), j.samples...), Connections: j.fresh,
	}
	for i, s := range j.sends {
		r.Sends[i] = *s
	}
	return r
}
