package platformwatch

import (
	"slices"
	"time"
)

// Timings is how the list is pursued. Every constant that counts for when a change is known stands here, and Told sums
// them up.
type Timings struct {
	// WatchTimeout is without a whole line for how long a watch is taken for broken. One brings a line every 2 s. Lower
	// gives up good watches of a machine that is short of time.
	WatchTimeout time.Duration
	// HeadHedgeDelay is how long a call may be without the head of its answer, dialling included, before another is made
	// beside it, and Line the same for what follows the head. Lower costs calls where answers are slow.
	HeadHedgeDelay, LineHedgeDelay time.Duration
	// CallTimeout is after what time a call without a head is given up. Until then it keeps its place, whatever is
	// made beside it: where calls wait in turn, its turn is the next to come.
	CallTimeout time.Duration
	// QueueWait is how long a call keeps its place alone where calls or watches have just failed: discovery may be taking a
	// whole fleet's calls in turn, and turn away what comes beyond its patience. A second call is turned away then, and
	// where one answer fails all that a proxy has asked, the first with it, just before its turn. 0: nothing waits.
	QueueWait time.Duration
	// MinBackoff and Most bound the wait between two calls that fail at once; it doubles from one to the other.
	MinBackoff, MaxBackoff time.Duration
	// ResyncInterval is how often the whole list is asked for beside a watch that works, whose word is all there is to tell
	// that nothing has changed; 0 is never.
	ResyncInterval time.Duration
}

const (
	// maxUpdateDelay is by when a change counts as told, whether or not it has arrived, if discovery could be reached.
	maxUpdateDelay = 6 * time.Second
	// toleratedFaults is how many calls in a row may go wrong, each in the slowest way, for a change to be known in time.
	toleratedFaults = 2
	// maxHeadless is how many calls without a head there may be at a time, and mostCalls how many that have said nothing.
	maxHeadless, maxCalls = 2, 4
	// lineTimeout is how long a watch may say nothing behind its head before it is given up: it brings a line every 2 s.
	lineTimeout = 2300 * time.Millisecond
	// maxDoublings is how often the time in which a call keeps its place is doubled at most.
	maxDoublings = 2
	// maxCallDelay is how long after the last word of a watch another call has to be made for a change to be known in time.
	maxCallDelay = 4900 * time.Millisecond
	// answerTime is what a call takes that goes well, and decode a list, on a machine that is short of time.
	answerTime, decodeTime = 300 * time.Millisecond, 250 * time.Millisecond
)

// TimingsFor gives the pace. Pushed, the address is an agent on this machine, which answers at once and at no cost; what
// it has after an outage counts at once. Asked for, it is one service for all proxies, which takes their calls in
// turn: there is no check, a second call is made late, or not at all where others fail, and a fleet's calls are spread.
func TimingsFor(onRequest bool, proxies int) Timings {
	if !onRequest {
		return Timings{
			WatchTimeout: 3 * time.Second, HeadHedgeDelay: 300 * time.Millisecond, LineHedgeDelay: 1200 * time.Millisecond, CallTimeout: time.Second,
			MinBackoff: 30 * time.Millisecond, MaxBackoff: 250 * time.Millisecond, ResyncInterval: 2500 * time.Millisecond,
		}
	}
	// All proxies together make some hundred calls a second at most while discovery is down.
	each := time.Duration(max(proxies, 1)) * time.Millisecond
	return Timings{
		WatchTimeout: 2500 * time.Millisecond, HeadHedgeDelay: 600 * time.Millisecond, LineHedgeDelay: 600 * time.Millisecond, CallTimeout: 2400 * time.Millisecond, QueueWait: 3100 * time.Millisecond,
		MinBackoff: min(max(100*time.Millisecond, 2*each), 600*time.Millisecond), MaxBackoff: min(max(500*time.Millisecond, 8*each), 2250*time.Millisecond),
	}
}

// MaxUpdateDelay is how long after discovery has a change it is known here at the latest, whatever is wrong with the watch and
// with the next calls, up to faults of them. Where there is a check it is enough that either way holds.
func (p Timings) MaxUpdateDelay() time.Duration {
	if p.ResyncInterval > 0 {
		return min(p.maxDelayByWatch(), p.maxDelayByResync())
	}
	return p.maxDelayByWatch()
}

// maxDelayByWatch is the longest of the ways by a watch. Each is a sum of what comes one after the other.
func (p Timings) maxDelayByWatch() time.Duration {
	calls := max(p.CallTimeout, toleratedFaults*(p.HeadHedgeDelay+p.LineHedgeDelay)) // two without a head: the third comes when the first is given up
	silent := p.WatchTimeout + calls                                                 // the watch is silent, or brings half a line, from the change on
	broken := p.MinBackoff + calls                                                   // it ends with the change
	back := p.MaxBackoff + calls                                                     // discovery was down for long
	if p.QueueWait > 0 {
		broken = max(maxCallDelay, 3*p.MinBackoff+p.QueueWait) // a call fails, too: the next waits its turn, and the one after it comes
		back = p.MaxBackoff + p.QueueWait                      // the outage is one fault, and a call without a head the other
	}
	return max(silent, broken, back) + answerTime + decodeTime
}

// maxDelayByResync is the longest way by the check alone, also where the watch says that nothing has changed, and lies.
func (p Timings) maxDelayByResync() time.Duration {
	return p.ResyncInterval + toleratedFaults*(p.resyncTimeout()+p.MaxBackoff) + answerTime + decodeTime
}

// resyncTimeout is how long the whole list may take to come.
func (p Timings) resyncTimeout() time.Duration { return 2 * p.HeadHedgeDelay }

// call is one call for a watch.
type call struct {
	id                int
	startedAt, headAt time.Duration // head: when its head came; 0 is not yet
}

// callScheduler decides when calls for a watch are made and given up, at one address. It is pure: time is a parameter. Of
// its calls one, the live one, may have said something; the others have not.
type callScheduler struct {
	timings    Timings
	jitter     func() float64 // from 0 to 1
	liveID     int            // its id; 0: there is none
	lastLineAt time.Duration  // when the live one last said something, or ended
	pending    []call         // that have said nothing, the oldest first
	lastID     int
	failures   int // calls and watches that have ended, one after the other, since something was last said
	abandoned  int // calls that were given up in their turn since then
	nextCallAt,
	backoff time.Duration
}

// step gives what is to be done now: calls to be given up, a call to be made (0: none), and when to look again.
func (p *callScheduler) step(now time.Duration) (drop []int, start int, next time.Duration) {
	p.pending = slices.DeleteFunc(p.pending, func(c call) bool {
		late := now >= p.abandonAt(c)
		if late {
			drop = append(drop, c.id)
		}
		if late && c.headAt == 0 && p.failures > 1 {
			p.abandoned++
		}
		return late
	})
	if silent := p.lastLineAt + p.timings.WatchTimeout; p.liveID != 0 && now < silent {
		return drop, 0, silent
	}
	next, waiting := p.nextCallAt, 0
	for _, c := range p.pending {
		if c.headAt == 0 {
			waiting++
		}
	}
	if n := len(p.pending); n > 0 {
		next = max(next, p.hedgeAt(p.pending[n-1]))
	}
	full := waiting >= maxHeadless || len(p.pending) >= maxCalls
	if now >= next && !full {
		p.lastID++
		start = p.lastID
		p.pending = append(p.pending, call{id: start, startedAt: now})
		next, full = p.hedgeAt(p.pending[len(p.pending)-1]), false
	}
	for i, c := range p.pending {
		if up := p.abandonAt(c); up < next || full && i == 0 {
			next = up
		}
	}
	return drop, start, next
}

// abandonAt is when a call is given up that has said nothing.
func (p *callScheduler) abandonAt(c call) time.Duration {
	switch {
	case c.headAt > 0:
		return c.headAt + lineTimeout
	case p.failures > 0:
		return c.startedAt + max(p.timings.CallTimeout, p.exclusiveWait())
	}
	return c.startedAt + p.timings.CallTimeout
}

// exclusiveWait is how long a call keeps its place alone. Danger: where discovery lets calls wait for longer than that, all
// would be given up just before their turn, for ever; so it grows with those that were.
func (p *callScheduler) exclusiveWait() time.Duration {
	return p.timings.QueueWait << min(p.abandoned, maxDoublings)
}

// hedgeAt is when another call is made beside one that says nothing. Danger: where calls fail for want of room, a
// second one takes the place of others and may cost the first its own; so it waits for as long as time allows.
func (p *callScheduler) hedgeAt(c call) time.Duration {
	switch soon, turn := c.startedAt+p.timings.HeadHedgeDelay, c.startedAt+p.exclusiveWait(); {
	case c.headAt > 0:
		return c.headAt + p.timings.LineHedgeDelay
	case p.failures == 0 || p.timings.QueueWait == 0:
		return soon
	case p.failures == 1:
		return max(soon, min(turn, p.lastLineAt+maxCallDelay))
	default:
		return turn
	}
}

// onHead takes in that a call's head has come.
func (p *callScheduler) onHead(now time.Duration, id int) {
	for i := range p.pending {
		if p.pending[i].id == id {
			p.pending[i].headAt = now
		}
	}
}

// onLine takes in a whole line of a call, and gives the calls that are not wanted any more. Counts tells whether the
// call's word still counts.
func (p *callScheduler) onLine(now time.Duration, id int) (drop []int, counts bool) {
	if id == p.liveID {
		p.lastLineAt = now
		return nil, true
	}
	if !slices.ContainsFunc(p.pending, func(c call) bool { return c.id == id }) {
		return nil, false
	}
	if p.liveID != 0 {
		drop = append(drop, p.liveID)
	}
	for _, c := range p.pending {
		if c.id != id {
			drop = append(drop, c.id)
		}
	}
	p.liveID, p.lastLineAt, p.pending, p.backoff, p.failures, p.abandoned = id, now, nil, 0, 0, 0
	return drop, true
}

// onEnd takes in that a call is over, and tells whether that was the live one.
func (p *callScheduler) onEnd(now time.Duration, id int) (was bool) {
	was = id == p.liveID && id != 0
	if was {
		p.liveID, p.lastLineAt = 0, now
	} else if i := slices.IndexFunc(p.pending, func(c call) bool { return c.id == id }); i >= 0 {
		p.pending = slices.Delete(p.pending, i, i+1)
	} else {
		return false
	}
	p.backoff = min(max(2*p.backoff, p.timings.MinBackoff), p.timings.MaxBackoff)
	// Danger: what ends ends for all proxies at once; without a spread all would come back together, ever again.
	p.nextCallAt = now + p.backoff/2 + time.Duration(p.jitter()*float64(p.backoff/2))
	if p.failures++; p.failures == 1 && p.timings.QueueWait > 0 {
		p.nextCallAt = min(p.nextCallAt, max(now, p.lastLineAt+maxCallDelay))
	}
	return was
}
