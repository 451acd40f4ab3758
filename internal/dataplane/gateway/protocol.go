package gateway

import (
	"net/http"
	"strconv"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/dataplane/httpproxy"
)

// The headers of the protocol between clients, proxies and backends (docs/design/system.md).
const (
	headerRequestID     = "Request-Id"
	headerRemaining     = "Time-Remaining"
	headerExpected      = "Expected-Backend"
	headerBackendID     = "Backend-Id"
	headerNotExecuted   = "Not-Executed"
	headerSeal          = "Server-Seal"
	headerModel         = "Model"
	headerTokens        = "Token-Count"
	headerPrompt        = "Prompt-Prefix"
	headerLastEvent     = "Last-Event-Id"
	headerPriority      = "Priority"
	headerRetryAfter    = "Retry-After"
	headerAuthorization = "Authorization"
	headerAuthenticate  = "WWW-Authenticate"
	headerSubscriber    = "Subscriber"
)

// newDialect defines how requests are sent to the system's backends, and how their answers are classified. healthPath
// returns the service's path for health checks.
func newDialect(healthPath func() string) *httpproxy.Dialect {
	return &httpproxy.Dialect{
		ExecutionStart: httpproxy.StartsAfterHead,
		AppendAttemptHeaders: func(head []byte, to *engine.Backend, wait time.Duration) []byte {
			head = append(append(append(head, headerExpected+": "...), to.Name...), "\r\n"...)
			head = append(head, headerRemaining+": "...)
			head = strconv.AppendInt(head, max(1, wait.Milliseconds()), 10)
			return append(head, "\r\n"...)
		},
		Judge:   classifyAnswer,
		Matches: answersRequest,
		Answers: func(m *httpproxy.Message, resp *http.Response) bool {
			return m.ID != "" && resp.Header.Get(headerRequestID) == m.ID
		},
		HealthCheck: func(to *engine.Backend) *httpproxy.Message {
			return &httpproxy.Message{
				Method: http.MethodGet, HealthCheck: true,
				Head: []byte("GET " + healthPath() + " HTTP/1.1\r\nHost: " + to.Addr + "\r\n"),
			}
		},
		ForwardsFailures: true,
	}
}

// answersRequest reports whether an answer can belong to a request. Backends echo the request's ID; an answer without
// an ID may belong to any request, as servers write such answers before they have read one. A health check has no ID, so
// an answer with one belongs to another request.
func answersRequest(m *httpproxy.Message, resp *http.Response) bool {
	id := resp.Header.Get(headerRequestID)
	return id == "" || id == m.ID
}

// classifyAnswer returns the result of an attempt by the head of its answer. Only Not-Executed and 421 prove that
// nothing was executed. An answer without a seal does not come from the backend, whatever its status.
func classifyAnswer(to *engine.Backend, m *httpproxy.Message, resp *http.Response) balancer.Result {
	code := resp.StatusCode
	switch {
	case resp.Header.Get(headerNotExecuted) != "" && code >= 400, code == http.StatusMisdirectedRequest:
		return balancer.Rejected
	case m.HealthCheck:
		if code == http.StatusOK && resp.Header.Get(headerBackendID) == to.Name {
			return balancer.OK
		}
		return balancer.Error
	case resp.Header.Get(headerSeal) == "":
		return balancer.Reset
	case code >= 200 && code < 300:
		return balancer.OK
	case code >= 400 && code < 500 && code != http.StatusRequestTimeout && code != http.StatusTooManyRequests:
		return balancer.Unprocessable
	}
	return balancer.Error
}
