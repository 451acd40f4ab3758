package httpproxy

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marlreel/internal/process/budget"
	"marlreel/internal/testing/recorded"
	"marlreel/internal/testutil"
)

// pair returns both ends of a loopback connection.
func pair(t testing.TB, ln net.Listener) (near, far net.Conn) {
	t.Helper()
	near, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return near, far
}

// startedRelay returns a relay of an answer of the given body form, in its state after the head has been read.
func startedRelay(form string, client, backend net.Conn, length int) *streamRelay {
	c := &backendConn{Conn: backend, readLimit: &io.LimitedReader{R: backend, N: math.MaxInt64}}
	c.reader = bufio.NewReader(c.readLimit)
	r := &streamRelay{client: client, backend: c, pending: []byte("HTTP/1.1 200 OK\r\n")}
	switch form {
	case "sized":
		r.body = &sizedReader{c.reader, int64(length)}
		r.pending = append(r.pending, fmt.Sprintf("Content-Length: %d\r\n\r\n", length)...)
	case "chunks":
		r.body, r.chunked = &chunkReader{in: c.reader}, true
		r.pending = append(r.pending, "Transfer-Encoding: chunked\r\n\r\n"...)
	default:
		r.body = c.reader
		r.pending = append(r.pending, "Connection: close\r\n\r\n"...)
	}
	return r
}

// handedOverAnswer is an answer that is forwarded by a sequence of relays, each restored from the state of the previous one
// as in another process.
type handedOverAnswer struct {
	form    string
	body    []byte
	cuts    []int // offsets in the body at which a handover starts
	pieces  int   // number of pieces in which the backend writes the body
	started chan chan struct{}
	memory  *budget.Budget
	running sync.WaitGroup
}

// writeAsBackend writes the body as the backend, and starts the handovers at the cuts.
func (h *handedOverAnswer) writeAsBackend(to net.Conn) {
	defer to.Close()
	step := len(h.body)/h.pieces + 1
	for at := 0; at < len(h.body); at += step {
		for _, c := range h.cuts {
			if c >= at && c < at+step {
				select {
				case start := <-h.started:
					close(start)
				default:
				}
			}
		}
		p := h.body[at:min(at+step, len(h.body))]
		if h.form == "chunks" {
			fmt.Fprintf(to, "%x\r\n%s\r\n", len(p), p)
		} else {
			_, _ = to.Write(p)
		}
	}
	if h.form == "chunks" {
		_, _ = io.WriteString(to, "0\r\nX: y\r\n\r\n")
	}
}

// run runs a relay, and after a handover the one that continues it.
func (h *handedOverAnswer) run(t *testing.T, r *streamRelay) {
	start := make(chan struct{})
	h.started <- start
	err := r.run(h.memory, start, func() TransferFunc {
		return func(state []byte, client, backend net.Conn) bool {
			next, err := decodeRelay(state, client, backend)
			if err != nil {
				t.Error(err)
				return false
			}
			h.running.Go(func() { h.run(t, next) })
			return true
		}
	})
	if err != nil && !errors.Is(err, errHandedOver) {
		t.Errorf("%s of %d: %v", h.form, len(h.body), err)
	}
	if err == nil {
		r.client.Close()
		r.backend.Close()
	}
}

// Whatever the form of an answer's body and wherever it is handed over, also several times, the
// client must get it unchanged.
func TestAnswerIsHandedOver(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	rapid.Check(t, func(rt *rapid.T) {
		h := &handedOverAnswer{started: make(chan chan struct{}, 4), memory: budget.New(1 << 20)}
		h.form = rapid.SampledFrom([]string{"sized", "chunks", "end"}).Draw(rt, "form")
		h.body = noiseBytes(rapid.IntRange(0, 200<<10).Draw(rt, "length"))
		backend, farBackend := pair(t, ln)
		client, farClient := pair(t, ln)
		h.cuts = rapid.SliceOfN(rapid.IntRange(0, len(h.body)), 0, 3).Draw(rt, "cuts")
		h.pieces = rapid.IntRange(1, 9).Draw(rt, "pieces")
		h.running.Go(func() { h.writeAsBackend(farBackend) })
		h.running.Go(func() { h.run(t, startedRelay(h.form, client, backend, len(h.body))) })
		if err := farClient.SetReadDeadline(time.Now().Add(testutil.WaitTimeout)); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(farClient), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		got, err := io.ReadAll(resp.Body)
		farClient.Close()
		h.running.Wait()
		if err != nil || !bytes.Equal(got, h.body) {
			rt.Fatalf("%s, cut at %v: %d bytes of %d: %v", h.form, h.cuts, len(got), len(h.body), err)
		}
		if h.memory.Used() != 0 {
			rt.Fatalf("%d bytes of memory are not released", h.memory.Used())
		}
	})
}

func noiseBytes(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i * i >> 3)
	}
	return b
}

// If the other process doesn't accept an answer, this process continues it and doesn't offer it again.
func TestAnswerHandoverThatIsRejected(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	backend, farBackend := pair(t, ln)
	client, farClient := pair(t, ln)
	handover := make(chan struct{})
	close(handover)
	offered := 0
	r := startedRelay("sized", client, backend, 6)
	done := make(chan error, 1)
	go func() {
		done <- r.run(budget.New(1<<20), handover, func() TransferFunc {
			return func([]byte, net.Conn, net.Conn) bool { offered++; return false }
		})
		client.Close()
	}()
	send(t, farBackend, "abc")
	in := bufio.NewReader(farClient)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	send(t, farBackend, "def")
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != "abcdef" {
		t.Errorf("%q %v", got, err)
	}
	if err := testutil.Receive(t, done, "the end"); err != nil || offered != 1 {
		t.Errorf("%v, offered %d times", err, offered)
	}
}

// Malformed states and those of another version must be rejected.
func TestMalformedRelayStates(t *testing.T) {
	t.Parallel()
	for _, s := range []string{
		"", "{}", `{"Version":2,"Form":"sized"}`, `{"Version":1,"Form":"other"}`,
		`{"Version":1,"Form":"sized","Left":-1}`, `{"Version":1,"Form":"chunks","Chunk":99}`,
	} {
		if _, err := decodeRelay([]byte(s), nil, nil); err == nil {
			t.Errorf("%q was accepted", s)
		}
	}
}

// If a relay is handed over while the end of a chunked body is partly written, the rest of that end must be written, but
// no second end after it.
func TestEndOfChunksIsHandedOverOnce(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	const end = "0\r\n\r\n"
	for written := range len(end) {
		client, farClient := pair(t, ln)
		backend, farBackend := pair(t, ln)
		farBackend.Close()
		r := startedRelay("chunks", client, backend, 0)
		r.body.(*chunkReader).state = chunkDone
		r.done, r.pending = true, []byte(end[written:])
		state, err := json.Marshal(r.state())
		if err != nil {
			t.Fatal(err)
		}
		next, err := decodeRelay(state, client, backend)
		if err != nil {
			t.Fatal(err)
		}
		if err := next.run(budget.New(1<<20), make(chan struct{}), func() TransferFunc { return nil }); err != nil {
			t.Error(err)
		}
		client.Close()
		backend.Close()
		if got, err := io.ReadAll(farClient); err != nil || string(got) != end[written:] {
			t.Errorf("after %q the client gets %q (%v)", end[:written], got, err)
		}
		farClient.Close()
	}
}

// The Done field was added after the other states were recorded, so it has a recorded file of its own.
func TestCompatibilityDoneRelayState(t *testing.T) {
	text, err := json.Marshal(streamRelayState{Version: streamRelayVersion, Form: "chunks", Chunked: true, Pending: []byte("\r\n"), Done: true})
	if err != nil {
		t.Fatal(err)
	}
	recorded.Check(t, "relay-done.txt", string(text)+"\n")
}
