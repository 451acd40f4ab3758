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

// What daily service does to proxies: new versions beside old ones, settings that change, crowds.

const (
	// yesWithin is how long a new process may take until it says that it can serve.
	yesWithin = 6 * time.Second
	// tookWithin is how long a proxy may take to say whether it has taken a settings file.
	tookWithin = time.Second
	// crowdRest is how long one of a crowd takes to come back: a crowd is patient, not a flood.
	crowdRest = time.Second
)

// askDoor asks a process by its door: yes or no, and what it says.
func askDoor(ctx context.Context, addr, call string) (yes bool, text string, err error) {
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

// figure reads a figure of a process; -1 is none.
func figure(ctx context.Context, addr, name string) int {
	_, text, err := askDoor(ctx, addr, "counters")
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

// upgrade starts a new process of a proxy beside the old one, waits for its yes, and ends the old
// one as the platform does. A new one that says no yes, or ends, is written down as a crash.
func (w *world) upgrade(ctx context.Context, p *proxy) error {
	p.mu.Lock()
	old := p.now
	p.mu.Unlock()
	if old == nil || old.ended() {
		return nil
	}
	if err := w.startProxy(p, w.agents[p.n].List()); err != nil {
		return err
	}
	p.mu.Lock()
	next := p.now
	p.mu.Unlock()
	for until := time.Now().Add(yesWithin); ; {
		yes, _, _ := askDoor(ctx, next.door, "ready")
		if yes {
			break
		}
		if ctx.Err() != nil { // the run is over: the old one is not left behind
			p.mu.Lock()
			defer p.mu.Unlock()
			old.life.Term = w.clock.Now()
			old.end(w.longest())
			p.over(old, w.clock.Now(), "ended")
			return nil
		}
		if next.ended() || time.Now().After(until) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.now = old // it goes on
			if !next.ended() {
				next.life.Term = w.clock.Now()
				next.signal(os.Kill)
				<-next.done
				p.over(next, w.clock.Now(), "killed")
			}
			w.noteCrash(fmt.Sprintf("a new process of proxy %s has not said within %v that it can serve: %s", proxyName(p.n), yesWithin, p.lastWords()))
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	p.mu.Lock()
	old.life.Term = w.clock.Now()
	p.mu.Unlock()
	how := "ended"
	if old.end(w.longest() + 700*time.Millisecond) {
		how = "too slow to end"
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.over(old, w.clock.Now(), how)
	return nil
}

func (w *world) noteCrash(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes = append(w.crashes, text)
}

// Reload is one file that a proxy was told to read, and what became of it.
type Reload struct {
	Proxy    int
	At       time.Duration
	Good     bool
	Attempts int // that it allows
	Taken    bool
	TakenAt  time.Duration // when it was seen
	Silent   bool          // it did not say
}

// retune gives a proxy another settings file and tells it to read it. A broken one is taken away
// again afterwards: a start must find a good one.
func (w *world) retune(ctx context.Context, p *proxy, e Event, start time.Duration) error {
	p.mu.Lock()
	now := p.now
	if now == nil || now.ended() {
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
		text = breakFile(good, e.How)
	}
	name, other := "sighup_applied", "sighup_rejected"
	if !r.Good {
		name, other = other, name
	}
	before, wrong := figure(ctx, now.door, name), figure(ctx, now.door, other)
	if err := replaceFile(p.config, text); err != nil {
		return err
	}
	r.At = w.clock.Now()
	now.signal(syscall.SIGHUP)
	for until := time.Now().Add(tookWithin); ; time.Sleep(20 * time.Millisecond) {
		if n := figure(ctx, now.door, name); n > before && before >= 0 {
			r.Taken = r.Good
			break
		}
		if n := figure(ctx, now.door, other); n > wrong && wrong >= 0 {
			r.Taken = !r.Good
			break
		}
		if time.Now().After(until) || ctx.Err() != nil || now.ended() {
			r.Silent = ctx.Err() == nil && !now.ended()
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

// replaceFile puts a file in place whole.
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

// breakFile breaks a settings file.
func breakFile(good []byte, how string) []byte {
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

// crowd opens connections to a proxy that ask nothing whole, and opens others where they end.
func (w *world) crowd(ctx context.Context, p *proxy, e Event, start time.Duration) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(start+e.Until-w.clock.Now()))
	defer cancel()
	var all sync.WaitGroup
	defer all.Wait()
	gap := max(time.Until(deadlineOf(ctx))/time.Duration(2*e.Connections), 50*time.Microsecond)
	for i := range e.Connections {
		all.Go(func() {
			for ctx.Err() == nil {
				w.hang(ctx, p.addr, i%3 == 0)
				select {
				case <-time.After(crowdRest):
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

// hang holds one connection of a crowd until somebody ends it.
func (w *world) hang(ctx context.Context, addr string, part bool) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	w.crowded.Add(1)
	if part {
		io.WriteString(c, "GET /"+w.scenario.Classes[0].Name+"/x HTTP/1.1\r\nHo")
	}
	io.Copy(io.Discard, bufio.NewReader(c))
}

// hold lets the kit hold the clients' listener of a proxy, for all its processes.
func (p *proxy) hold() error {
	ln, err := net.Listen("tcp", p.addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer ln.Close() // the file is a copy
	t, ok := ln.(*net.TCPListener)
	if !ok {
		return errors.New("listen: it is no TCP socket")
	}
	p.held, err = t.File()
	return err
}

// reloadBreaks are the files that were taken though they are broken, or turned down though they
// are good.
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

// attemptsAt is the most attempts that a try which was sent to a proxy at a time may have.
func attemptsAt(most int, reloads []Reload, proxy int, at time.Duration) int {
	for _, r := range reloads {
		if r.Proxy == proxy && r.Taken && r.Attempts > 0 && at >= r.At+usableAfter {
			most = r.Attempts
		}
	}
	return most
}
