package httpproxy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/process/budget"
)

// pipeConn is the proxy's end of a connection without buffers: a write returns how many bytes the backend has read.
type pipeConn struct {
	net.Conn
	unread atomic.Bool // the backend has sent bytes, or has closed its end
}

// Write implements net.Conn. Nothing is written of no bytes, as on a socket.
func (c *pipeConn) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	return c.Conn.Write(p)
}

// Idle reports whether there is nothing to read. sockets.Idle calls it.
func (c *pipeConn) Idle() bool { return !c.unread.Load() }

// sending is a way of sending a request.
type sending struct {
	name                       string
	body                       int
	streaming, upload, chunked bool
}

var sendings = []sending{
	{name: "in one write", body: 100},
	{name: "in several writes", body: 5 * maxSingleWrite},
	{name: "with a streamed answer", body: 5 * maxSingleWrite, streaming: true},
	{name: "upload with a length", body: 3 * pieceSize, upload: true},
	{name: "upload in chunks", body: 3 * pieceSize, upload: true, chunked: true},
}

// attemptTrial is one attempt whose backend reads a given number of bytes and then does something.
type attemptTrial struct {
	t           *testing.T
	way         sending
	start       ExecutionStart
	holdback    time.Duration
	x           *exchange
	head        int // bytes of the request's head
	near        *pipeConn
	backend     net.Conn
	cancel      context.CancelFunc
	breakUpload chan struct{} // closed: the client breaks its upload off, half of which was received
	receiving   sync.WaitGroup
	breaks      bool // the upload waits for breakUpload after a half
}

// clientBody is the body of an upload whose end comes later than its bytes.
type clientBody struct {
	rest     []byte
	awaitEnd func() error
}

// Read implements io.Reader.
func (b *clientBody) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		return 0, b.awaitEnd()
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// trialDeadline is how long an attempt has.
const trialDeadline = 3 * time.Second

// begin builds the exchange and its connection.
func (a *attemptTrial) begin() context.Context {
	near, far := net.Pipe()
	a.near, a.backend = &pipeConn{Conn: near}, far
	dialect := platformDialect()
	if a.start == StartsAfterHead {
		dialect = identifiedDialect()
		dialect.ExecutionStart = StartsAfterHead
	}
	body := bytes.Repeat([]byte("x"), a.way.body)
	message := identifiedMessage("mine", body)
	message.Streaming = a.way.streaming
	a.breakUpload = make(chan struct{})
	if a.way.upload {
		message = &Message{Method: http.MethodPost, ID: "mine", Head: []byte("POST /bid HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: mine\r\n")}
		message.upload = a.newUpload(body)
	}
	a.x = &exchange{
		backend: engine.NewBackend("s-1", "10.0.0.1:80", true), permit: new(engine.Permit), dialect: dialect, message: message,
		deadline: time.Now().Add(trialDeadline), holdback: a.holdback,
		dial: func(context.Context, string) (net.Conn, error) { return a.near, nil },
	}
	a.head = len(message.encode(dialect, a.x.backend, trialDeadline)) - len(message.Body)
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	return ctx
}

func (a *attemptTrial) newUpload(body []byte) *upload {
	length := int64(len(body))
	if a.way.chunked {
		length = -1
	}
	u := newUpload(budget.New(1<<20), length)
	if err := u.open(context.Background()); err != nil {
		a.t.Fatal(err)
	}
	received := &clientBody{body, func() error { time.Sleep(uploadPause); return io.EOF }}
	if broken := a.breakUpload; a.breaks {
		received = &clientBody{body[:len(body)/2], func() error { <-broken; return io.ErrUnexpectedEOF }}
	}
	a.receiving.Go(func() {
		if err := u.fill(context.Background(), received, false); (err != nil) != a.breaks {
			a.t.Errorf("receiving the upload: %v", err)
		}
	})
	return u
}

// uploadPause is the time between the bytes of an upload and its end. While its end is unknown, an upload without a length is
// sent in chunks.
const uploadPause = 10 * time.Millisecond

// run carries the attempt out. The backend reads the given number of bytes, then act is called.
func (a *attemptTrial) run(reads int, act func()) Reply {
	ctx := a.begin()
	ended := make(chan Reply, 1)
	go func() { ended <- a.x.run(ctx, waitTimeout, nil) }()
	_, err := io.ReadFull(a.backend, make([]byte, reads))
	if err != nil {
		a.t.Fatalf("the backend has not got %d bytes: %v", reads, err)
	}
	synctest.Wait()
	act()
	r := <-ended
	a.finish(&r)
	return r
}

// finish ends what the attempt has left open. If the answer is a stream, the reply's connection is then the one that is kept
// after it.
func (a *attemptTrial) finish(r *Reply) {
	if r.stream != nil {
		r.body = []byte(bodyOf(a.t, r))
		r.conn = nil
		r.stream.returnConn = func(c *backendConn) { r.conn = c }
		r.stream.finish(true)
	}
	_ = a.near.Close()
	_ = a.backend.Close()
	a.cancel()
	a.receiving.Wait()
}

// encodedLength returns how many bytes a request has on the wire, and how many of them its head has.
func (a *attemptTrial) encodedLength() (total, head int) {
	ctx := a.begin()
	ended := make(chan Reply, 1)
	go func() { ended <- a.x.run(ctx, waitTimeout, nil) }()
	received := make(chan int64, 1)
	go func(backend net.Conn) {
		n, _ := io.Copy(io.Discard, backend) // it ends with the connection
		received <- n
	}(a.backend)
	time.Sleep(trialDeadline / 2)
	a.cancel()
	r := <-ended
	a.finish(&r)
	return int(<-received), a.head
}

// answers sends an answer and leaves the connection open.
func (a *attemptTrial) answers(text string) {
	a.near.unread.Store(true)
	backend := a.backend
	go func() { _, _ = io.WriteString(backend, text) }() // the proxy may close the connection before it has read it
}

// closes closes the backend's end.
func (a *attemptTrial) closes() {
	a.near.unread.Store(true)
	_ = a.backend.Close()
}

// trialEnd is a way in which an attempt can end, with its results.
type trialEnd struct {
	name string
	act  func(a *attemptTrial)
	// before and after are the results up to the byte with which the request may run, and from then on.
	before, after balancer.Result
	// answered says that the end is an answer: only a dialect whose answers carry ids takes it for the request's own while
	// the request is incomplete, and a single write doesn't notice it before that write has ended.
	answered bool
}

var trialEnds = []trialEnd{
	{"a close", (*attemptTrial).closes, balancer.NotSent, balancer.Reset, false},
	{"silence until the deadline", func(*attemptTrial) {}, balancer.NotSent, balancer.Timeout, false},
	{"withdrawal", func(a *attemptTrial) { a.x.permit.Revoke(); a.cancel() }, balancer.NotSent, balancer.Cancelled, false},
	{"a success", func(a *attemptTrial) { a.answers(identifiedAnswer("mine")) }, balancer.OK, balancer.OK, true},
	{"a rejection", func(a *attemptTrial) { a.answers(notRunMine) }, balancer.Rejected, balancer.Rejected, true},
	{"a failure", func(a *attemptTrial) { a.answers(failedMine) }, balancer.Error, balancer.Error, true},
	{"an answer to another request", func(a *attemptTrial) { a.answers(identifiedAnswer("other")) }, balancer.NotSent, balancer.Timeout, true},
	{"a part of an answer", func(a *attemptTrial) { a.answers("HTTP/1.1 20") }, balancer.Reset, balancer.Reset, true},
}

const (
	notRunMine = "HTTP/1.1 503 Busy\r\nRequest-Id: mine\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
	failedMine = "HTTP/1.1 500 Failed\r\nRequest-Id: mine\r\nContent-Length: 0\r\n\r\n"
)

var startNames = map[ExecutionStart]string{StartsAfterBody: "starts after the body", StartsAfterHead: "starts after the head"}

// stop is how much of a request a backend reads.
type stop struct {
	name  string
	reads func(head, total int) int
}

var stops = []stop{
	{"nothing", func(int, int) int { return 0 }},
	{"a part of the head", func(head, _ int) int { return head / 2 }},
	{"the head but for its last byte", func(head, _ int) int { return head - 1 }},
	{"the head", func(head, _ int) int { return head }},
	{"a part of the body", func(head, total int) int { return head + (total-head)/2 }},
	{"all but the last byte", func(_, total int) int { return total - 1 }},
	{"all", func(_, total int) int { return total }},
}

// Guards against an end that is taken as proof that a request has not run, though a backend may have begun it (review/4,
// issue 88): each end at each byte, for each way of sending a request and for both protocols.
func TestEndOfAnAttempt(t *testing.T) {
	t.Parallel()
	for _, start := range []ExecutionStart{StartsAfterBody, StartsAfterHead} {
		for _, way := range sendings {
			for _, holdback := range []time.Duration{0, time.Millisecond} {
				for _, where := range stops {
					for _, end := range trialEnds {
						name := fmt.Sprintf("%s/%s, held back %v/%s/%s", startNames[start], way.name, holdback, where.name, end.name)
						t.Run(name, func(t *testing.T) {
							synctest.Test(t, func(t *testing.T) {
								checkAttemptEnd(&attemptTrial{t: t, way: way, start: start, holdback: holdback}, where, end)
							})
						})
					}
				}
			}
		}
	}
}

func checkAttemptEnd(a *attemptTrial, where stop, end trialEnd) {
	total, head := a.encodedLength()
	runnable := a.runnableLength(total, head)
	reads := where.reads(head, total)
	if end.answered && reads < total && (a.start == StartsAfterBody || a.way.name == "in one write" || reads < runnable && a.holdback == 0) {
		checkEarlyAnswerByBytesAlone(a, reads, reads >= runnable, end)
		return
	}
	r := a.run(reads, func() { end.act(a) })
	want := end.before
	if reads >= runnable {
		want = end.after
	}
	if a.start == StartsAfterBody && end.name == "an answer to another request" {
		want = balancer.OK // its answers don't tell requests apart
	}
	sameProof := want == balancer.NotSent && r.result.NeverRan()
	if r.result != want && !sameProof {
		a.t.Errorf("the result is %d, want %d (a backend has read %d of %d bytes, and may run it from %d on)", r.result, want, reads, total, runnable)
	}
	if r.conn != nil && reads < total {
		a.t.Error("a connection is kept on which a request is incomplete")
	}
	if r.conn != nil && r.result != balancer.OK && r.result != balancer.Error && r.result != balancer.Rejected {
		a.t.Errorf("the connection is kept after result %d", r.result)
	}
	if blamed := r.connOutcome.Broken; blamed && (r.result == balancer.Cancelled || r.result == balancer.OK) {
		a.t.Errorf("the connection is blamed for result %d", r.result)
	}
	recordedAsBreak := r.connOutcome.Broken && r.connOutcome.Complete
	if r.result == balancer.Reset && !recordedAsBreak {
		a.t.Error("a break after which the request may have run isn't recorded as one")
	}
}

// runnableLength returns from how many bytes on an attempt counts as one that may run.
func (a *attemptTrial) runnableLength(total, head int) int {
	switch {
	case a.start == StartsAfterHead:
		return head
	case a.way.chunked:
		return total - len(chunkEnd(0, true)) + 1 // the last chunk is one write
	case a.way.upload:
		return total - pieceSize + 1 // so is the last piece
	}
	return total
}

// checkEarlyAnswerByBytesAlone checks an early answer that may go unnoticed: what matters is only that nothing is taken as
// proof without being one.
func checkEarlyAnswerByBytesAlone(a *attemptTrial, reads int, mayRun bool, end trialEnd) {
	r := a.run(reads, func() { end.act(a) })
	if mayRun && r.result.NeverRan() && end.after != balancer.Rejected {
		a.t.Errorf("result %d says that the request has not run, and it may have", r.result)
	}
	if r.conn != nil {
		a.t.Error("a connection is kept on which a request is incomplete")
	}
}

// Guards against a client whose upload breaks off and whose request then counts as one that has not run, or as the backend's
// failure.
func TestEndOfAnUploadByItsClient(t *testing.T) {
	t.Parallel()
	for _, chunked := range []bool{false, true} {
		for start, want := range map[ExecutionStart]balancer.Result{StartsAfterBody: balancer.NotSent, StartsAfterHead: balancer.Cancelled} {
			t.Run(fmt.Sprintf("%s, chunked %t", startNames[start], chunked), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					a := &attemptTrial{t: t, start: start, breaks: true, way: sending{body: 3 * pieceSize, upload: true, chunked: chunked}}
					ctx := a.begin()
					ended := make(chan Reply, 1)
					go func() { ended <- a.x.run(ctx, waitTimeout, nil) }()
					backend := a.backend
					go func() { _, _ = io.Copy(io.Discard, backend) }()
					time.Sleep(time.Second)
					close(a.breakUpload)
					r := <-ended
					if r.result != want || r.conn != nil || r.connOutcome.Broken {
						t.Errorf("the result is %d, want %d; connection kept: %t, blamed: %t", r.result, want, r.conn != nil, r.connOutcome.Broken)
					}
					if !a.x.message.upload.beginReadAgain() {
						t.Error("the attempt still reads the upload")
					}
					a.finish(&r)
				})
			})
		}
	}
}

// beginReadAgain reports whether no attempt reads the upload.
func (u *upload) beginReadAgain() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.readers == 0
}

// Guards against losing a long unsafe request to a connection that was closed while idle: while its body was written, the
// break used to show before the request could run; where it may run after its head, the head is held back for that.
func TestLongRequestsOnUsedConnectionsAreHeldBack(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t)
	afterHead := identifiedDialect()
	afterHead.ExecutionStart = StartsAfterHead
	for _, c := range []struct {
		name     string
		dialect  *Dialect
		used     bool
		body     int
		heldBack bool
	}{
		{"long, used connection", afterHead, true, maxBufferedBody + 1, true},
		{"long, new connection", afterHead, false, maxBufferedBody + 1, false},
		{"short, used connection", afterHead, true, maxBufferedBody, false},
		{"it may run after its body", platformDialect(), true, maxBufferedBody + 1, false},
	} {
		x := &exchange{backend: engine.NewBackend("s-1", "10.0.0.1:80", true), dialect: c.dialect, message: identifiedMessage("mine", make([]byte, c.body))}
		if c.used {
			x.conn = newBackendConn(nil, nil)
		}
		if got := l.carrier.holdback(x, l.Now()); (got > 0) != c.heldBack {
			t.Errorf("%s: held back for %v", c.name, got)
		}
	}
}
