package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client has received.
type answer struct {
	status   int
	header   http.Header
	body     string
	complete bool // the body has come to its end
	err      error
}

func (a answer) String() string {
	if a.err != nil && a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return fmt.Sprintf("%d, seal %q, %d bytes, complete %v", a.status, a.header.Get("Server-Seal"), len(a.body), a.complete)
}

// newID returns a new id of a request.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request over a new connection, and reads the answer.
func (s *system) send(id, path string, headers []string, body string, wait time.Duration) answer {
	s.record.add("client: sends %s to %s, %d bytes", id, path, len(body))
	a := exchange(s.front(), id, path, headers, body, wait)
	s.record.add("client: %s is answered: %v", id, a)
	return a
}

func exchange(at, id, path string, headers []string, body string, wait time.Duration) answer {
	conn, err := net.DialTimeout("tcp", at, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(wait))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: hall.example\r\nRequest-Id: %s\r\nTime-Remaining: %d\r\nContent-Length: %d\r\n%s\r\n",
		path, id, wait.Milliseconds(), len(body), strings.Join(append(headers, ""), "\r\n"))
	if _, err := io.WriteString(conn, head+body); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(data), complete: err == nil, err: err}
}
