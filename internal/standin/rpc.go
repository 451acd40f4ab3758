package standin

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// The stand-ins encode MessagePack-RPC with a separate library, so that the daemon's
// codec is not checked against itself.

// rpcConn is a caller's connection to a node.
type rpcConn struct {
	node *Node
	conn net.Conn
	path Path
	full bool          // it exceeds NodeConfig.Connections
	gone chan struct{} // closed when the caller has left

	writes  sync.Mutex // serializes responses
	mu      sync.Mutex
	cancels map[uint32]chan struct{} // by open call, closed when the call is cancelled
}

// rpcCall is a decoded call or notification.
type rpcCall struct {
	notification bool
	id           uint32
	method       string
	params       any
}

// cancelMethod is the notification that cancels a call.
const cancelMethod = "$cancel"

// serveRPC reads a connection's calls and answers each when it is done. The part of the
// method name after the last dot is the class; the last parameter holds the metadata.
func (n *Node) serveRPC(c net.Conn, p Path, full bool) {
	defer n.forget(c)
	r := &rpcConn{node: n, conn: c, path: p, full: full, gone: make(chan struct{}), cancels: map[uint32]chan struct{}{}}
	var calls sync.WaitGroup
	defer calls.Wait()
	defer close(r.gone)
	d := msgpack.NewDecoder(c)
	fresh := true
	for {
		v, err := d.DecodeSlice()
		if err != nil {
			n.keepIfVanished(c)
			return
		}
		whole := n.cfg.Clock.Now() + p.Delay
		if n.Vanished() {
			n.keepIfVanished(c) // as if its bytes had never arrived
			return
		}
		q, ok := parseRPC(v)
		if !ok {
			return
		}
		if q.method == cancelMethod {
			r.cancelCall(q)
			continue
		}
		s, left := r.send(q, whole)
		s.Fresh, fresh = fresh, false
		stop := r.opened(q.id)
		calls.Go(func() { r.answer(q, s, left, stop) })
	}
}

// parseRPC parses a message, and returns false if it is not one that a caller may send.
func parseRPC(v []any) (rpcCall, bool) {
	kind, ok := number(at(v, 0))
	switch {
	case !ok || kind == 0 && len(v) != 4 || kind == 2 && len(v) != 3:
		return rpcCall{}, false
	case kind == 0:
		id, _ := number(at(v, 1))
		method, _ := at(v, 2).(string)
		return rpcCall{id: uint32(id), method: method, params: at(v, 3)}, true
	}
	method, _ := at(v, 1).(string)
	return rpcCall{notification: kind == 2, method: method, params: at(v, 2)}, true
}

// send returns the journal record of a call, and the time it has left.
func (r *rpcConn) send(q rpcCall, whole time.Duration) (*Send, time.Duration) {
	list, _ := q.params.([]any)
	meta, _ := at(list, len(list)-1).(map[string]any)
	field := func(key string) string { s, _ := meta[key].(string); return s }
	leftMS, _ := meta["$left_ms"].(float64)
	n := r.node
	s := &Send{
		Node: n.cfg.ID, Zone: n.cfg.Zone, Proxy: r.path.Proxy, ID: field("$id"), Key: field("$key"),
		Class: q.method[strings.LastIndexByte(q.method, '.')+1:], Began: whole - r.path.Delay, Whole: whole, CrossesZone: r.path.Cross,
	}
	return s, time.Duration(leftMS * float64(time.Millisecond))
}

// opened registers an open call and returns a channel that is closed when the call is cancelled.
func (r *rpcConn) opened(id uint32) chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	stop := make(chan struct{})
	r.cancels[id] = stop
	return stop
}

// ended removes an open call.
func (r *rpcConn) ended(id uint32, stop chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancels[id] == stop {
		delete(r.cancels, id)
	}
}

// cancelCall cancels the call that a notification names.
func (r *rpcConn) cancelCall(q rpcCall) {
	list, _ := q.params.([]any)
	id, ok := number(at(list, 0))
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if stop := r.cancels[uint32(id)]; stop != nil {
		close(stop)
		delete(r.cancels, uint32(id))
	}
}

// answer processes a call and sends its response.
func (r *rpcConn) answer(q rpcCall, s *Send, left time.Duration, stop chan struct{}) {
	n := r.node
	time.Sleep(r.path.Delay)
	over := make(chan struct{})
	end := n.process(s, left, r.full, s.ID != "", r.cancelled(stop, over))
	close(over)
	r.ended(q.id, stop)
	if q.notification {
		if end == endServed || end == endFailed {
			n.cfg.Journal.end(s, "", http.StatusOK, n.cfg.Clock.Now())
		}
		return
	}
	a, answered := n.rpcAnswer(s, end)
	if !answered { // as over HTTP, an expired call gets no response
		return
	}
	time.Sleep(r.path.Delay)
	if n.Vanished() {
		return
	}
	n.cfg.Journal.end(s, a.effect, a.status, n.cfg.Clock.Now())
	data, err := msgpack.Marshal([]any{1, q.id, a.problem, a.result})
	if err != nil {
		return
	}
	if end == endServed && n.spoils(s) {
		data = []byte{0xc1, 0xff, 0x00} // not valid MessagePack
	}
	r.write(data)
}

// cancelled returns a channel that is closed when the caller disconnects or cancels the
// call, unless the call is over first.
func (r *rpcConn) cancelled(stop, over chan struct{}) <-chan struct{} {
	merged := make(chan struct{})
	go func() {
		select {
		case <-r.gone:
		case <-stop:
		case <-over:
			return
		}
		close(merged)
	}()
	return merged
}

func (r *rpcConn) write(data []byte) {
	r.writes.Lock()
	defer r.writes.Unlock()
	r.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	r.conn.Write(data)
}

// rpcAnswer is the response to a call, and its status and effect for the journal.
type rpcAnswer struct {
	problem, result any
	status          int
	effect          string
}

// rpcAnswer returns the response for the outcome of a call, and false if there is none.
func (n *Node) rpcAnswer(s *Send, end ending) (rpcAnswer, bool) {
	switch end {
	case endServed:
		return rpcAnswer{result: n.body(s), status: http.StatusOK}, true
	case endFailed:
		return rpcAnswer{problem: map[string]any{"$failed": true, "message": "error"}, status: http.StatusInternalServerError, effect: Failed}, true
	case endFull, endExpiredQueued:
		return rpcAnswer{problem: map[string]any{"$unprocessed": true, "message": "full"}, status: http.StatusServiceUnavailable, effect: TurnedAway}, true
	case endUnknown:
		return rpcAnswer{problem: "no caller's call", status: http.StatusBadRequest}, true
	}
	return rpcAnswer{}, false
}

// spoils reports whether the response to a request is to be corrupted.
func (n *Node) spoils(s *Send) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.spoilt > 0 && chance(s.ID, n.cfg.ID, "spoil") < n.spoilt
}

// at returns an element of a list, or nil if the index is out of range.
func at(list []any, i int) any {
	if i < 0 || i >= len(list) {
		return nil
	}
	return list[i]
}

func number(v any) (uint64, bool) {
	switch n := v.(type) {
	case int8:
		return uint64(n), n >= 0
	case int16:
		return uint64(n), n >= 0
	case int32:
		return uint64(n), n >= 0
	case int64:
		return uint64(n), n >= 0
	case uint8:
		return uint64(n), true
	case uint16:
		return uint64(n), true
	case uint32:
		return uint64(n), true
	case uint64:
		return n, true
	}
	return 0, false
}

// RPCAnswer is the response to a call, or the error that ended its connection.
type RPCAnswer struct {
	At     time.Time
	Error  any // from the response; nil if the call was served
	Result any
	Err    error // set if the connection ended without a response
}

// Code returns the code of an error that the proxy itself made; "" if there is none.
func (a RPCAnswer) Code() string {
	m, _ := a.Error.(map[string]any)
	s, _ := m["code"].(string)
	return s
}

// RPCClient is a caller that multiplexes its calls over one connection.
type RPCClient struct {
	conn   net.Conn
	writes sync.Mutex
	mu     sync.Mutex
	last   uint32
	open   map[uint32]chan RPCAnswer
	err    error
	Extra  int      // responses that match no open call
	Notes  []string // methods of received notifications
	done   chan struct{}
}

// ErrClosed is the error of calls whose connection has ended.
var ErrClosed = errors.New("RPC connection ended")

// NewRPCClient returns a caller that uses a connection.
func NewRPCClient(c net.Conn) *RPCClient {
	r := &RPCClient{conn: c, open: map[uint32]chan RPCAnswer{}, done: make(chan struct{})}
	go r.read()
	return r
}

// Call sends a call. It returns a channel for the response, and whether the call was written completely.
func (r *RPCClient) Call(method string, params ...any) (<-chan RPCAnswer, bool) {
	answer := make(chan RPCAnswer, 1)
	r.mu.Lock()
	if r.err != nil {
		answer <- RPCAnswer{Err: r.err, At: time.Now()}
		r.mu.Unlock()
		return answer, false
	}
	r.last++
	id := r.last
	r.open[id] = answer
	r.mu.Unlock()
	return answer, r.write([]any{0, id, method, params}) == nil
}

// Notify sends a notification.
func (r *RPCClient) Notify(method string, params ...any) error {
	return r.write([]any{2, method, params})
}

func (r *RPCClient) write(v []any) error {
	data, err := msgpack.Marshal(v)
	if err != nil {
		return err
	}
	r.writes.Lock()
	defer r.writes.Unlock()
	r.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err = r.conn.Write(data)
	return err
}

// Forget removes an open call, so that a later response to it counts as surplus.
func (r *RPCClient) Forget(answer <-chan RPCAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, c := range r.open {
		if c == answer {
			delete(r.open, id)
		}
	}
}

// Surplus returns the number of responses that matched no open call.
func (r *RPCClient) Surplus() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Extra
}

// Ended reports whether the connection has ended.
func (r *RPCClient) Ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

func (r *RPCClient) read() {
	defer close(r.done)
	d := msgpack.NewDecoder(r.conn)
	var err error
	for {
		var v []any
		if v, err = d.DecodeSlice(); err != nil {
			break
		}
		now := time.Now()
		if kind, _ := number(at(v, 0)); kind == 2 {
			name, _ := at(v, 1).(string)
			r.mu.Lock()
			r.Notes = append(r.Notes, name)
			r.mu.Unlock()
			continue
		}
		id, _ := number(at(v, 1))
		r.mu.Lock()
		c := r.open[uint32(id)]
		delete(r.open, uint32(id))
		if c == nil {
			r.Extra++
		} else {
			c <- RPCAnswer{At: now, Error: at(v, 2), Result: at(v, 3)}
		}
		r.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = fmt.Errorf("%w: %v", ErrClosed, err)
	for id, c := range r.open {
		delete(r.open, id)
		c <- RPCAnswer{Err: r.err, At: time.Now()}
	}
}

// Close ends the connection and waits for its reader.
func (r *RPCClient) Close() {
	r.conn.Close()
	<-r.done
}
