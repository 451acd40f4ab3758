package standin

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// The stand-ins' MessagePack-RPC goes through a library of its own, so that the
// daemon's is not checked by itself.

// serveRPC reads a connection's calls and answers each when it is done. A method's last
// word after a dot is its class; the metadata are the last parameter.
func (n *Node) serveRPC(c net.Conn, p Path, full bool) {
	defer func() {
		c.Close()
		n.mu.Lock()
		delete(n.conns, c)
		n.mu.Unlock()
	}()
	gone := make(chan struct{})
	var writes sync.Mutex
	var calls sync.WaitGroup
	defer calls.Wait()
	defer close(gone)
	cancels := map[uint32]chan struct{}{}
	var mu sync.Mutex // cancels
	d := msgpack.NewDecoder(c)
	fresh := true
	for {
		v, err := d.DecodeSlice()
		if err != nil {
			n.hold(c)
			return
		}
		whole := n.cfg.Clock.Now() + p.Delay
		if n.Vanished() {
			n.hold(c) // its bytes never arrived
			return
		}
		kind, ok := number(at(v, 0))
		if !ok || kind == 0 && len(v) != 4 || kind == 2 && len(v) != 3 {
			return
		}
		var id uint32
		method, params := at(v, 1), at(v, 2)
		if kind == 0 {
			k, _ := number(at(v, 1))
			id, method, params = uint32(k), at(v, 2), at(v, 3)
		}
		name, _ := method.(string)
		if name == "$cancel" {
			if list, ok := params.([]any); ok {
				if k, ok := number(at(list, 0)); ok {
					mu.Lock()
					if stop := cancels[uint32(k)]; stop != nil {
						close(stop)
						delete(cancels, uint32(k))
					}
					mu.Unlock()
				}
			}
			continue
		}
		list, _ := params.([]any)
		meta, _ := at(list, len(list)-1).(map[string]any)
		word := func(key string) string { s, _ := meta[key].(string); return s }
		left := 0.0
		if f, ok := meta["$left_ms"].(float64); ok {
			left = f
		}
		s := &Send{Node: n.cfg.ID, Zone: n.cfg.Zone, Proxy: p.Proxy, ID: word("$id"), Key: word("$key"),
			Class: name[strings.LastIndexByte(name, '.')+1:], Began: whole - p.Delay, Whole: whole, Fresh: fresh, CrossesZone: p.Cross}
		fresh = false
		stop := make(chan struct{})
		mu.Lock()
		cancels[id] = stop
		mu.Unlock()
		calls.Go(func() {
			time.Sleep(p.Delay)
			merged := make(chan struct{})
			done := make(chan struct{})
			go func() {
				select {
				case <-gone:
				case <-stop:
				case <-done:
					return
				}
				close(merged)
			}()
			end := n.process(s, time.Duration(left*float64(time.Millisecond)), full, s.ID != "", merged)
			close(done)
			mu.Lock()
			if cancels[id] == stop {
				delete(cancels, id)
			}
			mu.Unlock()
			if kind == 2 {
				if end == endServed || end == endFailed {
					n.cfg.Journal.end(s, "", 200, n.cfg.Clock.Now())
				}
				return
			}
			var problem, result any
			status := 200
			effect := ""
			switch end {
			case endServed:
				result = n.body(s)
			case endFailed:
				problem, status, effect = map[string]any{"$failed": true, "message": "error"}, 500, Failed
			case endFull, endOver:
				problem, status, effect = map[string]any{"$unprocessed": true, "message": "full"}, 503, TurnedAway
			case endUnknown:
				problem, status = "no caller's call", 400
			default: // an expired one is not answered, as over HTTP
				return
			}
			time.Sleep(p.Delay)
			if n.Vanished() {
				return
			}
			n.cfg.Journal.end(s, effect, status, n.cfg.Clock.Now())
			data, err := msgpack.Marshal([]any{1, id, problem, result})
			if err != nil {
				return
			}
			n.mu.Lock()
			if n.spoilt > 0 && end == endServed && chance(s.ID, n.cfg.ID, "spoil") < n.spoilt {
				data = []byte{0xc1, 0xff, 0x00} // no MessagePack
			}
			n.mu.Unlock()
			writes.Lock()
			defer writes.Unlock()
			c.SetWriteDeadline(time.Now().Add(5 * time.Second))
			c.Write(data)
		})
	}
}

// at is an element of a list, or nil.
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

// RPCAnswer is what a caller got.
type RPCAnswer struct {
	At     time.Time
	Error  any // nil: served
	Result any
	Err    error // the connection ended
}

// Code is the code of an error that is the proxy's own; "" is none.
func (a RPCAnswer) Code() string {
	m, _ := a.Error.(map[string]any)
	s, _ := m["code"].(string)
	return s
}

// RPCClient is a caller: many calls are open on its one connection.
type RPCClient struct {
	conn   net.Conn
	writes sync.Mutex
	mu     sync.Mutex
	last   uint32
	open   map[uint32]chan RPCAnswer
	err    error
	Extra  int      // answers to no open call
	Notes  []string // methods of notifications that came
	done   chan struct{}
}

// ErrClosed is the end of a caller's connection.
var ErrClosed = errors.New("the connection has ended")

// NewRPCClient calls over a connection.
func NewRPCClient(c net.Conn) *RPCClient {
	r := &RPCClient{conn: c, open: map[uint32]chan RPCAnswer{}, done: make(chan struct{})}
	go r.read()
	return r
}

// Call sends a call, and gives a channel for its one answer and whether it went out whole.
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

// Forget takes an open call's answer as one too many.
func (r *RPCClient) Forget(answer <-chan RPCAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, c := range r.open {
		if c == answer {
			delete(r.open, id)
		}
	}
}

// Surplus is how many answers came to no open call.
func (r *RPCClient) Surplus() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Extra
}

// Ended tells whether the connection has ended.
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
