package msgpackrpc

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/testutil"
)

// manualEngine is an engine whose events the test dispatches itself, with this package's carrier.
type manualEngine struct {
	*engine.Engine
	carrier *Carrier
}

// recordedCall is a call that records its answers.
type recordedCall struct {
	engine.Call
	answers []engine.Answer
}

func (c *recordedCall) HandleAnswer(_ *engine.Call, a engine.Answer) {
	c.answers = append(c.answers, a)
}

func newManualEngine(t testing.TB, change func(*Config), entries ...engine.Entry) *manualEngine {
	t.Helper()
	e, err := engine.New(engine.Config{Settings: testutil.Module(t), Seed: 1, Logf: t.Logf, InitialMembership: engine.Membership{Entries: entries}})
	if err != nil {
		t.Fatal(err)
	}
	cfg := DefaultConfig()
	cfg.Listen = "127.0.0.1:0"
	if change != nil {
		change(&cfg)
	}
	m := &manualEngine{e, NewCarrier(e, &cfg, new(Counters))}
	t.Cleanup(m.carrier.Close)
	e.AddCarrier(m.carrier)
	m.Dispatch(func() { m.ApplyMembership(engine.Membership{Kind: balancer.MembershipCached, Entries: entries}) })
	return m
}

func readyEntry(addr string) engine.Entry {
	return engine.Entry{Name: "s-1", Addr: addr, State: balancer.Ready, Weight: 1}
}

func (m *manualEngine) call(class int, args []byte) *recordedCall {
	now := m.Now()
	c := &recordedCall{}
	c.Call = engine.Call{
		Carrier: m.carrier, Front: c, Payload: &payload{method: "m", args: args, count: 1},
		Request: balancer.Request{Class: class, Deadline: now + time.Minute},
	}
	m.Dispatch(func() { m.HandleCall(&c.Call, now) })
	return c
}

func (m *manualEngine) until(t testing.TB, what string, reached func() bool) {
	t.Helper()
	for !reached() {
		m.Dispatch(testutil.Receive(t, m.Events(), what))
	}
}

// A write that fails before the last byte proves that nothing ran; after the last byte, the call may have run.
func TestPartialWritesNeverRan(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		read int // bytes that the backend reads; -1: all
		want balancer.Result
	}{"half": {50_000, balancer.ConnectFailed}, "whole": {-1, balancer.Reset}} {
		m := newManualEngine(t, nil)
		near, far := net.Pipe() // unbuffered, so only what is read counts as written
		b := engine.NewBackend("s-1", "127.0.0.1:1", true)
		conn := newBackendConn(m.carrier, b, func() {})
		body := &payload{method: "m", args: append([]byte{0xc6, 0, 1, 0, 0}, make([]byte, 1<<16)...), count: 1}
		p := &pendingAttempt{attempt: &engine.Attempt{Backend: b, Deadline: time.Now().Add(time.Minute)}, msgid: 1, payload: body}
		go func() {
			defer far.Close()
			wanted := int64(c.read)
			if c.read < 0 {
				wanted = int64(len(body.encode(1, 0)))
			}
			n, err := io.CopyN(io.Discard, far, wanted)
			if err != nil {
				t.Errorf("%s: %d bytes of %d read: %v", name, n, wanted, err)
			}
		}()
		usable := conn.write(near, p)
		if got := p.written.Load(); got != (c.want == balancer.Reset) {
			t.Errorf("%s: the last byte counts as written: %v", name, got)
		}
		if usable != p.written.Load() {
			t.Errorf("%s: the connection counts as usable: %v", name, usable)
		}
		if !p.attempt.Permit.Claimed() {
			t.Errorf("%s: written without claiming its permit", name)
		}
	}
}

// An attempt that is revoked, or whose backend starts draining, while it waits for its connection is never written.
func TestRevokedAttemptsAreNotWritten(t *testing.T) {
	t.Parallel()
	for name, revoke := range map[string]func(p *pendingAttempt, conn *backendConn){
		"answered": func(p *pendingAttempt, _ *backendConn) { p.attempt.Permit.Revoke() },
		"draining": func(_ *pendingAttempt, conn *backendConn) {
			conn.backend = engine.NewBackend("s-1", "127.0.0.1:1", false)
		},
	} {
		m := newManualEngine(t, nil)
		near, far := net.Pipe()
		b := engine.NewBackend("s-1", "127.0.0.1:1", true)
		conn := newBackendConn(m.carrier, b, func() {})
		p := &pendingAttempt{attempt: &engine.Attempt{Backend: b}, msgid: 1, payload: &payload{method: "m"}}
		revoke(p, conn)
		if !conn.write(near, p) || p.written.Load() {
			t.Errorf("%s: it was written", name)
		}
		near.Close()
		if n, _ := io.Copy(io.Discard, far); n != 0 {
			t.Errorf("%s: %d bytes were written", name, n)
		}
	}
}

// Msgids wrap around at 2^32 and skip those of pending calls and of abandoned calls that may still be answered.
func TestMsgidsWrapAround(t *testing.T) {
	t.Parallel()
	conn := &backendConn{pending: map[uint32]*pendingAttempt{0: nil, 2: nil}, abandoned: map[uint32]struct{}{1: {}}, lastMsgid: 1<<32 - 2}
	if a, b := conn.newMsgid(), conn.newMsgid(); a != 1<<32-1 || b != 3 {
		t.Errorf("after 2^32-2: %d, %d", a, b)
	}
}

// A connection whose calls are abandoned gets a smaller window, down to 1. Late and unknown replies are counted, and a
// connection with too many abandoned calls is retired.
func TestWindowFollowsTheBackend(t *testing.T) {
	t.Parallel()
	addr := testutil.ClosedAddr(t)
	m := newManualEngine(t, func(c *Config) { c.Backend.MaxPipeline, c.Backend.MaxConnections = 8, 1 }, readyEntry(addr))
	b := m.Backend("s-1")
	conn := newBackendConn(m.carrier, b, func() {})
	for range 3 {
		p := &pendingAttempt{attempt: &engine.Attempt{Backend: b}, msgid: conn.newMsgid()}
		conn.pending[p.msgid] = p
		p.attempt.Permit.TryClaim()
		conn.abandon(p)
	}
	if conn.window != 1 || len(conn.abandoned) != 3 || len(conn.pending) != 0 {
		t.Errorf("window %v, %d abandoned calls", conn.window, len(conn.abandoned))
	}
	conn.onReply(message{id: 2, error: nilValue, result: nilValue})
	if m.carrier.counters.LateReplies.Load() != 1 || len(conn.abandoned) != 2 {
		t.Error("a reply to an abandoned call was not counted as late")
	}
	conn.onReply(message{id: 99, error: nilValue, result: nilValue})
	if m.carrier.counters.UnknownReplies.Load() != 1 {
		t.Error("a reply that matches no call was not counted")
	}
	for range maxAbandoned {
		p := &pendingAttempt{attempt: &engine.Attempt{Backend: b}, msgid: conn.newMsgid()}
		conn.pending[p.msgid] = p
		p.attempt.Permit.TryClaim()
		conn.abandon(p)
	}
	if !conn.retired {
		t.Error("a connection with too many abandoned calls was not retired")
	}
}

// Connections are bounded, to one backend and in total. If all are full, there is none for a further call, which is then
// rejected without having run.
func TestConnectionBounds(t *testing.T) {
	t.Parallel()
	addr := silentBackend(t)
	m := newManualEngine(t, func(c *Config) {
		c.Backend.MaxPipeline, c.Backend.MaxConnections, c.Backend.MaxTotalConnections = 1, 2, 2
	}, readyEntry(addr))
	b := m.Backend("s-1")
	first, second := m.carrier.connectionFor(b), func() *backendConn {
		m.carrier.connections[b][0].pending[1] = &pendingAttempt{}
		return m.carrier.connectionFor(b)
	}()
	if first == nil || second == nil || first == second || m.carrier.Connections() != 2 {
		t.Fatalf("%d connections", m.carrier.Connections())
	}
	second.pending[1] = &pendingAttempt{}
	if m.carrier.connectionFor(b) != nil || m.carrier.Connections() != 2 {
		t.Error("a connection was returned or opened beyond the limits")
	}
	delete(first.pending, 1)
	delete(second.pending, 1)
}

// silentBackend starts a backend that accepts connections and never answers. It returns its address.
func silentBackend(t testing.TB) string {
	t.Helper()
	return testutil.RawBackend(t, func(c net.Conn, _ *bufio.Reader) { _, _ = io.Copy(io.Discard, c) }) // until it is closed
}

// echoBackend starts a backend that answers every call with its parameters. It returns its address.
func echoBackend(t testing.TB) string {
	t.Helper()
	return testutil.RawBackend(t, func(c net.Conn, _ *bufio.Reader) { answerAll(c) })
}

// answerAll answers every call on a connection with its parameters, until the connection ends.
func answerAll(c net.Conn) {
	r := newMessageReader(c, wideLimits)
	for {
		m, complete, err := r.next()
		if err != nil {
			return
		}
		if complete {
			_, err = c.Write(appendResponse(nil, m.id, nilValue, m.params))
		} else {
			err = r.fill()
		}
		if err != nil {
			return
		}
	}
}

// A call is sent and its answer returned; a connection that has been idle for too long is closed.
func TestCarrierAnswersAndRetiresIdle(t *testing.T) {
	t.Parallel()
	m := newManualEngine(t, nil, readyEntry(echoBackend(t)))
	c := m.call(0, []byte{7})
	m.until(t, "the answer", func() bool { return len(c.answers) == 1 })
	if r, ok := c.answers[0].Reply.(*reply); !ok || !bytes.Equal(r.result, []byte{0x91, 7}) {
		t.Errorf("%+v", c.answers)
	}
	if m.carrier.Connections() != 1 || m.OpenCalls() != 0 {
		t.Errorf("%d connections, %d open", m.carrier.Connections(), m.OpenCalls())
	}
	m.Dispatch(func() { m.carrier.CloseExpired(m.Now() + time.Hour) })
	m.until(t, "the connection's end", func() bool { return m.carrier.Connections() == 0 })
}

// BenchmarkCall measures one call through server, engine and carrier, over real sockets.
func BenchmarkCall(b *testing.B) {
	m := newManualEngine(b, func(c *Config) { c.DefaultTenant, c.Methods = "obala", []Method{{Name: "m", Class: "lot-list"}} }, readyEntry(echoBackend(b)))
	cfg := DefaultConfig()
	cfg.DefaultTenant, cfg.Methods = "obala", []Method{{Name: "m", Class: "lot-list"}}
	server := NewServer(m.Engine, m.carrier, &cfg, new(Counters))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go m.Run(ctx)
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	b.Cleanup(func() {
		ln.Close()
		server.Close()
		cancel()
		<-m.Done()
		err := <-served
		if err != nil {
			b.Error(err)
		}
	})
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	request := (&payload{method: "m", args: append([]byte{0xc5, 2, 0}, make([]byte, 512)...), count: 1}).encode(1, 0)
	answer := make([]byte, 520)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Write(request); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(c, answer); err != nil {
			b.Fatal(err)
		}
	}
}
