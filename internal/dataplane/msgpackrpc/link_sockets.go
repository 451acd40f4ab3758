package msgpackrpc

import (
	"context"
	"net"
	"time"
)

// run dials and writes until the connection ends, or ctx does. Then it tells the engine,
// when neither this goroutine nor the reader does anything any more.
func (l *backendConn) run(ctx context.Context) {
	defer l.cancel()
	defer l.carrier.engine.Post(l.onEnded)
	addr, err := l.carrier.config.rpcAddr(l.backend.Addr)
	if err != nil {
		return
	}
	dialer := net.Dialer{Timeout: l.carrier.connectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	read := make(chan struct{})
	go func() {
		defer close(read)
		defer l.cancel()
		l.readLoop(conn)
	}()
	l.writeLoop(ctx, conn)
	conn.Close()
	<-read
}

func (l *backendConn) writeLoop(ctx context.Context, conn net.Conn) {
	for {
		l.mu.Lock()
		queue := l.queue
		l.queue = nil
		l.mu.Unlock()
		for _, f := range queue {
			if !l.writeAttempt(conn, f) {
				return
			}
		}
		if len(queue) > 0 {
			continue
		}
		select {
		case <-l.wake:
		case <-ctx.Done():
			return
		}
	}
}

// writeAttempt writes one call, and tells whether the connection can carry more.
func (l *backendConn) writeAttempt(conn net.Conn, f *pendingAttempt) bool {
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if f.cancelMethod != "" {
		_, err := conn.Write(encodeNotification(f.cancelMethod, appendUint(appendArray(nil, 1), uint64(f.msgid))))
		return err == nil
	}
	// The last look before writing: it may have waited for the dial or for others. The
	// backend may be draining or gone by now, or the call answered.
	left := f.attempt.Call != nil && f.attempt.Call.ClientConnected != nil && !f.attempt.Call.ClientConnected()
	if left || !l.backend.Ready() || !f.attempt.Permit.TryClaim() {
		l.carrier.engine.Post(func() { l.onNotSent(f, left) })
		return true
	}
	data := f.payload.encode(f.msgid, time.Until(f.attempt.Deadline))
	n, err := conn.Write(data)
	if n == len(data) {
		f.written.Store(true)
		f.attempt.MarkWritten()
		if f.payload.notification {
			l.carrier.engine.Post(func() { l.onNotificationSent(f) })
		}
	}
	return err == nil
}

// readLoop takes replies until the connection ends or brings what can't be read.
func (l *backendConn) readLoop(conn net.Conn) {
	s := scanner{limits: l.carrier.limits}
	buf := make([]byte, 0, readBufferBytes)
	for {
		n, done, err := s.advance(buf)
		if err != nil {
			l.carrier.counters.MalformedStreams.Add(1)
			return
		}
		if done {
			m, err := parseMessage(append([]byte(nil), buf[:n]...)) // its parts live on
			if err != nil {
				l.carrier.counters.MalformedStreams.Add(1)
				return
			}
			if m.kind == typeResponse { // a backend's own calls and notifications concern nobody
				l.carrier.engine.Post(func() { l.onReply(m) })
			}
			buf = append(buf[:0], buf[n:]...)
			s.reset()
			continue
		}
		if buf, err = readMore(conn, buf, l.carrier.limits.MaxMessageBytes); err != nil {
			return
		}
	}
}

// readMore reads what is there behind buf, whose room grows with what has come, up to
// most and a little more.
func readMore(conn net.Conn, buf []byte, most int) ([]byte, error) {
	if len(buf) == cap(buf) {
		grown := make([]byte, len(buf), min(2*cap(buf), most+readBufferBytes))
		copy(grown, buf)
		buf = grown
	}
	n, err := conn.Read(buf[len(buf):cap(buf)])
	return buf[:len(buf)+n], err
}
