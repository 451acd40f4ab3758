package fakesystem

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"marlreel/internal/sockets"
)

// EarlyStart makes a backend begin requests when it has received their heads, and end some of these before it has received
// their bodies.
type EarlyStart struct {
	// Share is the share of requests that begin early, Broken the share of these that end early.
	Share, Broken float64
	// Seed determines which requests these are and how they end.
	Seed uint64
}

// earlyEnd is how a request that has begun early goes on.
type earlyEnd int

// The ways. Those from earlyAnswer on end before the body was received.
const (
	answersAfterBody  earlyEnd = iota // it is answered after the body
	foreignAnswer                     // an answer to another request comes before the body, its own answer after it
	earlyAnswer                       // it is answered successfully
	earlyFailure                      // it is answered with an error
	earlyReset                        // its connection is reset
	earlyClose                        // its connection is closed
	earlySilence                      // nothing happens on its connection any more
	numberOfEarlyEnds = iota
)

// maxBreakDelay bounds the time between the start of a request and its early end.
const maxBreakDelay = 200 * time.Millisecond

// silencePollInterval is how often a silent backend checks whether its client has closed the connection.
const silencePollInterval = 50 * time.Millisecond

// SetEarlyStart changes when later requests begin. The zero value makes all of them begin after their bodies.
func (b *Backend) SetEarlyStart(start EarlyStart) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earlyStart = start
	b.startRandom = rand.New(rand.NewPCG(start.Seed, uint64(len(b.executions))))
}

// BrokenStarts returns how many requests have begun and ended before their bodies were received.
func (b *Backend) BrokenStarts() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.brokenStarts
}

// requestStart is how a request goes on that has begun early.
type requestStart struct {
	end   earlyEnd
	delay time.Duration // until it ends, if that is before its body was received
}

// endsBeforeBody reports whether the request ends before its body was received.
func (s requestStart) endsBeforeBody() bool { return s.end >= earlyAnswer }

// startEarly draws whether a request begins now that its head was received, and how it goes on then. The server calls it.
func (b *Backend) startEarly(header *fasthttp.RequestHeader) (none fasthttp.RequestConfig) {
	r := readModelRequest(header)
	if r.id == "" || b.isForOther(header) { // health checks, orders and the like have no ID
		return none
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.startRandom == nil || b.startRandom.Float64() >= b.earlyStart.Share || b.admission(r) != fasthttp.StatusOK {
		return none
	}
	var start requestStart
	if b.startRandom.Float64() < b.earlyStart.Broken {
		start.end = foreignAnswer + earlyEnd(b.startRandom.IntN(numberOfEarlyEnds-int(foreignAnswer)))
		start.delay = time.Duration(b.startRandom.Int64N(int64(maxBreakDelay)))
	}
	b.starts[r.id] = start
	b.recordExecution(r)
	return none
}

// takeStart returns how a request goes on that has begun early, or false.
func (b *Backend) takeStart(id string) (start requestStart, begun bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	start, begun = b.starts[id]
	delete(b.starts, id)
	return start, begun
}

// receiveBody reads the body of a request, and returns false if its connection broke before the end.
func receiveBody(ctx *fasthttp.RequestCtx) bool {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return true
	}
	n, err := io.Copy(io.Discard, stream)
	return err == nil && n >= int64(ctx.Request.Header.ContentLength())
}

// finishBody reads the body of a request that is about to be answered, if it has begun early.
func (b *Backend) finishBody(ctx *fasthttp.RequestCtx, begun bool) {
	if begun && !receiveBody(ctx) {
		ctx.Conn().Close()
	}
}

// endEarly ends a request that has begun, before its body was received.
func (b *Backend) endEarly(ctx *fasthttp.RequestCtx, id string, end earlyEnd) {
	b.mu.Lock()
	b.brokenStarts++
	b.mu.Unlock()
	conn := ctx.Conn()
	defer conn.Close() // so that the server's own answer is not sent
	switch end {
	case earlyAnswer, earlyFailure:
		status := "200 OK"
		if end == earlyFailure {
			status = "500 Failed"
		}
		if _, err := io.WriteString(conn, b.rawAnswer(status, id)); err == nil {
			receiveBody(ctx) // it reads on until its client closes the connection
		}
	case earlyReset:
		resetOnClose(conn)
	case earlySilence:
		for began := time.Now(); time.Since(began) < idleTimeout && sockets.PeerConnected(conn); {
			time.Sleep(silencePollInterval)
		}
	}
}

// rawAnswer returns an answer as it is sent.
func (b *Backend) rawAnswer(status, id string) string {
	body := answerOf(id)
	return fmt.Sprintf("HTTP/1.1 %s\r\nBackend-Id: %s\r\nRequest-Id: %s\r\nServer-Seal: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, b.cfg.ID, id, b.sealOf(id), len(body), body)
}

// resetOnClose makes the close of a connection a reset.
func resetOnClose(conn net.Conn) {
	if wrapped, ok := conn.(interface{ UnsafeConn() net.Conn }); ok {
		conn = wrapped.UnsafeConn()
	}
	if socket, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0) // fails only on a closed connection
	}
}
