package platformwatch

import (
	"slices"
	"time"
)

// call is one call for a watch that has brought no line yet.
type call struct {
	id        int
	startedAt time.Duration
	headAt    time.Duration // when its head came; 0: not yet
}

// callScheduler decides when calls for a watch are started and abandoned, at one address. It is pure: time is a
// parameter. Of its calls the live one has brought lines; the pending ones have not.
type callScheduler struct {
	timings    Timings
	jitter     func() float64 // from 0 to 1
	liveID     int            // 0: none is live
	lastLineAt time.Duration  // of the live call, or when it ended
	pending    []call         // the oldest first
	lastID     int
	failures   int           // calls and watches that have ended in a row since the last line
	abandoned  int           // calls abandoned after their exclusive wait since then
	nextCallAt time.Duration // not before this
	backoff    time.Duration
}

// step returns what is to be done now: calls to be cancelled, a call to be started (0: none), and when to call step
// again.
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

// abandonOverdue removes the calls that have waited for long enough, and returns their ids.
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

// countHeadless is how many calls have no head yet.
func (s *callScheduler) countHeadless() int {
	count := 0
	for _, c := range s.pending {
		if c.headAt == 0 {
			count++
		}
	}
	return count
}

// abandonAt is when a pending call is abandoned.
func (s *callScheduler) abandonAt(c call) time.Duration {
	switch {
	case c.headAt > 0:
		return c.headAt + lineTimeout
	case s.failures > 0:
		return c.startedAt + max(s.timings.CallTimeout, s.exclusiveWait())
	}
	return c.startedAt + s.timings.CallTimeout
}

// exclusiveWait is how long a call waits alone after failures. Where discovery queues calls for longer than that, all
// would be abandoned just before their turn, for ever: so it doubles with those that were.
func (s *callScheduler) exclusiveWait() time.Duration {
	return s.timings.QueueWait << min(s.abandoned, maxDoublings)
}

// hedgeAt is when another call is started beside a pending one. Where calls fail because discovery's queue is full, a
// second one takes the place of others and may cost the first its own: so it waits for as long as time allows.
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

// onHead handles that a call's head has come.
func (s *callScheduler) onHead(now time.Duration, id int) {
	for i := range s.pending {
		if s.pending[i].id == id {
			s.pending[i].headAt = now
		}
	}
}

// onLine handles a complete line of a call. It returns the calls that are not wanted any more, and whether the line
// counts.
func (s *callScheduler) onLine(now time.Duration, id int) (cancel []int, counts bool) {
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

// onEnd handles that a call is over, and reports whether it was the live one.
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
	// Watches end for all proxies at once; without jitter all would come back together, again and again.
	s.nextCallAt = now + s.backoff/2 + time.Duration(s.jitter()*float64(s.backoff/2))
	s.failures++
	if s.failures == 1 && s.timings.QueueWait > 0 {
		s.nextCallAt = min(s.nextCallAt, max(now, s.lastLineAt+maxCallDelay))
	}
	return wasLive
}
