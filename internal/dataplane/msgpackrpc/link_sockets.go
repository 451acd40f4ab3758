package msgpackrpc

import (
	"context"
	"net"
	"time"
)

// run dials and writes until the connection ends, or ctx does. Then it tells the engine,
// when neither this goroutine nor the reader does anything any more.
func (l *link) run(ctx context.Context) {
	defer l.cancel()
	defer l.of.engine.Post(l.broke)
	addr, err := l.of.cfg.addr(l.backend.Addr)
	if err != nil {
		return
	}
	dialer := net.Dialer{Timeout: l.of.connectTimeout}
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
		l.read(conn)
	}()
	l.write(ctx, conn)
	conn.Close()
	<-read
}

func (l *link) write(ctx context.Context, conn net.Conn) {
	for {
		l.mu.Lock()
		queue := l.queue
		l.queue = nil
		l.mu.Unlock()
		for _, f := range queue {
			if !l.send(conn, f) {
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

// send writes one call, and tells whether the connection can carry more.
func (l *link) send(conn net.Conn, f *flight) bool {
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if f.note != "" {
		_, err := conn.Write(appendNotification(nil, f.note, appendUint(appendArray(nil, 1), uint64(f.id))))
		return err == nil
	}
	// The last look before writing: it may have waited for the dial or for others. The
	// backend may be draining or gone by now, or the call answered.
	left := f.a.Call != nil && f.a.Call.ClientConnected != nil && !f.a.Call.ClientConnected()
	if left || !l.backend.Ready() || !f.a.Permit.TryClaim() {
		l.of.engine.Post(func() { l.moot(f, left) })
		return true
	}
	data := f.body.encode(f.id, time.Until(f.a.Deadline))
	n, err := conn.Write(data)
	if n == len(data) {
		f.sent.Store(true)
		f.a.MarkWritten()
		if f.body.notify {
			l.of.engine.Post(func() { l.notified(f) })
		}
	}
	return err == nil
}

// read takes replies until the connection ends or brings what can't be read.
func (l *link) read(conn net.Conn) {
	s := scanner{limits: l.of.limits}
	buf := make([]byte, 0, readStep)
	for {
		n, done, err := s.next(buf)
		if err != nil {
			l.of.counts.BadStreams.Add(1)
			return
		}
		if done {
			m, err := parse(append([]byte(nil), buf[:n]...)) // its parts live on
			if err != nil {
				l.of.counts.BadStreams.Add(1)
				return
			}
			if m.kind == typeResponse { // a backend's own calls and notifications concern nobody
				l.of.engine.Post(func() { l.replied(m) })
			}
			buf = append(buf[:0], buf[n:]...)
			s.reset()
			continue
		}
		if buf, err = readMore(conn, buf, l.of.limits.Message); err != nil {
			return
		}
	}
}

// readMore reads what is there behind buf, whose room grows with what has come, up to
// most and a little more.
func readMore(conn net.Conn, buf []byte, most int) ([]byte, error) {
	if len(buf) == cap(buf) {
		grown := make([]byte, len(buf), min(2*cap(buf), most+readStep))
		copy(grown, buf)
		buf = grown
	}
	n, err := conn.Read(buf[len(buf):cap(buf)])
	return buf[:len(buf)+n], err
}
