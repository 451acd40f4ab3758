package httpproxy

import (
	"context"
	"net"
	"time"

	"marlreel/internal/balancer"
)

// bodyWrite writes the rest of a request whose head has been written, while its answer is awaited: where a request starts
// after its head, a backend may answer before it has read a long body. It runs on its own goroutine, which ends at the
// latest when the connection is closed.
type bodyWrite struct {
	conn   net.Conn
	cancel context.CancelFunc // ends the wait for the next piece of an upload
	done   chan struct{}

	// Valid once done is closed.
	err        error // why the body was not written completely
	clientSide bool  // it was not received completely, which is no fault of the backend's
	clientGone bool  // with clientSide: the client was found to have disconnected
}

// startBodyWrite starts to write a body that is in memory.
func (c *backendConn) startBodyWrite(body []byte) *bodyWrite {
	w := &bodyWrite{conn: c.Conn, cancel: func() {}, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		_, w.err = w.conn.Write(body)
	}()
	return w
}

// answerGrace is how long an answer may still take after the body could not be written completely.
const answerGrace = stallTimeout / 10

// startUploadWrite starts to write the pieces of an upload as they arrive.
func (c *backendConn) startUploadWrite(ctx context.Context, x *exchange) *bodyWrite {
	ctx, cancel := context.WithCancel(ctx)
	w := &bodyWrite{conn: c.Conn, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		defer x.message.upload.endRead()
		w.err = w.writeUpload(ctx, x)
		switch {
		case w.clientSide: // the answer is of no use
			_ = c.Close()
		case w.err != nil && ctx.Err() == nil: // while the request is received, the wait for its answer has no deadline
			_ = c.SetReadDeadline(time.Now().Add(answerGrace))
		}
	}()
	return w
}

// writeUpload writes an upload to its end.
func (w *bodyWrite) writeUpload(ctx context.Context, x *exchange) error {
	u := x.message.upload
	chunked := u.announcedLength() < 0
	var at uploadCursor
	for {
		p, last, err := u.next(ctx, at)
		if err != nil {
			w.clientSide = ctx.Err() == nil
			return err
		}
		if last && x.clientGone() {
			w.clientSide, w.clientGone = true, true
			return errRequestOver
		}
		parts := pieceParts(p, last, chunked)
		_ = w.conn.SetWriteDeadline(time.Now().Add(stallTimeout))
		if ctx.Err() != nil { // stop was called, and this deadline may have replaced the one that it has set
			return ctx.Err()
		}
		if _, err := parts.WriteTo(w.conn); err != nil {
			return err
		}
		if last {
			return nil
		}
		u.advance(&at, len(p))
	}
}

// stop ends the write if it is still in progress, and reports whether the whole body was written. The connection has no
// deadline for writing afterwards.
func (w *bodyWrite) stop() bool {
	w.cancel()
	_ = w.conn.SetWriteDeadline(time.Unix(1, 0)) // in the past: a blocked write returns
	<-w.done
	_ = w.conn.SetWriteDeadline(time.Time{})
	return w.err == nil
}

// readAnswerDuring reads the answer to a request whose body is still being written. The answer ends the exchange, also if
// the backend has not read the body: its connection is closed then.
func (c *backendConn) readAnswerDuring(x *exchange, w *bodyWrite, report []string) Reply {
	r := c.readAnswer(x, report)
	if r.stream != nil {
		r.stream.request = w
		return r
	}
	if !w.stop() {
		r.conn = nil
	}
	if w.clientSide && (r.result == balancer.Reset || r.result == balancer.Timeout) {
		return Reply{result: balancer.Cancelled, clientGone: w.clientGone}
	}
	return r
}
