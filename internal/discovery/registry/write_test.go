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

// A node stays in the list while it runs, comes again when its lease was lost, says that it drains before it leaves,
// and is forgotten when it dies without a word.
func TestRegister(t *testing.T) {
	t.Parallel()
	both(t, func(t *testing.T, kind string) {
		n := newRegistered(t, kind)
		stop, ended := n.register()
		testutil.Eventually(t, "the node", func() bool { return n.state() == "ready" })
		n.recordStates()
		n.registry.ExpireLeases()
		testutil.Eventually(t, "its return", func() bool { return n.states() == "gone ready" })
		n.checkSecondOfTheName()
		stop()
		if err := testutil.Receive(t, ended, "its end"); err != nil {
			t.Error(err)
		}
		testutil.Eventually(t, "its going", func() bool { return n.state() == "gone" })
		if got := n.states(); got != "gone ready draining gone" {
			t.Errorf("it was %s", got)
		}
		n.checkRestart()
		err := n.writer.Put(t.Context(), "n1", value(t, "127.0.0.1:1", "ready"), 0, "4711")
		if !errors.Is(err, ErrLeaseEnded) {
			t.Errorf("under a lease that there isn't: %v", err)
		}
	})
}

// registered is a node n1 that registers itself, and a proxy that follows the registry.
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
		t: t, kind: kind, registry: r, writer: writer(t, kind, r), proxy: follow(t, config(kind, r), plain()),
		registration: Registration{
			Name: "n1", Value: Value{Address: "127.0.0.1:1", Zone: "koper"}, TTL: time.Second, DrainTime: 300 * time.Millisecond, Logf: t.Logf,
		},
	}
}

// register registers the node until it is stopped; then it tells the error.
func (n *registered) register() (stop func(), ended chan error) {
	ctx, stop := context.WithCancel(n.t.Context())
	ended = make(chan error, 1)
	go func() { ended <- Register(ctx, n.t.Context(), n.writer, n.registration) }()
	return stop, ended
}

// stateOfNode is the node's state in a proxy's list.
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
	n.proxy.seen = func() {
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

// checkSecondOfTheName checks that another node of the same name does not get in, and does no harm.
func (n *registered) checkSecondOfTheName() {
	n.t.Helper()
	ctx, cancel := context.WithTimeout(n.t.Context(), 400*time.Millisecond)
	defer cancel()
	second := n.registration
	second.Value.Address = "127.0.0.1:2"
	if err := Register(ctx, n.t.Context(), writer(n.t, n.kind, n.registry), second); err != nil {
		n.t.Error(err)
	}
	if n.state() != "ready" {
		n.t.Errorf("another of the same name: %s", n.state())
	}
}

// checkRestart checks that a node that starts again before the lease of its last incarnation has ended takes that
// one's place.
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
	time.Sleep(1500 * time.Millisecond) // the old lease has ended, and the entry is the new one's
	if n.state() != "ready" {
		n.t.Errorf("%s after the end of its last incarnation's lease", n.state())
	}
	stop()
	if err := testutil.Receive(n.t, ended, "its end"); err != nil {
		n.t.Error(err)
	}
}
