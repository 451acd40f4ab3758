package httpproxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
)

// What a backend does after it has sent its answer.
func stopReading(net.Conn, *bufio.Reader)    {}
func readOn(_ net.Conn, in *bufio.Reader)    { _, _ = io.Copy(io.Discard, in) }
func endItsSide(c net.Conn, _ *bufio.Reader) { _ = c.(*net.TCPConn).CloseWrite() }

const (
	longBody = 24 << 20 // more than fits into the buffers of a connection
	notRun   = "HTTP/1.1 503 Busy\r\nRequest-Id: mine\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
)

// earlyAnswers are the ways in which a backend answers after it has read only the head of a request.
var earlyAnswers = map[string]struct {
	answer   string
	body     int
	holdback time.Duration
	then     func(c net.Conn, in *bufio.Reader)
	want     balancer.Result
	keeps    bool // the connection may be reused
}{
	"it stops reading":               {identifiedAnswer("mine"), longBody, 0, stopReading, balancer.OK, false},
	"it ends its side":               {identifiedAnswer("mine"), longBody, 0, endItsSide, balancer.OK, false},
	"it reads on":                    {identifiedAnswer("mine"), longBody, 0, readOn, balancer.OK, true},
	"the last byte is held back":     {identifiedAnswer("mine"), 3 * maxSingleWrite, waitTimeout / 2, stopReading, balancer.OK, false},
	"it has not run":                 {notRun, longBody, 0, stopReading, balancer.Rejected, false},
	"it is the answer to another":    {identifiedAnswer("other"), longBody, 0, stopReading, balancer.NotSent, false},
	"it breaks off":                  {"HTTP/1.1 20", longBody, 0, endItsSide, balancer.Reset, false},
	"it ends its side and says none": {"", longBody, 0, endItsSide, balancer.NotSent, false},
}

// Guards against running an unsafe request twice: a backend that answers before it has read a long body has run the request,
// but was taken to have run nothing, or its answer was not read before the request's deadline.
func TestAnswerBeforeTheBodyIsTheRequestsOwn(t *testing.T) {
	t.Parallel()
	for name, test := range earlyAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			over := make(chan struct{})
			defer close(over)
			addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
				if _, err := http.ReadRequest(in); err == nil {
					_, _ = io.WriteString(c, test.answer)
					test.then(c, in)
					<-over
				}
			})
			x := &exchange{
				backend: engine.NewBackend("s-1", addr, true), permit: new(engine.Permit), dialect: identifiedDialect(),
				message: identifiedMessage("mine", make([]byte, test.body)), deadline: time.Now().Add(waitTimeout), holdback: test.holdback,
			}
			ends := make(chan Reply, 1)
			go func() { ends <- x.run(context.Background(), waitTimeout, nil) }()
			select {
			case r := <-ends:
				if r.conn != nil {
					defer r.conn.Close()
				}
				if r.result != test.want || r.conn != nil && !test.keeps || r.result == balancer.OK && string(r.body) != "mine" {
					t.Errorf("%v %q, connection kept: %v; want %v", r.result, r.body, r.conn != nil, test.want)
				}
			case <-time.After(waitTimeout / 4):
				t.Error("the answer is not read in time")
			}
		})
	}
}
