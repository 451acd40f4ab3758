package proxy

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"marlreel"
)

// moved is a configuration that names another address of discovery.
func moved(cfg *Config, discovery string) *Config {
	next := *cfg
	next.Discovery = discovery
	return &next
}

// counting is a backend that answers with its name and counts its connections.
func counting(t *testing.T, name string) (string, *atomic.Int64) {
	t.Helper()
	n := new(atomic.Int64)
	return rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		n.Add(1)
		for {
			if _, ok := readRequest(in); !ok {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(name), name)
		}
	}), n
}

// A new address takes over with its first word. Until then the old one counts, and
// from then on it doesn't; a backend that both list keeps its connection.
func TestReloadMovesTheWatchWithoutAGap(t *testing.T) {
	t.Parallel()
	for name, onRequest := range map[string]bool{"pushed": false, "asked for": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := newRegistry(t), newRegistry(t)
			kept, conns := counting(t, "kept")
			cfg := testConfig(t, a.Addr, ready("s-1", kept))
			cfg.Settings.OnRequest = onRequest
			cfg.Settings.Obligations.AskEvery = time.Minute
			p := start(t, cfg)
			old := a.next(t)
			servedBy(t, p, "kept")
			p.reloads <- moved(cfg, b.Addr)
			next := b.next(t)
			if next.From != "0" {
				t.Errorf("the new address is asked for what came after %s, want the whole list", next.From)
			}
			other := named(t, "other")
			old.Lines <- line(t, 8, true, ready("s-2", other))
			servedBy(t, p, "other") // the old address still counts
			old.Lines <- line(t, 9, true, ready("s-1", kept))
			servedBy(t, p, "kept")
			before := conns.Load()
			next.Lines <- line(t, 3, true, ready("s-1", kept))
			receive(t, old.Ended, "the end of the old watch")
			for range 5 {
				if status, text, _ := do(t, newRequest(t, p, "bid", "x")); status != 200 || text != "kept" {
					t.Fatalf("after the change: %d %q", status, text)
				}
			}
			if n := conns.Load() - before; n != 0 {
				t.Errorf("%d new connections to a backend that both lists name", n)
			}
			third := named(t, "third")
			next.Lines <- line(t, 4, true, ready("s-3", third))
			servedBy(t, p, "third")
		})
	}
}

// Configurations may follow each other faster than addresses answer.
func TestQuickReloadsEndAtTheLastAddress(t *testing.T) {
	t.Parallel()
	a, b, c := newRegistry(t), newRegistry(t), newRegistry(t)
	cfg := testConfig(t, a.Addr, ready("s-1", named(t, "a")))
	p := start(t, cfg)
	a.next(t)
	for _, addr := range []string{closedAddr(t), b.Addr, a.Addr, b.Addr, c.Addr, c.Addr} {
		p.reloads <- moved(cfg, addr)
	}
	c.next(t).Lines <- line(t, 2, true, ready("s-2", named(t, "c")))
	servedBy(t, p, "c")
}

// An address that never answers costs nothing: the old one goes on.
func TestReloadToADeadAddressKeepsTheOld(t *testing.T) {
	t.Parallel()
	a := newRegistry(t)
	cfg := testConfig(t, a.Addr, ready("s-1", named(t, "a")))
	p := start(t, cfg)
	w := a.next(t)
	p.reloads <- moved(cfg, closedAddr(t))
	eventually(t, "a call to the dead address", func() bool { return strings.Contains(p.log.String(), "refused") })
	w.Lines <- line(t, 2, true, ready("s-2", named(t, "b")))
	servedBy(t, p, "b")
}

// A word that was on its way when its watch was overtaken is void.
func TestAnOvertakenWatchIsNotHeard(t *testing.T) {
	t.Parallel()
	l := stillLoop(t, ready("s-1", "127.0.0.1:1"))
	l.do(func() { l.watchList(true) })
	old := l.list.current
	l.do(func() { l.reload(moved(l.cfg, closedAddr(t))) })
	next := l.list.next
	if next == nil || !l.speaks(old) {
		t.Fatal("the old watch is not heard before the new one has told anything")
	}
	if !l.speaks(next) || l.speaks(old) || l.list.next != nil {
		t.Error("after the new one's first word the old one still counts")
	}
	l.do(func() { l.watchList(false) })
	if l.speaks(next) {
		t.Error("a watch that was given up still counts")
	}
}

// The file's address goes before the environment's, which is that of the start; a
// bad file changes nothing and takes one line.
func TestReloads(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "config.json")
	put := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	good := func(addr string) string {
		return `{"name":"n0","listen":"127.0.0.1:0","discovery":"` + addr + `","seed":"8c1f","settings":` + testSettings + `}`
	}
	getenv := func(name string) string {
		return map[string]string{envDiscovery: "127.0.0.1:9", "NODE_LISTEN": "127.0.0.1:7"}[name]
	}
	var text lockedLog
	signals := make(chan os.Signal, 1)
	configs := Reloads(t.Context(), signals, path, getenv, log.New(&text, "", 0))
	for _, bad := range []string{"{", good("nowhere"), ""} {
		if put(bad); bad == "" {
			os.Remove(path)
		}
		before := strings.Count(text.String(), "\n")
		signals <- syscall.SIGHUP
		eventually(t, "a line on the bad file", func() bool { return strings.Count(text.String(), "\n") > before })
		if n := strings.Count(text.String(), "\n"); n != before+1 {
			t.Errorf("%q: %d lines", bad, n-before)
		}
	}
	put(good("127.0.0.1:5"))
	signals <- syscall.SIGHUP
	cfg := receive(t, configs, "the new configuration")
	if cfg.Discovery != "127.0.0.1:5" || cfg.Listen != "127.0.0.1:7" {
		t.Errorf("discovery %s, listen %s", cfg.Discovery, cfg.Listen)
	}
}

// Backends are replaced all day, some at the address of one that has gone. What is
// kept for them must not grow with their number, and a connection belongs to the one
// that it was opened to.
func TestReplacedBackendsLeaveNothing(t *testing.T) {
	t.Parallel()
	addr, conns := counting(t, "s")
	l := stillLoop(t, ready("s-0", addr))
	serve := func() {
		r := l.ask(1, time.Minute)
		for len(r.answers) == 0 {
			l.do(receive(t, l.events, "the attempt's end"))
		}
		if a := <-r.answers; a.status != 200 {
			t.Fatalf("status %d", a.status)
		}
	}
	serve()
	const replaced = 3000
	for i := range replaced {
		gone := endpoint{InstanceID: fmt.Sprintf("s-%d", i), Lifecycle: "Gone"}
		list := &endpointList{Generation: uint32(i + 2), Instances: []endpoint{gone, ready(fmt.Sprintf("s-%d", i+1), addr)}}
		entries, err := list.check(l.cfg)
		if err != nil {
			t.Fatal(err)
		}
		l.do(func() { l.membership(marlreel.ListDelta, list, entries) })
		if i < 3 {
			serve()
			if n := conns.Load(); n != int64(i+2) {
				t.Fatalf("%d connections for %d backends at one address", n, i+2)
			}
		}
	}
	if len(l.ids) != 1 || len(l.names) != 1 || len(l.pool.backends) != 1 || len(l.requests) != 0 ||
		len(l.later) != 0 || l.pool.open != 0 || len(l.timers) > 3 {
		t.Errorf("kept: %d ids, %d names, %d backends, %d requests, %d events, %d connections, %d timers", len(l.ids),
			len(l.names), len(l.pool.backends), len(l.requests), len(l.later), l.pool.open, len(l.timers))
	}
}

// While one attempt runs, its backend may be replaced at its own address: the
// connection then belongs to nobody and is closed.
func TestAConnectionDoesNotOutliveItsBackend(t *testing.T) {
	t.Parallel()
	came, answer := make(chan struct{}, 1), make(chan struct{})
	closed := make(chan struct{})
	addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		if _, ok := readRequest(in); ok {
			came <- struct{}{}
			<-answer
			io.WriteString(c, okAnswer)
			in.ReadByte()
			close(closed)
		}
	})
	l := stillLoop(t, ready("s-1", addr))
	r := l.ask(1, time.Minute)
	receive(t, came, "the attempt")
	list := &endpointList{Generation: 2, Reset: true, Instances: []endpoint{ready("s-2", addr)}}
	entries, err := list.check(l.cfg)
	if err != nil {
		t.Fatal(err)
	}
	l.do(func() { l.membership(marlreel.ListFull, list, entries) })
	close(answer)
	l.do(receive(t, l.events, "the attempt's end"))
	if a := receive(t, r.answers, "the answer"); a.status != 200 {
		t.Errorf("the attempt in hand ended with %d", a.status)
	}
	receive(t, closed, "the connection's end")
	if l.pool.open != 0 {
		t.Errorf("%d connections are kept", l.pool.open)
	}
}
