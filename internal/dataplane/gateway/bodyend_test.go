package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"marlreel/internal/testutil"
)

// streamingDocument has a route for each way of forwarding an answer.
const streamingDocument = `{"config_version":1,"route_list":[
	{"name":"plain","host":"a.example","path_prefix":"/plain/","route_class":"unsafe","timeout_ms":20000,"service":"s"},
	{"name":"stream","host":"a.example","path_prefix":"/stream/","route_class":"streaming","timeout_ms":20000,"service":"s","max_attempts":1},
	{"name":"resumed","host":"a.example","path_prefix":"/resumed/","route_class":"streaming","timeout_ms":20000,"service":"s","max_attempts":3,"resumable":true}],
	"service_list":[{"name":"s","health_path":"/health"}]}`

// serveBackends serves the document with backends at the given addresses, and returns the address for clients. The sockets
// are real, as resets and closes are the kernel's.
func serveBackends(t *testing.T, backends ...string) (front string) {
	t.Helper()
	return serveDocument(t, streamingDocument, backends...).front
}

// received is an answer as a client received it.
type received struct {
	status   int
	body     string
	complete bool
}

// String shortens a long body.
func (r received) String() string {
	const most = 120
	return fmt.Sprintf("status %d, complete %t, %d bytes ...%q", r.status, r.complete, len(r.body), r.body[max(0, len(r.body)-most):])
}

// request sends a request that waits for the given time, and reads its answer.
func request(t *testing.T, front, path string, wait time.Duration) received {
	t.Helper()
	conn := testutil.Dial(t, front)
	defer conn.Close()
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: 9c41\r\nTime-Remaining: %d\r\nContent-Length: 0\r\n\r\n", path, wait.Milliseconds())
	if err != nil {
		t.Fatal(err)
	}
	return readAnswer(t, conn)
}

// readAnswer reads an answer to its end.
func readAnswer(t *testing.T, conn io.Reader) received {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return received{response.StatusCode, string(body), err == nil}
}

// answeringBackend starts a backend that passes each request but health checks to answer.
func answeringBackend(t *testing.T, answer func(c net.Conn, r *http.Request)) (address string) {
	t.Helper()
	return testutil.RawBackend(t, func(c net.Conn, in *bufio.Reader) {
		for {
			r, ok := testutil.ReadRequest(in)
			if !ok {
				return
			}
			if r.Method != http.MethodGet {
				answer(c, r)
				return
			}
			id := r.Header.Get(headerExpected)
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBackend-Id: %s\r\nContent-Length: 0\r\n\r\n", id); err != nil {
				return
			}
		}
	})
}

// headOf returns the head of a successful answer up to its framing.
func headOf(r *http.Request, contentType string) string {
	head := "HTTP/1.1 200 OK\r\nServer-Seal: 3e1b.07\r\nRequest-Id: " + r.Header.Get(headerRequestID) + "\r\n"
	if contentType != "" {
		head += "Content-Type: " + contentType + "\r\n"
	}
	return head
}

// eventParts returns the events from first to last.
func eventParts(first, last int) []string {
	var parts []string
	for id := first; id <= last; id++ {
		parts = append(parts, fmt.Sprintf("id: %d\ndata: this is event %d\n\n", id, id))
	}
	return parts
}

// lastEvent is the last event of a whole stream.
const lastEvent = 4

// deadlineWait is how long requests wait whose backend doesn't end its answer.
const deadlineWait = 600 * time.Millisecond

// waitFor returns how long the request for an answer waits.
func waitFor(end testutil.BodyEnd) time.Duration {
	if end.TimesOut {
		return deadlineWait
	}
	return testutil.WaitTimeout
}

// Guards against an answer that ended early and appears complete: each way in which a body can end, for each way in which
// it is forwarded. Complete bodies arrive unchanged. Of a broken stream only whole events arrive.
func TestEndOfABodyByTheWayItIsForwarded(t *testing.T) {
	t.Parallel()
	for _, pauses := range []bool{true, false} {
		for _, end := range testutil.BodyEnds() {
			delivery := "in one write"
			if pauses {
				delivery = "in pieces"
			}
			t.Run(delivery+"/"+end.Name, func(t *testing.T) {
				t.Parallel()
				t.Run("buffered", func(t *testing.T) { t.Parallel(); checkBuffered(t, end, pauses) })
				t.Run("streamed", func(t *testing.T) { t.Parallel(); checkStreamed(t, end, pauses) })
				t.Run("event by event", func(t *testing.T) { t.Parallel(); checkEventByEvent(t, end, pauses, "text/event-stream") })
				t.Run("event by event without a type", func(t *testing.T) { t.Parallel(); checkEventByEvent(t, end, pauses, "") })
				t.Run("resumed", func(t *testing.T) {
					t.Parallel()
					checkResumed(t, testutil.ClosedInsideAnEvent(), end, pauses)
				})
				if !end.Complete && !end.TimesOut && !end.CloseOnly() {
					t.Run("resumed after it", func(t *testing.T) {
						t.Parallel()
						checkResumed(t, end, testutil.BodyEnds()[0], pauses)
					})
				}
			})
		}
	}
}

// checkBuffered checks small answers on a route without streams, which are buffered before they are forwarded.
func checkBuffered(t *testing.T, end testutil.BodyEnd, pauses bool) {
	parts := eventParts(1, lastEvent)
	for _, contentType := range []string{"text/event-stream; charset=utf-8", "text/plain"} {
		front := serveBackends(t, answeringBackend(t, func(c net.Conn, r *http.Request) {
			end.Write(c, headOf(r, contentType), parts, pauses)
		}))
		got := request(t, front, "/plain/1", waitFor(end))
		looksComplete := end.Complete || end.CloseOnly() && contentType == "text/plain"
		switch {
		case looksComplete:
			if want := (received{http.StatusOK, end.Sent(parts), true}); got != want {
				t.Errorf("%s: got %v, want %v", contentType, got, want)
			}
		case got.status == http.StatusOK && got.complete:
			t.Errorf("%s: a body that ended early appears complete: %v", contentType, got)
		case got.status != http.StatusOK && got.status < http.StatusInternalServerError:
			t.Errorf("%s: got %v", contentType, got)
		}
	}
}

// streamedPart makes an answer too large to be buffered.
var streamedPart = "data: " + strings.Repeat("x", 1<<17) + "\n\n"

// checkStreamed checks large answers on a route without streams, which are forwarded as they arrive.
func checkStreamed(t *testing.T, end testutil.BodyEnd, pauses bool) {
	parts := append([]string{streamedPart}, eventParts(1, lastEvent)...)
	for _, contentType := range []string{"Text/Event-Stream", "application/octet-stream"} {
		front := serveBackends(t, answeringBackend(t, func(c net.Conn, r *http.Request) {
			end.Write(c, headOf(r, contentType), parts, pauses)
		}))
		got := request(t, front, "/plain/1", waitFor(end))
		checkForwarded(t, got, end.Sent(parts), end.Complete || end.CloseOnly() && contentType != "Text/Event-Stream")
	}
}

// checkForwarded checks an answer that was forwarded as it arrived: complete and unchanged, or visibly cut.
func checkForwarded(t *testing.T, got received, sent string, complete bool) {
	t.Helper()
	switch {
	case got.complete != complete || got.status != http.StatusOK:
		t.Errorf("got %v, of %d bytes sent; complete should be %t", got, len(sent), complete)
	case complete && got.body != sent:
		t.Errorf("the body has changed: %v, of %d bytes sent", got, len(sent))
	case !strings.HasPrefix(sent, got.body):
		t.Errorf("the client got what no backend sent: %v", got)
	}
}

// checkEventByEvent checks streams on a streaming route.
func checkEventByEvent(t *testing.T, end testutil.BodyEnd, pauses bool, contentType string) {
	parts := eventParts(1, lastEvent)
	front := serveBackends(t, answeringBackend(t, func(c net.Conn, r *http.Request) {
		end.Write(c, headOf(r, contentType), parts, pauses)
	}))
	got := request(t, front, "/stream/1", waitFor(end))
	if !pauses && !end.Complete && got.status >= http.StatusInternalServerError {
		return // a reset may overtake the head
	}
	checkForwarded(t, got, end.Sent(parts), end.Complete)
	checkWholeEvents(t, got, parts)
}

// checkWholeEvents checks that a client got no part of an event of a stream that was cut, and, if it was not, only what it
// ended with.
func checkWholeEvents(t *testing.T, got received, parts []string) {
	t.Helper()
	if got.complete {
		return
	}
	whole := ""
	for _, part := range parts {
		if whole == got.body {
			return
		}
		whole += part
	}
	if whole != got.body {
		t.Errorf("the client got a part of an event: %v", got)
	}
}

// checkResumed checks streams whose first backend breaks off, and which a second backend continues and ends.
func checkResumed(t *testing.T, brokenOff, end testutil.BodyEnd, pauses bool) {
	begun := eventParts(1, 3)
	answer := func(c net.Conn, r *http.Request) {
		last := r.Header.Get(headerLastEvent)
		switch last {
		case "":
			brokenOff.Write(c, headOf(r, "text/event-stream"), begun, true)
		case "2", "3": // a half of the third event is not what the client has
			from := 1 + int(last[0]-'0')
			end.Write(c, headOf(r, "text/event-stream"), eventParts(from, lastEvent), pauses)
		default: // the second backend broke off too: no third one continues
			_ = c.Close()
		}
	}
	front := serveBackends(t, answeringBackend(t, answer), answeringBackend(t, answer))
	got := request(t, front, "/resumed/1", waitFor(end))
	checkForwarded(t, got, strings.Join(eventParts(1, lastEvent-1), "")+end.Sent(eventParts(lastEvent, lastEvent)), end.Complete)
	checkWholeEvents(t, got, eventParts(1, lastEvent))
	if pauses && !strings.HasPrefix(got.body, strings.Join(begun, "")) {
		t.Errorf("the stream was not resumed: %v", got)
	}
}
