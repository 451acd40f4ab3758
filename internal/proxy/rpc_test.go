package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"marlreel/internal/config"
	"marlreel/internal/dataplane/msgpackrpc"
	"marlreel/internal/discovery/platformwatch"
	"marlreel/internal/standin"
	"marlreel/internal/standin/machine"
	"marlreel/internal/testutil"
)

const rpcOffset = 3000 // a stand-in's RPC port minus its HTTP port

func rpcSettings() *config.Operator {
	own := config.DefaultOperator()
	own.RPC.Listen = "127.0.0.1:0"
	own.RPC.DefaultTenant = "obala"
	own.RPC.Methods = []msgpackrpc.Method{
		{Name: "post.", IsPrefix: true, Class: "bid"},
		{Name: "list", Class: "lot-list", AcceptNotifications: true},
		{Name: "post.bid", Class: "bid", AcceptNotifications: true},
		{Name: "post.pickup", Class: "pickup"},
		{Name: "post.lot-list", Class: "lot-list"},
	}
	own.RPC.Backend.PortOffset = rpcOffset
	own.RPC.Backend.CancelMethod = "$cancel"
	return own
}

// rpcNode starts a stand-in node that speaks both protocols. Each request waits for work in addition to 1 ms of CPU
// time.
func rpcNode(t *testing.T, id string, journal *standin.Journal, work time.Duration) *standin.Node {
	t.Helper()
	addr, rpcAddr, err := standin.AddressPair(rpcOffset)
	if err != nil {
		t.Fatal(err)
	}
	n, err := standin.StartNode(standin.NodeConfig{
		ID: id, Zone: "koper", Warm: true, Journal: journal,
		Machine: machine.Config{Cores: 8, Speed: 1, Slots: 64, Queue: 64},
		Demand:  func(string, string) (machine.Job, bool) { return machine.Job{Work: time.Millisecond, Wait: work}, true },
		Paths:   []standin.Path{{Addr: addr, RPC: rpcAddr}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// rpcScript starts a backend whose RPC connections are served by the test. Its HTTP address is closed.
func rpcScript(t *testing.T, serve func(c net.Conn, d *msgpack.Decoder)) string {
	t.Helper()
	addr, rpcAddr, err := standin.AddressPair(rpcOffset)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", rpcAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c, msgpack.NewDecoder(c))
			}()
		}
	}()
	return addr
}

// scripted is a call as read by a scripted backend.
type scripted struct {
	id     uint32
	method string
	params []any
}

func readCall(d *msgpack.Decoder) (scripted, bool) {
	v, err := d.DecodeSlice()
	if err != nil || len(v) != 4 {
		return scripted{}, false
	}
	id, _ := asUint(v[1])
	method, _ := v[2].(string)
	params, _ := v[3].([]any)
	return scripted{id, method, params}, true
}

func asUint(v any) (uint32, bool) {
	switch n := v.(type) {
	case int8:
		return uint32(n), true
	case uint8:
		return uint32(n), true
	case uint16:
		return uint32(n), true
	case uint32:
		return n, true
	}
	return 0, false
}

func answerCall(c io.Writer, id uint32, problem, result any) {
	data, err := msgpack.Marshal([]any{1, id, problem, result})
	if err == nil {
		c.Write(data)
	}
}

// rpcAnswers starts a backend that answers each call at once.
func rpcAnswers(t *testing.T, answer func(q scripted) (problem, result any)) string {
	t.Helper()
	return rpcScript(t, func(c net.Conn, d *msgpack.Decoder) {
		for {
			q, ok := readCall(d)
			if !ok {
				return
			}
			problem, result := answer(q)
			answerCall(c, q.id, problem, result)
		}
	})
}

func caller(t *testing.T, addr string) *standin.RPCClient {
	t.Helper()
	c, err := net.DialTimeout("tcp", addr, waitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	r := standin.NewRPCClient(c)
	t.Cleanup(r.Close)
	return r
}

// meta returns a call's metadata with a new id.
func meta(more ...any) map[string]any {
	m := map[string]any{"$id": fmt.Sprintf("%016x", lastRequestID.Add(1)), "$house": "obala", "$left_ms": 15000}
	for i := 0; i+1 < len(more); i += 2 {
		m[more[i].(string)] = more[i+1]
	}
	return m
}

func TestCallsAreServed(t *testing.T) {
	t.Parallel()
	j := &standin.Journal{}
	n := rpcNode(t, "s-1", j, 0)
	p := startWith(t, testConfig(t, closedAddr(t), ready("s-1", n.Addr())), rpcSettings())
	r := caller(t, p.rpc)
	m := meta()
	got, _ := r.Call("post.bid", 7, m)
	a := receive(t, got, "an answer")
	if node, ok := standin.CheckBody(m["$id"].(string), fmt.Sprint(a.Result)); a.Error != nil || !ok || node != "s-1" {
		t.Errorf("answered %+v", a)
	}
	got, _ = r.Call("post.pickup", 7, meta("$key", "k1"))
	if a := receive(t, got, "an answer"); a.Error != nil {
		t.Errorf("a pickup: %+v", a)
	}
	s := j.Records().Sends
	if len(s) != 2 || s[0].Class != "bid" || s[0].Key != "" || s[1].Key != "k1" {
		t.Errorf("the node saw %+v", s)
	}
	// One proxy serves both protocols at once.
	if status, _, _ := do(t, newRequest(t, p, "bid", "x")); status != 200 {
		t.Errorf("over HTTP: %d", status)
	}
	for name, c := range map[string]struct {
		method string
		params []any
		code   string
	}{
		"no method":          {"weigh", []any{meta()}, "no-method"},
		"a bid with a key":   {"post.bid", []any{meta("$key", "k")}, "bad-request"},
		"a pickup without":   {"post.pickup", []any{meta()}, "bad-request"},
		"an unknown house":   {"post.bid", []any{meta("$house", "nobody")}, "bad-request"},
		"an id of no form":   {"post.bid", []any{meta("$id", "x")}, "bad-request"},
		"an id that is open": {"post.bid", []any{m}, "in-use"},
	} {
		got, _ := r.Call(c.method, c.params...)
		if a := receive(t, got, "an answer"); a.Code() != c.code {
			t.Errorf("%s: %+v", name, a)
		}
	}
}

// A caller without metadata gets an id, its class's timeout and the configured default
// house, and its parameters are passed on unchanged.
func TestPlainCaller(t *testing.T) {
	t.Parallel()
	addr := rpcAnswers(t, func(q scripted) (problem, result any) { return nil, append([]any{q.method}, q.params...) })
	p := startWith(t, testConfig(t, closedAddr(t), ready("s-1", addr)), rpcSettings())
	got, _ := caller(t, p.rpc).Call("list", 7, "crates", map[string]any{"own": true})
	if a := receive(t, got, "an answer"); fmt.Sprint(a.Result) != "[list 7 crates map[own:true]]" {
		t.Errorf("answered %+v", a)
	}
}

// A method's own error is its answer: it is passed on unchanged, not retried, and not
// counted against the backend.
func TestMethodsOwnErrors(t *testing.T) {
	t.Parallel()
	var n atomic.Int64
	addr := rpcAnswers(t, func(scripted) (problem, result any) {
		n.Add(1)
		return []any{"unknown crate", 7}, "half"
	})
	p := startWith(t, testConfig(t, closedAddr(t), ready("s-1", addr)), rpcSettings())
	r := caller(t, p.rpc)
	for range 8 {
		got, _ := r.Call("list", 7)
		if a := receive(t, got, "an answer"); fmt.Sprint(a.Error) != "[unknown crate 7]" || a.Result != "half" {
			t.Errorf("answered %+v", a)
		}
	}
	if n.Load() != 8 || strings.Contains(p.log.String(), "ejected") {
		t.Errorf("%d attempts for 8 calls: %s", n.Load(), p.log.String())
	}
}

// A backend's failure is answered with a complete message of the proxy itself, after which the
// caller can read the answers to its other calls.
func TestFailedCallIsAnsweredWhole(t *testing.T) {
	t.Parallel()
	addr := rpcAnswers(t, func(q scripted) (problem, result any) {
		if q.method == "post.bid" {
			return map[string]any{"$failed": true, "message": "error"}, nil
		}
		return nil, "crate 7"
	})
	p := startWith(t, testConfig(t, closedAddr(t), ready("s-1", addr)), rpcSettings())
	r := caller(t, p.rpc)
	failing, _ := r.Call("post.bid", 7, meta())
	if a := receive(t, failing, "the failure"); a.Code() != "failed" || a.Result != nil {
		t.Errorf("the failing call was answered %+v", a)
	}
	for range 3 {
		next, _ := r.Call("list", 7)
		if a := receive(t, next, "an answer after the failure"); a.Error != nil || a.Result != "crate 7" {
			t.Errorf("the call after it was answered %+v", a)
		}
	}
}

// Calls of each class are in flight on one connection when it breaks: safe ones are retried,
// keyed ones within their group, and unsafe ones fail and reach no other backend.
func TestBreakUnderOpenCalls(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	taken := map[string]string{} // class by id, at the backend that breaks
	enough := make(chan struct{})
	var once sync.Once
	bad := rpcScript(t, func(c net.Conn, d *msgpack.Decoder) {
		for {
			q, ok := readCall(d)
			if !ok {
				return
			}
			mu.Lock()
			m := q.params[len(q.params)-1].(map[string]any)
			taken[m["$id"].(string)] = strings.TrimPrefix(q.method, "post.")
			seen := map[string]bool{}
			for _, class := range taken {
				seen[class] = true
			}
			mu.Unlock()
			if len(seen) == 3 {
				once.Do(func() { close(enough) })
			}
			select {
			case <-enough: // it breaks under all calls in flight
				time.Sleep(20 * time.Millisecond)
				return
			default:
			}
		}
	})
	j := &standin.Journal{}
	good := rpcNode(t, "s-2", j, 0)
	g := newRegistry(t)
	p := startWith(t, testConfig(t, g.Addr, ready("s-1", bad)), rpcSettings())
	w := g.next(t)
	r := caller(t, p.rpc)
	type sent struct {
		class, id string
		got       <-chan standin.RPCAnswer
	}
	var calls []sent
	for i := range 50 {
		class := []string{"bid", "lot-list", "pickup"}[i%3]
		m := meta()
		if class == "pickup" {
			m["$key"] = m["$id"]
		}
		got, _ := r.Call("post."+class, i, m)
		calls = append(calls, sent{class, m["$id"].(string), got})
	}
	receive(t, enough, "a call of each class at the backend that will break")
	w.Lines <- line(t, 2, true, ready("s-1", bad), ready("s-2", good.Addr()))
	failed := 0
	for _, c := range calls {
		a := receive(t, c.got, "the answer to "+c.id)
		mu.Lock()
		_, broke := taken[c.id]
		mu.Unlock()
		switch {
		case c.class == "bid" && broke:
			failed++
			if a.Code() != "failed" {
				t.Errorf("a bid that was written got %+v", a)
			}
		case c.class == "bid" && a.Code() == "failed": // written, and not read before the break
		case a.Error != nil && a.Code() != "refused":
			t.Errorf("%s (broke: %v) got %+v", c.class, broke, a)
		case a.Error == nil:
			if _, ok := standin.CheckBody(c.id, fmt.Sprint(a.Result)); !ok {
				t.Errorf("%s got the answer to another call: %+v", c.class, a)
			}
		}
	}
	again := 0
	for _, s := range j.Records().Sends {
		if taken[s.ID] == "bid" {
			t.Errorf("bid %s was sent again", s.ID)
		}
		if taken[s.ID] != "" {
			again++
		}
	}
	if failed == 0 || again == 0 {
		t.Errorf("%d bids failed, %d calls were sent again: the test proves nothing", failed, again)
	}
	if r.Surplus() != 0 {
		t.Errorf("%d surplus answers", r.Surplus())
	}
}

// A call that was never sent completely has not run, so it is retried on another backend, even a bid.
func TestNeverConnected(t *testing.T) {
	t.Parallel()
	j := &standin.Journal{}
	good := rpcNode(t, "s-2", j, 0)
	p := startWith(t, testConfig(t, closedAddr(t), ready("s-1", closedAddr(t)), ready("s-2", good.Addr())), rpcSettings())
	r := caller(t, p.rpc)
	for range 10 {
		got, _ := r.Call("post.bid", 1, meta())
		if a := receive(t, got, "an answer"); a.Error != nil {
			t.Errorf("answered %+v", a)
		}
	}
}

// Replies arrive in any order, twice, or for no call: each caller gets the reply to its own call.
func TestRepliesInAnyOrder(t *testing.T) {
	t.Parallel()
	addr := rpcScript(t, func(c net.Conn, d *msgpack.Decoder) {
		for {
			var calls []scripted
			for len(calls) < 3 {
				q, ok := readCall(d)
				if !ok {
					return
				}
				calls = append(calls, q)
			}
			answerCall(c, 4_000_000, nil, "to nobody")
			for i := len(calls) - 1; i >= 0; i-- {
				answerCall(c, calls[i].id, nil, calls[i].params[0])
				answerCall(c, calls[i].id, nil, "again")
			}
		}
	})
	own := rpcSettings()
	own.RPC.Backend.MaxConnections = 1
	p := startWith(t, testConfig(t, closedAddr(t), ready("s-1", addr)), own)
	// Two callers use the same msgids at once.
	a, b := caller(t, p.rpc), caller(t, p.rpc)
	for round := range 2 {
		want := map[<-chan standin.RPCAnswer]string{}
		for i, r := range []*standin.RPCClient{a, b, a} {
			word := fmt.Sprintf("call %d of round %d", i, round)
			got, _ := r.Call("list", word)
			want[got] = word
		}
		for got, word := range want {
			if k := receive(t, got, "an answer"); k.Error != nil || k.Result != word {
				t.Errorf("%q got %+v", word, k)
			}
		}
	}
	if a.Surplus()+b.Surplus() != 0 {
		t.Error("an answer came twice")
	}
}

// A late reply to a call that has timed out is dropped.
func TestLateReplies(t *testing.T) {
	t.Parallel()
	first := make(chan scripted, 1)
	release := make(chan struct{})
	addr := rpcScript(t, func(c net.Conn, d *msgpack.Decoder) {
		q, ok := readCall(d)
		if !ok {
			return
		}
		first <- q
		<-release
		answerCall(c, q.id, nil, "too late")
		for {
			v, err := d.DecodeSlice()
			if err != nil {
				return
			}
			if id, ok := asUint(v[1]); ok && len(v) == 4 {
				answerCall(c, id, nil, "in time")
			}
		}
	})
	own := rpcSettings()
	own.RPC.Backend.MaxConnections = 1
	p := startWith(t, testConfig(t, closedAddr(t), ready("s-1", addr)), own)
	r := caller(t, p.rpc)
	got, _ := r.Call("post.bid", 1, meta("$left_ms", 300))
	receive(t, first, "the call")
	if a := receive(t, got, "an answer"); a.Code() != "failed" && a.Code() != "out-of-time" {
		t.Errorf("a call without an answer got %+v", a)
	}
	close(release)
	got, _ = r.Call("list", 1)
	if a := receive(t, got, "an answer"); a.Result != "in time" {
		t.Errorf("the next call got %+v", a)
	}
	if r.Surplus() != 0 {
		t.Error("the late reply reached the caller")
	}
}

// An instance is replaced by another at the same address: no reply from the old connection reaches a new call.
func TestReplacedAtTheSameAddress(t *testing.T) {
	t.Parallel()
	var conns atomic.Int64
	old := make(chan scripted, 1)
	next := make(chan scripted, 1)
	oldConn := make(chan net.Conn, 1)
	hold := make(chan struct{})
	addr := rpcScript(t, func(c net.Conn, d *msgpack.Decoder) {
		if conns.Add(1) == 1 {
			q, _ := readCall(d)
			old <- q
			oldConn <- c
			<-hold
			return
		}
		q, ok := readCall(d)
		if !ok {
			return
		}
		next <- q
		<-hold
		answerCall(c, q.id, nil, "new")
		readCall(d)
	})
	g := newRegistry(t)
	p := startWith(t, testConfig(t, g.Addr, ready("s-1", addr)), rpcSettings())
	w := g.next(t)
	r := caller(t, p.rpc)
	first, _ := r.Call("post.bid", 1, meta())
	was := receive(t, old, "the first call")
	w.Lines <- line(t, 2, false, platformwatch.Instance{InstanceID: "s-1", Lifecycle: "Gone"}, ready("s-2", addr))

	var second <-chan standin.RPCAnswer
	eventually(t, "a call on a new connection", func() bool {
		got, _ := r.Call("list", 2)
		second = got
		select {
		case is := <-next:
			if is.id != was.id {
				t.Errorf("msgids %d and %d: the test proves nothing", was.id, is.id)
			}
			return true
		case <-got: // it was answered while the list had neither instance
			return false
		case <-time.After(waitTimeout / 2):
			return false
		}
	})
	c := receive(t, oldConn, "the old connection")
	answerCall(c, was.id, nil, "old")
	if a := receive(t, first, "the first answer"); a.Result != "old" {
		t.Errorf("the call in flight got %+v", a)
	}
	select {
	case a := <-second:
		t.Errorf("the new call got the old connection's answer: %+v", a)
	case <-time.After(100 * time.Millisecond):
	}
	close(hold)
	if a := receive(t, second, "the second answer"); a.Result != "new" {
		t.Errorf("the new call got %+v", a)
	}
}

// A caller that does not read does not delay others, and is dropped once its queue exceeds MaxQueuedBytes.
func TestCallerThatDoesNotRead(t *testing.T) {
	t.Parallel()
	large := strings.Repeat("x", 60<<10)
	addr := rpcScript(t, func(c net.Conn, d *msgpack.Decoder) {
		for {
			q, ok := readCall(d)
			if !ok {
				return
			}
			answerCall(c, q.id, nil, large)
		}
	})
	own := rpcSettings()
	own.RPC.MaxQueuedBytes = 256 << 10
	own.RPC.Backend.MaxConnections = 1
	p := startWith(t, testConfig(t, closedAddr(t), ready("s-1", addr)), own)
	slow, err := net.Dial("tcp", p.rpc)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	slow.(*net.TCPConn).SetReadBuffer(4 << 10)
	dropped := make(chan struct{})
	go func() { // it keeps calling, and never reads
		defer close(dropped)
		for id := uint32(1); ; id++ {
			data, _ := msgpack.Marshal([]any{0, id, "list", []any{}})
			slow.SetWriteDeadline(time.Now().Add(waitTimeout))
			if _, err := slow.Write(data); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	r := caller(t, p.rpc)
	for range 20 {
		got, _ := r.Call("list", 1)
		if a := receive(t, got, "another caller's answer"); a.Err != nil || a.Error == nil && len(fmt.Sprint(a.Result)) != len(large) {
			t.Errorf("another caller got %+v", a)
		}
	}
	receive(t, dropped, "the end of the caller that does not read")
}

// A malformed stream ends its connection within 3 s, and does not affect other connections.
func TestMalformedStreams(t *testing.T) {
	t.Parallel()
	n := rpcNode(t, "s-1", &standin.Journal{}, 0)
	p := startWith(t, testConfig(t, closedAddr(t), ready("s-1", n.Addr())), rpcSettings())
	request, err := msgpack.Marshal([]any{0, 1, "list", []any{}})
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{
		"noise":                 {0xc1, 0xc1, 0xc1},
		"HTTP":                  []byte("GET / HTTP/1.1\r\n\r\n"),
		"a claim of 4 GB":       {0x94, 0x00, 0x01, 0xdb, 0xff, 0xff, 0xff, 0xff},
		"nesting of 10,000":     append([]byte{0x94, 0x00, 0x01, 0xa4, 'l', 'i', 's', 't'}, bytes.Repeat([]byte{0x91}, 10000)...),
		"half a message":        request[:len(request)-1],
		"a message, then noise": append(append([]byte(nil), request...), 0xc1),
		"a map":                 {0x80},
		"a msgid that is open":  append(append([]byte(nil), request...), request...),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := testutil.Dial(t, p.rpc)
			c.Write(data)
			if _, err := io.Copy(io.Discard, c); testutil.IsTimeout(err) {
				t.Error("the connection is not closed")
			}
		})
	}
	t.Run("the others", func(t *testing.T) {
		t.Parallel()
		good := caller(t, p.rpc) // not earlier: if subtests run one by one, it would be closed as idle
		for range 20 {
			got, _ := good.Call("list", 1, meta())
			if a := receive(t, got, "an answer"); a.Error != nil || a.Err != nil {
				t.Fatalf("a good caller next to bad ones got %+v\n%s", a, p.log.String())
			}
		}
	})
}

// A malformed stream from a backend breaks its connection. Calls that may have run fail.
func TestMalformedReplies(t *testing.T) {
	t.Parallel()
	j := &standin.Journal{}
	n := rpcNode(t, "s-1", j, 0)
	n.Spoils(standin.SpoilNoise, 1)
	p := startWith(t, testConfig(t, closedAddr(t), ready("s-1", n.Addr())), rpcSettings())
	r := caller(t, p.rpc)
	got, _ := r.Call("post.bid", 1, meta())
	if a := receive(t, got, "an answer"); a.Code() != "failed" {
		t.Errorf("a bid got %+v", a)
	}
	if s := j.Records().Sends; len(s) != 1 {
		t.Errorf("it was sent %d times", len(s))
	}
}

// A backend may work over one protocol and not over the other: requests of each protocol go where it works.
func TestGoodAtOneProtocol(t *testing.T) {
	t.Parallel()
	n := rpcNode(t, "s-1", &standin.Journal{}, 0)
	bad := rpcScript(t, func(c net.Conn, d *msgpack.Decoder) { // answers RPC, refuses HTTP
		for {
			q, ok := readCall(d)
			if !ok {
				return
			}
			answerCall(c, q.id, nil, "served")
		}
	})
	p := startWith(t, testConfig(t, closedAddr(t), ready("s-1", n.Addr()), ready("s-2", bad)), rpcSettings())
	r := caller(t, p.rpc)
	for i := range 20 {
		got, _ := r.Call("post.bid", i, meta())
		if a := receive(t, got, "an answer"); a.Error != nil {
			t.Errorf("over RPC: %+v", a)
		}
		if status, _, _ := do(t, newRequest(t, p, "bid", "x")); status != 200 {
			t.Errorf("over HTTP: %d", status)
		}
	}
}

// Notifications are sent at most once, and only for methods that accept them.
func TestNotifications(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var came []string
	addr := rpcScript(t, func(c net.Conn, d *msgpack.Decoder) {
		for {
			v, err := d.DecodeSlice()
			if err != nil {
				return
			}
			mu.Lock()
			came = append(came, fmt.Sprintf("%v %v", v[0], v[1]))
			mu.Unlock()
			if len(v) == 3 {
				return // closes the connection right after it
			}
			id, _ := asUint(v[1])
			answerCall(c, id, nil, "served")
		}
	})
	p := startWith(t, testConfig(t, closedAddr(t), ready("s-1", addr), ready("s-2", addr)), rpcSettings())
	r := caller(t, p.rpc)
	r.Notify("post.pickup", 1, meta("$key", "k")) // the method accepts no notifications
	r.Notify("list", 1)
	count := func() (n int) {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range came {
			if strings.HasPrefix(c, "2 ") {
				n++
			}
		}
		return n
	}
	eventually(t, "the notification", func() bool { return count() == 1 })
	for range 5 {
		got, _ := r.Call("list", 1)
		receive(t, got, "an answer")
	}
	if count() != 1 {
		t.Errorf("it was sent %d times: %v", count(), came)
	}
	mu.Lock()
	defer mu.Unlock()
	for _, c := range came {
		if strings.Contains(c, "pickup") {
			t.Errorf("%v", came)
		}
	}
}

// After SIGTERM a connection announces the drain, refuses new calls, answers the open ones, and is closed.
func TestRPCDrain(t *testing.T) {
	t.Parallel()
	came, finish := make(chan struct{}, 1), make(chan struct{})
	addr := rpcScript(t, func(c net.Conn, d *msgpack.Decoder) {
		q, ok := readCall(d)
		if !ok {
			return
		}
		came <- struct{}{}
		<-finish
		answerCall(c, q.id, nil, "served")
		readCall(d)
	})
	own := rpcSettings()
	own.RPC.AnnounceDrain = true
	p := startWith(t, testConfig(t, closedAddr(t), ready("s-1", addr)), own)
	r := caller(t, p.rpc)
	open, _ := r.Call("post.bid", 1, meta())
	receive(t, came, "the call")
	p.stop()
	eventually(t, "a call to be refused", func() bool {
		got, _ := r.Call("post.bid", 2, meta())
		select {
		case a := <-got:
			return a.Code() == "draining" && a.Error.(map[string]any)["retry"] == true
		case <-time.After(100 * time.Millisecond): // accepted before the drain began, so it stays open
			return false
		}
	})
	close(finish)
	if a := receive(t, open, "the open call's answer"); a.Result != "served" {
		t.Errorf("the open call got %+v", a)
	}
	eventually(t, "the connection's end", r.Ended)
	if err := receive(t, p.ended, "the end"); err != nil {
		t.Error(err)
	}
	if len(r.Notes) != 1 || r.Notes[0] != "$drain" {
		t.Errorf("announced %v", r.Notes)
	}
}

// Calls that are open when the process has to exit are failed before, and never refused.
func TestRPCStopAnswersWhatDoesNotFinish(t *testing.T) {
	t.Parallel()
	came := make(chan struct{}, 1)
	addr := rpcScript(t, func(c net.Conn, d *msgpack.Decoder) {
		readCall(d)
		came <- struct{}{}
		readCall(d)
	})
	cfg := testConfig(t, closedAddr(t), ready("s-1", addr))
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].ClientTimeout = time.Second
	}
	p := startWith(t, cfg, rpcSettings())
	got, _ := caller(t, p.rpc).Call("post.bid", 1, meta())
	receive(t, came, "the call")
	p.stop()
	if a := receive(t, got, "the answer"); a.Err != nil || a.Code() != "failed" && a.Code() != "out-of-time" {
		t.Errorf("answered %+v", a)
	}
	if err := receive(t, p.ended, "the end"); err != nil {
		t.Error(err)
	}
}

// Limits the connections of callers and the open calls per connection.
func TestRPCBounds(t *testing.T) {
	t.Parallel()
	addr := rpcScript(t, func(c net.Conn, d *msgpack.Decoder) { io.Copy(io.Discard, c) })
	own := rpcSettings()
	own.RPC.MaxConnections, own.RPC.MaxOpenCalls = 2, 3
	p := startWith(t, testConfig(t, closedAddr(t), ready("s-1", addr)), own)
	busy := caller(t, p.rpc)
	for range 3 {
		busy.Call("post.bid", 1, meta())
	}
	got, _ := busy.Call("post.bid", 1, meta())
	a := receive(t, got, "an answer")
	if m, _ := a.Error.(map[string]any); a.Code() != "overloaded" || m["retry_after"] != 1.0 {
		t.Errorf("a call beyond the limit got %+v", a)
	}
	silent := testutil.Dial(t, p.rpc)
	third := caller(t, p.rpc)
	testutil.Ends(t, silent, "the silent connection")
	if got, whole := third.Call("post.bid", 1, meta()); !whole {
		t.Errorf("the third connection: %+v", <-got)
	}
	if busy.Ended() {
		t.Error("a connection with open calls was closed to make room")
	}
}
