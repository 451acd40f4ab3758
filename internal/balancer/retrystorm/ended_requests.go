package retrystorm

import (
	"time"

	"marlreel/internal/balancer/decay"
)

// Retries that the client does not mark have to be recognized. A retry has a new identifier, and other clients may send
// the same request: a match of class, tenant and key with a request that went unserved recently proves nothing by
// itself. So served requests are sampled as a control group: they are not retried, so requests match them only by
// chance. How much more often unserved requests are matched gives the part of their matches that are retries.

const (
	maxEndedRequests = 4096            // requests that are stored
	controlSampling  = 8               // one in this many served requests is in the control group
	matchWindow      = 5 * time.Second // window of the match ratios
	minUnserved      = 12              // unserved requests in the window before any match counts
	retryThreshold   = 0.5             // probability from which a match counts as a retry
)

// endedRequest is a request that has ended.
type endedRequest struct {
	first, ended time.Duration
	retryDue     time.Duration // when its client was told to retry; 0: it was not told
	served       bool
}

// endedRequests holds the requests that have ended within a span.
type endedRequests struct {
	span        time.Duration
	byKey       map[uint64]endedRequest
	order       []expiry // oldest first, from head on
	head        int
	servedCount int

	unserved, unservedMatched    decay.Sum
	control, controlMatched      decay.Sum
	retryDelays, retryDelayCount decay.Sum // from the first arrival to the retry, ms
}

type expiry struct {
	key uint64
	at  time.Duration
}

func newEndedRequests(span time.Duration) endedRequests {
	return endedRequests{span: span, byKey: map[uint64]endedRequest{}}
}

// record records the end of a request.
func (s *endedRequests) record(now time.Duration, key uint64, first, due time.Duration, served bool) {
	if served {
		// Served requests are far more frequent, so a sample is enough.
		if s.servedCount++; s.servedCount%controlSampling != 0 {
			delete(s.byKey, key) // the request that it retried is served now
			return
		}
		s.control.Add(1, now, matchWindow)
	} else {
		s.unserved.Add(1, now, matchWindow)
	}
	s.forget(now)
	if len(s.byKey) >= maxEndedRequests {
		return
	}
	s.byKey[key] = endedRequest{first, now, due, served}
	s.order = append(s.order, expiry{key, now})
}

// forget drops requests that ended longer ago than the span.
func (s *endedRequests) forget(now time.Duration) {
	for s.head < len(s.order) && now-s.order[s.head].at > s.span {
		o := s.order[s.head]
		if x, found := s.byKey[o.key]; found && x.ended == o.at {
			delete(s.byKey, o.key)
		}
		s.head++
	}
	if s.head > len(s.order)/2 {
		s.order = append(s.order[:0], s.order[s.head:]...)
		s.head = 0
	}
}

// match reports whether a request is likely a retry, and returns when the original request first arrived and when its
// client was told to retry.
func (s *endedRequests) match(now time.Duration, key uint64) (first, due time.Duration, isRetry bool) {
	x, found := s.byKey[key]
	if !found || now-x.ended > s.span {
		return 0, 0, false
	}
	if x.served {
		s.controlMatched.Add(1, now, matchWindow)
		delete(s.byKey, key) // a request matches once, like an unserved one
		return 0, 0, false
	}
	s.unservedMatched.Add(1, now, matchWindow)
	delete(s.byKey, key)
	if s.retryProbability(now) < retryThreshold {
		return 0, 0, false
	}
	s.retryDelays.Add((now-x.first).Seconds()*1000, now, matchWindow)
	s.retryDelayCount.Add(1, now, matchWindow)
	return x.first, x.retryDue, true
}

// retryProbability is the part of the matches of unserved requests that are retries, 0 to 1.
func (s *endedRequests) retryProbability(now time.Duration) float64 {
	n := s.unserved.Value(now, matchWindow)
	if n < minUnserved {
		return 0
	}
	matchRatio := s.unservedMatched.Value(now, matchWindow) / n
	chanceRatio := (s.controlMatched.Value(now, matchWindow) + 0.1) / (s.control.Value(now, matchWindow) + 2)
	if matchRatio <= 0 {
		return 0
	}
	return max(0, 1-chanceRatio/matchRatio)
}

// meanRetryDelay is the mean time from the first arrival to the retry; 0: unknown.
func (s *endedRequests) meanRetryDelay(now time.Duration) time.Duration {
	return time.Duration(s.retryDelays.Mean(&s.retryDelayCount, now, matchWindow) * float64(time.Millisecond))
}
