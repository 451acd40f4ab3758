package httpproxy

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"marlreel/internal/testutil"
)

// eventParts are the events of a stream.
var eventParts = []string{"id: 1\ndata: one\n\n", "id: 2\ndata: two\n\n", "id: 3\ndata: three\n\n"}

// answerEnding starts a backend whose answers have the given type and parts, and end in the given way.
func answerEnding(t *testing.T, end testutil.BodyEnd, contentType string, parts []string, pauses bool) (address string) {
	t.Helper()
	return rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		if _, ok := readRequest(in); ok {
			end.Write(c, "HTTP/1.1 200 OK\r\nContent-Type: "+contentType+"\r\n", parts, pauses)
		}
	})
}

// forwardedBy sends a request through a front and returns what its client receives.
func forwardedBy(t *testing.T, address string, handsOver bool) (status int, body string, complete bool) {
	t.Helper()
	front, ln, run := servingLater(t, ready("s-1", address))
	if handsOver {
		front.EnableHandover()
	}
	run()
	conn := testutil.Dial(t, ln.Addr().String())
	defer conn.Close()
	send(t, conn, fmt.Sprintf("GET /lot-list/1 HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %016x\r\nX-Account: obala\r\nX-Time-Left: 900m\r\n\r\n", lastRequestID.Add(1)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	received, err := io.ReadAll(response.Body)
	return response.StatusCode, string(received), err == nil
}

// checkEnd checks that a client got a complete and unchanged body exactly if looksComplete.
func checkEnd(t *testing.T, address string, handsOver bool, sent string, looksComplete bool) {
	t.Helper()
	status, body, complete := forwardedBy(t, address, handsOver)
	succeeded := status == http.StatusOK && complete
	switch {
	case succeeded != looksComplete:
		t.Errorf("status %d, complete %t, %d of %d bytes; should look complete: %t", status, complete, len(body), len(sent), looksComplete)
	case succeeded && body != sent:
		t.Errorf("the body has changed: %d of %d bytes", len(body), len(sent))
	case status == http.StatusOK && !strings.HasPrefix(sent, body):
		t.Errorf("the client got what the backend did not send: %q", body)
	}
}

// Guards against an answer that ended early and appears complete: each way in which a body can end, buffered and streamed,
// by the response writer of net/http and by a relay that another process may take over.
func TestEndOfABodyAtAFront(t *testing.T) {
	t.Parallel()
	large := append([]string{"data: " + strings.Repeat("x", maxBufferedBody) + "\n\n"}, eventParts...)
	for _, end := range testutil.BodyEnds() {
		for _, contentType := range []string{eventMediaType, "text/plain"} {
			looksComplete := end.Complete || end.CloseOnly() && contentType != eventMediaType
			for _, pauses := range []bool{false, true} {
				if end.TimesOut && (pauses || contentType != eventMediaType) {
					continue // a silent backend is given up after stallTimeout, which neither of these can change
				}
				t.Run(fmt.Sprintf("%s/%s/pauses %t", end.Name, contentType, pauses), func(t *testing.T) {
					t.Parallel()
					t.Run("buffered", func(t *testing.T) {
						t.Parallel()
						checkEnd(t, answerEnding(t, end, contentType, eventParts, pauses), false, end.Sent(eventParts), looksComplete)
					})
					t.Run("streamed", func(t *testing.T) {
						t.Parallel()
						checkEnd(t, answerEnding(t, end, contentType, large, pauses), false, end.Sent(large), looksComplete)
					})
					t.Run("relayed", func(t *testing.T) {
						t.Parallel()
						checkEnd(t, answerEnding(t, end, contentType, large, pauses), true, end.Sent(large), looksComplete)
					})
				})
			}
		}
	}
}

// Guards against a cut that is hidden because another process has taken over the stream inside an event, at any byte.
func TestCutIsNoticedAfterAHandover(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	whole := "id: 1\r\ndata: one\r\n\r\n: ping\rdata: two\n\n"
	for length := range len(whole) + 1 {
		for split := range length + 1 {
			_, wantErr := io.ReadAll(&eventBodyReader{in: strings.NewReader(whole[:length])})
			backend, farBackend := pair(t, ln)
			_, err := io.WriteString(farBackend, whole[:length])
			is.NoErr(err)
			is.NoErr(farBackend.Close())
			relay := startedRelay("end", nil, backend, length)
			relay.body = &eventBodyReader{in: relay.backend.reader}
			_, err = io.ReadFull(relay.body, make([]byte, split))
			is.NoErr(err)
			state, err := json.Marshal(relay.state())
			is.NoErr(err)
			next, err := decodeRelay(state, nil, backend)
			is.NoErr(err)
			rest, err := io.ReadAll(next.body)
			is.Equal(string(rest), whole[split:length])
			is.Equal(err, wantErr)
			is.NoErr(backend.Close())
		}
	}
}

// lastRead returns all its data together with the end, as some readers do.
type lastRead struct {
	data string
	end  error
}

// Read implements io.Reader.
func (l *lastRead) Read(p []byte) (int, error) {
	n := copy(p, l.data)
	l.data = l.data[n:]
	if l.data == "" {
		return n, l.end
	}
	return n, nil
}

// Guards against an end that is missed, or bytes that are lost, because the end comes in the read that brings the bytes.
func TestEndInTheReadOfTheFirstBytes(t *testing.T) {
	is := is.New(t)
	reset := errors.New("reset")
	for _, c := range []struct {
		body      string
		end, want error
	}{
		{"data: a\n\n", io.EOF, nil},
		{"data: a\n", io.EOF, io.ErrUnexpectedEOF},
		{"data: a", io.EOF, io.ErrUnexpectedEOF},
		{"data: a\n\n", reset, reset},
		{"", io.EOF, nil},
	} {
		body, err := io.ReadAll(&eventBodyReader{in: &lastRead{c.body, c.end}})
		is.Equal(string(body), c.body)
		is.Equal(err, c.want)
		conn := &backendConn{readLimit: &io.LimitedReader{R: &lastRead{c.body, c.end}, N: math.MaxInt64}}
		conn.reader = bufio.NewReader(conn.readLimit)
		body, err = io.ReadAll(&eventBodyReader{in: conn.reader})
		is.Equal(string(body), c.body)
		is.Equal(err, c.want)
	}
}
