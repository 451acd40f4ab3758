package platformwatch

import "time"

// Timings are the timeouts, delays and intervals of a watch. All constants that affect how soon a change is known are
// in this file; MaxUpdateDelay derives the bound from them.
type Timings struct {
	// WatchTimeout is how long a live watch may receive no complete line before it is considered broken. A working
	// watch receives a line every 2 s. Lower values give up working watches on an overloaded machine.
	WatchTimeout time.Duration
	// HeadHedgeDelay is how long a call may wait for its response head, including dialling, before a hedged call is
	// started; LineHedgeDelay is the same for the first line after the head. Lower values cause extra calls when
	// answers are slow.
	HeadHedgeDelay, LineHedgeDelay time.Duration
	// CallTimeout is how long a call may wait for its head before it is abandoned. Until then it keeps its place in
	// discovery's queue, even when hedged calls are started: it is ahead of them.
	CallTimeout time.Duration
	// QueueWait is how long a call waits without a hedged call after calls or watches have failed. Discovery may be
	// serving the calls of a whole fleet in turn, and reject calls that would wait too long. A second call would be
	// rejected, and if a rejection fails all calls of a proxy, the first would fail with it just before its turn. 0: no
	// wait.
	QueueWait time.Duration
	// MinBackoff and MaxBackoff bound the backoff between calls that fail immediately; it doubles with each failure.
	MinBackoff, MaxBackoff time.Duration
	// ResyncInterval is how often the full list is fetched in addition to a working watch, in case the watch wrongly
	// reports that nothing has changed; 0 means never.
	ResyncInterval time.Duration
}

const (
	// maxUpdateDelay is the time after which a change counts as known, even if it has not arrived, provided that
	// discovery was reachable.
	maxUpdateDelay = 6 * time.Second
	// toleratedFaults is how many calls in a row may fail, each in the slowest way, while a change still arrives in
	// time.
	toleratedFaults = 2
	// maxHeadless bounds the concurrent calls without a response head, and maxCalls those without a line.
	maxHeadless, maxCalls = 2, 4
	// lineTimeout is how long a call may wait for a line after its head before it is abandoned; a working watch
	// receives one every 2 s.
	lineTimeout = 2300 * time.Millisecond
	// maxDoublings bounds how often the waits for discovery's queue are doubled.
	maxDoublings = 2
	// maxCallDelay is how long after the last line of a watch the next call may start at the latest for a change to
	// be known in time.
	maxCallDelay = 4900 * time.Millisecond
	// answerTime is the duration of a successful call, and decodeTime of decoding a list, on an overloaded machine.
	answerTime, decodeTime = 300 * time.Millisecond, 250 * time.Millisecond
)

// TimingsFor returns the timings of a proxy. With pushed lists, the address is an agent on this machine, which answers
// at once and cheaply, and whose list has to be known soon after an outage. On request, it is one service for all
// proxies, which serves their calls in turn: there is no resync, hedged calls are made late, or not at all while calls
// fail, and the calls of a fleet are spread over time.
func TimingsFor(onRequest bool, proxies int) Timings {
	if !onRequest {
		return Timings{
			WatchTimeout: 3 * time.Second, HeadHedgeDelay: 300 * time.Millisecond, LineHedgeDelay: 1200 * time.Millisecond,
			CallTimeout: time.Second, MinBackoff: 30 * time.Millisecond, MaxBackoff: 250 * time.Millisecond,
			ResyncInterval: 2500 * time.Millisecond,
		}
	}
	// While discovery is down, all proxies together make at most some hundred calls a second.
	perProxy := time.Duration(max(proxies, 1)) * time.Millisecond
	return Timings{
		WatchTimeout: 2500 * time.Millisecond, HeadHedgeDelay: 600 * time.Millisecond, LineHedgeDelay: 600 * time.Millisecond,
		CallTimeout: 2400 * time.Millisecond, QueueWait: 3100 * time.Millisecond,
		MinBackoff: min(max(100*time.Millisecond, 2*perProxy), 600*time.Millisecond),
		MaxBackoff: min(max(500*time.Millisecond, 8*perProxy), 2250*time.Millisecond),
	}
}

// MaxUpdateDelay returns a bound on the time from a change at discovery until it is known here, however the watch and
// the next toleratedFaults calls fail. With a resync, the shorter of both bounds applies.
func (t Timings) MaxUpdateDelay() time.Duration {
	if t.ResyncInterval > 0 {
		return min(t.maxDelayByWatch(), t.maxDelayByResync())
	}
	return t.maxDelayByWatch()
}

// maxDelayByWatch returns the delay in the worst case of a watch. Each case is the sum of its consecutive steps.
func (t Timings) maxDelayByWatch() time.Duration {
	// Two calls get no head: the third starts when the first is abandoned.
	calls := max(t.CallTimeout, toleratedFaults*(t.HeadHedgeDelay+t.LineHedgeDelay))
	silent := t.WatchTimeout + calls  // the watch receives nothing, or half a line, since the change
	ended := t.MinBackoff + calls     // the watch ends at the change
	recovered := t.MaxBackoff + calls // discovery was down for a long time
	if t.QueueWait > 0 {
		// A call fails as well: the next is only abandoned after QueueWait, and the one after it succeeds.
		ended = max(maxCallDelay, 3*t.MinBackoff+t.QueueWait)
		// The outage is one fault, a call without a head the other.
		recovered = t.MaxBackoff + t.QueueWait
	}
	return max(silent, ended, recovered) + answerTime + decodeTime
}

// maxDelayByResync returns the delay in the worst case of the resync alone. It holds also if the watch wrongly reports
// that nothing has changed.
func (t Timings) maxDelayByResync() time.Duration {
	return t.ResyncInterval + toleratedFaults*(t.resyncTimeout()+t.MaxBackoff) + answerTime + decodeTime
}

// resyncTimeout returns how long fetching the full list may take.
func (t Timings) resyncTimeout() time.Duration { return 2 * t.HeadHedgeDelay }
