package msgpackrpc

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/testutil"
)

// replyEnds are the ways in which a backend ends a reply. A reply has neither chunks nor an end by close: it is complete when
// all values that its header announces are there.
var replyEnds = map[string]struct {
	cut  int // bytes of the reply that are missing
	end  func(c *net.TCPConn)
	want engine.Verdict
}{
	"length reached":           {0, nil, engine.Served},
	"length reached, closed":   {0, func(c *net.TCPConn) { _ = c.Close() }, engine.Served},
	"closed before the length": {1, func(c *net.TCPConn) { _ = c.Close() }, engine.Failed},
	"closed after one byte":    {-1, func(c *net.TCPConn) { _ = c.Close() }, engine.Failed},
	"reset before the length":  {1, func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }, engine.Failed},
	"silent before the length": {1, nil, engine.Failed}, // its attempt times out before the call
}

// endingBackend starts a backend that answers each call with a reply that lacks cut bytes, or all but one if cut is negative.
func endingBackend(t *testing.T, cut int, end func(c *net.TCPConn)) (address string) {
	t.Helper()
	return testutil.RawBackend(t, func(c net.Conn, _ *bufio.Reader) { answerAndEnd(c.(*net.TCPConn), cut, end) })
}

// answerAndEnd answers the first call on a connection, and ends the reply.
func answerAndEnd(c *net.TCPConn, cut int, end func(c *net.TCPConn)) {
	r := newMessageReader(c, wideLimits)
	for {
		m, complete, err := r.next()
		if err != nil {
			return
		}
		if !complete {
			if err := r.fill(); err != nil {
				return
			}
			continue
		}
		data := appendResponse(nil, m.id, nilValue, m.params)
		length := len(data) - cut
		if cut < 0 {
			length = 1
		}
		if _, err := c.Write(data[:length]); err != nil {
			return
		}
		if end != nil {
			end(c)
			return
		}
	}
}

// answeredCall is a call that passes its answer on.
type answeredCall struct {
	engine.Call
	answers chan engine.Answer
}

// HandleAnswer implements engine.Front.
func (c *answeredCall) HandleAnswer(_ *engine.Call, a engine.Answer) { c.answers <- a }

// Guards against a reply that ended early and counts as complete: each way in which one can end.
func TestEndOfAReply(t *testing.T) {
	t.Parallel()
	for name, c := range replyEnds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const unsafeClass = 1
			m := newManualEngine(t, nil, readyEntry(endingBackend(t, c.cut, c.end)))
			call := &answeredCall{answers: make(chan engine.Answer, 1)}
			call.Call = engine.Call{
				Carrier: m.carrier, Front: call, Payload: &payload{method: "m", args: []byte{7}, count: 1},
				Request: balancer.Request{Class: unsafeClass, Deadline: m.Now() + 500*time.Millisecond},
			}
			ctx, stop := context.WithCancel(t.Context())
			defer func() { stop(); <-m.Done() }()
			go m.Run(ctx)
			m.Post(func() { m.HandleCall(&call.Call, m.Now()) })
			got := testutil.Receive(t, call.answers, "the answer")
			is.Equal(got.Verdict, c.want)
			if c.want == engine.Served {
				is.Equal(got.Reply.(*reply).result, []byte{0x91, 7})
				return
			}
			is.True(got.Reply == nil) // nothing of a reply that ended early reaches a client
		})
	}
}

// lastRead is a connection that returns all its data together with its end.
type lastRead struct {
	net.Conn
	data []byte
}

// Read implements net.Conn.
func (l *lastRead) Read(p []byte) (int, error) {
	n := copy(p, l.data)
	l.data = l.data[n:]
	return n, io.EOF
}

// Guards against a reply that is lost because the end of the connection comes in the read that brings the reply.
func TestReplyInTheReadOfTheEnd(t *testing.T) {
	is := is.New(t)
	r := newMessageReader(&lastRead{data: appendResponse(nil, 5, nilValue, []byte{0x91, 7})}, wideLimits)
	is.NoErr(r.fill())
	m, complete, err := r.next()
	is.NoErr(err)
	is.True(complete)
	is.Equal(m.id, uint32(5))
	is.Equal(r.fill(), io.EOF)
}
