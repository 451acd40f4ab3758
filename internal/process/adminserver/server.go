package adminserver

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"time"
)

// acceptRetryDelay is the pause after a failed accept, for example when file descriptors have run out.
const acceptRetryDelay = 5 * time.Millisecond

// HandlerFunc answers a GET request for a path. It may be called from any goroutine and must not block.
type HandlerFunc func() (status int, body []byte)

// Server answers the platform's requests. Create it with New.
type Server struct {
	ready          func() bool
	appendMetrics  func([]byte) []byte
	maxConnections int
	handlers       map[string]HandlerFunc // by path; read-only once Serve runs

	mu         sync.Mutex
	incomplete list.List // of net.Conn: connections without a complete request, oldest first
	openCount  int
	listener   net.Listener
	closed     bool

	connections sync.WaitGroup
}

// New creates a server. ready reports whether this process can serve; appendMetrics appends the metrics in text form
// to its argument. Both may be called from any goroutine and must not block. maxConnections limits the open
// connections; values below 1 count as 1.
func New(ready func() bool, appendMetrics func([]byte) []byte, maxConnections int) *Server {
	return &Server{
		ready: ready, appendMetrics: appendMetrics, maxConnections: max(1, maxConnections),
		handlers: map[string]HandlerFunc{},
	}
}

// Handle registers a handler for another path under /control/. Call it only before Serve.
func (s *Server) Handle(path string, handler HandlerFunc) {
	s.handlers[path] = handler
}

// Serve accepts connections until Close, then returns nil. A failed accept is retried: otherwise a temporary lack of
// file descriptors would stop the server for good.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return listener.Close()
	}
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.admit(conn)
	}
}

// admit starts to serve a connection. If maxConnections are open, it closes the oldest one without a complete
// request, or rejects the new connection if all requests are complete. Complete requests are answered within
// writeTimeout.
func (s *Server) admit(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openCount >= s.maxConnections {
		oldest := s.incomplete.Front()
		if oldest == nil {
			_ = conn.Close() // best effort
			return
		}
		s.incomplete.Remove(oldest)
		_ = oldest.Value.(net.Conn).Close() // its goroutine then fails to read, and ends
		s.openCount--
	}
	element := s.incomplete.PushBack(conn)
	s.openCount++
	s.connections.Go(func() { s.serveConn(conn, element) })
}

// onRequestRead removes a connection from the list of those without a complete request. It returns false if admit
// has already closed the connection in favour of another one; openCount then no longer includes it.
func (s *Server) onRequestRead(element *list.Element) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.incomplete.Front(); e != nil; e = e.Next() {
		if e == element {
			s.incomplete.Remove(e)
			return true
		}
	}
	return false
}

func (s *Server) onAnswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openCount--
}

// Close closes the listener and the connections without a complete request, and waits for the other responses.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close() // Serve ends even if this fails
	}
	for e := s.incomplete.Front(); e != nil; e = e.Next() {
		_ = e.Value.(net.Conn).Close() // its goroutine ends even if this fails
	}
	s.mu.Unlock()
	s.connections.Wait()
}
