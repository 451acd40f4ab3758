package msgpackrpc

import (
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

// manualEngine is an engine that the test moves by hand, with this package's carrier.
type manualEngine struct {
	*engine.Engine
	carrier *Carrier
}

// recordedCall takes a call's answers.
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
	l := &manualEngine{e, NewCarrier(e, &cfg, new(Counters))}
	t.Cleanup(l.carrier.Close)
	e.AddCarrier(l.carrier)
	l.Dispatch(func() { l.ApplyMembership(engine.Membership{Kind: balancer.MembershipCached, Entries: entries}) })
	return l
}

func readyEntry(addr string) engine.Entry {
	return engine.Entry{Name: "s-1", Addr: addr, State: balancer.Ready, Weight: 1}
}

func (l *manualEngine) call(class int, args []byte) *recordedCall {
	now := l.Now()
	c := &recordedCall{}
	c.Call = engine.Call{
		Carrier: l.carrier, Front: c, Payload: &payload{method: "m", args: args, count: 1},
		Request: balancer.Request{Class: class, Deadline: now + time.Minute},
	}
	l.Dispatch(func() { l.HandleCall(&c.Call, now) })
	return c
}

func (l *manualEngine) until(t testing.TB, what string, reached func() bool) {
	t.Helper()
	for !reached() {
		l.Dispatch(testutil.Receive(t, l.Events(), what))
	}
}

// A write that breaks before the last byte proves that nothing ran; after it, it may have.
func TestPartialWritesNeverRan(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		read int // bytes that the backend takes; -1 is all
		want balancer.Result
	}{"half": {50_000, balancer.ConnectFailed}, "whole": {-1, balancer.Reset}} {
		l := newManualEngine(t, nil)
		near, far := net.Pipe() // which hands over byte for byte
		b := engine.NewBackend("s-1", "127.0.0.1:1", true)
		conn := newBackendConn(l.carrier, b, func() {})
		body := &payload{method: "m", args: append([]byte{0xc6, 0, 1, 0, 0}, make([]byte, 1<<16)...), count: 1}
		f := &pendingAttempt{attempt: &engine.Attempt{Backend: b, Deadline: time.Now().Add(time.Minute)}, msgid: 1, payload: body}
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
		went := conn.write(near, f)
		if got := f.written.Load(); got != (c.want == balancer.Reset) {
			t.Errorf("%s: the last byte is said to be out: %v", name, got)
		}
		if went != f.written.Load() {
			t.Errorf("%s: the connection is said to be good: %v", name, went)
		}
		if !f.attempt.Permit.Claimed() {
			t.Errorf("%s: written without its permit", name)
		}
	}
}

// What is revoked, or whose backend leaves, while it waits for its connection is never written.
func TestRevokedAttemptsAreNotWritten(t *testing.T) {
	t.Parallel()
	for name, spoil := range map[string]func(f *pendingAttempt, l *backendConn){
		"answered": func(f *pendingAttempt, _ *backendConn) { f.attempt.Permit.Revoke() },
		"draining": func(_ *pendingAttempt, l *backendConn) { l.backend = engine.NewBackend("s-1", "127.0.0.1:1", false) },
	} {
		l := newManualEngine(t, nil)
		near, far := net.Pipe()
		b := engine.NewBackend("s-1", "127.0.0.1:1", true)
		conn := newBackendConn(l.carrier, b, func() {})
		f := &pendingAttempt{attempt: &engine.Attempt{Backend: b}, msgid: 1, payload: &payload{method: "m"}}
		spoil(f, conn)
		if !conn.write(near, f) || f.written.Load() {
			t.Errorf("%s: it was written", name)
		}
		near.Close()
		if n, _ := io.Copy(io.Discard, far); n != 0 {
			t.Errorf("%s: %d bytes went out", name, n)
		}
	}
}

// Msgids go round at 2^32, and pass over those that are open or may be answered yet.
func TestMsgidsWrapAround(t *testing.T) {
	t.Parallel()
	l := &backendConn{pending: map[uint32]*pendingAttempt{0: nil, 2: nil}, abandoned: map[uint32]struct{}{1: {}}, lastMsgid: 1<<32 - 2}
	if a, b := l.newMsgid(), l.newMsgid(); a != 1<<32-1 || b != 3 {
		t.Errorf("after 2^32-2: %d, %d", a, b)
	}
}

// A backend that lets calls run out of time gets fewer at once on its connection, and
// more again with its answers.
func TestWindowFollowsTheBackend(t *testing.T) {
	t.Parallel()
	addr := testutil.ClosedAddr(t)
	l := newManualEngine(t, func(c *Config) { c.Backend.MaxPipeline, c.Backend.MaxConnections = 8, 1 }, readyEntry(addr))
	b := l.Backend("s-1")
	conn := newBackendConn(l.carrier, b, func() {})
	for range 3 {
		f := &pendingAttempt{attempt: &engine.Attempt{Backend: b}, msgid: conn.newMsgid()}
		conn.pending[f.msgid] = f
		f.attempt.Permit.TryClaim()
		conn.abandon(f)
	}
	if conn.window != 1 || len(conn.abandoned) != 3 || len(conn.pending) != 0 {
		t.Errorf("window %v, %d without an owner", conn.window, len(conn.abandoned))
	}
	conn.onReply(message{id: 2, error: nilValue, result: nilValue})
	if l.carrier.counters.LateReplies.Load() != 1 || len(conn.abandoned) != 2 {
		t.Error("a late reply was not taken as one")
	}
	conn.onReply(message{id: 99, error: nilValue, result: nilValue})
	if l.carrier.counters.UnknownReplies.Load() != 1 {
		t.Error("a reply to nothing was not counted")
	}
	for range maxAbandoned {
		f := &pendingAttempt{attempt: &engine.Attempt{Backend: b}, msgid: conn.newMsgid()}
		conn.pending[f.msgid] = f
		f.attempt.Permit.TryClaim()
		conn.abandon(f)
	}
	if !conn.retired {
		t.Error("a connection full of abandoned calls goes on")
	}
}

// Connections are bounded: to a backend, and in all; where all are full, a call is
// rejected as one that never ran.
func TestConnectionBounds(t *testing.T) {
	t.Parallel()
	addr := silentBackend(t)
	l := newManualEngine(t, func(c *Config) {
		c.Backend.MaxPipeline, c.Backend.MaxConnections, c.Backend.MaxTotalConnections = 1, 2, 2
	}, readyEntry(addr))
	b := l.Backend("s-1")
	first, second := l.carrier.connectionFor(b), func() *backendConn {
		l.carrier.connections[b][0].pending[1] = &pendingAttempt{}
		return l.carrier.connectionFor(b)
	}()
	if first == nil || second == nil || first == second || l.carrier.Connections() != 2 {
		t.Fatalf("%d connections", l.carrier.Connections())
	}
	second.pending[1] = &pendingAttempt{}
	if l.carrier.connectionFor(b) != nil || l.carrier.Connections() != 2 {
		t.Error("one more was opened")
	}
	delete(first.pending, 1)
	delete(second.pending, 1)
}

// silentBackend is a backend that takes connections and says nothing.
func silentBackend(t testing.TB) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
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
			t.Cleanup(func() { c.Close() })
		}
	}()
	return ln.Addr().String()
}

// echoBackend answers every call with its parameters.
func echoBackend(t testing.TB) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
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
				answerAll(c)
			}()
		}
	}()
	return ln.Addr().String()
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

// A call goes out and its answer comes back; what is idle for long ends.
func TestCarrierAnswersAndRetiresIdle(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t, nil, readyEntry(echoBackend(t)))
	c := l.call(0, []byte{7})
	l.until(t, "the answer", func() bool { return len(c.answers) == 1 })
	if r, ok := c.answers[0].Reply.(*reply); !ok || !bytes.Equal(r.result, []byte{0x91, 7}) {
		t.Errorf("%+v", c.answers)
	}
	if l.carrier.Connections() != 1 || l.OpenCalls() != 0 {
		t.Errorf("%d connections, %d open", l.carrier.Connections(), l.OpenCalls())
	}
	l.Dispatch(func() { l.carrier.CloseExpired(l.Now() + time.Hour) })
	l.until(t, "the connection's end", func() bool { return l.carrier.Connections() == 0 })
}

// BenchmarkCall is one call through front, engine and carrier, over real sockets.
func BenchmarkCall(b *testing.B) {
	l := newManualEngine(b, func(c *Config) { c.DefaultTenant, c.Methods = "obala", []Method{{Name: "m", Class: "lot-list"}} }, readyEntry(echoBackend(b)))
	cfg := DefaultConfig()
	cfg.DefaultTenant, cfg.Methods = "obala", []Method{{Name: "m", Class: "lot-list"}}
	f := NewServer(l.Engine, l.carrier, &cfg, new(Counters))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go l.Run(ctx)
	served := make(chan error, 1)
	go func() { served <- f.Serve(ln) }()
	b.Cleanup(func() {
		ln.Close()
		f.Close()
		cancel()
		<-l.Done()
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
