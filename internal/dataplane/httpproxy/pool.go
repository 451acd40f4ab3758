package httpproxy

import (
	"cmp"
	"slices"
	"time"

	"marlreel/internal/balancer/connections"
	"marlreel/internal/dataplane/engine"
)

// pool manages the connections to all backends within a common limit. The engine's goroutine owns it.
type pool struct {
	open, maxOpen int                                // connections, including those being dialed
	maxIdle       time.Duration                      // 0: no limit
	idle          map[*engine.Backend][]*backendConn // for each backend, the most recently used last
	model         *connections.Model
	meanUtility   float64         // of a request
	idleTimes     []time.Duration // scratch space for choose

	keepAlive *connections.KeepAlive // nil: answers carry ids, and every connection may be reused
	watched   []watchedConn          // not to be used again; the oldest first
	onSurplus func(*engine.Backend)  // called when a surplus answer is found on an idle connection
}

// watchedConn is a connection that will carry no further request. It stays open for surplusWatch: a surplus answer in this
// time shows that the backend still sends such answers.
type watchedConn struct {
	*backendConn
	backend *engine.Backend
}

// surplusWatch is how long a connection that is not reused is watched for surplus answers before it is closed.
const surplusWatch = 20 * time.Millisecond

// restTime is how long a connection is not reused after an answer, unless there is no other.
// A backend that closes the connection right after its answer has done so by then.
const restTime = time.Millisecond

// rejectedRestTime is how long a connection whose last answer was a rejection is not used for requests that must not be
// lost, if a new one can be opened. A backend that rejects because it has too many connections closes the connection after
// that answer, and the next attempt often goes to the same backend.
const rejectedRestTime = 250 * time.Millisecond

// take returns the idle connection to the backend that the connection model chooses for the request. It returns nil if a
// new connection is worth its handshake or none is idle. A connection within its rest time is returned only if there is no
// other.
func (p *pool) take(to *engine.Backend, now time.Duration, request connections.Request) *backendConn {
	p.closeWatched(now)
	idle := p.idle[to]
	if len(idle) == 0 {
		return nil
	}
	idle = p.withoutExpired(idle, now)
	idle = p.withoutUnreusable(to, idle, now)
	p.setIdle(to, idle)
	if !p.mayReuse(to, now) { // withoutUnreusable may have suspended the reuse just now
		p.closeIdle(to)
		return nil
	}
	var avoided []*backendConn
	if p.open < p.maxOpen {
		idle, avoided = withoutAvoided(idle, now, request)
	}
	taken, idle := p.takeReusable(to, idle, now, request)
	if len(avoided) > 0 {
		idle = append(idle, avoided...)
		slices.SortStableFunc(idle, func(x, y *backendConn) int { return cmp.Compare(x.idleSince, y.idleSince) })
	}
	p.setIdle(to, idle)
	return taken
}

// withoutExpired closes the connections that have been idle for too long. A request written just as the backend closes the
// idle connection is reset and may have run, so the idle time is checked here as well as in closeExpired.
func (p *pool) withoutExpired(idle []*backendConn, now time.Duration) []*backendConn {
	return slices.DeleteFunc(idle, func(c *backendConn) bool {
		expired := p.idleExpired(c, now)
		if expired {
			p.close(c)
		}
		return expired
	})
}

// withoutUnreusable checks the connections that rest after a quick answer, and once more when the rest is over, and closes
// those that can't be reused. So a surplus answer on one of them suspends the reuse of all at once.
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

// withoutAvoided separates the connections that a request should not use while a new one can be opened: those that rest
// after a quick answer, and for a request that must not be lost also those whose last answer was a rejection less than
// rejectedRestTime ago.
func withoutAvoided(idle []*backendConn, now time.Duration, request connections.Request) (kept, avoided []*backendConn) {
	kept = slices.DeleteFunc(idle, func(c *backendConn) bool {
		rejected := request.Effect == connections.Lost && c.lastRejected && now-c.idleSince < rejectedRestTime
		avoid := rejected || now < c.restUntil
		if avoid {
			avoided = append(avoided, c)
		}
		return avoid
	})
	return kept, avoided
}

// takeReusable takes the idle connection that choose selects. One that turns out not to be reusable is closed, and choose
// is asked again.
func (p *pool) takeReusable(to *engine.Backend, idle []*backendConn, now time.Duration, request connections.Request) (taken *backendConn, left []*backendConn) {
	for len(idle) > 0 && p.mayReuse(to, now) {
		choice := p.choose(to, idle, now, request)
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

// checkReusable reports whether an idle connection can carry a request, and calls onSurplus for a surplus answer on it.
func (p *pool) checkReusable(of *engine.Backend, c *backendConn) bool {
	reusable := c.reusable()
	if !reusable && c.surplus && p.onSurplus != nil {
		p.onSurplus(of)
	}
	return reusable
}

// mayReuse reports whether connections to a backend may carry more than one request.
func (p *pool) mayReuse(to *engine.Backend, now time.Duration) bool {
	return p.keepAlive == nil || p.keepAlive.Reusable(now, uint32(to.ID))
}

// closeWatched closes the connections that have been watched for surplusWatch.
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

// choose returns the index of the connection to use, or connections.Dial. The most recently used is last in idle.
func (p *pool) choose(to *engine.Backend, idle []*backendConn, now time.Duration, request connections.Request) int {
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
	return p.model.Choose(now, uint32(to.ID), to.Zone, request, p.idleTimes, p.open < p.maxOpen)
}

// reserveDial counts a new connection as open, and reports whether the limit allows it. At the limit it closes an idle one.
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

// setMaxOpen changes the limit. Idle connections beyond it are closed, the longest idle first;
// those in use are not interrupted.
func (p *pool) setMaxOpen(limit int) {
	p.maxOpen = limit
	for p.open > p.maxOpen && p.closeOldest() {
	}
}

// closeOldest closes the connection that has been idle for the longest, and reports whether there was one. Watched
// connections, which are not reused, are closed first.
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

// put returns a connection to the pool; nil means that it is closed already.
func (p *pool) put(to *engine.Backend, c *backendConn, now time.Duration) {
	if c == nil {
		p.open--
		return
	}
	// A backend that has left the list is never ready again.
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
	if p.open > p.maxOpen { // the limit has been lowered in the meantime
		p.closeOldest()
	}
}

// setIdle stores the idle connections of a backend; without any, the map has no entry.
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

// closeExpired closes connections that have been idle for too long, were closed by the backend, or are not worth keeping.
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
