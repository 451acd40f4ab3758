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

// misbehavingRPCBackend answers calls as drawn from a seed: correctly, late and out of order, in pieces, twice, or like
// a broken server.
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

// The strange ways of answering.
const (
	strangeTwice = iota
	strangeNobodys
	strangePieces
	strangeHalf
	strangeNoise
	strangeReset
	strangeShort
	strangeFailure
	strangeWays // the number of ways
)

// rpcConn is a connection on which answers are not interleaved.
type rpcConn struct {
	net.Conn
	mu sync.Mutex
}

// write writes an answer in two pieces, split at cut. A write error shows as a call without an answer.
func (c *rpcConn) write(text []byte, cut int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Write(text[:cut])
	_, _ = c.Write(text[cut:])
}

// writeLast writes the last bytes and closes the connection, so that no later answer follows them.
func (c *rpcConn) writeLast(text []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Write(text) // as in write
	c.Close()
}

func rpcMessage(parts ...any) []byte {
	text, err := msgpack.Marshal(parts)
	if err != nil {
		panic(err) // numbers and strings can always be encoded
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
	case strangeNobodys: // with the id of a call that was never made
		c.write(append(rpcMessage(1, q.id+100_000, nil, "nobody's"), good...), 0)
	case strangePieces:
		c.write(good, 1+b.draw(len(good)-1))
	case strangeHalf: // part of it, and then the connection is closed
		c.writeLast(good[:1+b.draw(len(good)-1)])
		return false
	case strangeNoise: // a message of another kind, followed by noise
		c.write(append(rpcMessage(2, "notice", []any{1}), 0xc1), 0)
		return false
	case strangeReset:
		reset(c.Conn)
		return false
	case strangeShort: // an answer with too few elements
		c.write(rpcMessage(1, q.id, nil), 0)
	case strangeFailure:
		c.write(rpcMessage(1, q.id, map[string]any{"$failed": true, "message": "error"}, nil), 0)
	}
	return true
}

// Guards against a stand-in that writes the answer to another call right after half an answer: a proxy can't tell the
// two from one answer.
func TestStandInWritesNothingBehindHalfAnAnswer(t *testing.T) {
	t.Parallel()
	near, far := net.Pipe()
	read := make(chan []byte, 1)
	go func() {
		text, _ := io.ReadAll(far) // until the connection is closed
		read <- text
	}()
	b := &misbehavingRPCBackend{rng: rand.New(rand.NewPCG(drawnSeed(t), 0))}
	c := &rpcConn{Conn: near}
	good := rpcMessage(1, uint32(1), nil, []any{"call-1"})
	goesOn := b.answerStrangely(c, scripted{id: 1}, good, strangeHalf)
	c.write(rpcMessage(1, uint32(2), nil, []any{"call-2"}), 0) // may become due before serve's caller closes the connection
	near.Close()
	text := receive(t, read, "the connection's end")
	if goesOn || len(text) == 0 || len(text) >= len(good) || !bytes.HasPrefix(good, text) {
		t.Errorf("%q came in place of the first part of %q", text, good)
	}
}

// rpcCaller makes concurrent calls on its own connections, and checks each answer by the parameters of the call.
type rpcCaller struct {
	t    *testing.T
	p    *running
	rng  *rand.Rand
	tell *exchangeCounts
}

// connection makes count calls on one connection, or leaves in the middle of a call.
func (m *rpcCaller) connection(count int) {
	conn, err := net.DialTimeout("tcp", m.p.rpc, waitTimeout)
	if err != nil {
		m.t.Error(err)
		return
	}
	if m.rng.IntN(12) == 0 { // it leaves in the middle of a call
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
		token := fmt.Sprint("call-", lastRequestID.Add(1))
		method := "list"
		if m.rng.IntN(2) == 0 {
			method = "post.bid"
		}
		answers[token], _ = client.Call(method, token) // if the connection has ended, the answer is an error
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

// Callers and backends misbehave over MessagePack-RPC as drawn from a seed. Each answer must belong to its call, or be
// an error. RPC_EXCHANGES sets the number of calls, to run more than CI does.
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
		t.Errorf("%d good answers and %d strange ones in %d exchanges: the test proves little", counts.good.Load(), strange, exchanges)
	}
}
