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
	"marlreel/internal/process/logs"
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

func ready(name, addr string) engine.Entry {
	return engine.Entry{Name: name, Addr: addr, State: balancer.Ready, Weight: 1}
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
func TestHalfWritten(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		read int // bytes that the backend takes; -1 is all
		want balancer.Result
	}{"half": {50_000, balancer.ConnectFailed}, "whole": {-1, balancer.Reset}} {
		l := newManualEngine(t, nil)
		near, far := net.Pipe() // which hands over byte for byte
		b := engine.NewBackend("s-1", "127.0.0.1:1", true)
		link := &backendConn{
			carrier: l.carrier, backend: b, pending: map[uint32]*pendingAttempt{}, abandoned: map[uint32]struct{}{}, window: 1,
			cancel: func() {}, wake: make(chan struct{}, 1),
		}
		body := &payload{method: "m", args: append([]byte{0xc6, 0, 1, 0, 0}, make([]byte, 1<<16)...), count: 1}
		f := &pendingAttempt{attempt: &engine.Attempt{Backend: b, Deadline: time.Now().Add(time.Minute)}, msgid: 1, payload: body}
		go func() {
			if c.read < 0 {
				io.CopyN(io.Discard, far, int64(len(body.encode(1, 0))))
			} else {
				io.CopyN(io.Discard, far, int64(c.read))
			}
			far.Close()
		}()
		went := link.writeAttempt(near, f)
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
func TestNothingIsWrittenAfterTheLastLook(t *testing.T) {
	t.Parallel()
	for name, spoil := range map[string]func(f *pendingAttempt, l *backendConn){
		"answered": func(f *pendingAttempt, _ *backendConn) { f.attempt.Permit.Revoke() },
		"draining": func(_ *pendingAttempt, l *backendConn) { l.backend = engine.NewBackend("s-1", "127.0.0.1:1", false) },
	} {
		l := newManualEngine(t, nil)
		near, far := net.Pipe()
		b := engine.NewBackend("s-1", "127.0.0.1:1", true)
		link := &backendConn{carrier: l.carrier, backend: b, pending: map[uint32]*pendingAttempt{}, abandoned: map[uint32]struct{}{}, cancel: func() {}, wake: make(chan struct{}, 1)}
		f := &pendingAttempt{attempt: &engine.Attempt{Backend: b}, msgid: 1, payload: &payload{method: "m"}}
		spoil(f, link)
		if !link.writeAttempt(near, f) || f.written.Load() {
			t.Errorf("%s: it was written", name)
		}
		near.Close()
		if n, _ := io.Copy(io.Discard, far); n != 0 {
			t.Errorf("%s: %d bytes went out", name, n)
		}
	}
}

// Msgids go round at 2^32, and pass over those that are open or may be answered yet.
func TestMsgidsGoRound(t *testing.T) {
	t.Parallel()
	l := &backendConn{pending: map[uint32]*pendingAttempt{0: nil, 2: nil}, abandoned: map[uint32]struct{}{1: {}}, lastMsgid: 1<<32 - 2}
	if a, b := l.newMsgid(), l.newMsgid(); a != 1<<32-1 || b != 3 {
		t.Errorf("after 2^32-2: %d, %d", a, b)
	}
}

// A backend that lets calls run out of time gets fewer at once on its connection, and
// more again with its answers.
func TestPipelineFollowsTheBackend(t *testing.T) {
	t.Parallel()
	addr := testutil.ClosedAddr(t)
	l := newManualEngine(t, func(c *Config) { c.Backend.MaxPipeline, c.Backend.MaxConnections = 8, 1 }, ready("s-1", addr))
	b := l.Backend("s-1")
	link := &backendConn{carrier: l.carrier, backend: b, pending: map[uint32]*pendingAttempt{}, abandoned: map[uint32]struct{}{}, window: 8, cancel: func() {}, wake: make(chan struct{}, 1)}
	for range 3 {
		f := &pendingAttempt{attempt: &engine.Attempt{Backend: b}, msgid: link.newMsgid()}
		link.pending[f.msgid] = f
		f.attempt.Permit.TryClaim()
		link.abandon(f)
	}
	if link.window != 1 || len(link.abandoned) != 3 || len(link.pending) != 0 {
		t.Errorf("window %v, %d without an owner", link.window, len(link.abandoned))
	}
	link.onReply(message{id: 2, error: nilValue, result: nilValue})
	if l.carrier.counters.LateReplies.Load() != 1 || len(link.abandoned) != 2 {
		t.Error("a late reply was not taken as one")
	}
	link.onReply(message{id: 99, error: nilValue, result: nilValue})
	if l.carrier.counters.UnknownReplies.Load() != 1 {
		t.Error("a reply to nothing was not counted")
	}
	for range maxAbandoned {
		f := &pendingAttempt{attempt: &engine.Attempt{Backend: b}, msgid: link.newMsgid()}
		link.pending[f.msgid] = f
		f.attempt.Permit.TryClaim()
		link.abandon(f)
	}
	if !link.retired {
		t.Error("a connection full of calls without an owner goes on")
	}
}

// Connections are bounded: to a backend, and in all; where all are full, a call is
// turned away as one that never ran.
func TestConnectionBounds(t *testing.T) {
	t.Parallel()
	addr := silentRPC(t)
	l := newManualEngine(t, func(c *Config) {
		c.Backend.MaxPipeline, c.Backend.MaxConnections, c.Backend.MaxTotalConnections = 1, 2, 2
	}, ready("s-1", addr))
	b := l.Backend("s-1")
	first, second := l.carrier.pick(b), func() *backendConn {
		l.carrier.connections[b][0].pending[1] = &pendingAttempt{}
		return l.carrier.pick(b)
	}()
	if first == nil || second == nil || first == second || l.carrier.Connections() != 2 {
		t.Fatalf("%d connections", l.carrier.Connections())
	}
	second.pending[1] = &pendingAttempt{}
	if l.carrier.pick(b) != nil || l.carrier.Connections() != 2 {
		t.Error("one more was opened")
	}
	delete(first.pending, 1)
	delete(second.pending, 1)
}

// silentRPC is a backend that takes connections and says nothing.
func silentRPC(t testing.TB) string {
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

// echo answers every call with its parameters.
func echo(t testing.TB) string {
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
				s := scanner{limits: wide}
				var buf []byte
				for {
					n, done, err := s.advance(buf)
					if err != nil {
						return
					}
					if done {
						if m, err := parseMessage(buf[:n]); err == nil {
							c.Write(appendResponse(nil, m.id, nilValue, m.params))
						}
						buf = append(buf[:0], buf[n:]...)
						s.reset()
						continue
					}
					if buf == nil {
						buf = make([]byte, 0, readBufferBytes)
					}
					if buf, err = readMore(c, buf, wide.MaxMessageBytes); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// A call goes out and its answer comes back; what is idle for long ends.
func TestCarrierServes(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t, nil, ready("s-1", echo(t)))
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

func TestConfig(t *testing.T) {
	good := DefaultConfig()
	good.Listen, good.Methods = "127.0.0.1:1", []Method{{Name: "a", Class: "bid"}}
	if err := good.Validate(); err != nil {
		t.Fatal(err)
	}
	if off := DefaultConfig(); off.Validate() != nil {
		t.Error("off is no good")
	}
	settings := testutil.Module(t)
	if err := good.CheckSettings(&settings); err != nil {
		t.Error(err)
	}
	for name, c := range map[string]struct {
		spoil func(*Config)
		want  string
	}{
		"listen":   {func(c *Config) { c.Listen = "here" }, "rpc.listen"},
		"methods":  {func(c *Config) { c.Methods = nil }, "rpc.method"},
		"a method": {func(c *Config) { c.Methods = []Method{{Name: "a"}} }, "rpc.method 1"},
		"a class":  {func(c *Config) { c.Methods[0].Class = "bit" }, "did you mean bid?"},
		"a house":  {func(c *Config) { c.DefaultTenant = "obale" }, "did you mean obala?"},
		"nesting":  {func(c *Config) { c.MaxDepth = 0 }, "rpc.nesting"},
		"pipeline": {func(c *Config) { c.Backend.MaxPipeline = -1 }, "rpc.backend.pipeline"},
		"idle":     {func(c *Config) { c.IdleTimeout = 0 }, "rpc.idle"},
	} {
		bad := good
		bad.Methods = append([]Method(nil), good.Methods...)
		c.spoil(&bad)
		err := bad.Validate()
		if err == nil {
			err = bad.CheckSettings(&settings)
		}
		if err == nil || !bytes.Contains([]byte(err.Error()), []byte(c.want)) {
			t.Errorf("%s: %v, want %s", name, err, c.want)
		}
	}
	for listed, want := range map[string]string{"10.0.0.1:5000": "10.0.0.1:6000", "10.0.0.1:65000": ""} {
		if got, _ := (&Backend{PortOffset: 1000}).rpcAddr(listed); got != want {
			t.Errorf("%s: %q, want %q", listed, got, want)
		}
	}
	if got, _ := (&Backend{Port: 7}).rpcAddr("10.0.0.1:5000"); got != "10.0.0.1:7" {
		t.Error(got)
	}
}

// BenchmarkCall is one call through front, engine and carrier, over real sockets.
func BenchmarkCall(b *testing.B) {
	l := newManualEngine(b, func(c *Config) { c.DefaultTenant, c.Methods = "obala", []Method{{Name: "m", Class: "lot-list"}} }, ready("s-1", echo(b)))
	cfg := DefaultConfig()
	cfg.DefaultTenant, cfg.Methods = "obala", []Method{{Name: "m", Class: "lot-list"}}
	f := NewServer(l.Engine, l.carrier, &cfg, logs.Discard(), new(Counters))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go l.Run(ctx)
	go f.Serve(ln)
	b.Cleanup(func() { ln.Close(); f.Close(); cancel(); <-l.Done() })
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
