package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"marlreel/internal/standin/machine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds how long a test waits for an expected event. It asserts nothing about speed.
const testTimeout = 20 * time.Second

func eventually(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !reached(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// testNodeConfig returns the config of a warm node with a millisecond of work per request.
func testNodeConfig() NodeConfig {
	return NodeConfig{
		ID: "s-1", Zone: "koper", Warm: true, Journal: &Journal{},
		Machine: machine.Config{Cores: 2, Speed: 1, Slots: 8, Queue: 8},
		Demand:  func(string, string) (machine.Job, bool) { return machine.Job{Work: time.Millisecond}, true },
	}
}

func startNode(t *testing.T, cfg NodeConfig) *Node {
	t.Helper()
	if cfg.Paths == nil {
		addr, err := Address()
		if err != nil {
			t.Fatal(err)
		}
		cfg.Paths = []Path{{Addr: addr}}
	}
	n, err := StartNode(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// peer is the proxy's end of a connection.
type peer struct {
	net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, addr string) *peer {
	t.Helper()
	c, err := net.DialTimeout("tcp", addr, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &peer{c, bufio.NewReader(c)}
}

func (p *peer) send(t *testing.T, method, path, id string, headers ...string) {
	t.Helper()
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nX-Time-Left: 15000m\r\n", method, path)
	if id != "" {
		text += "X-Correlation-Id: " + id + "\r\n"
	}
	for _, h := range headers {
		text += h + "\r\n"
	}
	if method == "POST" {
		text += "Content-Length: 2\r\n\r\nok"
	} else {
		text += "\r\n"
	}
	if _, err := io.WriteString(p, text); err != nil {
		t.Fatal(err)
	}
}

func (p *peer) receive() (int, string, http.Header, error) {
	p.SetReadDeadline(time.Now().Add(testTimeout))
	resp, err := http.ReadResponse(p.in, nil)
	if err != nil {
		return 0, "", nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), resp.Header, err
}

func (p *peer) ask(t *testing.T, method, path, id string, headers ...string) (int, string, http.Header) {
	t.Helper()
	p.send(t, method, path, id, headers...)
	status, body, h, err := p.receive()
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	return status, body, h
}

// ends waits for the end of a connection and reports whether it was reset.
func (p *peer) ends(t *testing.T) (reset bool) {
	t.Helper()
	p.SetReadDeadline(time.Now().Add(testTimeout))
	for {
		_, err := p.in.ReadByte()
		if err == nil {
			continue
		}
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			t.Fatal("the connection did not end")
		}
		return strings.Contains(err.Error(), "reset")
	}
}
