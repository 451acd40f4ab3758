package httpproxy

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"marlreel/internal/dataplane/engine"
	"marlreel/internal/testing/recorded"
)

// goodRequest returns a valid client request with all headers that the proxy interprets.
func goodRequest() *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/pickup/ljubljana/lot-7?page=2", strings.NewReader("body"))
	r.Host = "auction.example.org"
	for name, value := range map[string]string{
		"X-Correlation-Id": "00000000000000aa", "X-Account": "obala", "X-Time-Left": "900m",
		"Idempotency-Key": "k-1", "X-Weight-Hint": "1500.5", "X-Repeat": "1", "Accept": "text/plain", "Connection": "keep-alive, X-Own-Hop", "X-Own-Hop": "1",
		"Keep-Alive": "timeout=5", "Te": "trailers", "Expect": "100-continue", "Upgrade": "x", "Proxy-Connection": "close", "Trailer": "X-Sum",
	} {
		r.Header.Set(name, value)
	}
	return r
}

// sortedHead returns a message with its header lines sorted, as they are written in random order.
func sortedHead(message []byte) string {
	head, body, _ := strings.Cut(string(message), "\r\n\r\n")
	lines := strings.Split(head, "\r\n")
	slices.Sort(lines[1:])
	return strings.Join(lines, "\\r\\n\n") + "\\r\\n\n\\r\\n\n" + body + "\n"
}

// The bytes sent to backends: client requests with the forwarded headers, and a health check.
func TestCompatibilityToBackends(t *testing.T) {
	l := newManualEngine(t)
	c, left, a := l.front.parse(goodRequest(), l.front.engine.SettingsSnapshot())
	if a.status != 0 {
		t.Fatalf("%d %s", a.status, a.body)
	}
	if c.ClientRequestID != "00000000000000aa" || left != 900*time.Millisecond || !c.IsRetry || c.Cost != 1500500*time.Nanosecond || c.Key == 0 {
		t.Errorf("parsed as id %q, timeout %v, retry %v, cost %v, key %d", c.ClientRequestID, left, c.IsRetry, c.Cost, c.Key)
	}
	to := engine.NewBackend("s-1", "127.0.0.1:8001", true)
	dialect := platformDialect()
	get := httptest.NewRequest(http.MethodGet, "/lot-list", nil)
	get.Header.Set("X-Correlation-Id", "00000000000000ab")
	var got strings.Builder
	for _, m := range []struct {
		name string
		data []byte
	}{
		{"post", newMessage(goodRequest(), []byte("body"), nil).encode(dialect, to, 850*time.Millisecond)},
		{"post without a body", newMessage(goodRequest(), nil, nil).encode(dialect, to, 1500*time.Microsecond)},
		{"get with no time left", newMessage(get, nil, nil).encode(dialect, to, 0)},
		{"probe", dialect.HealthCheck(to).encode(dialect, to, 200*time.Millisecond)},
	} {
		fmt.Fprintf(&got, "--- %s\n%s", m.name, sortedHead(m.data))
	}
	recorded.Check(t, "to-backends.txt", got.String())
}

// recordedAnswer formats an answer: status, sorted headers, body.
func recordedAnswer(w *httptest.ResponseRecorder) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d\n", w.Code)
	var lines []string
	for name, values := range w.Header() {
		lines = append(lines, fmt.Sprintf("%s: %s\n", name, strings.Join(values, " | ")))
	}
	slices.Sort(lines)
	return b.String() + strings.Join(lines, "") + "\n" + w.Body.String()
}

// recordBodyErrors appends the answers that clients get whose body can't be read.
func recordBodyErrors(got *strings.Builder, front *Front, request func() *http.Request) {
	for _, c := range []struct {
		name string
		err  error
	}{
		{"no room for a body", errNoRoom},
		{"a body while the proxy leaves", errHandoverPending},
		{"a body that is too long", errTooLong},
		{"a body that comes too slowly", os.ErrDeadlineExceeded},
		{"a body that ends early", errors.New("another")},
	} {
		w := httptest.NewRecorder()
		front.writeAnswer(w, request(), nil, bodyError(c.err))
		fmt.Fprintf(got, "--- %s\n%s", c.name, recordedAnswer(w))
	}
}

// The answers to requests that are rejected by the proxy itself.
func TestCompatibilityRefusedRequests(t *testing.T) {
	l := newManualEngine(t)
	get := func() *http.Request {
		r := httptest.NewRequest(http.MethodGet, "/lot-list", nil)
		r.Header.Set("X-Correlation-Id", "00000000000000ac")
		r.Header.Set("X-Account", "obala")
		r.Header.Set("X-Time-Left", "1000m")
		return r
	}
	var got strings.Builder
	for _, c := range []struct {
		name   string
		change func(r *http.Request)
		good   func() *http.Request
	}{
		{"a path that is not plain", func(r *http.Request) { r.URL.Path = "/lot list" }, get},
		{"an unknown class", func(r *http.Request) { r.URL.Path = "/none" }, get},
		{"a header twice", func(r *http.Request) { r.Header.Add("X-Account", "other") }, get},
		{"an unknown account", func(r *http.Request) { r.Header.Set("X-Account", "none") }, get},
		{"no account", func(r *http.Request) { r.Header.Del("X-Account") }, get},
		{"no time left", func(r *http.Request) { r.Header.Del("X-Time-Left") }, get},
		{"a time without a unit", func(r *http.Request) { r.Header.Set("X-Time-Left", "1000") }, get},
		{"a time that is too long", func(r *http.Request) { r.Header.Set("X-Time-Left", "3600001m") }, get},
		{"no id", func(r *http.Request) { r.Header.Del("X-Correlation-Id") }, get},
		{"a wrong id", func(r *http.Request) { r.Header.Set("X-Correlation-Id", "00000000000000AC") }, get},
		{"a wrong method", func(r *http.Request) { r.Method = http.MethodPost }, get},
		{"a wrong method of an unsafe class", func(r *http.Request) { r.URL.Path = "/bid" }, get},
		{"a key out of place", func(r *http.Request) { r.Header.Set("Idempotency-Key", "k") }, get},
		{"a key that is missing", func(r *http.Request) { r.Header.Del("Idempotency-Key") }, goodRequest},
		{"a key that is no plain word", func(r *http.Request) { r.Header.Set("Idempotency-Key", "k 1") }, goodRequest},
		{"a hint that is no number", func(r *http.Request) { r.Header.Set("X-Weight-Hint", "much") }, get},
		{"a header that is not plain text", func(r *http.Request) { r.Header.Set("Accept", "\x01") }, get},
		{"while the proxy stops", func(*http.Request) { l.front.RejectAll() }, get},
	} {
		r, w := c.good(), httptest.NewRecorder()
		c.change(r)
		l.front.ServeHTTP(w, r)
		fmt.Fprintf(&got, "--- %s\n%s", c.name, recordedAnswer(w))
	}
	recordBodyErrors(&got, l.front, get)
	recorded.Check(t, "refused-requests.txt", got.String())
}

// The answers to clients for each verdict of the engine, and the headers of a backend's answer that are forwarded.
func TestCompatibilityVerdicts(t *testing.T) {
	l := newManualEngine(t)
	var got strings.Builder
	for _, v := range []struct {
		name   string
		answer engine.Answer
	}{
		{"served", engine.Answer{Verdict: engine.Served, Reply: &Reply{status: 200, body: []byte("served"), header: http.Header{
			"Content-Type":   {"application/json"},
			"X-Backend-Load": {`{"busy_reqs":1}`}, "X-Other": {"a", "b"}, "Connection": {"close, X-Own-Hop"}, "X-Own-Hop": {"1"}, "Keep-Alive": {"timeout=5"},
		}}}},
		{"refused", engine.Answer{Verdict: engine.Rejected, RetryAfter: 1250 * time.Millisecond}},
		{"overloaded", engine.Answer{Verdict: engine.Overloaded, RetryAfter: 250 * time.Millisecond}},
		{"out of time", engine.Answer{Verdict: engine.TimedOut}},
		{"stopped", engine.Answer{Verdict: engine.Stopped}},
		{"in use", engine.Answer{Verdict: engine.DuplicateID}},
		{"failed", engine.Answer{Verdict: engine.Failed}},
	} {
		c := &call{answers: make(chan answer, 1)}
		c.HandleAnswer(&c.Call, v.answer)
		w := httptest.NewRecorder()
		l.front.writeAnswer(w, httptest.NewRequest(http.MethodGet, "/lot-list", nil), c, <-c.answers)
		fmt.Fprintf(&got, "--- %s\n%s\n", v.name, recordedAnswer(w))
	}
	recorded.Check(t, "verdicts.txt", got.String())
}

// The interpretation of a backend's status, X-Unprocessed header and load report.
func TestCompatibilityFromBackends(t *testing.T) {
	judge := platformDialect().Judge
	var got strings.Builder
	for _, status := range []int{200, 204, 301, 400, 404, 408, 409, 429, 500, 502, 503, 504} {
		for _, unprocessed := range []string{"", "1", "true"} {
			resp := &http.Response{StatusCode: status, Header: http.Header{}}
			if unprocessed != "" {
				resp.Header.Set("X-Unprocessed", unprocessed)
			}
			// The numeric values of results are not part of the protocol, so each result is recorded as a status that has it.
			result := judge(nil, nil, resp)
			for _, like := range []int{200, 400, 500} {
				if result == judge(nil, nil, &http.Response{StatusCode: like}) {
					fmt.Fprintf(&got, "%d with X-Unprocessed %q is like a plain %d\n", status, unprocessed, like)
				}
			}
			if saysNotExecuted(resp) {
				fmt.Fprintf(&got, "%d with X-Unprocessed %q has not run\n", status, unprocessed)
			}
		}
	}
	names := []string{"busy_reqs", "pending"}
	for _, text := range []string{`{"pending":2.5,"busy_reqs":1,"other":3}`, `{"busy_reqs":1}`, `{"busy_reqs":-1,"pending":2}`, `busy_reqs=1`, ``} {
		fmt.Fprintf(&got, "X-Backend-Load %s: %v\n", text, parseLoadReport(http.Header{"X-Backend-Load": {text}}, names))
	}
	recorded.Check(t, "from-backends.txt", got.String())
}

// The relay state of a large answer in flight that a process passes to one of another version at an upgrade. Its JSON keys
// must not change when Go fields are renamed.
func TestCompatibilityRelayState(t *testing.T) {
	var got bytes.Buffer
	for _, s := range []streamRelayState{
		{Version: streamRelayVersion, Form: "sized", Remaining: 1 << 20, Pending: []byte("ab"), Undecoded: []byte("cd"), Passed: 4096},
		{Version: streamRelayVersion, Form: "chunks", Remaining: 7, ChunkState: chunkDone, PartialLine: []byte("1f"), TrailerBytes: 3, Chunked: true, Undecoded: []byte{}, Passed: 5},
		{Version: streamRelayVersion, Form: "end", Undecoded: []byte{}},
	} {
		text, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		got.Write(append(text, '\n'))
	}
	recorded.Check(t, "relay-states.txt", got.String())
	recorded, err := os.ReadFile(filepath.Join("testdata", "compatibility", "relay-states.txt"))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(recorded)) {
		client, backend := net.Pipe()
		r, err := decodeRelay([]byte(line), client, backend)
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		if !strings.Contains(line, `"Ahead":""`) {
			_, _ = r.backend.reader.Peek(1) // puts the undecoded bytes into the buffer again
		}
		again, err := json.Marshal(r.state())
		client.Close()
		backend.Close()
		if err != nil || string(again) != strings.TrimSpace(line) {
			t.Errorf("decoded and encoded again, the state is %s (%v), want %s", again, err, line)
		}
	}
}

// The answers of /ready at the clients' address.
func TestCompatibilityReady(t *testing.T) {
	l := newManualEngine(t)
	var got strings.Builder
	for _, ready := range []bool{false, true} {
		l.front.SetReady(ready)
		w := httptest.NewRecorder()
		l.front.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/ready", nil))
		fmt.Fprintf(&got, "--- ready %v\n%s", ready, recordedAnswer(w))
	}
	recorded.Check(t, "ready.txt", got.String())
}
