package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	beatInterval = 1200 * time.Millisecond
	beatTimeout  = time.Second
)

// serveFunc answers one client request that was read whole from a connection. It returns false if the connection is to
// be closed.
type serveFunc func(b *backend, conn *backendConn, request *http.Request, body string) bool

// backend is a stand-in for a backend: it announces itself, answers health checks, reports and orders, and passes
// client requests to serve.
type backend struct {
	number                     int
	id, service, zone, address string
	models                     []string
	slots                      int
	cluster                    *cluster
	rec                        *record
	listener                   net.Listener
	serve                      serveFunc
	// health answers a health check, if it is set. It returns false if the connection is to be closed.
	health func(b *backend, conn *backendConn) bool

	mu     sync.Mutex
	loaded map[string]bool
	orders int
	runs   map[string]int // by the request's id
}

// backendConn is a connection from a proxy.
type backendConn struct {
	net.Conn
	late string // an answer that is written where the next one is due
}

// startBackend listens at an address of its own and announces the backend.
func startBackend(c *cluster, number int, service string, models []string, slots int, serve serveFunc) (*backend, error) {
	listener, err := net.Listen("tcp", c.ip(3, number)+":0")
	if err != nil {
		return nil, err
	}
	b := &backend{
		number: number, id: fmt.Sprintf("i-%08x", 0x5a110000+number), service: service, zone: zones[number%len(zones)], address: listener.Addr().String(),
		models: models, slots: slots, cluster: c, rec: c.rec, listener: listener, serve: serve, loaded: map[string]bool{}, runs: map[string]int{},
	}
	for _, model := range models {
		b.loaded[model] = true
	}
	go b.accept()
	go b.beat()
	return b, nil
}

func (b *backend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.handle(&backendConn{Conn: conn})
	}
}

// handle serves one request at a time on a connection.
func (b *backend) handle(conn *backendConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if conn.late != "" {
			b.rec.line("%s: one answer more than expected is written on %s, where the answer to %q is due", b.id, conn.RemoteAddr(), request.Header.Get("Request-Id"))
			_, _ = io.WriteString(conn, conn.late) // the next write fails too
			conn.late = ""
			time.Sleep(5 * time.Millisecond)
		}
		if !b.answer(conn, request, string(body)) {
			return
		}
	}
}

func (b *backend) answer(conn *backendConn, request *http.Request, body string) bool {
	switch {
	case request.URL.Path == "/health" && b.health != nil:
		return b.health(b, conn)
	case request.URL.Path == "/health":
		return b.write(conn, 200, "", "Backend-Id: "+b.id+"\r\n", "")
	case request.URL.Path == "/marlreel/report":
		return b.write(conn, 200, "", "Content-Type: application/json\r\n", b.report())
	case request.URL.Path == "/marlreel/order":
		return b.write(conn, b.order(body), "", "", "")
	}
	if expected := request.Header.Get("Expected-Backend"); expected != "" && expected != b.id {
		return b.write(conn, 421, request.Header.Get("Request-Id"), "Not-Executed: 1\r\n", "")
	}
	if b.serve == nil {
		return false
	}
	return b.serve(b, conn, request, body)
}

// write writes a whole answer. id is echoed if there is one.
func (b *backend) write(conn net.Conn, status int, id, headers, body string) bool {
	_, err := io.WriteString(conn, answerText(status, id, headers, body))
	return err == nil
}

// answerText returns a whole answer with a length.
func answerText(status int, id, headers, body string) string {
	if id != "" {
		headers = "Request-Id: " + id + "\r\n" + headers
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n%s", status, http.StatusText(status), len(body), headers, body)
}

// seal is the stamp of an answer.
func (b *backend) seal(id string) string { return "Server-Seal: " + b.id + "." + id + "\r\n" }

// ran records that the backend has begun work on a request.
func (b *backend) ran(request *http.Request) {
	id := request.Header.Get("Request-Id")
	b.mu.Lock()
	b.runs[id]++
	b.mu.Unlock()
}

// runsOf returns how often the backend has run a request.
func (b *backend) runsOf(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

func (b *backend) modelList() string {
	var list []string
	for _, model := range b.models {
		if b.loaded[model] {
			list = append(list, fmt.Sprintf(`{"name":%q,"config_version":1,"adapter_list":[]}`, model))
		}
	}
	return "[" + strings.Join(list, ",") + "]"
}

func (b *backend) report() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf(`{"phase":"both","model_list":%s,"occupied":false,"call_seq":%d,"queued":0,"active":0,"kv_in_use":0,"kv_limit":100000,"served_models":0}`,
		b.modelList(), b.orders)
}

// order answers an order: the cases need none, so another one is always under way.
func (b *backend) order(string) int { return http.StatusConflict }

// beat announces the backend until the listener is closed.
func (b *backend) beat() {
	for sequence, target := 1, 0; ; sequence++ {
		b.mu.Lock()
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"config_version":"v1","slots":%d,"state":"in_service","cold_left_ms":0,"phase":"both","model_list":%s,"call_seq":%d}`,
			b.service, b.address, b.zone, b.slots, b.modelList(), sequence)
		b.mu.Unlock()
		status, _, err := call("POST", b.cluster.control(target), "/marlreel/backends/"+b.id+"/heartbeat", nil, body, beatTimeout)
		if err != nil || status/100 != 2 {
			target++
			time.Sleep(beatInterval / 10)
			continue
		}
		time.Sleep(beatInterval)
	}
}
