package platformwatch

import "time"

// Timings are the timeouts, delays and intervals of a watch. Every constant that counts for how soon a change is known
// stands in this file, and MaxUpdateDelay sums them up.
type Timings struct {
	// WatchTimeout is how long a live watch may bring no complete line before it is taken for broken. One brings a
	// line every 2 s. Lower values give up good watches on a machine that is short of time.
	WatchTimeout time.Duration
	// HeadHedgeDelay is how long a call may be without the head of its answer, dialling included, before another is
	// started beside it; LineHedgeDelay the same for the first line after the head. Lower values cost calls where
	// answers are slow.
	HeadHedgeDelay, LineHedgeDelay time.Duration
	// CallTimeout is when a call without a head is abandoned. Until then it keeps its place in discovery's queue,
	// whatever is started beside it: its turn is the next to come.
	CallTimeout time.Duration
	// QueueWait is how long a call stays alone where calls or watches have just failed: discovery may be serving the
	// calls of a whole fleet in turn, and reject what would wait for too long. A second call is rejected then, and
	// where one answer fails all that a proxy has asked, the first with it, just before its turn. 0: no wait.
	QueueWait time.Duration
	// MinBackoff and MaxBackoff bound the wait between two calls that fail at once; it doubles from one to the other.
	MinBackoff, MaxBackoff time.Duration
	// ResyncInterval is how often the complete list is fetched beside a watch that works, whose report is all there
	// is to show that nothing has changed; 0 is never.
	ResyncInterval time.Duration
}

const (
	// maxUpdateDelay is by when a change counts as known, whether or not it has arrived, if discovery was reachable.
	maxUpdateDelay = 6 * time.Second
	// toleratedFaults is how many calls in a row may fail, each in the slowest way, with a change known in time.
	toleratedFaults = 2
	// maxHeadless bounds the calls without a head at a time, and maxCalls those without a line.
	maxHeadless, maxCalls = 2, 4
	// lineTimeout is how long a call may bring no line after its head before it is abandoned: a watch brings one
	// every 2 s.
	lineTimeout = 2300 * time.Millisecond
	// maxDoublings bounds how often waits for discovery's queue are doubled.
	maxDoublings = 2
	// maxCallDelay is how long after the last line of a watch another call has to start for a change to be known in
	// time.
	maxCallDelay = 4900 * time.Millisecond
	// answerTime is what a call takes that succeeds, and decodeTime a list, on a machine that is short of time.
	answerTime, decodeTime = 300 * time.Millisecond, 250 * time.Millisecond
)

// TimingsFor returns the timings of a proxy. Pushed, the address is an agent on this machine, which answers at once
// and at no cost; what it has after an outage counts at once. On request, it is one service for all proxies, which
// serves their calls in turn: there is no resync, a hedged call is made late, or not at all where others fail, and a
// fleet's calls are spread.
func TimingsFor(onRequest bool, proxies int) Timings {
	if !onRequest {
		return Timings{
			WatchTimeout: 3 * time.Second, HeadHedgeDelay: 300 * time.Millisecond, LineHedgeDelay: 1200 * time.Millisecond,
			CallTimeout: time.Second, MinBackoff: 30 * time.Millisecond, MaxBackoff: 250 * time.Millisecond,
			ResyncInterval: 2500 * time.Millisecond,
		}
	}
	// All proxies together make some hundred calls a second at most while discovery is down.
	perProxy := time.Duration(max(proxies, 1)) * time.Millisecond
	return Timings{
		WatchTimeout: 2500 * time.Millisecond, HeadHedgeDelay: 600 * time.Millisecond, LineHedgeDelay: 600 * time.Millisecond,
		CallTimeout: 2400 * time.Millisecond, QueueWait: 3100 * time.Millisecond,
		MinBackoff: min(max(100*time.Millisecond, 2*perProxy), 600*time.Millisecond),
		MaxBackoff: min(max(500*time.Millisecond, 8*perProxy), 2250*time.Millisecond),
	}
}

// MaxUpdateDelay bounds the time from a change at discovery until it is known here, whatever fails with the watch and
// with the next toleratedFaults calls. With a resync it is enough that either way holds.
func (t Timings) MaxUpdateDelay() time.Duration {
	if t.ResyncInterval > 0 {
		return min(t.maxDelayByWatch(), t.maxDelayByResync())
	}
	return t.maxDelayByWatch()
}

// maxDelayByWatch is the longest of the ways by a watch. Each is a sum of what comes one after the other.
func (t Timings) maxDelayByWatch() time.Duration {
	// Two calls without a head: the third starts when the first is abandoned.
	calls := max(t.CallTimeout, toleratedFaults*(t.HeadHedgeDelay+t.LineHedgeDelay))
	silent := t.WatchTimeout + calls  // the watch is silent, or brings half a line, from the change on
	ended := t.MinBackoff + calls     // it ends with the change
	recovered := t.MaxBackoff + calls // discovery was down for long
	if t.QueueWait > 0 {
		// A call fails, too: the next waits its turn, and the one after it comes.
		ended = max(maxCallDelay, 3*t.MinBackoff+t.QueueWait)
		// The outage is one fault, and a call without a head the other.
		recovered = t.MaxBackoff + t.QueueWait
	}
	return max(silent, ended, recovered) + answerTime + decodeTime
}

// maxDelayByResync is the longest way by the resync alone, also where the watch wrongly reports that nothing has
// changed.
func (t Timings) maxDelayByResync() time.Duration {
	return t.ResyncInterval + toleratedFaults*(t.resyncTimeout()+t.MaxBackoff) + answerTime + decodeTime
}

// resyncTimeout is how long the complete list may take to come.
func (t Timings) resyncTimeout() time.Duration { return 2 * t.HeadHedgeDelay }
