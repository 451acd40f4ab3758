package httpproxy

import (
	"net/http"
	"strconv"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
)

// Dialect is what the protocols of platforms word differently between a proxy and its backends.
type Dialect struct {
	// Bounds appends the headers that an attempt adds to its request's: how long the backend
	// has, and which one is meant.
	Bounds func(head []byte, to *engine.Backend, wait time.Duration) []byte
	// Judge tells how an attempt ended by the head of its answer.
	Judge func(to *engine.Backend, m *Message, resp *http.Response) balancer.Result
	// Mine tells whether an answer belongs to the request; nil: every one does.
	Mine func(m *Message, resp *http.Response) bool
	// Probe is the request for a backend's health.
	Probe func(to *engine.Backend) *Message
	// KeepsFailures hands backends' own failures on to the front.
	KeepsFailures bool
}

const headerNotRun = "X-Unprocessed"

// platformDialect is that of the platform which pushes lists of backends.
func platformDialect() *Dialect {
	return &Dialect{
		Bounds: func(head []byte, _ *engine.Backend, wait time.Duration) []byte {
			head = append(head, headerTimeout+": "...)
			head = strconv.AppendInt(head, max(1, wait.Microseconds()), 10)
			return append(head, "u\r\n"...)
		},
		Judge: func(_ *engine.Backend, _ *Message, resp *http.Response) balancer.Result {
			switch code := resp.StatusCode; {
			case code == http.StatusOK:
				return balancer.OK
			case notRun(resp):
				return balancer.Rejected
			case code >= 400 && code < 500 && code != http.StatusRequestTimeout && code != http.StatusTooManyRequests:
				return balancer.Unprocessable
			}
			return balancer.Error
		},
		Probe: func(to *engine.Backend) *Message {
			return &Message{Method: http.MethodGet, Head: []byte("GET /health HTTP/1.1\r\nHost: " + to.Addr + "\r\n")}
		},
	}
}

// notRun tells whether an answer says that its request has not run.
func notRun(resp *http.Response) bool {
	code := resp.StatusCode
	return (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) && resp.Header.Get(headerNotRun) == "1"
}
