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
	writeTimeout    = time.Second     // for a response: a client that doesn't read it is closed
	maxHeadBytes    = 4 << 10
)

// response is what a request is answered with.
type response struct {
	status int
	allow  string // the Allow header; "": none
	body   []byte
}

// serveConn reads the request of a connection, answers it and closes the connection.
func (s *Server) serveConn(conn net.Conn, element *list.Element) {
	defer conn.Close()                                        //nolint:errcheck // the client has its response, or is gone
	_ = conn.SetReadDeadline(time.Now().Add(headReadTimeout)) // fails only on a closed connection, as the read does
	request, err := http.ReadRequest(bufio.NewReaderSize(io.LimitReader(conn, maxHeadBytes), 512))
	if !s.onRequestRead(element) {
		return
	}
	defer s.onAnswered()
	var netErr net.Error
	if errors.As(err, &netErr) || errors.Is(err, io.EOF) {
		return // it was too slow, sent nothing or is gone: there is nobody to tell
	}
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))    // as above
	_, _ = conn.Write(encodeResponse(s.respond(request, err))) // who can't be written to is not told
	if request != nil && request.ContentLength != 0 {
		discardBody(conn)
	}
}

// discardBody reads what follows a request's head for a while. Closing over unread bytes resets the connection,
// which may keep the response from the client.
func discardBody(conn net.Conn) {
	halfCloser, ok := conn.(interface{ CloseWrite() error })
	if !ok {
		return
	}
	_ = halfCloser.CloseWrite()                            // the read below fails where this does
	_ = conn.SetReadDeadline(time.Now().Add(writeTimeout)) // as above
	_, _ = io.CopyN(io.Discard, conn, maxHeadBytes)        // any end will do
}

// respond decides what a request is answered with; err says that it could not be read.
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

// handlerOf returns the handler of a path, nil where there is none.
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
