package proxy

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"marlreel/internal/discovery/platformwatch"
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

// A malformed line may hide a change: the watch is dropped, the old list stays in use, and a new watch asks
// for what was missed.
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
			t.Errorf("the first watch resumes from %s, want the known list's 1", w.From)
		}
		w.Lines <- line(t, 7, true, ready("s-1", a))
		servedBy(t, p, "a")
		w.Lines <- bad
		w = g.next(t)
		if w.From != "7" {
			t.Errorf("after the bad line the watch resumes from %s, want 7", w.From)
		}
		if status, text, _ := do(t, newRequest(t, p, "bid", "x")); status != 200 || text != "a" {
			t.Errorf("after the bad line: %d %q", status, text)
		}
		gone := platformwatch.Instance{InstanceID: "s-1", Lifecycle: "Gone"}
		w.Lines <- line(t, 9, false, gone, ready("s-2", b))
		servedBy(t, p, "b")
		close(w.Lines)
		if w = g.next(t); w.From != "9" {
			t.Errorf("after its end the watch resumes from %s, want 9", w.From)
		}
	}
}

// A restarted proxy serves from its last known list if discovery is unreachable.
func TestStartsFromTheKnownList(t *testing.T) {
	t.Parallel()
	p := start(t, testConfig(t, closedAddr(t), ready("s-1", named(t, "a"))))
	servedBy(t, p, "a")
}
