package registry

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"marlreel/internal/standin"
	"marlreel/internal/testutil"
)

func writer(t *testing.T, kind string, r *standin.Registry) Writer {
	t.Helper()
	w, err := NewWriter(config(kind, r))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.NextEndpoint)
	return w
}

func value(t *testing.T, addr, state string) []byte {
	t.Helper()
	data, err := Value{Address: addr, Zone: "koper", State: state}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// A write counts only where nobody else wrote meanwhile.
func TestWrites(t *testing.T) {
	t.Parallel()
	both(t, func(t *testing.T, kind string) {
		r := start(t)
		w := writer(t, kind, r)
		if err := w.Put(t.Context(), "n1", value(t, "127.0.0.1:1", "ready"), 0, ""); err != nil {
			t.Fatal(err)
		}
		if err := w.Put(t.Context(), "n1", value(t, "127.0.0.1:2", "ready"), 0, ""); !errors.Is(err, ErrConflict) {
			t.Errorf("a second one that must be the first: %v", err)
		}
		i, err := ReadItem(t.Context(), w, "n1")
		if err != nil || i.Entry.Addr != "127.0.0.1:1" {
			t.Fatalf("%+v, %v", i, err)
		}
		r.Txn(node(9, 9, "ready")) // another key's write is no conflict
		if err := w.Put(t.Context(), "n1", value(t, "127.0.0.1:3", "draining"), i.ModRevision, ""); err != nil {
			t.Error(err)
		}
		if err := w.Delete(t.Context(), "n1", i.ModRevision); !errors.Is(err, ErrConflict) {
			t.Errorf("a deletion of what has changed: %v", err)
		}
		if i, _ = ReadItem(t.Context(), w, "n1"); !i.Entry.Draining {
			t.Errorf("%+v", i)
		}
		if err := w.Delete(t.Context(), "n1", i.ModRevision); err != nil {
			t.Error(err)
		}
		if i, err = ReadItem(t.Context(), w, "n1"); err != nil || i.ModRevision != 0 {
			t.Errorf("%+v, %v", i, err)
		}
		r.Quorum(false)
		if _, err = ReadItem(t.Context(), w, "n9"); err == nil {
			t.Error("what may be old is read for a write")
		}
	})
}

// A node stays in the list while it lives, comes again when its lease was lost, says that it drains before it
// leaves, and is forgotten when it dies without a word.
func TestRegister(t *testing.T) {
	t.Parallel()
	both(t, func(t *testing.T, kind string) {
		r := start(t)
		w := writer(t, kind, r)
		f := follow(t, config(kind, r), plain())
		state := func() string {
			f.mu.Lock()
			defer f.mu.Unlock()
			switch e, there := f.list["n1"]; {
			case !there:
				return "gone"
			case e.Draining:
				return "draining"
			}
			return "ready"
		}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		reg := Registration{Name: "n1", Value: Value{Address: "127.0.0.1:1", Zone: "koper"}, TTL: time.Second, DrainTime: 300 * time.Millisecond, Logf: t.Logf}
		go func() { ended <- Register(ctx, t.Context(), w, reg) }()
		testutil.Eventually(t, "the node", func() bool { return state() == "ready" })
		var mu sync.Mutex
		var seen []string
		f.mu.Lock()
		f.seen = func() {
			s := "gone"
			if e, there := f.list["n1"]; there && e.Draining {
				s = "draining"
			} else if there {
				s = "ready"
			}
			mu.Lock()
			defer mu.Unlock()
			if len(seen) == 0 || seen[len(seen)-1] != s {
				seen = append(seen, s)
			}
		}
		f.mu.Unlock()
		r.ExpireLeases()
		testutil.Eventually(t, "its return", func() bool {
			mu.Lock()
			defer mu.Unlock()
			return strings.Join(seen, " ") == "gone ready"
		})
		// Another node of the same name does not get in, and does no harm.
		other, stopOther := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer stopOther()
		second := reg
		second.Value.Address = "127.0.0.1:2"
		if err := Register(other, t.Context(), writer(t, kind, r), second); err != nil {
			t.Error(err)
		}
		if state() != "ready" {
			t.Errorf("another of the same name: %s", state())
		}
		stop()
		if err := testutil.Receive(t, ended, "its end"); err != nil {
			t.Error(err)
		}
		testutil.Eventually(t, "its going", func() bool { return state() == "gone" })
		mu.Lock()
		if got := strings.Join(seen, " "); got != "gone ready draining gone" {
			t.Errorf("it was %s", got)
		}
		mu.Unlock()
		// Dead without a word: its lease ends by itself. One that starts again before that takes its place.
		lease, err := w.Grant(t.Context(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if err := w.Put(t.Context(), "n1", value(t, "127.0.0.1:1", "ready"), 0, lease); err != nil {
			t.Fatal(err)
		}
		again, stopAgain := context.WithCancel(t.Context())
		go func() { ended <- Register(again, t.Context(), w, reg) }()
		time.Sleep(1500 * time.Millisecond) // the old lease has ended, and the entry is the new one's
		if state() != "ready" {
			t.Errorf("%s after the end of its last life's lease", state())
		}
		stopAgain()
		testutil.Receive(t, ended, "its end")
		if err := w.Put(t.Context(), "n1", value(t, "127.0.0.1:1", "ready"), 0, "4711"); !errors.Is(err, ErrLeaseEnded) {
			t.Errorf("under a lease that there isn't: %v", err)
		}
	})
}
