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
	startsAfterBody   earlyEnd = iota // it doesn't begin early
	answersAfterBody                  // it is answered after the body
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

// drawStart draws when a request begins, and how it goes on.
func (b *Backend) drawStart() (end earlyEnd, delay time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.startRandom == nil || b.startRandom.Float64() >= b.earlyStart.Share {
		return startsAfterBody, 0
	}
	if b.startRandom.Float64() >= b.earlyStart.Broken {
		return answersAfterBody, 0
	}
	end = foreignAnswer + earlyEnd(b.startRandom.IntN(numberOfEarlyEnds-int(foreignAnswer)))
	return end, time.Duration(b.startRandom.Int64N(int64(maxBreakDelay)))
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

// finishBody reads the body of a request that has begun early and is about to be answered.
func (b *Backend) finishBody(ctx *fasthttp.RequestCtx, end earlyEnd) {
	if end != startsAfterBody && !receiveBody(ctx) {
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
