package msgpackrpc

import "net"

// readBufferBytes is the size of a connection's read buffer at first; it grows with a message that is longer.
const readBufferBytes = 4 << 10

// messageReader reads the messages of a connection.
type messageReader struct {
	conn    net.Conn
	scanner scanner
	buffer  []byte // what has come of the next message, and of those behind it
}

func newMessageReader(conn net.Conn, limits Limits) *messageReader {
	return &messageReader{conn: conn, scanner: scanner{limits: limits}, buffer: make([]byte, 0, readBufferBytes)}
}

// next returns the next message and true if all of it has come. The message has bytes of its own. After an error
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

// isEmpty says that nothing of the next message has come.
func (r *messageReader) isEmpty() bool { return len(r.buffer) == 0 }

// fill waits for bytes and reads what is there. The buffer grows with what has come, to a little more than the
// longest message.
func (r *messageReader) fill() error {
	if len(r.buffer) == cap(r.buffer) {
		capacity := min(2*cap(r.buffer), r.scanner.limits.MaxMessageBytes+readBufferBytes)
		grown := make([]byte, len(r.buffer), capacity)
		copy(grown, r.buffer)
		r.buffer = grown
	}
	n, err := r.conn.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+n]
	return err
}
