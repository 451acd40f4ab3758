package proxy

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"marlreel"
)

func named(t *testing.T, name string) string {
	t.Helper()
	b := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, name) }))
	t.Cleanup(b.Close)
	return b.Listener.Addr().String()
}

// servedBy waits until the proxy's requests are served by the named backend.
func servedBy(t *testing.T, p *running, name string) {
	t.Helper()
	eventually(t, "an answer of "+name, func() bool {
		_, text, _ := do(t, newRequest(t, p, "lot-list", ""))
		return text == name
	})
}

// A line that can't be read may hide a change: the watch is dropped, the old list
// stands, and a new watch asks for what was missed.
func TestBadLineDropsTheWatchAndKeepsTheList(t *testing.T) {
	t.Parallel()
	a, b := named(t, "a"), named(t, "b")
	for _, bad := range []string{
		`{"generation":8,`,
		`{"generation":8,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"koper","lifecycle":"Sleeping"}]}`,
		`{"generation":8,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"nowhere","zone":"koper","lifecycle":"Ready"}]}`,
	} {
		g := newRegistry(t)
		p := start(t, testConfig(t, g.Addr, ready("s-old", closedAddr(t))))
		w := g.next(t)
		if w.From != "1" {
			t.Errorf("the first watch goes on from %s, want the known list's 1", w.From)
		}
		w.Lines <- line(t, 7, true, ready("s-1", a))
		servedBy(t, p, "a")
		w.Lines <- bad
		w = g.next(t)
		if w.From != "7" {
			t.Errorf("after the bad line the watch goes on from %s, want 7", w.From)
		}
		if status, text, _ := do(t, newRequest(t, p, "bid", "x")); status != 200 || text != "a" {
			t.Errorf("after the bad line: %d %q", status, text)
		}
		gone := endpoint{InstanceID: "s-1", Lifecycle: "Gone"}
		w.Lines <- line(t, 9, false, gone, ready("s-2", b))
		servedBy(t, p, "b")
		close(w.Lines)
		if w = g.next(t); w.From != "9" {
			t.Errorf("after its end the watch goes on from %s, want 9", w.From)
		}
	}
}

// A restarted proxy has its old list and perhaps no discovery: it serves all the same.
func TestStartsFromTheKnownList(t *testing.T) {
	t.Parallel()
	p := start(t, testConfig(t, closedAddr(t), ready("s-1", named(t, "a"))))
	servedBy(t, p, "a")
}

// Without any list it can't serve, and doesn't say so.
func TestNotReadyWithoutAList(t *testing.T) {
	t.Parallel()
	g := newRegistry(t)
	cfg := testConfig(t, g.Addr)
	var s *server
	l, err := newLoop(cfg, t.Logf, func() { s.ready.Store(true) })
	if err != nil {
		t.Fatal(err)
	}
	s = newServer(cfg, l, nil)
	ask := func() int {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/ready", nil))
		return w.Code
	}
	l.ctx = t.Context()
	l.do(func() { l.membership(marlreel.ListCached, &endpointList{Reset: true}, nil) })
	if got := ask(); got != http.StatusServiceUnavailable {
		t.Errorf("/ready before any list: %d", got)
	}
	l.do(func() { l.membership(marlreel.ListFull, &endpointList{Generation: 1, Reset: true}, nil) })
	if got := ask(); got != http.StatusOK {
		t.Errorf("/ready with discovery's list: %d", got)
	}
}

// Nothing goes to a backend from the moment at which it is listed as draining; its
// idle connections are given back.
func TestDrainingBackendGetsNothing(t *testing.T) {
	t.Parallel()
	addr, _ := silent(t)
	l := stillLoop(t, ready("s-1", addr))
	b := l.pool.backends[l.backendID("s-1")]
	e := ready("s-1", addr)
	e.Lifecycle = "Terminating"
	list := &endpointList{Generation: 2, Instances: []endpoint{e}}
	entries, err := list.check(l.cfg)
	if err != nil {
		t.Fatal(err)
	}
	l.do(func() { l.membership(marlreel.ListDelta, list, entries) })
	if b.ready.Load() {
		t.Error("a draining backend may still be written to")
	}
	if r := l.ask(1, time.Minute); len(r.attempts) != 0 {
		t.Error("a draining backend was sent a request")
	}
}

// Start times are Unix times; the module's are on the loop's clock, where 0 is long ago.
func TestStartTimes(t *testing.T) {
	t.Parallel()
	l := stillLoop(t, ready("s-1", "127.0.0.1:1"))
	for _, c := range []struct {
		ms   int64
		want time.Duration
	}{
		{0, 0},
		{l.start.Add(-3 * time.Second).UnixMilli(), clockStart - 3*time.Second},
		{1, 1}, // before the clock's own start: long ago, but known
	} {
		e := ready("s-1", "127.0.0.1:1")
		e.StartedAtMs = c.ms
		list := &endpointList{Generation: 2, Instances: []endpoint{e}}
		entries, err := list.check(l.cfg)
		if err != nil {
			t.Fatal(err)
		}
		l.do(func() { l.membership(marlreel.ListDelta, list, entries) })
		got := l.pool.backends[l.backendID("s-1")].Started
		if d := got - c.want; d < -time.Millisecond || d > time.Millisecond {
			t.Errorf("started at %d: %v, want %v", c.ms, got, c.want)
		}
	}
}

func TestBadConfigurations(t *testing.T) {
	t.Parallel()
	good := `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f","settings":` + testSettings + `}`
	none := func(string) string { return "" }
	if _, err := parseConfig([]byte(good), none); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string][2]string{
		"not JSON":        {`{"name"`, `{"name`},
		"no address":      {`127.0.0.1:0`, `127.0.0.1`},
		"no discovery":    {`"discovery":"127.0.0.1:1"`, `"discovery":""`},
		"bad seed":        {`8c1f`, `dice`},
		"no settings":     {`"settings"`, `"other"`},
		"a wrong word":    {`"fragile"`, `"breakable"`},
		"a wrong span":    {`"Aim":60000.0`, `"Aim":"soon"`},
		"streams":         {`"Name":"bid"`, `"Stream":true,"Name":"bid"`},
		"too few sockets": {`"name"`, `"limits":{"sockets":8},"name"`},
		"a bad list":      {`"name"`, `"known":{"instances":[{"instanceId":""}]},"name"`},
	} {
		text := strings.Replace(good, change[0], change[1], 1)
		if text == good {
			t.Fatalf("%s: nothing changed", name)
		}
		_, err := parseConfig([]byte(text), none)
		if err == nil {
			t.Errorf("%s: taken", name)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: more than a line: %v", name, err)
		}
	}
}
