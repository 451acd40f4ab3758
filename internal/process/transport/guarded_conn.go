package transport

import (
	"net"

	"github.com/rotisserie/eris"

	"marlreel/internal/sockets"
)

// ErrUnexpectedData means that a reused connection had unread data that belongs to no call, or was closed. Nothing was
// written, so the call has not been sent.
var ErrUnexpectedData = eris.New("the reused connection has unexpected data or was closed; call not sent")

// guardedConn is a connection on which a call begins only if there is no unread data: a backend may send more after a
// complete response, which would be read as the response to the next call.
type guardedConn struct {
	net.Conn
	answered bool // data was read since the last write
}

// connectGuarded connects and returns a guardedConn.
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

// Write implements net.Conn. It returns ErrUnexpectedData if it would begin a call on a connection that isn't idle.
func (c *guardedConn) Write(p []byte) (int, error) {
	if c.answered && !sockets.Idle(c.Conn) {
		return 0, ErrUnexpectedData
	}
	c.answered = false
	return c.Conn.Write(p)
}
