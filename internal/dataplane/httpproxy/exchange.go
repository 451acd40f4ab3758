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
	maxBufferedBody     = 64 << 10 // bytes; bodies up to this size are buffered completely
	maxHead             = 16 << 10 // bytes
	maxInterimResponses = 8        // 1xx responses before the final answer
	headerLoad          = "X-Backend-Load"
	headerTimeout       = "X-Time-Left"
)

// exchange is one attempt or health check that is being carried out.
type exchange struct {
	backend  *engine.Backend
	conn     *backendConn // the idle connection to use; nil: dial
	message  *Message
	dialect  *Dialect
	dial     func(ctx context.Context, address string) (net.Conn, error) // nil: net.Dialer
	deadline time.Time
	permit   *engine.Permit

	attempt         *engine.Attempt // notified when the request may run; nil for a health check
	clientConnected func() bool     // whether the client is still connected; nil: unknown
	memory          *budget.Budget
	receiving       bool          // the request is still being received, and its deadline is not known yet
	holdback        time.Duration // how long the byte with which the request may run is held back; 0: not at all
	dialled         bool          // run opened a new connection
}

// Reply is the outcome of an exchange. If conn is nil, the connection is closed.
type Reply struct {
	result      balancer.Result
	status      int
	conn        *backendConn
	header      http.Header
	body        []byte
	stream      *answerStream // the body if it is streamed; body is empty then
	events      bool          // the body is forwarded event by event
	reserved    int           // bytes acquired from the budget
	claimed     bool          // a front has taken it over and releases it
	load        []float32
	brokeEarly  bool                // the connection broke before the request could run
	clientGone  bool                // the request was not sent completely, since its client has disconnected
	surplus     bool                // an answer that no request asked for came on the connection
	connOutcome connections.Outcome // for the connection model
}

// run carries out the exchange. The package comment lists the outcomes; the dialect's ExecutionStart says from which byte on
// the request may have run.
func (x *exchange) run(ctx context.Context, connectTimeout time.Duration, loadMetrics []string) (r Reply) {
	c := x.conn
	// A surplus answer, or the end of the connection, may have arrived since it was taken from the pool. The surplus answer
	// would be read as the answer to this request.
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
	data := x.message.encode(x.dialect, x.backend, x.deadline.Sub(began)) // minus the time for dialing
	if x.message.upload != nil {
		r = c.sendUpload(ctx, x, data, loadMetrics)
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

// checkBeforeWrite is the last check before writing. While the connection was dialed, the backend may have started to
// drain or left, the request may have been answered, or its client may have disconnected. If the request may be written,
// the reading of its upload has begun.
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

// markCancelled corrects the result of an exchange whose context ended: this process closed the connection, which says
// nothing about the backend or the connection.
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

// connect dials the backend.
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

// clientGone reports whether the call's client has disconnected.
func (x *exchange) clientGone() bool { return x.clientConnected != nil && !x.clientConnected() }
