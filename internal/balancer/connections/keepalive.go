package connections

import "time"

// KeepAliveConfig sets for how long a backend that sent a surplus answer (one that belongs to no request) gets
// connections that carry one request each.
type KeepAliveConfig struct {
	// Suspension is how long the backend's connections are not reused. Raising it costs handshakes long after the fault
	// has ended; lowering it tries the backend again sooner, and each trial may give one caller another's answer.
	Suspension time.Duration
	// MaxSuspension bounds the suspension, which doubles if the backend sends a surplus answer again soon after a
	// suspension has ended.
	MaxSuspension time.Duration
	// SuspensionOfAll is how long the connections of all backends are not reused after one has begun to send surplus
	// answers: others may run the same server, and connections that are not reused reveal it without harm to a caller.
	// Raising it costs handshakes at all backends; lowering it detects fewer of the affected ones.
	SuspensionOfAll time.Duration
	// MaxBackends bounds what is stored. Beyond it, the suspension that ends first is dropped, and answer times of
	// further backends are not tracked.
	MaxBackends int
	// QuickShare is the share of a backend's answers that count as quick. Raising it makes more connections rest, which
	// costs a handshake where no other connection is idle; lowering it detects fewer answers that belong to another
	// request.
	QuickShare float64
	// QuickRest is how many mean answer times a connection rests after a quick answer. If the quick answer belonged to
	// another request, the request's own answer arrives within this time and reveals that.
	QuickRest float64
}

// DefaultKeepAliveConfig suits connections within one network.
func DefaultKeepAliveConfig() KeepAliveConfig {
	return KeepAliveConfig{
		Suspension: 30 * time.Second, MaxSuspension: 15 * time.Minute, SuspensionOfAll: 5 * time.Second,
		MaxBackends: 4096, QuickShare: 0.05, QuickRest: 2,
	}
}

// KeepAlive decides whether a backend's connections may be reused. Answers carry no request ID, so a surplus answer
// that arrives after the next request was written is read as the answer to that request, and nothing in it shows the
// difference. That a backend sends surplus answers can only be detected from those that arrive at other moments.
//
// Not safe for concurrent use.
type KeepAlive struct {
	cfg       KeepAliveConfig
	suspended map[uint32]*suspension // by backend; ended ones are kept, to double the next one if it follows soon
	allUntil  time.Duration          // no backend's connections are reused before then
	answers   map[uint32]*answerTimes
}

// suspension is a period in which a backend's connections are not reused.
type suspension struct {
	until  time.Duration
	length time.Duration
}

// NewKeepAlive returns a KeepAlive that has recorded nothing.
func NewKeepAlive(cfg KeepAliveConfig) *KeepAlive {
	return &KeepAlive{cfg: cfg, suspended: map[uint32]*suspension{}, answers: map[uint32]*answerTimes{}}
}

// RecordSurplus records that a backend sent a surplus answer: one after the answer to a request, or one in place of
// another answer. It returns how long the backend's connections are not reused, and whether the suspension is new.
func (k *KeepAlive) RecordSurplus(now time.Duration, backend uint32) (length time.Duration, began bool) {
	s := k.suspended[backend]
	switch {
	case s == nil:
		k.makeRoom()
		s = &suspension{length: k.cfg.Suspension}
		k.suspended[backend] = s
		began = true
	case now < s.until: // already suspended: its time restarts
	case now < s.until+s.length:
		s.length = min(2*s.length, k.cfg.MaxSuspension)
		began = true
	default: // no surplus answer for long enough
		s.length = k.cfg.Suspension
		began = true
	}
	s.until = now + s.length
	if began {
		k.allUntil = now + k.cfg.SuspensionOfAll
	}
	return s.length, began
}

// Reusable reports whether a backend's connections may be kept for a next request.
func (k *KeepAlive) Reusable(now time.Duration, backend uint32) bool {
	s := k.suspended[backend]
	return now >= k.allUntil && (s == nil || now >= s.until)
}

// Forget drops what is known of a backend that has left the list.
func (k *KeepAlive) Forget(backend uint32) {
	delete(k.suspended, backend)
	delete(k.answers, backend)
}

// makeRoom drops the suspension that ends first if there are too many.
func (k *KeepAlive) makeRoom() {
	if len(k.suspended) < k.cfg.MaxBackends {
		return
	}
	var first uint32
	var until time.Duration = -1
	for id, s := range k.suspended {
		if until < 0 || s.until < until || s.until == until && id < first {
			first, until = id, s.until
		}
	}
	delete(k.suspended, first)
}
