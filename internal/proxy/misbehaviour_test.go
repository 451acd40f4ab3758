package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"marlreel/internal/discovery/platformwatch"
)

// drawnAnswer returns the body of a correct answer to a request: its id, and filler derived from the id.
func drawnAnswer(id string) []byte {
	rng := rand.New(rand.NewPCG(uint64(len(id)), uint64(id[len(id)-1])))
	lengths := []int{0, 1, 100, 5000, 70_000}
	return append([]byte(id), bytes.Repeat([]byte(id[:1]), lengths[rng.IntN(len(lengths))])...)
}

// misbehavingBackend answers as drawn from a seed: correctly, in pieces, or like a broken server.
type misbehavingBackend struct {
	mu  sync.Mutex
	rng *rand.Rand
	did [len(backendWays)]atomic.Int64
}

// backendWay answers a request that has been read completely, and returns whether to keep the connection.
type backendWay struct {
	name   string
	answer func(c net.Conn, id string, pieces func([]byte) error) bool
}

func sized(body []byte, fields string) []byte {
	return append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", fields, len(body)), body...)
}

func inChunks(body []byte) []byte {
	out := []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for len(body) > 0 {
		n := min(len(body), 3000)
		out = fmt.Appendf(out, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return append(out, "0\r\n\r\n"...)
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// keeps writes an answer and keeps the connection.
func keeps(text func(id string) []byte) func(net.Conn, string, func([]byte) error) bool {
	return func(_ net.Conn, id string, pieces func([]byte) error) bool { return pieces(text(id)) == nil }
}

// ends writes an answer and closes the connection.
func ends(text func(id string) []byte) func(net.Conn, string, func([]byte) error) bool {
	return func(_ net.Conn, id string, pieces func([]byte) error) bool {
		_ = pieces(text(id))
		return false
	}
}

// backendWays are the ways of answering. The first three (goodWays) are correct, and drawn most often.
var backendWays = [...]backendWay{
	{"with a length", keeps(func(id string) []byte { return sized(drawnAnswer(id), "") })},
	{"in chunks", keeps(func(id string) []byte { return inChunks(drawnAnswer(id)) })},
	{"without framing", ends(func(id string) []byte { return append([]byte("HTTP/1.1 200 OK\r\n\r\n"), drawnAnswer(id)...) })},
	{"with an interim answer", keeps(func(id string) []byte {
		return append([]byte("HTTP/1.1 102 Processing\r\n\r\n"), sized(drawnAnswer(id), "")...)
	})},
	{"two answers in one write", keeps(func(id string) []byte {
		return append(sized(drawnAnswer(id), ""), sized([]byte("surplus"), "")...)
	})},
	{"too short", ends(func(id string) []byte { return sized(append(drawnAnswer(id), 'x'), "")[:20] })},
	{"a body too short", ends(func(id string) []byte { whole := sized(append(drawnAnswer(id), 'x'), ""); return whole[:len(whole)-1] })},
	{"a length beside chunks", ends(func(id string) []byte {
		return bytes.Replace(inChunks(drawnAnswer(id)), []byte("\r\n\r\n"), []byte("\r\nContent-Length: 3\r\n\r\n"), 1)
	})},
	{"two lengths", ends(func(id string) []byte { return sized(drawnAnswer(id), "Content-Length: 3\r\n") })},
	{"bad chunks", ends(func(id string) []byte {
		return append([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"), drawnAnswer(id)...)
	})},
	{"chunks that break off", ends(func(id string) []byte {
		whole := inChunks(append(drawnAnswer(id), "more"...))
		return whole[:len(whole)-len("re\r\n0\r\n\r\n")]
	})},
	{"events that stop inside one", ends(func(id string) []byte {
		return append(append([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: one\n\ndata: "), drawnAnswer(id)...), '\n')
	})},
	{"204 with a body behind it", keeps(func(id string) []byte {
		return append([]byte("HTTP/1.1 204 No Content\r\n\r\n"), drawnAnswer(id)...)
	})},
	{"304 with a body behind it", keeps(func(id string) []byte {
		return append([]byte("HTTP/1.1 304 Not Modified\r\n\r\n"), drawnAnswer(id)...)
	})},
	{"a body longer than its length", keeps(func(id string) []byte { return append(sized(drawnAnswer(id), ""), "more of it"...) })},
	{"a switch of protocols", ends(func(id string) []byte {
		return append([]byte("HTTP/1.1 101 Switching Protocols\r\n\r\n"), drawnAnswer(id)...)
	})},
	{"noise", ends(func(string) []byte { return []byte("\x16\x03\x01\x02\x00\x01") })},
	{"an error", keeps(func(string) []byte {
		return []byte("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno")
	})},
	{"a reset amid the answer", func(c net.Conn, id string, pieces func([]byte) error) bool {
		whole := sized(drawnAnswer(id), "")
		_ = pieces(whole[:len(whole)/2])
		reset(c)
		return false
	}},
	{"a reset in place of an answer", func(c net.Conn, _ string, _ func([]byte) error) bool { reset(c); return false }},
}

const goodWays = 3

func (b *misbehavingBackend) draw(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rng.IntN(n)
}

// pieces writes a text in up to four pieces, with pauses between them.
func (b *misbehavingBackend) pieces(c net.Conn, text []byte) error {
	for range b.draw(4) {
		n := b.draw(len(text) + 1)
		if _, err := c.Write(text[:n]); err != nil {
			return err
		}
		text = text[n:]
		time.Sleep(time.Duration(b.draw(400)) * time.Microsecond)
	}
	_, err := c.Write(text)
	return err
}

func (b *misbehavingBackend) serve(c net.Conn, in *bufio.Reader) {
	for {
		// It answers before it has read the request. That still counts as the answer to this request.
		if b.draw(400) == 0 {
			if _, err := in.Peek(1); err != nil {
				return
			}
			_ = b.pieces(c, []byte("HTTP/1.1 413 Content Too Large\r\nContent-Length: 5\r\n\r\nearly"))
			reset(c)
			return
		}
		r, ok := readRequest(in)
		if !ok {
			return
		}
		way := b.draw(goodWays)
		if b.draw(20) == 0 {
			way = b.draw(len(backendWays))
		}
		b.did[way].Add(1)
		id := r.Header.Get("X-Correlation-Id")
		if !backendWays[way].answer(c, id, func(text []byte) error { return b.pieces(c, text) }) {
			return
		}
	}
}

// misbehavingClient sends requests as drawn from a seed: correctly, several in one write, in pieces, with its sending
// side closed, or leaving at any byte.
type misbehavingClient struct {
	t    *testing.T
	p    *running
	rng  *rand.Rand
	tell *exchangeCounts
}

// exchangeCounts counts exchanges by outcome.
type exchangeCounts struct{ good, refused, cut, left atomic.Int64 }

func (m *misbehavingClient) request(id string) []byte {
	if m.rng.IntN(2) == 0 {
		return fmt.Appendf(nil, "GET /lot-list/7f3a9c21 HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %s\r\nX-Account: obala\r\n"+
			"X-Time-Left: 5000m\r\n\r\n", id)
	}
	return fmt.Appendf(nil, "POST /bid/7f3a9c21 HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %s\r\nX-Account: obala\r\n"+
		"X-Time-Left: 5000m\r\nContent-Length: 40\r\n\r\n%040d", id, 7)
}

// connection sends count requests on one connection, and checks each answer by its id.
func (m *misbehavingClient) connection(count int) {
	c, err := net.Dial("tcp", m.p.addr)
	if err != nil {
		m.t.Error(err)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	var ids []string
	var text []byte
	for range count {
		id := fmt.Sprintf("%016x", lastRequestID.Add(1))
		ids = append(ids, id)
		text = append(text, m.request(id)...)
	}
	switch m.rng.IntN(8) {
	case 0: // it leaves between any two bytes
		_, _ = c.Write(text[:m.rng.IntN(len(text)+1)])
		if m.rng.IntN(2) == 0 {
			time.Sleep(time.Duration(m.rng.IntN(2000)) * time.Microsecond)
		}
		reset(c)
		m.tell.left.Add(int64(count))
		return
	case 1: // in pieces
		for len(text) > 0 {
			n := min(len(text), 1+m.rng.IntN(200))
			if _, err := c.Write(text[:n]); err != nil {
				break
			}
			text = text[n:]
			time.Sleep(time.Duration(m.rng.IntN(300)) * time.Microsecond)
		}
	case 2: // it closes its sending side, and reads
		_, _ = c.Write(text)
		_ = c.(*net.TCPConn).CloseWrite()
	default:
		_, _ = c.Write(text) // an error shows as missing answers
	}
	m.readAnswers(c, ids)
}

// readAnswers reads the answers to the requests in order.
func (m *misbehavingClient) readAnswers(c net.Conn, ids []string) {
	in := bufio.NewReader(c)
	for i, id := range ids {
		resp, err := http.ReadResponse(in, &http.Request{Method: http.MethodGet})
		if err != nil {
			if isTimeout(err) {
				m.t.Errorf("no answer and no end to request %s", id)
			}
			m.tell.cut.Add(int64(len(ids) - i))
			return
		}
		body, err := io.ReadAll(resp.Body)
		switch {
		case err != nil:
			m.tell.cut.Add(int64(len(ids) - i))
			return
		case resp.StatusCode != http.StatusOK:
			m.tell.refused.Add(1)
		case !bytes.Equal(body, drawnAnswer(id)):
			m.t.Errorf("request %s is answered by %d bytes: %.40q", id, len(body), body)
		default:
			m.tell.good.Add(1)
		}
		if resp.Close {
			m.tell.cut.Add(int64(len(ids) - i - 1))
			return
		}
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Clients and backends misbehave as drawn from a seed. Each answer must belong to its request and be complete, or there
// is none. EXCHANGES sets the number of exchanges, to run more than CI does.
func TestDrawnMisbehaviour(t *testing.T) {
	t.Parallel()
	const callers, backends = 12, 8
	exchanges := drawnCount(t, "EXCHANGES", 4000)
	seed := drawnSeed(t)
	var all []*misbehavingBackend
	var list []platformwatch.Instance
	for i := range backends {
		b := &misbehavingBackend{rng: rand.New(rand.NewPCG(seed, uint64(i)))}
		all = append(all, b)
		list = append(list, ready(fmt.Sprint("s-", i), rawBackend(t, b.serve)))
	}
	p := start(t, testConfig(t, closedAddr(t), list...))
	counts := &exchangeCounts{}
	var ended sync.WaitGroup
	for i := range callers {
		ended.Go(func() {
			m := &misbehavingClient{t: t, p: p, rng: rand.New(rand.NewPCG(seed, uint64(1000+i))), tell: counts}
			for asked := 0; asked < exchanges/callers && !t.Failed(); {
				count := 1 + m.rng.IntN(4)
				m.connection(count)
				asked += count
			}
		})
	}
	ended.Wait()
	t.Logf("%d good answers, %d refused or failed, %d cut off, %d left", counts.good.Load(), counts.refused.Load(), counts.cut.Load(), counts.left.Load())
	if counts.good.Load() < int64(exchanges)/4 {
		t.Errorf("only %d of %d exchanges had a good answer: the test proves little", counts.good.Load(), exchanges)
	}
	var unplayed []string
	for way := range backendWays {
		total := int64(0)
		for _, b := range all {
			total += b.did[way].Load()
		}
		if total == 0 {
			unplayed = append(unplayed, backendWays[way].name)
		}
	}
	if len(unplayed) > 0 {
		t.Errorf("never drawn: %s", strings.Join(unplayed, ", "))
	}
}
