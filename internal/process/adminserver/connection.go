package adminserver

import (
	"bufio"
	"bytes"
	"container/list"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	headReadTimeout = 2 * time.Second // for a request's head
	writeTimeout    = time.Second     // for a response; a client that doesn't read it is disconnected
	maxHeadBytes    = 4 << 10
)

// response is the HTTP response to a request.
type response struct {
	status int
	allow  string // the Allow header; "" omits it
	body   []byte
}

// serveConn reads one request from a connection, answers it and closes the connection.
func (s *Server) serveConn(conn net.Conn, element *list.Element) {
	defer conn.Close()                                        //nolint:errcheck // the client has its response or has disconnected
	_ = conn.SetReadDeadline(time.Now().Add(headReadTimeout)) // fails only on a closed connection, as the read does
	request, err := http.ReadRequest(bufio.NewReaderSize(io.LimitReader(conn, maxHeadBytes), 512))
	if !s.onRequestRead(element) {
		return
	}
	defer s.onAnswered()
	var netErr net.Error
	if errors.As(err, &netErr) || errors.Is(err, io.EOF) {
		return // the client was too slow, sent nothing or has disconnected, so no response is needed
	}
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))    // as above
	_, _ = conn.Write(encodeResponse(s.respond(request, err))) // a failed write means that the client has disconnected
	if request != nil && request.ContentLength != 0 {
		discardBody(conn)
	}
}

// discardBody reads a bounded part of what follows a request's head. Closing a connection that has unread bytes
// resets it, and the client may then lose the response.
func discardBody(conn net.Conn) {
	halfCloser, ok := conn.(interface{ CloseWrite() error })
	if !ok {
		return
	}
	_ = halfCloser.CloseWrite()                            // if this fails, the read below fails too
	_ = conn.SetReadDeadline(time.Now().Add(writeTimeout)) // as above
	_, _ = io.CopyN(io.Discard, conn, maxHeadBytes)        // best effort
}

// respond returns the response to a request. A non-nil err means that the request could not be read.
func (s *Server) respond(request *http.Request, err error) response {
	if err != nil {
		return response{status: http.StatusBadRequest, body: []byte("this is no HTTP/1.1 request\n")}
	}
	handler := s.handlerOf(request.URL.Path)
	if handler == nil {
		return response{status: http.StatusNotFound, body: []byte("there are /control/ready and /control/counters\n")}
	}
	if request.Method != http.MethodGet {
		return response{status: http.StatusMethodNotAllowed, allow: http.MethodGet, body: []byte("GET is needed\n")}
	}
	status, body := handler()
	return response{status: status, body: body}
}

// handlerOf returns the handler of a path, or nil if there is none.
func (s *Server) handlerOf(path string) HandlerFunc {
	switch path {
	case "/control/ready":
		return s.handleReady
	case "/control/counters":
		return func() (int, []byte) { return http.StatusOK, s.appendMetrics(nil) }
	}
	return s.handlers[path]
}

func (s *Server) handleReady() (int, []byte) {
	if s.ready() {
		return http.StatusOK, []byte("ready\n")
	}
	return http.StatusServiceUnavailable, []byte("not ready\n")
}

func encodeResponse(r response) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n",
		r.status, http.StatusText(r.status))
	if r.allow != "" {
		b.WriteString("Allow: " + r.allow + "\r\n")
	}
	b.WriteString("Content-Length: " + strconv.Itoa(len(r.body)) + "\r\n\r\n")
	b.Write(r.body)
	return b.Bytes()
}
