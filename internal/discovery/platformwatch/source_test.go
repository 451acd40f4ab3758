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

// sink runs what is posted at once.
type sink struct{ lists []engine.Membership }

func (s *sink) Post(event func())          { event() }
func (s *sink) OnList(l engine.Membership) { s.lists = append(s.lists, l) }

func newSource(t *testing.T, onRequest bool) *Source {
	s := New(Config{Addr: testutil.ClosedAddr(t), Timings: TimingsFor(onRequest, 3), Logf: func(string, ...any) {}}, 41, &sink{})
	t.Cleanup(s.Close)
	return s
}

// A word that was on its way when its watch was overtaken is void.
func TestAnOvertakenWatchIsNotHeard(t *testing.T) {
	t.Parallel()
	s := newSource(t, false)
	s.Watch(true)
	old := s.current
	s.Reload(testutil.ClosedAddr(t), Names{})
	next := s.next
	if next == nil || !s.accepts(old) {
		t.Fatal("the old watch is not heard before the new one has told anything")
	}
	if !s.accepts(next) || s.accepts(old) || s.next != nil {
		t.Error("after the new one's first word the old one still counts")
	}
	s.Watch(false)
	if s.accepts(next) {
		t.Error("a watch that was given up still counts")
	}
}

// The module may ask again at any time, as it does where the list is asked for. That must not cost a watch that still
// brings changes, nor a call that waits its turn, at the old address or at the new one.
func TestAskingAgainSparesWhatStillRuns(t *testing.T) {
	t.Parallel()
	s := newSource(t, true)
	s.Watch(true)
	old := s.current
	s.Watch(true)
	s.Reload(testutil.ClosedAddr(t), Names{})
	next := s.next
	s.Watch(true)
	if s.current != old || next == nil || s.next != next || next.addr != s.config.Addr {
		t.Fatal("asking again gave something up")
	}
	if !s.accepts(next) || s.current != next {
		t.Error("the new address is not heard")
	}
	if s.Watch(true); s.current != next {
		t.Error("asking again gave the new watch up")
	}
}

// The numbers of one address say nothing at another.
func TestAnotherAddressIsAskedForTheWholeList(t *testing.T) {
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
		t.Errorf("asked for what came after %s", from)
	}
}

// Machines are called what the settings in force say, also in what a watch of before tells.
func TestNamesFollowTheSettings(t *testing.T) {
	t.Parallel()
	s := newSource(t, false)
	s.Watch(true)
	zones, reads := map[string]int{"koper": 0}, s.current.names.Load()
	s.Reload(s.config.Addr, Names{Zones: zones, Kinds: map[string]int{"std-1c": 3}})
	if reads.Zones != nil || reads.Kinds != nil {
		t.Error("what the watch is reading from was written")
	}
	l, err := s.follower(s.current).parseList([]byte(`{"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"koper","machineType":"std-1c","lifecycle":"Ready"}]}`))
	if err != nil || l.entries[0].Kind != 3 {
		t.Errorf("%+v, %v", l, err)
	}
}

// Of a list that can't be used, what its good entries say of backends that leave is heeded, and nothing else.
func TestDrainsOfABadListAreHeeded(t *testing.T) {
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

// A whole list that takes longer than a call's patience, as behind a whole fleet's calls, is waited for longer each
// time: given up just before its turn, ever again, it would never be had.
func TestAWholeListIsWaitedFor(t *testing.T) {
	t.Parallel()
	const takes, patience = 250 * time.Millisecond, 100 * time.Millisecond
	for name, timings := range map[string]Timings{"asked for": {QueueWait: patience}, "pushed": {}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			raw, err := standin.StartRaw(func(c net.Conn, in *bufio.Reader) {
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				gone := make(chan struct{})
				go func() {
					defer close(gone)
					if _, err := in.Peek(1); err == nil {
						t.Error("the client sent more than its request")
					}
				}()
				select {
				case <-time.After(takes):
					const list = `{"generation":7,"reset":true,"instances":[]}`
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
				case <-gone:
				}
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(raw.Close)
			got := make(chan *List, 1)
			timings.CallTimeout, timings.MinBackoff, timings.MaxBackoff = patience, time.Millisecond, 2*time.Millisecond
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
