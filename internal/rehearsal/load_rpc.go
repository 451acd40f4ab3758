package rehearsal

import (
	"context"
	"fmt"
	"time"

	"marlreel/internal/standin"
)

// maxCallsPerConn is how many calls may be open on one connection before another is opened.
const maxCallsPerConn = 64

// caller is an RPC client's connection, which multiplexes calls.
type caller struct {
	*standin.RPCClient
	proxy  int
	open   int
	opened time.Duration
}

// tryRPC sends one try by MessagePack-RPC and waits for its end. If a reused connection ends
// just after a call was written and before its answer, the peer may have closed it without
// reading the call: the call is sent once more on a new connection, as over HTTP.
func (l *clients) tryRPC(ctx context.Context, t *Try, r *PlannedRequest, c *Class) {
	zone := l.scenario.Fleet.Zones[r.Zone]
	for again := false; ; again = true {
		conn, fresh, err := l.caller(ctx, zone, t.Left, again)
		if err != nil {
			l.update(t, func() { t.Outcome, t.Ended = Unreached, l.clock.Now() })
			return
		}
		meta := map[string]any{
			"$id": t.ID, "$house": l.scenario.Houses[r.House].Name, "$about": r.About,
			"$left_ms": float64(max(t.Left-l.clock.Now(), time.Millisecond)) / float64(time.Millisecond),
		}
		if r.Key != "" {
			meta["$key"] = r.Key
		}
		if t.N > 0 && l.scenario.Clients.MarkRetries {
			meta["$repeat"] = true
		}
		answers, wrote := conn.Call("post."+c.Name, 4711, 12.5, meta)
		sent := l.clock.Now()
		l.update(t, func() {
			t.Proxy, t.Fresh = conn.proxy, fresh
			if wrote {
				t.Sent = sent
			}
		})
		timer := time.NewTimer(max(t.Left+answerGrace-l.clock.Now(), 0))
		var a standin.RPCAnswer
		silent := false
		select {
		case a = <-answers:
		case <-timer.C:
			silent = true
			conn.Forget(answers) // an answer that still arrives counts as surplus
		}
		timer.Stop()
		l.mu.Lock()
		conn.open--
		now := l.clock.Now()
		ended := a.Err != nil
		if ended && !fresh && !again && wrote && now-sent < closeRaceWindow {
			t.Crossed = now
			l.mu.Unlock()
			continue
		}
		t.setRPCOutcome(a, silent, wrote, now)
		l.mu.Unlock()
		return
	}
}

// setRPCOutcome sets the outcome from an RPC answer; silent means that none came in time.
func (t *Try) setRPCOutcome(a standin.RPCAnswer, silent, wrote bool, now time.Duration) {
	t.Ended = now
	code := a.Code()
	switch {
	case silent:
		t.Outcome = Silent
	case a.Err != nil && !wrote:
		t.Outcome = Unreached
	case a.Err != nil:
		t.Outcome = Broken
	case a.Error == nil:
		t.Outcome = Served
		node, ok := standin.CheckBody(t.ID, fmt.Sprint(a.Result))
		t.Node = node
		if !ok {
			t.Outcome = Foreign
		}
	case code == "refused" || code == "overloaded" || code == "draining":
		t.Outcome = Refused
		if m, ok := a.Error.(map[string]any); ok {
			if s, ok := m["retry_after"].(float64); ok && s >= 0 && s < 3600 {
				t.RetryAfter = time.Duration(s * float64(time.Second))
			}
		}
	default:
		t.Outcome = Failed
	}
}

// caller returns the zone's connection, or a new one if it has ended or is full, or if fresh is set.
func (l *clients) caller(ctx context.Context, zone string, until time.Duration, fresh bool) (*caller, bool, error) {
	l.mu.Lock()
	if c := l.callers[zone]; c != nil && !fresh && !c.Ended() && c.open < maxCallsPerConn {
		c.open++
		l.mu.Unlock()
		return c, false, nil
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, max(until-l.clock.Now(), 0))
	defer cancel()
	nc, proxy, err := l.front.DialRPC(ctx, zone)
	if err != nil {
		return nil, true, err
	}
	c := &caller{RPCClient: standin.NewRPCClient(nc), proxy: proxy, open: 1, opened: l.clock.Now()}
	l.mu.Lock()
	l.opened++
	old := l.callers[zone]
	l.callers[zone] = c
	l.mu.Unlock()
	if old != nil {
		// Answers to its open calls are still outstanding.
		l.readers.Go(func() { l.retire(old) })
	}
	return c, true, nil
}

// retire closes a connection once no calls are open on it.
func (l *clients) retire(c *caller) {
	for !c.Ended() {
		l.mu.Lock()
		open := c.open
		l.mu.Unlock()
		if open <= 0 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.Close()
}
