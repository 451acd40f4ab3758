package rehearsal

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Operations on proxies: upgrades, changes of settings, and crowds of connections.

const (
	// readyTimeout is how long a new process may take to report that it is ready.
	readyTimeout = 6 * time.Second
	// reloadTimeout is how long a proxy may take to report whether it has applied a settings file.
	reloadTimeout = time.Second
	// crowdReconnectDelay is the pause before a connection of a crowd is opened again, so that the crowd isn't a flood
	// of new connections.
	crowdReconnectDelay = time.Second
)

// callControl calls a process's control endpoint, and returns whether the status was 2xx, and the body.
func callControl(ctx context.Context, addr, call string) (yes bool, text string, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/control/"+call, nil)
	if err != nil {
		return false, "", err
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return false, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	return resp.StatusCode/100 == 2, string(body), err
}

// readCounter reads a counter of a process. It returns -1 if the counter can't be read.
func readCounter(ctx context.Context, addr, name string) int {
	_, text, err := callControl(ctx, addr, "counters")
	if err != nil {
		return -1
	}
	for line := range strings.Lines(text) {
		rest, found := strings.CutPrefix(strings.TrimSpace(line), "proxy."+name+":")
		if value, _, cut := strings.Cut(rest, "|"); found && cut {
			if n, err := strconv.Atoi(value); err == nil {
				return n
			}
		}
	}
	return -1
}

// upgrade starts a new process of a proxy beside the old one, waits until it is ready, and terminates the old
// one, as the platform does. A new process that doesn't become ready in time, or exits, is recorded as a crash.
func (w *testbed) upgrade(ctx context.Context, p *proxy) error {
	p.mu.Lock()
	old := p.current
	p.mu.Unlock()
	if old == nil || old.ended() {
		return nil
	}
	if err := w.startProxy(p, w.agents[p.n].List()); err != nil {
		return err
	}
	p.mu.Lock()
	next := p.current
	p.mu.Unlock()
	for until := time.Now().Add(readyTimeout); ; {
		yes, _, _ := callControl(ctx, next.controlAddr, "ready")
		if yes {
			break
		}
		if ctx.Err() != nil { // the run is over: terminate the old process too
			p.mu.Lock()
			defer p.mu.Unlock()
			old.life.Term = w.clock.Now()
			old.terminate(w.longest())
			p.recordEnd(old, w.clock.Now(), "ended")
			return nil
		}
		if next.ended() || time.Now().After(until) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.current = old // the old process continues to serve
			if !next.ended() {
				next.life.Term = w.clock.Now()
				next.signal(os.Kill)
				<-next.done
				p.recordEnd(next, w.clock.Now(), "killed")
			}
			w.recordCrash(fmt.Sprintf("a new process of proxy %s has not said within %v that it can serve: %s", proxyName(p.n), readyTimeout, p.logTail()))
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	p.mu.Lock()
	old.life.Term = w.clock.Now()
	p.mu.Unlock()
	how := "ended"
	if old.terminate(w.longest() + 700*time.Millisecond) {
		how = "too slow to end"
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordEnd(old, w.clock.Now(), how)
	return nil
}

func (w *testbed) recordCrash(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes = append(w.crashes, text)
}

// Reload is one reload of a proxy's settings file, and its result.
type Reload struct {
	Proxy    int
	At       time.Duration
	Good     bool
	Attempts int // limit of attempts in the file
	Taken    bool
	TakenAt  time.Duration // when the result was seen
	Silent   bool          // no result was reported in time
}

// retune replaces a proxy's settings file and sends SIGHUP. A broken file is replaced by a good one
// afterwards, as a later start of the proxy must find a good file.
func (w *testbed) retune(ctx context.Context, p *proxy, e Event, start time.Duration) error {
	p.mu.Lock()
	current := p.current
	if current == nil || current.ended() {
		p.mu.Unlock()
		return nil
	}
	r := Reload{Proxy: p.n, Good: e.How == ""}
	if e.Attempts > 0 {
		p.attempts = e.Attempts
	}
	r.Attempts = p.attempts
	good, err := w.configOf(p, w.agents[p.n].List(), max(0, w.clock.Now()-start))
	p.mu.Unlock()
	if err != nil {
		return err
	}
	text := good
	if !r.Good {
		text = corruptConfig(good, e.How)
	}
	name, other := "sighup_applied", "sighup_rejected"
	if !r.Good {
		name, other = other, name
	}
	before, wrong := readCounter(ctx, current.controlAddr, name), readCounter(ctx, current.controlAddr, other)
	if err := replaceFile(p.config, text); err != nil {
		return err
	}
	r.At = w.clock.Now()
	current.signal(syscall.SIGHUP)
	for until := time.Now().Add(reloadTimeout); ; time.Sleep(20 * time.Millisecond) {
		if n := readCounter(ctx, current.controlAddr, name); n > before && before >= 0 {
			r.Taken = r.Good
			break
		}
		if n := readCounter(ctx, current.controlAddr, other); n > wrong && wrong >= 0 {
			r.Taken = !r.Good
			break
		}
		if time.Now().After(until) || ctx.Err() != nil || current.ended() {
			r.Silent = ctx.Err() == nil && !current.ended()
			break
		}
	}
	if !r.Good {
		if err := replaceFile(p.config, good); err != nil {
			return err
		}
	}
	r.TakenAt = w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() == nil {
		w.reloads = append(w.reloads, r)
	}
	return nil
}

// replaceFile replaces a file atomically.
func replaceFile(path string, text []byte) error {
	next := path + ".next"
	if err := os.WriteFile(next, text, 0o644); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if err := os.Rename(next, path); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return nil
}

// corruptConfig returns a settings file that is broken in the given way.
func corruptConfig(good []byte, how string) []byte {
	var file map[string]any
	if how == "empty" || json.Unmarshal(good, &file) != nil {
		return nil
	}
	settings, _ := file["settings"].(map[string]any)
	classes, _ := settings["Services"].([]any)
	class, _ := classes[0].(map[string]any)
	caps, _ := settings["Caps"].(map[string]any)
	switch how {
	case "cut":
		return good[:len(good)*2/3]
	case "short":
		delete(class, "Effect")
	case "deadline":
		class["GiveUp"] = 0.0
	case "attempts":
		caps["MaxAttempts"] = 0
	}
	text, err := json.Marshal(file)
	if err != nil {
		return nil
	}
	return text
}

// crowd opens connections to a proxy that never send a complete request, and reopens those that are closed.
func (w *testbed) crowd(ctx context.Context, p *proxy, e Event, start time.Duration) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(start+e.Until-w.clock.Now()))
	defer cancel()
	var all sync.WaitGroup
	defer all.Wait()
	gap := max(time.Until(deadlineOf(ctx))/time.Duration(2*e.Connections), 50*time.Microsecond)
	for i := range e.Connections {
		all.Go(func() {
			for ctx.Err() == nil {
				w.holdConnection(ctx, p.addr, i%3 == 0)
				select {
				case <-time.After(crowdReconnectDelay):
				case <-ctx.Done():
				}
			}
		})
		select {
		case <-time.After(gap):
		case <-ctx.Done():
			return
		}
	}
}

func deadlineOf(ctx context.Context) time.Time {
	at, _ := ctx.Deadline()
	return at
}

// holdConnection opens one connection of a crowd and keeps it until the proxy closes it or ctx ends. With part it sends
// an incomplete request head.
func (w *testbed) holdConnection(ctx context.Context, addr string, part bool) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	w.crowdConns.Add(1)
	if part {
		io.WriteString(c, "GET /"+w.scenario.Classes[0].Name+"/x HTTP/1.1\r\nHo")
	}
	io.Copy(io.Discard, bufio.NewReader(c))
}

// openListener opens the listener for clients of a proxy, which all its processes inherit.
func (p *proxy) openListener() error {
	ln, err := net.Listen("tcp", p.addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer ln.Close() // the file is a copy
	t, ok := ln.(*net.TCPListener)
	if !ok {
		return errors.New("listen: not a TCP listener")
	}
	p.listener, err = t.File()
	return err
}

// reloadBreaks returns a break for each broken file that was applied, each good file that was rejected, and each
// reload without a result.
func reloadBreaks(reloads []Reload) (breaks []Break) {
	for _, r := range reloads {
		what := ""
		switch {
		case r.Silent:
			what = "a settings file was neither taken nor turned down"
		case r.Good && !r.Taken:
			what = "a good settings file was turned down"
		case !r.Good && r.Taken:
			what = "a broken settings file was taken"
		default:
			continue
		}
		breaks = append(breaks, Break{Rule: RuleSettings, What: what, Proxy: r.Proxy, At: r.At})
	}
	return breaks
}

// maxAttemptsAt returns the limit of attempts for a try that was sent to a proxy at the given time.
func maxAttemptsAt(most int, reloads []Reload, proxy int, at time.Duration) int {
	for _, r := range reloads {
		if r.Proxy == proxy && r.Taken && r.Attempts > 0 && at >= r.At+settingsDelay {
			most = r.Attempts
		}
	}
	return most
}
