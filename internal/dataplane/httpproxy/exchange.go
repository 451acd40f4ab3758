package httpproxy

import (
	"context"
	"net"
	"net/http"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/balancer/connections"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/process/budget"
)

const (
	maxBufferedBody     = 64 << 10 // bytes of a body that is buffered as a matter of course
	maxHead             = 16 << 10 // bytes
	maxInterimResponses = 8        // 1xx, before an answer
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
	clientConnected func() bool     // whether the client is still there; nil: that can't be seen
	memory          *budget.Budget
	receiving       bool          // deadline is not known yet
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
	reserved    int           // bytes acquired from the budget
	claimed     bool          // by who passes it on, and releases it then
	load        []float32
	brokeEarly  bool                // it broke before its last byte was written
	clientGone  bool                // the client was found to have disconnected: nothing was written
	surplus     bool                // an answer came on the connection out of turn
	connOutcome connections.Outcome // for the model of connections
}

// run carries the exchange out. It follows the table of outcomes in the package comment: until the last byte is written
// the request never ran; from then on it may have.
func (x *exchange) run(ctx context.Context, connectTimeout time.Duration, loadMetrics []string) (r Reply) {
	c := x.conn
	// An answer's surplus, or the end of the connection, may have come since it was taken from the pool. Surplus would be
	// read as the answer to this request.
	if c != nil && !c.reusable() {
		defer func(discarded *backendConn) { r.surplus = r.surplus || discarded.surplus }(c)
		c.Close()
		c = nil
	}
	if c != nil {
		c.used = true
	} else {
		x.dialled = true
		nc, err := x.connect(ctx, connectTimeout)
		if err != nil {
			return Reply{result: balancer.ConnectFailed}
		}
		c = newBackendConn(nc, nc)
	}
	if unsent, writes := x.checkBeforeWrite(); !writes {
		unsent.conn = c
		return unsent
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	began := time.Now()
	data := x.message.encode(x.dialect, x.backend, x.deadline.Sub(began)) // less what the dial has taken
	if x.message.upload != nil {
		r = c.sendUpload(ctx, x, data, loadMetrics)
		x.message.upload.endRead()
	} else {
		r = c.roundTrip(x, data, loadMetrics)
	}
	if r.result == balancer.Reset || r.brokeEarly {
		r.connOutcome = connections.Outcome{Broken: true, After: time.Since(began), Complete: !r.brokeEarly}
	}
	if !stop() {
		x.markCancelled(&r)
	}
	if r.conn == nil {
		c.Close()
	}
	r.surplus = c.surplus
	return r
}

// checkBeforeWrite is the last check before writing, as dialling took its time: the backend may be draining or gone by
// now, the request answered, or its client gone. Where it may be written, an upload has begun to be read.
func (x *exchange) checkBeforeWrite() (unsent Reply, writes bool) {
	unsent = Reply{result: balancer.NotSent}
	if !x.backend.Ready() || !x.permit.Available() {
		return unsent, false
	}
	up := x.message.upload
	if up != nil && !up.beginRead() {
		return unsent, false
	}
	if x.clientGone() {
		if up != nil {
			up.endRead()
		}
		unsent.clientGone = true
		return unsent, false
	}
	return Reply{}, true
}

// markCancelled gives an exchange its result whose context ended: the break is this side's, and says nothing of the
// backend or the connection.
func (x *exchange) markCancelled(r *Reply) {
	r.conn = nil
	if r.result != balancer.Reset {
		return
	}
	r.result, r.connOutcome = balancer.Cancelled, connections.Outcome{}
	if !time.Now().Before(x.deadline) {
		r.result = balancer.Timeout
	}
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

// clientGone tells whether the call's client has disconnected.
func (x *exchange) clientGone() bool { return x.clientConnected != nil && !x.clientConnected() }
