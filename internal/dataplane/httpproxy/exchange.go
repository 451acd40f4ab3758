package httpproxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/balancer/connections"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/process/budget"
)

const (
	maxBufferedBody     = 64 << 10
	maxHead             = 16 << 10
	maxInterimResponses = 8
	headerLoad          = "X-Backend-Load"
	headerTimeout       = "X-Time-Left"
)

// exchange is one attempt or health check on its way.
type exchange struct {
	backend  *engine.Backend
	conn     *backendConn // an idle one to use; nil: dial
	message  *Message
	dialect  *Dialect
	dial     func(ctx context.Context, address string) (net.Conn, error) // nil: the machine's own
	deadline time.Time
	permit   *engine.Permit

	attempt         *engine.Attempt // is notified when the last byte is written; nil is a health check
	clientConnected func() bool     // whether who asked is still there; nil: that can't be seen
	memory          *budget.Budget
	receiving       bool          // until is not known yet
	holdback        time.Duration // how long the last byte is kept back; 0 is not at all
	dialled         bool          // run opened a new connection
}

// Reply is how an exchange ended. A nil conn says that the connection is gone.
type Reply struct {
	result      balancer.Result
	status      int
	conn        *backendConn
	header      http.Header
	body        []byte
	stream      *answerStream // what follows; body is empty then
	reserved    int           // bytes taken from the budget
	claimed     bool          // by who passes it on, and releases it then
	load        []float32
	brokeEarly  bool                // it broke before its last byte was written
	clientGone  bool                // who asked was found to have gone: nothing was written
	connOutcome connections.Outcome // for the model of connections
}

// run carries the exchange out. It follows the protocol's table of outcomes:
// until the last byte is written the request never ran; from then on it may have.
func (x *exchange) run(ctx context.Context, connectTimeout time.Duration, report []string) Reply {
	c := x.conn
	// An answer's surplus, or the end of the connection, may have come since it was
	// taken from the pool. Surplus would be read as the answer to this request.
	if c != nil && !c.reusable() {
		c.Close()
		c = nil
	}
	if c == nil {
		x.dialled = true
		nc, err := x.connect(ctx, connectTimeout)
		if err != nil {
			return Reply{result: balancer.ConnectFailed}
		}
		c = &backendConn{Conn: nc, readLimit: &io.LimitedReader{R: nc}}
		c.reader = bufio.NewReader(c.readLimit)
	}
	// The last look before writing: dialling took its time. The backend may be
	// draining or gone by now, the request answered, or its client gone.
	if up := x.message.upload; !x.backend.Ready() || !x.permit.Available() || up != nil && !up.beginRead() {
		return Reply{result: balancer.NotSent, conn: c}
	}
	if x.clientGone() {
		if x.message.upload != nil {
			x.message.upload.endRead()
		}
		return Reply{result: balancer.NotSent, conn: c, clientGone: true}
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	began := time.Now()
	data := x.message.encode(x.dialect, x.backend, x.deadline.Sub(began)) // what a dial has taken is no longer there
	var r Reply
	if x.message.upload != nil {
		r = c.sendUpload(ctx, x, data, report)
		x.message.upload.endRead()
	} else {
		r = c.roundTrip(x, data, report)
	}
	if r.result == balancer.Reset || r.brokeEarly {
		r.connOutcome = connections.Outcome{Broken: true, After: time.Since(began), Complete: !r.brokeEarly}
	}
	if !stop() {
		r.conn = nil
		if r.result == balancer.Reset { // it was called off: the break is this side's, and says nothing
			r.result, r.connOutcome = balancer.Cancelled, connections.Outcome{}
			if !time.Now().Before(x.deadline) {
				r.result = balancer.Timeout
			}
		}
	}
	if r.conn == nil {
		c.Close()
	}
	return r
}

// connect makes a connection to the backend.
func (x *exchange) connect(ctx context.Context, timeout time.Duration) (net.Conn, error) {
	if x.dial == nil {
		dialer := net.Dialer{Timeout: timeout, Deadline: x.deadline}
		return dialer.DialContext(ctx, "tcp", x.backend.Addr)
	}
	until := time.Now().Add(timeout)
	if x.deadline.Before(until) {
		until = x.deadline
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	return x.dial(ctx, x.backend.Addr)
}

// clientGone tells whether who asked has left.
func (x *exchange) clientGone() bool { return x.clientConnected != nil && !x.clientConnected() }
