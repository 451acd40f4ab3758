package transport

import (
	"net"

	"github.com/rotisserie/eris"

	"marlreel/internal/sockets"
)

// ErrUnexpectedData says that a kept connection held data that belongs to no call, or had ended. Nothing was written:
// the call has not been made.
var ErrUnexpectedData = eris.New("the connection held bytes of no call")

// guardedConn is a connection on which each call begins with nothing left to be read: a backend may send more after a
// complete answer, and that would be read as the answer to the next call.
type guardedConn struct {
	net.Conn
	answered bool // something was read since the last write
}

// connectGuarded makes a guarded connection.
func (d dialer) connectGuarded(address string) (net.Conn, error) {
	conn, err := d.connect(address)
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: conn}, nil
}

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.answered = c.answered || n > 0
	return n, err
}

// Write implements net.Conn. Its error is ErrUnexpectedData where a call can't begin.
func (c *guardedConn) Write(p []byte) (int, error) {
	if c.answered && !sockets.Idle(c.Conn) {
		return 0, ErrUnexpectedData
	}
	c.answered = false
	return c.Conn.Write(p)
}
