package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// If a backend answers that the request is invalid, every backend would: it is not retried,
// and the backend is not blamed.
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

// An answer that never ends, with a length, in chunks or until the connection closes, costs only its own request. The
// client gets one answer that can't be taken for a complete one, and the proxy closes the backend connection.
func TestAnAnswerThatNeverEnds(t *testing.T) {
	t.Parallel()
	for name, begin := range map[string]string{
		"with a length":             "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n",
		"in chunks":                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"until the connection ends": "HTTP/1.1 200 OK\r\n\r\n",
		"in its head":               "HTTP/1.1 200 OK\r\nX-Pad: ",
	} {
		for pace, piece := range map[string]string{"byte by byte": "x", "silent": ""} {
			t.Run(name+", "+pace, func(t *testing.T) {
				t.Parallel()
				const most = 8
				ended, came := make(chan struct{}, most), make(chan string, most)
				addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
					r, ok := readRequest(in)
					if !ok {
						return
					}
					came <- r.Header.Get("X-Correlation-Id")
					io.WriteString(c, begin)
					if piece != "" && strings.Contains(begin, "chunked") {
						piece = "1\r\nx\r\n"
					}
					gone := make(chan struct{})
					go func() {
						defer close(gone)
						io.Copy(io.Discard, in) // until the proxy closes it
					}()
					every := time.NewTicker(2 * time.Millisecond)
					defer every.Stop()
					for {
						select {
						case <-gone:
							ended <- struct{}{}
							return
						case <-every.C:
							io.WriteString(c, piece)
						}
					}
				})
				p := start(t, testConfig(t, closedAddr(t), ready("s-1", addr)))
				r := newRequest(t, p, "bid", "")
				r.Header.Set("X-Time-Left", "400m")
				client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
				resp, err := client.Do(r)
				if err != nil {
					t.Fatalf("no answer: %v", err)
				}
				defer resp.Body.Close()
				if _, err := io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode == http.StatusOK {
					t.Error("it is taken for a complete answer")
				}
				receive(t, ended, "the end of the backend's connection")
				if id, n := <-came, len(came); id != r.Header.Get("X-Correlation-Id") || n > 0 {
					t.Errorf("%d more requests arrived than the bid, %s first", n, id)
				}
			})
		}
	}
}
