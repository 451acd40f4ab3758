package msgpackrpc

import (
	"context"
	"net"
	"time"
)

// run dials, then writes and reads until the connection or ctx ends. It notifies the engine last, when neither this
// goroutine nor the reader uses the connection any more.
func (b *backendConn) run(ctx context.Context) {
	defer b.cancel()
	defer b.carrier.engine.Post(b.onEnded)
	addr, err := b.carrier.config.rpcAddr(b.backend.Addr)
	if err != nil {
		return
	}
	dialer := net.Dialer{Timeout: b.carrier.connectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // the connection ends even if this fails
	defer stop()
	readEnded := make(chan struct{})
	go func() {
		defer close(readEnded)
		defer b.cancel()
		b.readLoop(conn)
	}()
	b.writeLoop(ctx, conn)
	_ = conn.Close() // as above
	<-readEnded
}

// writeLoop writes what is queued until the connection or ctx ends.
func (b *backendConn) writeLoop(ctx context.Context, conn net.Conn) {
	for {
		queue := b.takeQueue()
		for _, p := range queue {
			if !b.write(conn, p) {
				return
			}
		}
		if len(queue) > 0 {
			continue
		}
		select {
		case <-b.wake:
		case <-ctx.Done():
			return
		}
	}
}

// write writes an attempt or a notification, and returns false if the connection can no longer be used.
func (b *backendConn) write(conn net.Conn, p *pendingAttempt) bool {
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // if this fails, so does the write
	if p.cancelMethod != "" {
		params := appendUint(appendArray(nil, 1), uint64(p.msgid))
		_, err := conn.Write(encodeNotification(p.cancelMethod, params))
		return err == nil
	}
	return b.writeAttempt(conn, p)
}

// writeAttempt writes an attempt, unless that has become pointless while it waited for the dial or for other writes: its
// backend is draining or removed, its client has disconnected, or its call has been answered.
func (b *backendConn) writeAttempt(conn net.Conn, p *pendingAttempt) bool {
	call := p.attempt.Call
	clientLeft := call != nil && call.ClientConnected != nil && !call.ClientConnected()
	if clientLeft || !b.backend.Ready() || !p.attempt.Permit.TryClaim() {
		b.carrier.engine.Post(func() { b.onNotSent(p, clientLeft) })
		return true
	}
	data := p.payload.encode(p.msgid, time.Until(p.attempt.Deadline))
	n, err := conn.Write(data)
	if n == len(data) {
		p.written.Store(true)
		p.attempt.MarkWritten()
		if p.payload.notification {
			b.carrier.engine.Post(func() { b.onNotificationSent(p) })
		}
	}
	return err == nil
}

// readLoop reads replies until the connection ends or a message is malformed. Calls and notifications from the backend
// are ignored.
func (b *backendConn) readLoop(conn net.Conn) {
	r := newMessageReader(conn, b.carrier.limits)
	for {
		m, complete, err := r.next()
		if err != nil {
			b.carrier.counters.MalformedStreams.Add(1)
			return
		}
		if complete {
			if m.kind == typeResponse {
				b.carrier.engine.Post(func() { b.onReply(m) })
			}
			continue
		}
		err = r.fill()
		if err != nil {
			return
		}
	}
}
