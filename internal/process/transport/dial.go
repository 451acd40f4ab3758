package transport

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// dialTimeout bounds the making of a connection to another system.
	dialTimeout = time.Second
	// peerDialTimeout bounds the making of a connection to a process of the system: some round trips between
	// regions. A machine without power answers nothing; a packet that was lost would be sent again after a second
	// only, and another attempt, or another process, is sooner.
	peerDialTimeout = 250 * time.Millisecond
)

// DialFunc makes a connection to an address, a host and a port.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// dialer makes connections within a timeout. fasthttp gives no context to dial by, and a call waits for its dial: the timeout can end a call later than its deadline.
type dialer struct {
	dial    DialFunc
	timeout time.Duration
}

var _ fasthttp.DialFunc = dialer{}.connect

func (d dialer) connect(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), d.timeout)
	defer cancel()
	return d.dial(ctx, address)
}
