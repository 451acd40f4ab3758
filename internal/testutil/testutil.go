// Package testutil holds helpers that the tests of several packages share: waiting with
// generous limits, backends that the test controls, and the settings of a small proxy.
// Only tests import it.
package testutil

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/simwire"
	"marlreel/internal/standin"
)

// WaitTimeout is how long a test waits for an expected event. It is generous and says nothing about speed.
const WaitTimeout = 20 * time.Second

// Settings are the settings of a proxy in the zone koper, with one request class of each
// effect: lot-list (safe), bid (unsafe) and pickup (safe with an idempotency key).
const Settings = `{"Balancers":1,"Rank":0,"Zone":0,"Tick":5.0,"Discovery":"pushed",
 "FailureDomains":["koper","maribor"],"Kinds":["mid-2c"],"Feedback":{"How":"off","Names":[]},
 "Caps":{"Cancel":true,"ConnIdle":60000.0,"ConnectTimeout":2000.0,"MaxAttempts":4,"MaxOpen":20000,"MaxRetryAfter":2000.0,
  "Probes":false,"RetryAfter":true,"SecondCopies":true,"StreamsPerConn":1},
 "Obligations":{"AnswerSlack":20.0,"Cold":8900.0,"DrainGrace":500.0,"Fall":3000.0,"FallMultiple":2.5,"StartCapacity":0.32},
 "Services":[
  {"Name":"lot-list","Aim":60000.0,"GiveUp":60000.0,"Effect":"retryable","Value":1.0},
  {"Name":"bid","Aim":60000.0,"GiveUp":60000.0,"Effect":"fragile","Value":8.0},
  {"Name":"pickup","Aim":60000.0,"GiveUp":60000.0,"Effect":"dedup","Group":"zone","Window":10000.0,"Value":2.0}],
 "Tenants":[{"Name":"obala","Share":1.0,"QuotaPerS":1000.0}]}`

// Module returns the balancer configuration that corresponds to Settings.
func Module(t testing.TB) balancer.Config {
	t.Helper()
	c, err := simwire.ParseSettings([]byte(Settings))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Receive waits for a value on c and fails the test if none arrives within WaitTimeout.
func Receive[T any](t testing.TB, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(WaitTimeout):
		t.Fatalf("timed out waiting for %s", what)
		panic("unreachable")
	}
}

// Eventually polls until reached returns true, for states that no event announces. It fails the test after WaitTimeout.
func Eventually(t testing.TB, what string, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !reached(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// RawBackend starts a backend that passes each accepted connection to serve, and returns its address.
func RawBackend(t testing.TB, serve func(c net.Conn, in *bufio.Reader)) string {
	t.Helper()
	r, err := standin.StartRaw(serve)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Stop) // Stop must not wait for a serve that the test blocks
	return r.Addr
}

// Silent starts a backend that reads requests and never responds. The channel receives each request.
func Silent(t testing.TB) (string, chan *http.Request) {
	t.Helper()
	got := make(chan *http.Request, 16)
	return RawBackend(t, func(c net.Conn, in *bufio.Reader) {
		for {
			r, ok := ReadRequest(in)
			if !ok {
				return
			}
			got <- r
		}
	}), got
}

// ReadRequest reads a whole request, including its body, from a connection.
func ReadRequest(in *bufio.Reader) (*http.Request, bool) {
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil, false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err == nil
}

// Every calls do once per pace until stop is closed.
func Every(pace time.Duration, stop <-chan struct{}, do func()) {
	ticks := time.NewTicker(pace)
	defer ticks.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticks.C:
		}
		do()
	}
}

// OKAnswer is a 200 response with the body "served".
const OKAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved"

// ClosedAddr returns an address that refuses connections until the test listens there itself. Closing a listener to get
// such an address is unsafe: the system may give the port to another test, and a proxy that keeps dialling it then sends
// its requests to that test's backend, or takes its list from that test's discovery.
func ClosedAddr(t testing.TB) string {
	t.Helper()
	addr, err := standin.Address()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// LockedLog is a log buffer that is safe for concurrent reads and writes.
type LockedLog struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (l *LockedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *LockedLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// Dial opens a connection with a deadline of WaitTimeout; it is closed when the test ends.
func Dial(t testing.TB, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(WaitTimeout))
	return c
}

// Ends fails the test if the peer does not close the connection before its deadline.
func Ends(t testing.TB, c net.Conn, what string) {
	t.Helper()
	if _, err := io.Copy(io.Discard, c); IsTimeout(err) {
		t.Fatalf("%s was not closed by the peer", what)
	}
}

// IsTimeout reports whether an error is a network timeout.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Counting starts a backend that responds with its name and counts its connections.
func Counting(t testing.TB, name string) (string, *atomic.Int64) {
	t.Helper()
	n := new(atomic.Int64)
	return RawBackend(t, func(c net.Conn, in *bufio.Reader) {
		n.Add(1)
		for {
			if _, ok := ReadRequest(in); !ok {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(name), name)
		}
	}), n
}
