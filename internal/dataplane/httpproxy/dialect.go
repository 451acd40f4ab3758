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
	// AppendAttemptHeaders appends the headers that an attempt adds to its request's: how long the backend
	// has, and which one is meant.
	AppendAttemptHeaders func(head []byte, to *engine.Backend, wait time.Duration) []byte
	// Judge tells how an attempt ended by the head of its answer.
	Judge func(to *engine.Backend, m *Message, resp *http.Response) balancer.Result
	// Matches tells whether an answer belongs to the request; nil: every one does.
	Matches func(m *Message, resp *http.Response) bool
	// Answers tells whether an answer is the request's for certain, whenever it comes; nil: that can't be told.
	Answers func(m *Message, resp *http.Response) bool
	// HealthCheck is the request for a backend's health.
	HealthCheck func(to *engine.Backend) *Message
	// ForwardsFailures hands backends' own failures on to the front.
	ForwardsFailures bool
}

const headerNotExecuted = "X-Unprocessed"

// platformDialect is that of the platform which pushes lists of backends.
func platformDialect() *Dialect {
	return &Dialect{
		AppendAttemptHeaders: func(head []byte, _ *engine.Backend, wait time.Duration) []byte {
			head = append(head, headerTimeout+": "...)
			head = strconv.AppendInt(head, max(1, wait.Microseconds()), 10)
			return append(head, "u\r\n"...)
		},
		Judge: func(_ *engine.Backend, _ *Message, resp *http.Response) balancer.Result {
			switch code := resp.StatusCode; {
			case code == http.StatusOK:
				return balancer.OK
			case saysNotExecuted(resp):
				return balancer.Rejected
			case code >= 400 && code < 500 && code != http.StatusRequestTimeout && code != http.StatusTooManyRequests:
				return balancer.Unprocessable
			}
			return balancer.Error
		},
		HealthCheck: func(to *engine.Backend) *Message {
			return &Message{Method: http.MethodGet, Head: []byte("GET /health HTTP/1.1\r\nHost: " + to.Addr + "\r\n")}
		},
	}
}

// saysNotExecuted tells whether an answer says that its request has not run.
func saysNotExecuted(resp *http.Response) bool {
	code := resp.StatusCode
	return (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) && resp.Header.Get(headerNotExecuted) == "1"
}
