// Package testutil is what the tests of several packages share: waiting with generous
// limits, backends in the test's hands, and the settings of a small proxy. Only tests
// import it.
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

// Patience is how long a test waits for what must come. It is no measure of speed.
const Patience = 20 * time.Second

// Settings are those of a proxy in the zone koper, with a class of each effect: lot-list
// (safe), bid (unsafe) and pickup (keyed).
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

// Module is what the module is told of Settings.
func Module(t testing.TB) balancer.Config {
	t.Helper()
	c, err := simwire.ParseSettings([]byte(Settings))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Receive waits for a value.
func Receive[T any](t testing.TB, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(Patience):
		t.Fatalf("waited in vain for %s", what)
		panic("unreachable")
	}
}

// Eventually waits until a state that has no event of its own is reached.
func Eventually(t testing.TB, what string, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); !reached(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// RawBackend accepts connections and hands each to serve, which reads and writes as it likes.
func RawBackend(t testing.TB, serve func(c net.Conn, in *bufio.Reader)) string {
	t.Helper()
	r, err := standin.StartRaw(serve)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Stop) // a serve that the test holds up must not hold up its end
	return r.Addr
}

// Silent is a backend that reads and never answers; it tells of each request.
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

// ReadRequest takes a whole request off a connection.
func ReadRequest(in *bufio.Reader) (*http.Request, bool) {
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil, false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err == nil
}

// Every calls do at a pace until stop is closed.
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

// OKAnswer is a good answer, with the body "served".
const OKAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved"

// ClosedAddr is an address at which connections are refused, until the test listens there itself. Danger: a port that
// was just closed may be anybody's next, and a proxy that goes on dialling it brings its requests to another test's
// backend, or takes its list from another test's discovery.
func ClosedAddr(t testing.TB) string {
	t.Helper()
	addr, err := standin.Address()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// LockedLog is a log that the test may read while others write it.
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

// Dial opens a connection that ends with the test, and within Patience.
func Dial(t testing.TB, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(Patience))
	return c
}

// Ends fails the test if the other side does not end the connection.
func Ends(t testing.TB, c net.Conn, what string) {
	t.Helper()
	if _, err := io.Copy(io.Discard, c); IsTimeout(err) {
		t.Fatalf("%s is not closed", what)
	}
}

// IsTimeout tells whether an error is a deadline's.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Counting is a backend that answers with its name and counts its connections.
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
