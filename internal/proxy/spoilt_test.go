package proxy

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
)

// A backend that says that the request is at fault is right about every backend: it
// is not sent again, and the backend is not to blame.
func TestARequestAtFaultIsNotSentAgain(t *testing.T) {
	t.Parallel()
	var n atomic.Int64
	addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		for {
			if _, ok := readRequest(in); !ok {
				return
			}
			n.Add(1)
			io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p := start(t, testConfig(t, closedAddr(t), ready("s-1", addr), ready("s-2", addr)))
	const asked = 8
	for range asked {
		status, _, _ := do(t, newRequest(t, p, "lot-list", ""))
		mustFail(t, status)
	}
	if n.Load() != asked {
		t.Errorf("%d attempts for %d requests", n.Load(), asked)
	}
	if text := p.log.String(); strings.Contains(text, "ejected") {
		t.Error(text)
	}
}
