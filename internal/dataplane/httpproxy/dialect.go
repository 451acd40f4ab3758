package httpproxy

import (
	"net/http"
	"strconv"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
)

// Dialect is the part of the protocol between a proxy and its backends that differs from platform to platform.
type Dialect struct {
	// ExecutionStart is how much of a request a backend needs before it may begin to run it.
	ExecutionStart ExecutionStart
	// AppendAttemptHeaders appends the headers that an attempt adds to those of its request: the time that the
	// backend has for it, and which backend it is addressed to.
	AppendAttemptHeaders func(head []byte, to *engine.Backend, wait time.Duration) []byte
	// Judge derives an attempt's result from the head of its answer.
	Judge func(to *engine.Backend, m *Message, resp *http.Response) balancer.Result
	// Matches reports whether an answer belongs to the request; nil: every answer does.
	Matches func(m *Message, resp *http.Response) bool
	// Answers reports whether an answer certainly belongs to the request, even if it comes before the request is
	// complete; nil: that is never certain.
	Answers func(m *Message, resp *http.Response) bool
	// HealthCheck returns the health check request for a backend.
	HealthCheck func(to *engine.Backend) *Message
	// ForwardsFailures passes failure answers of backends on to the front.
	ForwardsFailures bool
}

const headerNotExecuted = "X-Unprocessed"

// platformDialect is the dialect of the platform that pushes lists of backends.
func platformDialect() *Dialect {
	return &Dialect{
		ExecutionStart: StartsAfterBody,
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

// saysNotExecuted reports whether an answer says that the backend has not run the request.
func saysNotExecuted(resp *http.Response) bool {
	code := resp.StatusCode
	return (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) && resp.Header.Get(headerNotExecuted) == "1"
}
