package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func newList(t *testing.T, lateness time.Duration) (*Discovery, *Agent, *Journal) {
	t.Helper()
	j := &Journal{}
	d := NewDiscovery(NewClock(), j)
	t.Cleanup(d.Close)
	d.Put(Entry{InstanceID: "s-1", Zone: "koper", Lifecycle: "Ready"})
	a, err := d.Agent(2, lateness, func(id string) string { return "127.0.0.1:1" + strings.TrimPrefix(id, "s-") })
	if err != nil {
		t.Fatal(err)
	}
	return d, a, j
}

// watching opens a watch and returns its lists, without the blank heartbeat lines.
func watching(t *testing.T, a *Agent, from int) <-chan List {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/endpoints?watch=1&from=%d", a.Addr, from), nil)
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	lists := make(chan List, 16)
	done := make(chan struct{})
	t.Cleanup(func() { cancel(); resp.Body.Close(); <-done })
	go func() {
		defer close(done)
		defer close(lists)
		for s := bufio.NewScanner(resp.Body); s.Scan(); {
			if len(s.Bytes()) == 0 {
				continue
			}
			var l List
			if err := json.Unmarshal(s.Bytes(), &l); err != nil {
				return
			}
			lists <- l
		}
	}()
	return lists
}

func next(t *testing.T, lists <-chan List) List {
	t.Helper()
	select {
	case l, open := <-lists:
		if !open {
			t.Fatal("the watch ended")
		}
		return l
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for a line of the watch")
		panic("unreachable")
	}
}

func TestWatchSendsChanges(t *testing.T) {
	t.Parallel()
	d, a, j := newList(t, 0)
	w := watching(t, a, 0)
	if l := next(t, w); !l.Reset || l.Generation != 1 || len(l.Instances) != 1 || l.Instances[0].HostPort != "127.0.0.1:11" {
		t.Errorf("whole list: %+v", l)
	}
	d.Put(Entry{InstanceID: "s-2", Zone: "koper", Lifecycle: "Ready"})
	if l := next(t, w); l.Reset || l.Generation != 2 || len(l.Instances) != 1 || l.Instances[0].InstanceID != "s-2" {
		t.Errorf("after adding s-2: %+v", l)
	}
	d.Put(Entry{InstanceID: "s-1", Lifecycle: "Gone"})
	if l := next(t, w); l.Instances[0].Lifecycle != "Gone" {
		t.Errorf("after removing s-1: %+v", l)
	}
	// A watch from version 1 gets what it missed; one without a version gets the whole list without the gone instance.
	if l := next(t, watching(t, a, 1)); l.Reset || len(l.Instances) != 2 || l.Generation != 3 {
		t.Errorf("watch from version 1: %+v", l)
	}
	if l := next(t, watching(t, a, 0)); !l.Reset || len(l.Instances) != 1 {
		t.Errorf("watch without a version: %+v", l)
	}
	if l := next(t, watching(t, a, 99)); !l.Reset {
		t.Errorf("watch from a version that never existed: %+v", l)
	}
	eventually(t, "the journal to record three removals of s-1", func() bool {
		gone := 0
		for _, told := range j.Records().Told {
			if told.Proxy == 2 && told.Node == "s-1" && told.State == "Gone" {
				gone++
			}
		}
		return gone >= 3 // by a change, by the changes of a second watch, and by its absence from a whole list
	})
	resp, err := http.Get("http://" + a.Addr + "/v1/endpoints")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var l List
	if err := json.NewDecoder(resp.Body).Decode(&l); err != nil || !l.Reset || l.Generation != 3 {
		t.Errorf("list without a watch: %+v, error %v", l, err)
	}
	http.DefaultClient.CloseIdleConnections()
}

// A change reaches an agent no earlier than the agent's delay.
func TestLateness(t *testing.T) {
	t.Parallel()
	d, a, _ := newList(t, 400*time.Millisecond)
	w := watching(t, a, 0)
	next(t, w)
	at := time.Now()
	d.Put(Entry{InstanceID: "s-2", Lifecycle: "Ready"})
	next(t, w)
	if took := time.Since(at); took < 395*time.Millisecond {
		t.Errorf("the change arrived after %v, want at least 395ms", took)
	}
}

// A silent agent keeps a watch open; one that is down ends it and fails calls. Both send what was missed afterwards.
func TestSilentAndDownAgent(t *testing.T) {
	t.Parallel()
	d, a, _ := newList(t, 0)
	w := watching(t, a, 0)
	next(t, w)
	a.Silent(true)
	d.Put(Entry{InstanceID: "s-2", Lifecycle: "Ready"})
	select {
	case l, open := <-w:
		t.Errorf("a silent agent sent %+v (watch open: %v)", l, open)
	case <-time.After(100 * time.Millisecond):
	}
	a.Silent(false)
	if l := next(t, w); l.Generation != 2 {
		t.Errorf("after the agent was silent: %+v", l)
	}
	a.Down(true)
	select {
	case _, open := <-w:
		if open {
			t.Error("an agent that is down sent a line")
		}
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for the watch of an agent that is down to end")
	}
	d.Put(Entry{InstanceID: "s-3", Lifecycle: "Ready"})
	rec := httptest.NewRecorder()
	a.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/v1/endpoints", nil))
	if rec.Code != http.StatusServiceUnavailable {
		t.Errorf("status of a call while the agent is down: %d", rec.Code)
	}
	a.Down(false)
	if l := next(t, watching(t, a, 2)); l.Generation != 3 || len(l.Instances) != 1 {
		t.Errorf("after the agent was down: %+v", l)
	}
}

// The front adds a proxy when it reports that it is ready, picks only proxies of the
// zone while one is available, and removes a failed proxy after a delay.
func TestFront(t *testing.T) {
	t.Parallel()
	var ready [2]chan bool
	var addrs [2]FrontProxy
	var servers [2]*httptest.Server
	for i := range servers {
		state := make(chan bool, 1)
		state <- i == 0
		ready[i] = state
		servers[i] = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			is := <-state
			state <- is
			if !is {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
		addrs[i] = FrontProxy{Addr: servers[i].Listener.Addr().String(), Zone: []string{"koper", "maribor"}[i]}
	}
	defer servers[0].Close()
	defer servers[1].Close()
	f := NewFront(300*time.Millisecond, addrs[:])
	defer f.Close()
	eventually(t, "the first proxy to be added", func() bool { return f.Has(0) })
	if i, err := f.Pick("maribor"); err != nil || i != 0 {
		t.Errorf("Pick with no proxy in the zone: %d, %v", i, err)
	}
	<-ready[1]
	ready[1] <- true
	if err := f.WaitAll(t.Context()); err != nil {
		t.Fatal(err)
	}
	for range 4 {
		if i, err := f.Pick("maribor"); err != nil || i != 1 {
			t.Errorf("Pick: %d, %v; want proxy 1 of the zone", i, err)
		}
	}
	died := time.Now()
	servers[1].Close()
	if !f.Has(1) {
		t.Error("the failed proxy was removed at once")
	}
	eventually(t, "the failed proxy to be removed", func() bool { return !f.Has(1) })
	if took := time.Since(died); took < 300*time.Millisecond {
		t.Errorf("the failed proxy was removed after %v, want at least 300ms", took)
	}
	servers[0].Close()
	eventually(t, "the other failed proxy to be removed", func() bool { return !f.Has(0) })
	if _, _, err := f.Dial(t.Context(), "koper"); err == nil {
		t.Error("Dial succeeded with no proxy available")
	}
}
