package registry

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"marlreel/internal/discovery/membership"
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

// A write fails if the entry was written by another client since it was read.
func TestWrites(t *testing.T) {
	t.Parallel()
	forEachKind(t, func(t *testing.T, kind string) {
		r := start(t)
		w := writer(t, kind, r)
		if err := w.Put(t.Context(), "n1", value(t, "127.0.0.1:1", "ready"), 0, ""); err != nil {
			t.Fatal(err)
		}
		if err := w.Put(t.Context(), "n1", value(t, "127.0.0.1:2", "ready"), 0, ""); !errors.Is(err, ErrConflict) {
			t.Errorf("a put of an existing entry as a new one: %v", err)
		}
		i, err := ReadItem(t.Context(), w, "n1")
		if err != nil || i.Entry.Addr != "127.0.0.1:1" {
			t.Fatalf("%+v, %v", i, err)
		}
		r.Txn(node(9, 9, "ready")) // a write of another key is no conflict
		if err := w.Put(t.Context(), "n1", value(t, "127.0.0.1:3", "draining"), i.ModRevision, ""); err != nil {
			t.Error(err)
		}
		if err := w.Delete(t.Context(), "n1", i.ModRevision); !errors.Is(err, ErrConflict) {
			t.Errorf("a deletion of an entry that has changed: %v", err)
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
			t.Error("an entry that may be stale was returned")
		}
	})
}

// A node stays in the list while it runs, is removed when its lease ends and then registers again, drains before it
// leaves, and replaces its old entry if it restarts before its old lease has ended.
func TestRegister(t *testing.T) {
	t.Parallel()
	forEachKind(t, func(t *testing.T, kind string) {
		n := newRegistered(t, kind)
		stop, ended := n.register()
		testutil.Eventually(t, "the node", func() bool { return n.state() == "ready" })
		n.recordStates()
		n.registry.ExpireLeases()
		testutil.Eventually(t, "its new registration", func() bool { return n.states() == "gone ready" })
		n.checkDuplicateName()
		stop()
		if err := testutil.Receive(t, ended, "its end"); err != nil {
			t.Error(err)
		}
		testutil.Eventually(t, "its removal", func() bool { return n.state() == "gone" })
		if got := n.states(); got != "gone ready draining gone" {
			t.Errorf("the states were %s", got)
		}
		n.checkRestart()
		err := n.writer.Put(t.Context(), "n1", value(t, "127.0.0.1:1", "ready"), 0, "4711")
		if !errors.Is(err, ErrLeaseEnded) {
			t.Errorf("a put under a lease that does not exist: %v", err)
		}
	})
}

// registered is a node n1 that registers itself, with a proxy that follows the registry.
type registered struct {
	t            *testing.T
	kind         string
	registry     *standin.Registry
	writer       Writer
	proxy        *follower
	registration Registration

	mu   sync.Mutex
	seen []string // states in which the proxy saw the node
}

func newRegistered(t *testing.T, kind string) *registered {
	t.Helper()
	r := start(t)
	return &registered{
		t: t, kind: kind, registry: r, writer: writer(t, kind, r), proxy: follow(t, config(kind, r), unguardedConfig()),
		registration: Registration{
			Name: "n1", Value: Value{Address: "127.0.0.1:1", Zone: "koper"}, TTL: time.Second, DrainTime: 300 * time.Millisecond, Logf: t.Logf,
		},
	}
}

// register keeps the node registered until stop is called, and then sends the error on ended.
func (n *registered) register() (stop func(), ended chan error) {
	ctx, stop := context.WithCancel(n.t.Context())
	ended = make(chan error, 1)
	go func() { ended <- Register(ctx, n.t.Context(), n.writer, n.registration) }()
	return stop, ended
}

// stateOfNode returns the node's state in a proxy's list.
func stateOfNode(list map[string]membership.Entry) string {
	entry, listed := list["n1"]
	switch {
	case !listed:
		return "gone"
	case entry.Draining:
		return "draining"
	}
	return "ready"
}

func (n *registered) state() string {
	n.proxy.mu.Lock()
	defer n.proxy.mu.Unlock()
	return stateOfNode(n.proxy.list)
}

// recordStates records each state that the proxy sees from now on.
func (n *registered) recordStates() {
	n.proxy.mu.Lock()
	defer n.proxy.mu.Unlock()
	n.proxy.onEvent = func() {
		state := stateOfNode(n.proxy.list)
		n.mu.Lock()
		defer n.mu.Unlock()
		if len(n.seen) == 0 || n.seen[len(n.seen)-1] != state {
			n.seen = append(n.seen, state)
		}
	}
}

func (n *registered) states() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return strings.Join(n.seen, " ")
}

// checkDuplicateName checks that another node of the same name can't register and does not affect the first one.
func (n *registered) checkDuplicateName() {
	n.t.Helper()
	ctx, cancel := context.WithTimeout(n.t.Context(), 400*time.Millisecond)
	defer cancel()
	second := n.registration
	second.Value.Address = "127.0.0.1:2"
	if err := Register(ctx, n.t.Context(), writer(n.t, n.kind, n.registry), second); err != nil {
		n.t.Error(err)
	}
	if n.state() != "ready" {
		n.t.Errorf("with another node of the same name: %s", n.state())
	}
}

// checkRestart checks that a node that restarts before the lease of its previous run has ended replaces the old entry.
func (n *registered) checkRestart() {
	n.t.Helper()
	lease, err := n.writer.Grant(n.t.Context(), time.Second)
	if err != nil {
		n.t.Fatal(err)
	}
	if err := n.writer.Put(n.t.Context(), "n1", value(n.t, "127.0.0.1:1", "ready"), 0, lease); err != nil {
		n.t.Fatal(err)
	}
	stop, ended := n.register()
	time.Sleep(1500 * time.Millisecond) // the old lease has ended by then, and the entry is under the new one
	if n.state() != "ready" {
		n.t.Errorf("%s after the lease of its previous run has ended", n.state())
	}
	stop()
	if err := testutil.Receive(n.t, ended, "its end"); err != nil {
		n.t.Error(err)
	}
}
