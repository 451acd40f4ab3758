package proxy

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"marlreel/internal/discovery/platformwatch"
	"marlreel/internal/standin"
)

// misbehavingRPCBackend answers calls by a seed: well, late and out of their order, in pieces, twice, or in the ways of a
// broken server.
type misbehavingRPCBackend struct {
	mu      sync.Mutex
	rng     *rand.Rand
	strange atomic.Int64
}

func (b *misbehavingRPCBackend) draw(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rng.IntN(n)
}

// The strange ways of an answer.
const (
	strangeTwice = iota
	strangeNobodys
	strangePieces
	strangeHalf
	strangeNoise
	strangeReset
	strangeShort
	strangeFailure
	strangeWays // how many there are
)

// rpcConn is a connection on which answers are written whole, one after the other.
type rpcConn struct {
	net.Conn
	mu sync.Mutex
}

// write writes an answer, in pieces where that is asked for. What can't be written shows as a call without an answer.
func (c *rpcConn) write(text []byte, cut int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Write(text[:cut])
	_, _ = c.Write(text[cut:])
}

// writeLast writes the last bytes of the connection: answers that are due later are not written behind them.
func (c *rpcConn) writeLast(text []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Write(text) // as in write
	c.Close()
}

func rpcMessage(parts ...any) []byte {
	text, err := msgpack.Marshal(parts)
	if err != nil {
		panic(err) // numbers and texts always encode
	}
	return text
}

func (b *misbehavingRPCBackend) serve(conn net.Conn, d *msgpack.Decoder) {
	c := &rpcConn{Conn: conn}
	for {
		q, ok := readCall(d)
		if !ok {
			return
		}
		good := rpcMessage(1, q.id, nil, q.params)
		if b.draw(30) > 0 {
			time.AfterFunc(time.Duration(b.draw(4000))*time.Microsecond, func() { c.write(good, 0) })
			continue
		}
		b.strange.Add(1)
		if !b.answerStrangely(c, q, good, b.draw(strangeWays)) {
			return
		}
	}
}

// answerStrangely answers a call in a strange way, and returns false if the connection ends with that.
func (b *misbehavingRPCBackend) answerStrangely(c *rpcConn, q scripted, good []byte, way int) bool {
	switch way {
	case strangeTwice:
		c.write(append(good, good...), len(good))
		time.AfterFunc(time.Duration(b.draw(5000))*time.Microsecond, func() { c.write(good, 0) })
	case strangeNobodys: // to a call that nobody made
		c.write(append(rpcMessage(1, q.id+100_000, nil, "nobody's"), good...), 0)
	case strangePieces:
		c.write(good, 1+b.draw(len(good)-1))
	case strangeHalf: // half of it, and the end
		c.writeLast(good[:1+b.draw(len(good)-1)])
		return false
	case strangeNoise: // another kind of message, and noise behind it
		c.write(append(rpcMessage(2, "notice", []any{1}), 0xc1), 0)
		return false
	case strangeReset:
		reset(c.Conn)
		return false
	case strangeShort: // an answer of too few parts
		c.write(rpcMessage(1, q.id, nil), 0)
	case strangeFailure:
		c.write(rpcMessage(1, q.id, map[string]any{"$failed": true, "message": "error"}, nil), 0)
	}
	return true
}

// Guards against a stand-in that glues the answer to another call to half an answer: a proxy can't tell these from one answer.
func TestStandInWritesNothingBehindHalfAnAnswer(t *testing.T) {
	t.Parallel()
	near, far := net.Pipe()
	read := make(chan []byte, 1)
	go func() {
		text, _ := io.ReadAll(far) // what has come by the connection's end
		read <- text
	}()
	b := &misbehavingRPCBackend{rng: rand.New(rand.NewPCG(drawnSeed(t), 0))}
	c := &rpcConn{Conn: near}
	good := rpcMessage(1, uint32(1), nil, []any{"call-1"})
	goesOn := b.answerStrangely(c, scripted{id: 1}, good, strangeHalf)
	c.write(rpcMessage(1, uint32(2), nil, []any{"call-2"}), 0) // due before serve's caller has closed the connection
	near.Close()
	text := receive(t, read, "the connection's end")
	if goesOn || len(text) == 0 || len(text) >= len(good) || !bytes.HasPrefix(good, text) {
		t.Errorf("%q came in place of the first part of %q", text, good)
	}
}

// rpcCaller makes calls on connections of its own, some of them many at once, and checks each answer by its parameters.
type rpcCaller struct {
	t    *testing.T
	p    *running
	rng  *rand.Rand
	tell *exchangeCounts
}

// connection makes calls on one connection. Some end it before all answers have come.
func (m *rpcCaller) connection(count int) {
	conn, err := net.DialTimeout("tcp", m.p.rpc, patience)
	if err != nil {
		m.t.Error(err)
		return
	}
	if m.rng.IntN(12) == 0 { // it leaves amid a call
		text := rpcMessage(0, 1, "list", []any{"never read"})
		_, _ = conn.Write(text[:m.rng.IntN(len(text))])
		reset(conn)
		m.tell.left.Add(int64(count))
		return
	}
	client := standin.NewRPCClient(conn)
	defer client.Close()
	answers := map[string]<-chan standin.RPCAnswer{}
	for range count {
		token := fmt.Sprint("call-", lastName.Add(1))
		method := "list"
		if m.rng.IntN(2) == 0 {
			method = "post.bid"
		}
		answers[token], _ = client.Call(method, token) // a connection that has ended is the answer's error
	}
	for token, answer := range answers {
		a := receive(m.t, answer, "an answer")
		switch {
		case a.Err != nil:
			m.tell.cut.Add(1)
		case a.Error != nil:
			m.tell.refused.Add(1)
		case fmt.Sprint(a.Result) != fmt.Sprint([]any{token}):
			m.t.Errorf("the call of %s is answered %v", token, a.Result)
		default:
			m.tell.good.Add(1)
		}
	}
}

// Callers and backends misbehave by a seed over MessagePack-RPC: each answer is its call's own, or an error.
// RPC_EXCHANGES plays more than CI does.
func TestDrawnRPCMisbehaviour(t *testing.T) {
	t.Parallel()
	const callers, backends = 12, 6
	exchanges := drawnCount(t, "RPC_EXCHANGES", 3000)
	seed := drawnSeed(t)
	var all []*misbehavingRPCBackend
	var list []platformwatch.Instance
	for i := range backends {
		b := &misbehavingRPCBackend{rng: rand.New(rand.NewPCG(seed, uint64(i)))}
		all = append(all, b)
		list = append(list, ready(fmt.Sprint("s-", i), rpcScript(t, b.serve)))
	}
	p := startWith(t, testConfig(t, closedAddr(t), list...), rpcSettings())
	counts := &exchangeCounts{}
	var ended sync.WaitGroup
	for i := range callers {
		ended.Go(func() {
			m := &rpcCaller{t: t, p: p, rng: rand.New(rand.NewPCG(seed, uint64(1000+i))), tell: counts}
			for asked := 0; asked < exchanges/callers && !t.Failed(); {
				count := 1 + m.rng.IntN(8)
				m.connection(count)
				asked += count
			}
		})
	}
	ended.Wait()
	strange := int64(0)
	for _, b := range all {
		strange += b.strange.Load()
	}
	t.Logf("%d good answers, %d errors, %d cut off, %d left; %d answers were strange", counts.good.Load(), counts.refused.Load(),
		counts.cut.Load(), counts.left.Load(), strange)
	if counts.good.Load() < int64(exchanges)/4 || strange < int64(exchanges)/100 {
		t.Errorf("%d good answers and %d strange ones in %d exchanges: this test shows little", counts.good.Load(), strange, exchanges)
	}
}
