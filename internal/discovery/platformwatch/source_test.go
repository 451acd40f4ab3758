package platformwatch

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/standin"
	"marlreel/internal/testutil"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// sink runs posted events at once.
type sink struct{ lists []engine.Membership }

func (s *sink) Post(event func())          { event() }
func (s *sink) OnList(l engine.Membership) { s.lists = append(s.lists, l) }

func newSource(t *testing.T, onRequest bool) *Source {
	s := New(Config{Addr: testutil.ClosedAddr(t), Timings: TimingsFor(onRequest, 3), Logf: func(string, ...any) {}}, 41, &sink{})
	t.Cleanup(s.Close)
	return s
}

// A list that arrives after its watch was replaced is ignored.
func TestReplacedWatchIsIgnored(t *testing.T) {
	t.Parallel()
	s := newSource(t, false)
	s.Watch(true)
	old := s.current
	s.Reload(testutil.ClosedAddr(t), Names{})
	next := s.next
	if next == nil || !s.accepts(old) {
		t.Fatal("the old watch is ignored before the new one has sent a list")
	}
	if !s.accepts(next) || s.accepts(old) || s.next != nil {
		t.Error("the old watch is still accepted after the first list of the new one")
	}
	s.Watch(false)
	if s.accepts(next) {
		t.Error("a stopped watch is still accepted")
	}
}

// The engine may call Watch again at any time, as it does when lists are fetched on request. That must not end a working
// watch, nor a call that is queued at discovery, at the old address or the new one.
func TestRepeatedWatchKeepsRunningCalls(t *testing.T) {
	t.Parallel()
	s := newSource(t, true)
	s.Watch(true)
	old := s.current
	s.Watch(true)
	s.Reload(testutil.ClosedAddr(t), Names{})
	next := s.next
	s.Watch(true)
	if s.current != old || next == nil || s.next != next || next.addr != s.config.Addr {
		t.Fatal("calling Watch again ended a watch")
	}
	if !s.accepts(next) || s.current != next {
		t.Error("the list of the new address is not accepted")
	}
	if s.Watch(true); s.current != next {
		t.Error("calling Watch again ended the new watch")
	}
}

// The generations of one address mean nothing at another, so the full list is requested after a change of address.
func TestNewAddressIsAskedForFullList(t *testing.T) {
	t.Parallel()
	d, err := standin.NewScript()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	s := newSource(t, true)
	s.Reload(d.Addr, Names{}) // nothing is watched yet
	s.Watch(true)
	if from := testutil.Receive(t, d.Watches, "the watch").From; from != "0" {
		t.Errorf("asked for the changes after generation %s", from)
	}
}

// New names apply to a running watch too, and replace the ones it reads instead of changing them.
func TestNamesFollowTheSettings(t *testing.T) {
	t.Parallel()
	s := newSource(t, false)
	s.Watch(true)
	zones, before := map[string]int{"koper": 0}, s.current.names.Load()
	s.Reload(s.config.Addr, Names{Zones: zones, Kinds: map[string]int{"std-1c": 3}})
	if before.Zones != nil || before.Kinds != nil {
		t.Error("the names that the watch may be reading were modified")
	}
	l, err := s.follower(s.current).parseList([]byte(`{"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"koper","machineType":"std-1c","lifecycle":"Ready"}]}`))
	if err != nil || l.entries[0].Kind != 3 {
		t.Errorf("%+v, %v", l, err)
	}
}

// Of a malformed list, only the drains and removals in its valid entries are applied.
func TestDrainsOfMalformedListApply(t *testing.T) {
	t.Parallel()
	got := &sink{}
	s := New(Config{Addr: testutil.ClosedAddr(t), Timings: TimingsFor(false, 3), Names: Names{Zones: map[string]int{"koper": 0}}, Logf: t.Logf}, 41, got)
	t.Cleanup(s.Close)
	s.Watch(true)
	d := s.follower(s.current)
	l, err := d.parseList([]byte(`{"generation":99,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"koper","lifecycle":"Terminating"},
		{"instanceId":"s-2","lifecycle":"Gone"},{"instanceId":"s-3","hostPort":"127.0.0.1:3","zone":"koper","lifecycle":"Ready"},
		{"instanceId":"s-4","hostPort":"127.0.0.1:4","zone":"nowhere","lifecycle":"Terminating"}]}`))
	var bad *ListError
	if !errors.As(err, &bad) || bad.Instance != "s-4" || bad.Key != "zone" || bad.Advice() == "" {
		t.Fatalf("%v", err)
	}
	d.onList(l)
	if len(got.lists) != 1 || got.lists[0].Kind != balancer.MembershipDelta || got.lists[0].Version != 41 || len(got.lists[0].Entries) != 2 || s.version != 41 {
		t.Errorf("%+v, version %d", got.lists, s.version)
	}
}

// The timeout for fetching the full list grows with each attempt. If the answer takes longer than the first timeout, as
// when discovery first serves the calls of a whole fleet, every call would otherwise be abandoned just before its turn.
func TestFetchTimeoutGrows(t *testing.T) {
	t.Parallel()
	const answerTime, timeout = 250 * time.Millisecond, 100 * time.Millisecond
	for name, timings := range map[string]Timings{"on request": {QueueWait: timeout}, "pushed": {}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			raw, err := standin.StartRaw(func(c net.Conn, in *bufio.Reader) {
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				clientGone := make(chan struct{})
				go func() {
					defer close(clientGone)
					if _, err := in.Peek(1); err == nil {
						t.Error("the client sent more than its request")
					}
				}()
				select {
				case <-time.After(answerTime):
					const list = `{"generation":7,"reset":true,"instances":[]}`
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
				case <-clientGone:
				}
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(raw.Close)
			got := make(chan *List, 1)
			timings.CallTimeout, timings.MinBackoff, timings.MaxBackoff = timeout, time.Millisecond, 2*time.Millisecond
			d := &follower{
				timings: timings, names: new(atomic.Pointer[Names]), addr: raw.Addr, client: newClient(), logf: t.Logf,
				onList: func(l *List) { got <- l },
			}
			d.names.Store(&Names{})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go d.fetchUntilDone(ctx)
			if l := testutil.Receive(t, got, "the list"); l.Generation != 7 || raw.Accepted.Load() < 2 {
				t.Errorf("%+v after %d calls", l, raw.Accepted.Load())
			}
		})
	}
}
