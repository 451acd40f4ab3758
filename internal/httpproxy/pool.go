package httpproxy

import (
	"slices"
	"time"

	"marlreel/internal/engine"
)

// pool keeps the connections to all backends within a bound. The engine's goroutine owns it.
type pool struct {
	open, most int                         // connections, those being dialled among them
	maxIdle    time.Duration               // 0 is for ever
	idle       map[*engine.Backend][]*conn // of each the most recently used last
}

// restFor is how long a connection rests after an answer, where another can be had.
// A backend that closes right behind its answer has done so by then.
const restFor = time.Millisecond

// take gives an idle connection to the backend, the most recently used that has had
// its rest, else the most recently used: the others grow old and leave. It gives nil
// where there is none.
func (p *pool) take(to *engine.Backend, now time.Duration) *conn {
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
	var taken *conn
	for taken == nil && len(idle) > 0 {
		at := len(idle) - 1
		for i := at; i >= 0; i-- {
			if now-idle[i].idleSince >= restFor {
				at = i
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
	p.keep(to, idle)
	return taken
}

// mayDial takes a place for a new connection; where all are taken, an idle one has to go.
func (p *pool) mayDial() bool {
	if p.open >= p.most {
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
	}
	p.open++
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
			old := p.tooOld(c, now) || !c.alive()
			if old {
				p.close(c)
			}
			return old
		}))
	}
}
