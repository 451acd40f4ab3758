package httpproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/process/budget"
	"marlreel/internal/process/logs"
	"marlreel/internal/testutil"
)

const (
	waitTimeout = testutil.WaitTimeout
	okAnswer    = testutil.OKAnswer
)

func eventually(t *testing.T, what string, reached func() bool) {
	t.Helper()
	testutil.Eventually(t, what, reached)
}

func receive[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	return testutil.Receive(t, c, what)
}

func rawBackend(t *testing.T, serve func(c net.Conn, in *bufio.Reader)) string {
	t.Helper()
	return testutil.RawBackend(t, serve)
}

func readRequest(in *bufio.Reader) (*http.Request, bool) { return testutil.ReadRequest(in) }

func silent(t *testing.T) (string, chan *http.Request) {
	t.Helper()
	return testutil.Silent(t)
}

// ready returns a membership entry for a ready backend at an address.
func ready(name, addr string) engine.Entry {
	return engine.Entry{Name: name, Addr: addr, State: balancer.Ready, Weight: 1}
}

// manualEngine is an engine whose events the test dispatches itself, with the front and the carrier of this package.
type manualEngine struct {
	*engine.Engine
	carrier *Carrier
	front   *Front
}

func newManualEngine(t *testing.T, entries ...engine.Entry) *manualEngine {
	t.Helper()
	l := &manualEngine{}
	e, err := engine.New(engine.Config{Settings: testutil.Module(t), Seed: 1, Logf: t.Logf, OnFirstMembership: func() { l.front.SetReady(true) }})
	if err != nil {
		t.Fatal(err)
	}
	memory := budget.New(1 << 20)
	l.Engine, l.carrier = e, NewCarrier(e, 256, nil, memory)
	l.front = NewFront(e, l.carrier, memory, logs.NewWithoutTime(t.Output()))
	t.Cleanup(l.carrier.Close)
	e.AddCarrier(l.carrier)
	e.SetHealthChecker(l.carrier)
	l.Dispatch(func() { l.ApplyMembership(engine.Membership{Kind: balancer.MembershipCached, Entries: entries}) })
	return l
}

var lastRequestID atomic.Uint64

// startCall starts a call of a class, with the given time to its deadline.
func (l *manualEngine) startCall(class int, left time.Duration) *call {
	now := l.Now()
	r := &call{
		Call:    engine.Call{ClientRequestID: fmt.Sprintf("%016x", lastRequestID.Add(1)), Carrier: l.carrier, Payload: probeMessage("origin.svc")},
		answers: make(chan answer, 1),
	}
	r.Front, r.Class, r.Deadline = r, class, now+left
	l.Dispatch(func() { l.HandleCall(&r.Call, now) })
	return r
}

// probeMessage is a health check request for a backend at an address.
func probeMessage(addr string) *Message {
	return platformDialect().HealthCheck(engine.NewBackend("s-1", addr, true))
}

// send writes text, and fails the test on an error.
func send(t testing.TB, to io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(to, text); err != nil {
		t.Fatal(err)
	}
}
