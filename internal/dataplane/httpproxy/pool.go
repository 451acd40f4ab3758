package httpproxy

import (
	"cmp"
	"slices"
	"time"

	"marlreel/internal/balancer/connections"
	"marlreel/internal/dataplane/engine"
)

// pool keeps the connections to all backends within a limit. The engine's goroutine owns it.
type pool struct {
	open, maxOpen int                                // connections, those being dialled among them
	maxIdle       time.Duration                      // 0 is for ever
	idle          map[*engine.Backend][]*backendConn // of each the most recently used last
	model         *connections.Model
	meanUtility   float64         // of a mean request
	idleTimes     []time.Duration // for use within choose

	keepAlive *connections.KeepAlive // nil: answers carry ids, and every connection may be reused
	watched   []watchedConn          // used once, and not to be used again; the one that came first is first
	onSurplus func(*engine.Backend)  // something came on an idle connection that no request had asked for
}

// watchedConn is a connection that will carry no further request. It stays open for surplusWatch: an answer too many
// that comes in this time shows that the backend still sends such answers.
type watchedConn struct {
	*backendConn
	backend *engine.Backend
}

// surplusWatch is how long a connection that is not reused is watched for surplus before it is closed.
const surplusWatch = 20 * time.Millisecond

// restTime is how long a connection rests after an answer, where another can be had.
// A backend that closes right behind its answer has done so by then.
const restTime = time.Millisecond

// rejectedRestTime is how long a connection whose last answer was a rejection is kept from requests that must not be
// lost, where a new one can be had. A backend that rejects for its number of connections closes behind that answer, and
// the next attempt is often for the same backend.
const rejectedRestTime = 250 * time.Millisecond

// take gives an idle connection to the backend: the one that the model of connections chooses for a request with that
// stake, and nil where a new one is worth its handshake or none is idle. One that has not had its rest time is given only
// where there is no other.
func (p *pool) take(to *engine.Backend, now time.Duration, stake connections.Request) *backendConn {
	p.closeWatched(now)
	idle := p.idle[to]
	if len(idle) == 0 {
		return nil
	}
	idle = p.withoutExpired(idle, now)
	idle = p.withoutUnreusable(to, idle, now)
	p.setIdle(to, idle)
	if !p.mayReuse(to, now) { // perhaps only since the last line but one
		p.closeIdle(to)
		return nil
	}
	var avoided []*backendConn
	if p.open < p.maxOpen {
		idle, avoided = withoutAvoided(idle, now, stake)
	}
	taken, idle := p.takeReusable(to, idle, now, stake)
	if len(avoided) > 0 {
		idle = append(idle, avoided...)
		slices.SortStableFunc(idle, func(x, y *backendConn) int { return cmp.Compare(x.idleSince, y.idleSince) })
	}
	p.setIdle(to, idle)
	return taken
}

// withoutExpired closes the connections that have been idle for too long. A request that is written to a connection just
// as the backend closes it for age is a reset, which may have run: that is why age is checked here as well.
func (p *pool) withoutExpired(idle []*backendConn, now time.Duration) []*backendConn {
	return slices.DeleteFunc(idle, func(c *backendConn) bool {
		expired := p.idleExpired(c, now)
		if expired {
			p.close(c)
		}
		return expired
	})
}

// withoutUnreusable looks at the connections that rest after a quick answer, and once more when they have rested, so that
// what shows on one of them counts for all at once; it closes those that can't be used again.
func (p *pool) withoutUnreusable(of *engine.Backend, idle []*backendConn, now time.Duration) []*backendConn {
	return slices.DeleteFunc(idle, func(c *backendConn) bool {
		if c.restUntil == 0 {
			return false
		}
		if now >= c.restUntil {
			c.restUntil = 0
		}
		unreusable := !p.checkReusable(of, c)
		if unreusable {
			p.close(c)
		}
		return unreusable
	})
}

// withoutAvoided sets the connections apart that a request should not have while a new one can be had: those that rest
// after a quick answer, and for a request that must not be lost also those whose last answer was a rejection, for
// rejectedRestTime.
func withoutAvoided(idle []*backendConn, now time.Duration, stake connections.Request) (kept, avoided []*backendConn) {
	kept = slices.DeleteFunc(idle, func(c *backendConn) bool {
		rejected := stake.Effect == connections.Lost && c.lastRejected && now-c.idleSince < rejectedRestTime
		avoid := rejected || now < c.restUntil
		if avoid {
			avoided = append(avoided, c)
		}
		return avoid
	})
	return kept, avoided
}

// takeReusable takes the chosen one of the idle connections, and closes those that are chosen and turn out closed.
func (p *pool) takeReusable(to *engine.Backend, idle []*backendConn, now time.Duration, stake connections.Request) (taken *backendConn, left []*backendConn) {
	for len(idle) > 0 && p.mayReuse(to, now) {
		choice := p.choose(to, idle, now, stake)
		if choice == connections.Dial {
			break
		}
		c := idle[choice]
		idle = slices.Delete(idle, choice, choice+1)
		if p.checkReusable(to, c) {
			return c, idle
		}
		p.close(c)
	}
	return nil, idle
}

// checkReusable tells whether an idle connection can carry a request, and reports what has come on it out of turn.
func (p *pool) checkReusable(of *engine.Backend, c *backendConn) bool {
	reusable := c.reusable()
	if !reusable && c.surplus && p.onSurplus != nil {
		p.onSurplus(of)
	}
	return reusable
}

// mayReuse tells whether connections to a backend may carry more than one request.
func (p *pool) mayReuse(to *engine.Backend, now time.Duration) bool {
	return p.keepAlive == nil || p.keepAlive.Reusable(now, uint32(to.ID))
}

// closeWatched closes the connections that have been watched for surplus for long enough.
func (p *pool) closeWatched(now time.Duration) {
	for len(p.watched) > 0 && now-p.watched[0].idleSince >= surplusWatch {
		p.closeFirstWatched()
	}
}

func (p *pool) closeFirstWatched() {
	first := p.watched[0]
	p.watched[0] = watchedConn{}
	p.watched = p.watched[1:]
	p.checkReusable(first.backend, first.backendConn)
	p.close(first.backendConn)
}

// choose gives the index of the connection to use, or connections.Dial. The latest used is last.
func (p *pool) choose(to *engine.Backend, idle []*backendConn, now time.Duration, stake connections.Request) int {
	rested := idle
	for len(rested) > 0 && now-rested[len(rested)-1].idleSince < restTime {
		rested = rested[:len(rested)-1]
	}
	if len(rested) == 0 {
		return len(idle) - 1
	}
	p.idleTimes = p.idleTimes[:0]
	for _, c := range rested {
		p.idleTimes = append(p.idleTimes, now-c.idleSince)
	}
	return p.model.Choose(now, uint32(to.ID), to.Zone, stake, p.idleTimes, p.open < p.maxOpen)
}

// reserveDial takes a place for a new connection; where all are taken, an idle one has to go.
func (p *pool) reserveDial() bool {
	if p.open >= p.maxOpen {
		p.closeOldest()
	}
	if p.open >= p.maxOpen {
		return false
	}
	p.open++
	return true
}

// setMaxOpen puts another bound in force. What is idle beyond it is closed, the oldest first;
// what is in use goes on.
func (p *pool) setMaxOpen(limit int) {
	p.maxOpen = limit
	for p.open > p.maxOpen && p.closeOldest() {
	}
}

// closeOldest closes the connection that has been idle for the longest, if any is; those that nobody will use go first.
func (p *pool) closeOldest() bool {
	if len(p.watched) > 0 {
		p.closeFirstWatched()
		return true
	}
	var oldest *engine.Backend
	for b, idle := range p.idle {
		if oldest == nil || idle[0].idleSince < p.idle[oldest][0].idleSince {
			oldest = b
		}
	}
	if oldest == nil {
		return false
	}
	p.close(p.idle[oldest][0])
	p.setIdle(oldest, slices.Delete(p.idle[oldest], 0, 1))
	return true
}

// put takes a connection back; nil says that it is closed.
func (p *pool) put(to *engine.Backend, c *backendConn, now time.Duration) {
	if c == nil {
		p.open--
		return
	}
	// One that has left the list is never ready again.
	if !to.Ready() || c.RemoteAddr().String() != to.Addr {
		p.close(c)
		return
	}
	c.idleSince = now
	if !p.mayReuse(to, now) {
		p.watched = append(p.watched, watchedConn{c, to})
		p.closeWatched(now)
		return
	}
	p.idle[to] = append(p.idle[to], c)
	if p.open > p.maxOpen { // the bound has been lowered meanwhile
		p.closeOldest()
	}
}

// setIdle notes what is idle at a backend: no entry stands for nothing.
func (p *pool) setIdle(b *engine.Backend, idle []*backendConn) {
	if len(idle) == 0 {
		delete(p.idle, b)
		return
	}
	p.idle[b] = idle
}

func (p *pool) idleExpired(c *backendConn, now time.Duration) bool {
	return p.maxIdle > 0 && now-c.idleSince >= p.maxIdle
}

func (p *pool) close(c *backendConn) {
	p.open--
	c.Close()
}

// closeIdle closes a backend's idle connections.
func (p *pool) closeIdle(b *engine.Backend) {
	for _, c := range p.idle[b] {
		p.close(c)
	}
	delete(p.idle, b)
}

// closeExpired closes what has been idle for long, or was closed by the backend.
func (p *pool) closeExpired(now time.Duration) {
	p.closeWatched(now)
	for b, idle := range p.idle {
		p.setIdle(b, slices.DeleteFunc(idle, func(c *backendConn) bool {
			expired := p.idleExpired(c, now) || !p.checkReusable(b, c) || p.model.ShouldClose(now, uint32(b.ID), b.Zone, now-c.idleSince, p.meanUtility)
			if expired {
				p.close(c)
			}
			return expired
		}))
	}
}
