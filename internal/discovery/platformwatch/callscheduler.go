package platformwatch

import (
	"slices"
	"time"
)

// call is a watch call that has not received a line yet.
type call struct {
	id        int
	startedAt time.Duration
	headAt    time.Duration // when the response head was received; 0: not yet
}

// callScheduler decides when watch calls to one address are started and abandoned. It is pure: time is a parameter.
// The live call has received lines; pending calls have not.
type callScheduler struct {
	timings    Timings
	jitter     func() float64 // returns a number from 0 to 1
	liveID     int            // 0: no call is live
	lastLineAt time.Duration  // when the live call last received a line, or ended
	pending    []call         // oldest first
	lastID     int
	failures   int           // calls and watches that have ended since the last line
	abandoned  int           // calls abandoned after their exclusive wait since the last line
	nextCallAt time.Duration // no call is started earlier
	backoff    time.Duration
}

// step returns the calls to cancel, the call to start (0: none), and when to call step again.
func (s *callScheduler) step(now time.Duration) (cancel []int, start int, next time.Duration) {
	cancel = s.abandonOverdue(now)
	silentAt := s.lastLineAt + s.timings.WatchTimeout
	if s.liveID != 0 && now < silentAt {
		return cancel, 0, silentAt
	}
	next = s.nextCallAt
	if n := len(s.pending); n > 0 {
		next = max(next, s.hedgeAt(s.pending[n-1]))
	}
	full := s.countHeadless() >= maxHeadless || len(s.pending) >= maxCalls
	if now >= next && !full {
		s.lastID++
		start = s.lastID
		started := call{id: start, startedAt: now}
		s.pending = append(s.pending, started)
		next = s.hedgeAt(started)
	}
	for i, c := range s.pending {
		abandonAt := s.abandonAt(c)
		if abandonAt < next || full && i == 0 {
			next = abandonAt
		}
	}
	return cancel, start, next
}

// abandonOverdue removes the calls that have exceeded their timeout, and returns their ids.
func (s *callScheduler) abandonOverdue(now time.Duration) (ids []int) {
	s.pending = slices.DeleteFunc(s.pending, func(c call) bool {
		if now < s.abandonAt(c) {
			return false
		}
		ids = append(ids, c.id)
		if c.headAt == 0 && s.failures > 1 {
			s.abandoned++
		}
		return true
	})
	return ids
}

// countHeadless returns how many pending calls have not received a response head.
func (s *callScheduler) countHeadless() int {
	count := 0
	for _, c := range s.pending {
		if c.headAt == 0 {
			count++
		}
	}
	return count
}

// abandonAt returns when a pending call is abandoned.
func (s *callScheduler) abandonAt(c call) time.Duration {
	switch {
	case c.headAt > 0:
		return c.headAt + lineTimeout
	case s.failures > 0:
		return c.startedAt + max(s.timings.CallTimeout, s.exclusiveWait())
	}
	return c.startedAt + s.timings.CallTimeout
}

// exclusiveWait returns how long a call waits without a hedged call after failures. It doubles with each call that was
// abandoned: if discovery queues calls for longer than that, every call would be abandoned just before its turn.
func (s *callScheduler) exclusiveWait() time.Duration {
	return s.timings.QueueWait << min(s.abandoned, maxDoublings)
}

// hedgeAt returns when another call may be started while a call is pending. If calls fail because discovery's queue is
// full, a hedged call takes a place from others and may get the first call rejected, so it is delayed for as long as
// MaxUpdateDelay allows.
func (s *callScheduler) hedgeAt(c call) time.Duration {
	soon := c.startedAt + s.timings.HeadHedgeDelay
	exclusiveEnd := c.startedAt + s.exclusiveWait()
	switch {
	case c.headAt > 0:
		return c.headAt + s.timings.LineHedgeDelay
	case s.failures == 0 || s.timings.QueueWait == 0:
		return soon
	case s.failures == 1:
		return max(soon, min(exclusiveEnd, s.lastLineAt+maxCallDelay))
	default:
		return exclusiveEnd
	}
}

// onHead records that a call has received its response head.
func (s *callScheduler) onHead(now time.Duration, id int) {
	for i := range s.pending {
		if s.pending[i].id == id {
			s.pending[i].headAt = now
		}
	}
}

// onLine handles a complete line received by a call. It returns the calls to cancel, and whether the line is to be used.
func (s *callScheduler) onLine(now time.Duration, id int) (cancel []int, use bool) {
	if id == s.liveID {
		s.lastLineAt = now
		return nil, true
	}
	if !slices.ContainsFunc(s.pending, func(c call) bool { return c.id == id }) {
		return nil, false
	}
	if s.liveID != 0 {
		cancel = append(cancel, s.liveID)
	}
	for _, c := range s.pending {
		if c.id != id {
			cancel = append(cancel, c.id)
		}
	}
	s.liveID, s.lastLineAt, s.pending = id, now, nil
	s.backoff, s.failures, s.abandoned = 0, 0, 0
	return cancel, true
}

// onEnd handles the end of a call, and reports whether it was the live one.
func (s *callScheduler) onEnd(now time.Duration, id int) (wasLive bool) {
	wasLive = id == s.liveID && id != 0
	if wasLive {
		s.liveID, s.lastLineAt = 0, now
	} else {
		index := slices.IndexFunc(s.pending, func(c call) bool { return c.id == id })
		if index < 0 {
			return false
		}
		s.pending = slices.Delete(s.pending, index, index+1)
	}
	s.backoff = min(max(2*s.backoff, s.timings.MinBackoff), s.timings.MaxBackoff)
	// The watches of all proxies may end at once; without jitter all would reconnect at the same moments.
	s.nextCallAt = now + s.backoff/2 + time.Duration(s.jitter()*float64(s.backoff/2))
	s.failures++
	if s.failures == 1 && s.timings.QueueWait > 0 {
		s.nextCallAt = min(s.nextCallAt, max(now, s.lastLineAt+maxCallDelay))
	}
	return wasLive
}
