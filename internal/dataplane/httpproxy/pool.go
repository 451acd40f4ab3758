package httpproxy

import (
	"cmp"
	"slices"
	"time"

	"marlreel/internal/balancer/connections"
	"marlreel/internal/dataplane/engine"
)

// pool keeps the connections to all backends within a bound. The engine's goroutine owns it.
type pool struct {
	open, most int                         // connections, those being dialled among them
	maxIdle    time.Duration               // 0 is for ever
	idle       map[*engine.Backend][]*conn // of each the most recently used last
	model      *connections.Model
	worth      float64         // of a mean request
	stood      []time.Duration // for use within take
}

// restFor is how long a connection rests after an answer, where another can be had.
// A backend that closes right behind its answer has done so by then.
const restFor = time.Millisecond

// shyFor is how long a connection whose last answer turned a request away is kept from what
// must not be lost, where a new one can be had. A backend that turns away for its number of
// connections closes behind that answer, and the next attempt is often for the same backend.
const shyFor = 250 * time.Millisecond

// take gives an idle connection to the backend, the one that the model of connections
// has for who stakes so much on it, and nil where a new one is worth its handshake or
// none is there. One that has not had its rest is given only where there is no other.
func (p *pool) take(to *engine.Backend, now time.Duration, stake connections.Request) *conn {
	idle := p.idle[to]
	if len(idle) == 0 {
		return nil
	}
	// A request that is written to a connection just as the backend closes it for age
	// is a reset, which may have run. So age is checked here as well.
	idle = slices.DeleteFunc(idle, func(c *conn) bool {
		gone := p.tooOld(c, now)
		if gone {
			p.close(c)
		}
		return gone
	})
	var shy []*conn
	if stake.Effect == connections.Lost && p.open < p.most {
		idle = slices.DeleteFunc(idle, func(c *conn) bool {
			is := c.turnedAway && now-c.idleSince < shyFor
			if is {
				shy = append(shy, c)
			}
			return is
		})
	}
	var taken *conn
	for taken == nil && len(idle) > 0 {
		rested := idle // the latest used is last
		for len(rested) > 0 && now-rested[len(rested)-1].idleSince < restFor {
			rested = rested[:len(rested)-1]
		}
		at := len(idle) - 1
		if len(rested) > 0 {
			p.stood = p.stood[:0]
			for _, c := range rested {
				p.stood = append(p.stood, now-c.idleSince)
			}
			if at = p.model.Choose(now, uint32(to.ID), to.Zone, stake, p.stood, p.open < p.most); at == connections.Dial {
				break
			}
		}
		c := idle[at]
		idle = slices.Delete(idle, at, at+1)
		if c.alive() {
			taken = c
		} else {
			p.close(c)
		}
	}
	if len(shy) > 0 {
		idle = append(idle, shy...)
		slices.SortStableFunc(idle, func(x, y *conn) int { return cmp.Compare(x.idleSince, y.idleSince) })
	}
	p.keep(to, idle)
	return taken
}

// mayDial takes a place for a new connection; where all are taken, an idle one has to go.
func (p *pool) mayDial() bool {
	if p.open >= p.most && !p.closeOldest() || p.open >= p.most {
		return false
	}
	p.open++
	return true
}

// setMost puts another bound in force. What is idle beyond it is closed, the oldest first;
// what is in use goes on.
func (p *pool) setMost(most int) {
	p.most = most
	for p.open > p.most && p.closeOldest() {
	}
}

// closeOldest closes the connection that has been idle for the longest, if any is.
func (p *pool) closeOldest() bool {
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
	p.keep(oldest, slices.Delete(p.idle[oldest], 0, 1))
	return true
}

// put takes a connection back; nil says that it is closed.
func (p *pool) put(to *engine.Backend, c *conn, now time.Duration) {
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
	p.idle[to] = append(p.idle[to], c)
	if p.open > p.most { // the bound has been lowered meanwhile
		p.closeOldest()
	}
}

// keep notes what is idle at a backend: no entry stands for nothing.
func (p *pool) keep(b *engine.Backend, idle []*conn) {
	if len(idle) == 0 {
		delete(p.idle, b)
		return
	}
	p.idle[b] = idle
}

func (p *pool) tooOld(c *conn, now time.Duration) bool {
	return p.maxIdle > 0 && now-c.idleSince >= p.maxIdle
}

func (p *pool) close(c *conn) {
	p.open--
	c.Close()
}

// release closes a backend's idle connections.
func (p *pool) release(b *engine.Backend) {
	for _, c := range p.idle[b] {
		p.close(c)
	}
	delete(p.idle, b)
}

// retire closes what has been idle for long, or was closed by the backend.
func (p *pool) retire(now time.Duration) {
	for b, idle := range p.idle {
		p.keep(b, slices.DeleteFunc(idle, func(c *conn) bool {
			old := p.tooOld(c, now) || !c.alive() || p.model.ShouldClose(now, uint32(b.ID), b.Zone, now-c.idleSince, p.worth)
			if old {
				p.close(c)
			}
			return old
		}))
	}
}
