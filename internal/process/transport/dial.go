package transport

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// dialTimeout bounds the time to connect to another system.
	dialTimeout = time.Second
	// peerDialTimeout bounds the time to connect to a process of the system: a few round trips between regions. A machine
	// without power sends no answer, and TCP would resend a lost packet only after a second: another attempt, or an attempt
	// at another process, is faster.
	peerDialTimeout = 250 * time.Millisecond
)

// DialFunc connects to an address, HOST:PORT.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// dialer connects within a timeout. fasthttp passes no context to its dial function, and a call waits for its dial, so a
// call may end up to the timeout after its deadline.
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
