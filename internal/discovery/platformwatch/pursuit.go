package platformwatch

import (
	"slices"
	"time"
)

// Pace is how the list is pursued. Every constant that counts for when a change is known stands here, and Told sums
// them up.
type Pace struct {
	// Silence is without a whole line for how long a watch is taken for broken. One brings a line every 2 s. Lower
	// gives up good watches of a machine that is short of time.
	Silence time.Duration
	// Head is how long a call may be without the head of its answer, dialling included, before another is made
	// beside it, and Line the same for what follows the head. Lower costs calls where answers are slow.
	Head, Line time.Duration
	// Patience is after what time a call without a head is given up. Until then it keeps its place, whatever is
	// made beside it: where calls wait in turn, its turn is the next to come.
	Patience time.Duration
	// Turn is how long a call keeps its place alone where calls or watches have just failed: discovery may be taking a
	// whole fleet's calls in turn, and turn away what comes beyond its patience. A second call is turned away then, and
	// where one answer fails all that a proxy has asked, the first with it, just before its turn. 0: nothing waits.
	Turn time.Duration
	// Least and Most bound the wait between two calls that fail at once; it doubles from one to the other.
	Least, Most time.Duration
	// Check is how often the whole list is asked for beside a watch that works, whose word is all there is to tell
	// that nothing has changed; 0 is never.
	Check time.Duration
}

const (
	// told is by when a change counts as told, whether or not it has arrived, if discovery could be reached.
	told = 6 * time.Second
	// faults is how many calls in a row may go wrong, each in the slowest way, for a change to be known in time.
	faults = 2
	// headless is how many calls without a head there may be at a time, and mostCalls how many that have said nothing.
	headless, mostCalls = 2, 4
	// beat is how long a watch may say nothing behind its head before it is given up: it brings a line every 2 s.
	beat = 2300 * time.Millisecond
	// doubled is how often the time in which a call keeps its place is doubled at most.
	doubled = 2
	// lastCall is how long after the last word of a watch another call has to be made for a change to be known in time.
	lastCall = 4900 * time.Millisecond
	// answer is what a call takes that goes well, and decode a list, on a machine that is short of time.
	answer, decode = 300 * time.Millisecond, 250 * time.Millisecond
)

// PaceFor gives the pace. Pushed, the address is an agent on this machine, which answers at once and at no cost; what
// it has after an outage counts at once. Asked for, it is one service for all proxies, which takes their calls in
// turn: there is no check, a second call is made late, or not at all where others fail, and a fleet's calls are spread.
func PaceFor(onRequest bool, proxies int) Pace {
	if !onRequest {
		return Pace{
			Silence: 3 * time.Second, Head: 300 * time.Millisecond, Line: 1200 * time.Millisecond, Patience: time.Second,
			Least: 30 * time.Millisecond, Most: 250 * time.Millisecond, Check: 2500 * time.Millisecond,
		}
	}
	// All proxies together make some hundred calls a second at most while discovery is down.
	each := time.Duration(max(proxies, 1)) * time.Millisecond
	return Pace{
		Silence: 2500 * time.Millisecond, Head: 600 * time.Millisecond, Line: 600 * time.Millisecond, Patience: 2400 * time.Millisecond, Turn: 3100 * time.Millisecond,
		Least: min(max(100*time.Millisecond, 2*each), 600*time.Millisecond), Most: min(max(500*time.Millisecond, 8*each), 2250*time.Millisecond),
	}
}

// Told is how long after discovery has a change it is known here at the latest, whatever is wrong with the watch and
// with the next calls, up to faults of them. Where there is a check it is enough that either way holds.
func (p Pace) Told() time.Duration {
	if p.Check > 0 {
		return min(p.watchTold(), p.checkTold())
	}
	return p.watchTold()
}

// watchTold is the longest of the ways by a watch. Each is a sum of what comes one after the other.
func (p Pace) watchTold() time.Duration {
	calls := max(p.Patience, faults*(p.Head+p.Line)) // two without a head: the third comes when the first is given up
	silent := p.Silence + calls                      // the watch is silent, or brings half a line, from the change on
	broken := p.Least + calls                        // it ends with the change
	back := p.Most + calls                           // discovery was down for long
	if p.Turn > 0 {
		broken = max(lastCall, 3*p.Least+p.Turn) // a call fails, too: the next waits its turn, and the one after it comes
		back = p.Most + p.Turn                   // the outage is one fault, and a call without a head the other
	}
	return max(silent, broken, back) + answer + decode
}

// checkTold is the longest way by the check alone, also where the watch says that nothing has changed, and lies.
func (p Pace) checkTold() time.Duration {
	return p.Check + faults*(p.checkPatience()+p.Most) + answer + decode
}

// checkPatience is how long the whole list may take to come.
func (p Pace) checkPatience() time.Duration { return 2 * p.Head }

// call is one call for a watch.
type call struct {
	id          int
	began, head time.Duration // head: when its head came; 0 is not yet
}

// pursuit decides when calls for a watch are made and given up, at one address. It is pure: time is a parameter. Of
// its calls one, the live one, may have said something; the others have not.
type pursuit struct {
	pace   Pace
	jitter func() float64 // from 0 to 1
	live   int            // its id; 0: there is none
	fresh  time.Duration  // when the live one last said something, or ended
	calls  []call         // that have said nothing, the oldest first
	lastID int
	failed int // calls and watches that have ended, one after the other, since something was last said
	lost   int // calls that were given up in their turn since then
	notBefore,
	backoff time.Duration
}

// step gives what is to be done now: calls to be given up, a call to be made (0: none), and when to look again.
func (p *pursuit) step(now time.Duration) (drop []int, start int, next time.Duration) {
	p.calls = slices.DeleteFunc(p.calls, func(c call) bool {
		late := now >= p.givenUp(c)
		if late {
			drop = append(drop, c.id)
		}
		if late && c.head == 0 && p.failed > 1 {
			p.lost++
		}
		return late
	})
	if silent := p.fresh + p.pace.Silence; p.live != 0 && now < silent {
		return drop, 0, silent
	}
	next, waiting := p.notBefore, 0
	for _, c := range p.calls {
		if c.head == 0 {
			waiting++
		}
	}
	if n := len(p.calls); n > 0 {
		next = max(next, p.overdue(p.calls[n-1]))
	}
	full := waiting >= headless || len(p.calls) >= mostCalls
	if now >= next && !full {
		p.lastID++
		start = p.lastID
		p.calls = append(p.calls, call{id: start, began: now})
		next, full = p.overdue(p.calls[len(p.calls)-1]), false
	}
	for i, c := range p.calls {
		if up := p.givenUp(c); up < next || full && i == 0 {
			next = up
		}
	}
	return drop, start, next
}

// givenUp is when a call is given up that has said nothing.
func (p *pursuit) givenUp(c call) time.Duration {
	switch {
	case c.head > 0:
		return c.head + beat
	case p.failed > 0:
		return c.began + max(p.pace.Patience, p.turn())
	}
	return c.began + p.pace.Patience
}

// turn is how long a call keeps its place alone. Danger: where discovery lets calls wait for longer than that, all
// would be given up just before their turn, for ever; so it grows with those that were.
func (p *pursuit) turn() time.Duration {
	return p.pace.Turn << min(p.lost, doubled)
}

// overdue is when another call is made beside one that says nothing. Danger: where calls fail for want of room, a
// second one takes the place of others and may cost the first its own; so it waits for as long as time allows.
func (p *pursuit) overdue(c call) time.Duration {
	switch soon, turn := c.began+p.pace.Head, c.began+p.turn(); {
	case c.head > 0:
		return c.head + p.pace.Line
	case p.failed == 0 || p.pace.Turn == 0:
		return soon
	case p.failed == 1:
		return max(soon, min(turn, p.fresh+lastCall))
	default:
		return turn
	}
}

// answered takes in that a call's head has come.
func (p *pursuit) answered(now time.Duration, id int) {
	for i := range p.calls {
		if p.calls[i].id == id {
			p.calls[i].head = now
		}
	}
}

// spoke takes in a whole line of a call, and gives the calls that are not wanted any more. Counts tells whether the
// call's word still counts.
func (p *pursuit) spoke(now time.Duration, id int) (drop []int, counts bool) {
	if id == p.live {
		p.fresh = now
		return nil, true
	}
	if !slices.ContainsFunc(p.calls, func(c call) bool { return c.id == id }) {
		return nil, false
	}
	if p.live != 0 {
		drop = append(drop, p.live)
	}
	for _, c := range p.calls {
		if c.id != id {
			drop = append(drop, c.id)
		}
	}
	p.live, p.fresh, p.calls, p.backoff, p.failed, p.lost = id, now, nil, 0, 0, 0
	return drop, true
}

// ended takes in that a call is over, and tells whether that was the live one.
func (p *pursuit) ended(now time.Duration, id int) (was bool) {
	was = id == p.live && id != 0
	if was {
		p.live, p.fresh = 0, now
	} else if i := slices.IndexFunc(p.calls, func(c call) bool { return c.id == id }); i >= 0 {
		p.calls = slices.Delete(p.calls, i, i+1)
	} else {
		return false
	}
	p.backoff = min(max(2*p.backoff, p.pace.Least), p.pace.Most)
	// Danger: what ends ends for all proxies at once; without a spread all would come back together, ever again.
	p.notBefore = now + p.backoff/2 + time.Duration(p.jitter()*float64(p.backoff/2))
	if p.failed++; p.failed == 1 && p.pace.Turn > 0 {
		p.notBefore = min(p.notBefore, max(now, p.fresh+lastCall))
	}
	return was
}
