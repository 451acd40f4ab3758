package standin

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func (n *Node) body(s *Send) string {
	return Body(n.cfg.ID, s.ID, n.size(s.ID, s.Class))
}

func (n *Node) spoilReply(x *exchange, s *Send, how Spoil) {
	switch how {
	case SpoilNoise:
		n.write(x, s, http.StatusOK, []byte("\x16\x03\x01 this is no HTTP\r\n\r\n"), true)
	case SpoilCut:
		data := message(http.StatusOK, nil, n.body(s))
		n.write(x, s, http.StatusOK, data[:len(data)-answerSize/2], true)
	case SpoilHuge:
		n.write(x, s, http.StatusOK, []byte("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"+strings.Repeat("x", LargeFrom)), true)
	case SpoilEmpty:
		n.write(x, s, http.StatusOK, nil, true)
	default:
		if size := n.size(s.ID, s.Class); size > LargeFrom {
			rate, chunked := 0, false
			if n.cfg.Gives != nil {
				rate, chunked = n.cfg.Gives(s.Class)
			}
			n.replyLarge(x, s, size, rate, chunked)
			return
		}
		n.reply(x, s, http.StatusOK, nil, n.body(s))
	}
}

func (n *Node) reply(x *exchange, s *Send, status int, headers []string, text string) {
	if len(n.cfg.Report) > 0 && status == http.StatusOK {
		headers = append(headers[:len(headers):len(headers)], "X-Backend-Load: "+n.load())
	}
	n.write(x, s, status, message(status, headers, text), x.last)
}

func message(status int, headers []string, text string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(text))
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	b.WriteString("\r\n" + text)
	return []byte(b.String())
}

// write sends a response, unless the node was cut off in the meantime.
func (n *Node) write(x *exchange, s *Send, status int, data []byte, last bool) {
	if x.path.Delay > 0 {
		time.Sleep(x.path.Delay)
	}
	if n.Vanished() {
		return
	}
	if s != nil {
		effect := ""
		switch status {
		case http.StatusInternalServerError:
			effect = Failed
		case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
			effect = TurnedAway // the answer proves that nothing ran
		}
		n.cfg.Journal.end(s, effect, status, n.cfg.Clock.Now())
	}
	// The idle time starts now. It is set before the response is written, as the next
	// request may arrive before the next statement runs.
	n.idle(x.c)
	x.idleSince = n.cfg.Clock.Now()
	if s != nil && !last {
		n.mu.Lock()
		last = n.network.CloseRate > 0 && chance(s.ID, n.cfg.ID, "close") < n.network.CloseRate
		n.mu.Unlock()
	}
	x.c.SetWriteDeadline(time.Now().Add(5 * time.Second))
	x.c.Write(data)
	if last {
		x.last = true
		x.c.Close()
	}
}

// timeLeft parses a number with the unit m (milliseconds) or u (microseconds).
func timeLeft(s string) (time.Duration, error) {
	if s == "" {
		return 0, errors.New("no time")
	}
	n, err := strconv.ParseFloat(s[:len(s)-1], 64)
	if err != nil || !(n > 0 && n < 1e12) {
		return 0, fmt.Errorf("time %q", s)
	}
	switch s[len(s)-1] {
	case 'm':
		return time.Duration(n * float64(time.Millisecond)), nil
	case 'u':
		return time.Duration(n * float64(time.Microsecond)), nil
	}
	return 0, fmt.Errorf("time %q", s)
}

// chance hashes words to a number from 0 to 1, the same in every run.
func chance(words ...string) float64 {
	f := fnv.New64a()
	for _, w := range words {
		io.WriteString(f, w)
		f.Write([]byte{0})
	}
	x := f.Sum64()
	x ^= x >> 31 // mixes the last words into the high bits
	x *= 0x9e3779b97f4a7c15
	x ^= x >> 29
	return float64(x>>11) / (1 << 53)
}

// Body returns a response body that identifies the node and the request, so that CheckBody can verify it.
func Body(node, id string, size int) string {
	head := fmt.Sprintf("node %s answers %s with %016x\n", node, id, sum(node, id))
	return head + strings.Repeat(".", max(0, size-len(head)))
}

func sum(node, id string) uint64 {
	return uint64(chance(node, id, "answer") * (1 << 53))
}

// CheckBody returns the node that made a response body for the request with this ID, and false
// if the body is not one that Body made for it.
func CheckBody(id, body string) (node string, ok bool) {
	line, _, _ := strings.Cut(body, "\n")
	f := strings.Fields(line)
	if len(f) != 6 || f[3] != id || f[5] != fmt.Sprintf("%016x", sum(f[1], id)) {
		return "", false
	}
	return f[1], true
}
