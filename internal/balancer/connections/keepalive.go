package connections

import "time"

// KeepAliveConfig says for how long a backend that sent a surplus answer gets connections that carry one request each.
type KeepAliveConfig struct {
	// Suspension is how long its connections are not reused. Raising it costs handshakes after a mishap that has long
	// passed; lowering it tries the backend again sooner, and each trial may give one caller another's answer.
	Suspension time.Duration
	// MaxSuspension bounds the suspension, which doubles where a backend does it again soon after one has ended.
	MaxSuspension time.Duration
	// SuspensionOfAll is for how long all backends' connections are not reused after one has begun to send surplus answers:
	// others may run the same server, and connections that are not reused show it without a caller's loss. Raising it costs
	// handshakes everywhere; lowering it finds fewer of them.
	SuspensionOfAll time.Duration
	// MaxBackends bounds what is kept of suspensions, past it the one that ends first is dropped, and of answer times, past
	// it no further backend's are followed.
	MaxBackends int
	// QuickShare is the share of a backend's answers that count as quick. Raising it lets more connections rest, which costs
	// a handshake where there is no other; lowering it finds fewer answers that were not the request's own.
	QuickShare float64
	// QuickRest is for how many mean answer times a connection rests after a quick answer. In it the request's own answer
	// comes, if it was another one, and shows that.
	QuickRest float64
}

// DefaultKeepAliveConfig fits connections within one network.
func DefaultKeepAliveConfig() KeepAliveConfig {
	return KeepAliveConfig{
		Suspension: 30 * time.Second, MaxSuspension: 15 * time.Minute, SuspensionOfAll: 5 * time.Second,
		MaxBackends: 4096, QuickShare: 0.05, QuickRest: 2,
	}
}

// KeepAlive decides whether a backend's connections may be kept for a next request. Where answers carry no id, an answer
// too many that comes after the next request was written is read as that one's: nothing in it tells the difference. It can
// be known only from what came at other moments that the backend sends such answers at all.
//
// Not safe for concurrent use.
type KeepAlive struct {
	cfg       KeepAliveConfig
	suspended map[uint32]*suspension // by backend; those that ended are kept for as long again
	allUntil  time.Duration          // no backend's connections are reused before then
	answers   map[uint32]*answerTimes
}

// suspension is the time in which a backend's connections are not reused.
type suspension struct {
	until  time.Duration
	length time.Duration
}

// NewKeepAlive makes one that has seen nothing.
func NewKeepAlive(cfg KeepAliveConfig) *KeepAlive {
	return &KeepAlive{cfg: cfg, suspended: map[uint32]*suspension{}, answers: map[uint32]*answerTimes{}}
}

// RecordSurplus takes in that a backend sent an answer out of turn: later than the one before it, or in the place of
// another. It returns how long its
// connections are not reused, and whether that begins only now.
func (k *KeepAlive) RecordSurplus(now time.Duration, backend uint32) (length time.Duration, began bool) {
	s := k.suspended[backend]
	switch {
	case s == nil:
		k.makeRoom()
		s = &suspension{length: k.cfg.Suspension}
		k.suspended[backend] = s
		began = true
	case now < s.until: // it goes on with it, and the time begins anew
	case now < s.until+s.length:
		s.length = min(2*s.length, k.cfg.MaxSuspension)
		began = true
	default: // it was well for long enough
		s.length = k.cfg.Suspension
		began = true
	}
	s.until = now + s.length
	if began {
		k.allUntil = now + k.cfg.SuspensionOfAll
	}
	return s.length, began
}

// Reusable tells whether a backend's connections may be kept for a next request.
func (k *KeepAlive) Reusable(now time.Duration, backend uint32) bool {
	s := k.suspended[backend]
	return now >= k.allUntil && (s == nil || now >= s.until)
}

// Forget drops what is known of a backend that has left the list.
func (k *KeepAlive) Forget(backend uint32) {
	delete(k.suspended, backend)
	delete(k.answers, backend)
}

// makeRoom drops the suspension that ends first where there are too many.
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
