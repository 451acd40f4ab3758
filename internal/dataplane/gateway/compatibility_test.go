package gateway

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"marlreel/internal/dataplane/engine"
	"marlreel/internal/dataplane/httpproxy"
	"marlreel/internal/testing/recorded"
)

// The files under testdata/compatibility were written by the code of commit 6fb9894, with
// WRITE_COMPATIBILITY=1. They hold formats that other processes, backends and operators rely on.
// They must not be regenerated to make a test pass.

// What clients and backends exchange with a proxy is recorded by the tests of the simulated cluster
// (simcluster), where the whole process runs.

// Answers of backends are classified by their documented headers and statuses. The results are
// label values of marlreel_attempts_total.
func TestCompatibilityOfAnswers(t *testing.T) {
	backend := &engine.Backend{Name: "i-7f3a91c2", Addr: "10.3.0.1:9000"}
	var out strings.Builder
	for _, probe := range []bool{false, true} {
		for _, head := range []string{
			"200 OK\nServer-Seal: 3e1b.07", "200 OK", "204 No Content\nServer-Seal: 3e1b.07", "301 Moved\nServer-Seal: 3e1b.07",
			"400 Bad Request\nServer-Seal: 3e1b.07", "400 Bad Request\nNot-Executed: 1", "404 Not Found\nServer-Seal: 3e1b.07",
			"408 Request Timeout\nServer-Seal: 3e1b.07", "421 Misdirected Request", "429 Too Many Requests\nNot-Executed: 1",
			"429 Too Many Requests\nServer-Seal: 3e1b.07", "500 Internal Server Error\nServer-Seal: 3e1b.07",
			"503 Service Unavailable\nNot-Executed: 1", "503 Service Unavailable\nServer-Seal: 3e1b.07", "200 OK\nNot-Executed: 1\nServer-Seal: 3e1b.07",
			"504 Gateway Timeout\nServer-Seal: 3e1b.07", "200 OK\nBackend-Id: i-7f3a91c2", "200 OK\nBackend-Id: i-other", "503 Service Unavailable\nBackend-Id: i-7f3a91c2",
		} {
			text := "HTTP/1.1 " + strings.ReplaceAll(head, "\n", "\r\n") + "\r\nContent-Length: 0\r\n\r\n"
			response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
			if err != nil {
				t.Fatal(err)
			}
			response.Body.Close()
			result := newDialect(func() string { return "/health" }).Judge(backend, &httpproxy.Message{HealthCheck: probe}, response)
			fmt.Fprintf(&out, "probe %t | %s | %s\n", probe, strings.ReplaceAll(head, "\n", " | "), resultNames[result])
		}
	}
	recorded.Check(t, "answers.txt", out.String())
}

// Requests to backends carry the documented headers, and health checks go to the service's path.
func TestCompatibilityOfHeads(t *testing.T) {
	backend := &engine.Backend{Name: "i-7f3a91c2", Addr: "10.3.0.1:9000"}
	dialect := newDialect(func() string { return "/health" })
	head := dialect.AppendAttemptHeaders([]byte("POST /chat/2f HTTP/1.1\r\n"), backend, 1234*time.Millisecond)
	check := dialect.HealthCheck(backend)
	text := fmt.Sprintf("%s\n%s %t\n%s", head, check.Method, check.HealthCheck, check.Head)
	recorded.Check(t, "heads.txt", strings.ReplaceAll(text, "\r\n", "\n"))

	for id, want := range map[string]bool{"9c41d07be2a35f68": true, "": true, "other": false} {
		response := &http.Response{Header: http.Header{}}
		if id != "" {
			response.Header.Set("Request-Id", id)
		}
		if got := dialect.Matches(&httpproxy.Message{ID: "9c41d07be2a35f68"}, response); got != want {
			t.Errorf("answer with the id %q matches the request: %t", id, got)
		}
	}
}

// A health check has no ID: an answer with one belongs to another request, even if the rest of it matches.
func TestHealthCheckTakesNoOtherAnswer(t *testing.T) {
	dialect := newDialect(func() string { return "/health" })
	check := dialect.HealthCheck(&engine.Backend{Name: "i-7f3a91c2", Addr: "10.3.0.1:9000"})
	for id, want := range map[string]bool{"": true, "9c41d07be2a35f68": false} {
		response := &http.Response{Header: http.Header{}}
		if id != "" {
			response.Header.Set(headerRequestID, id)
		}
		if got := dialect.Matches(check, response); got != want {
			t.Errorf("answer with the id %q matches the health check: %t", id, got)
		}
	}
}

// Label values stay as they were recorded.
func TestCompatibilityOfLabels(t *testing.T) {
	var out strings.Builder
	fmt.Fprintf(&out, "beyond the bounds: %s\n", otherLabel)
	words := map[string]bool{}
	for _, word := range resultNames {
		words[word] = true
	}
	for _, word := range causeNames {
		words["outcome "+word] = true
	}
	fmt.Fprintf(&out, "%d words\n", len(words))
	for _, word := range []string{
		"ok", "full", "error", "reset", "declined", "timeout", "cancelled", "no connection", "not sent",
		"outcome in_time", "outcome refused", "outcome no_holder", "outcome queued", "outcome retried", "outcome failed", "outcome backend",
		"outcome client_left",
	} {
		fmt.Fprintf(&out, "%s: %t\n", word, words[word])
	}
	recorded.Check(t, "labels.txt", out.String())
}
