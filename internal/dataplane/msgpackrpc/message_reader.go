package msgpackrpc

import "net"

// readBufferBytes is the initial size of a connection's read buffer, which grows for longer messages.
const readBufferBytes = 4 << 10

// messageReader reads the messages of a connection.
type messageReader struct {
	conn    net.Conn
	scanner scanner
	buffer  []byte // what has arrived of the next message and of later ones
}

func newMessageReader(conn net.Conn, limits Limits) *messageReader {
	return &messageReader{conn: conn, scanner: scanner{limits: limits}, buffer: make([]byte, 0, readBufferBytes)}
}

// next returns the next message and true if all of it has arrived. The message does not share the buffer. After an error
// nothing more can be read.
func (r *messageReader) next() (message, bool, error) {
	n, complete, err := r.scanner.advance(r.buffer)
	if err != nil || !complete {
		return message{}, false, err
	}
	m, err := parseMessage(append([]byte(nil), r.buffer[:n]...))
	r.buffer = append(r.buffer[:0], r.buffer[n:]...)
	r.scanner.reset()
	return m, err == nil, err
}

// isEmpty reports whether nothing of the next message has arrived.
func (r *messageReader) isEmpty() bool { return len(r.buffer) == 0 }

// fill waits for bytes and reads them into the buffer. The buffer grows only when it is full, up to readBufferBytes more
// than the longest message. If the end of the connection comes together with bytes, the next call returns it.
func (r *messageReader) fill() error {
	if len(r.buffer) == cap(r.buffer) {
		capacity := min(2*cap(r.buffer), r.scanner.limits.MaxMessageBytes+readBufferBytes)
		grown := make([]byte, len(r.buffer), capacity)
		copy(grown, r.buffer)
		r.buffer = grown
	}
	n, err := r.conn.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+n]
	if n > 0 {
		return nil
	}
	return err
}
