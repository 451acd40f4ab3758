package adminserver

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"time"
)

// acceptRetryDelay is the pause after an accept that failed for want of descriptors.
const acceptRetryDelay = 5 * time.Millisecond

// HandlerFunc answers a GET of a path. It is called from any goroutine and must not wait.
type HandlerFunc func() (status int, body []byte)

// Server answers requests of the platform. Make it with New.
type Server struct {
	ready          func() bool
	appendMetrics  func([]byte) []byte
	maxConnections int
	handlers       map[string]HandlerFunc // by path; not changed once Serve runs

	mu         sync.Mutex
	incomplete list.List // of net.Conn: connections without a complete request, the oldest first
	openCount  int
	listener   net.Listener
	closed     bool

	connections sync.WaitGroup
}

// New makes a server. ready says whether this process can serve; appendMetrics appends the text of the metrics to
// what it is given. Both are called from any goroutine and must not wait. maxConnections is how many connections
// are open at a time, at least 1.
func New(ready func() bool, appendMetrics func([]byte) []byte, maxConnections int) *Server {
	return &Server{
		ready: ready, appendMetrics: appendMetrics, maxConnections: max(1, maxConnections),
		handlers: map[string]HandlerFunc{},
	}
}

// Handle answers another path under /control/. Call it only before Serve.
func (s *Server) Handle(path string, handler HandlerFunc) {
	s.handlers[path] = handler
}

// Serve accepts connections until Close, and returns nil then. A failure to accept is retried: a server that gives
// up when descriptors run out once would stay down for good.
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

// admit serves a connection: in place of the oldest without a complete request where maxConnections are open, and
// not at all where all of them have one. Those are answered within writeTimeout.
func (s *Server) admit(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openCount >= s.maxConnections {
		oldest := s.incomplete.Front()
		if oldest == nil {
			_ = conn.Close() // there is nobody to tell
			return
		}
		s.incomplete.Remove(oldest)
		_ = oldest.Value.(net.Conn).Close() // its goroutine sees that and ends
		s.openCount--
	}
	element := s.incomplete.PushBack(conn)
	s.openCount++
	s.connections.Go(func() { s.serveConn(conn, element) })
}

// onRequestRead takes a connection off the list of those without a complete request. It returns false when admit
// has closed the connection for another one, which counts in its stead.
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

// Close closes the listener and the connections without a complete request, and waits for the others' answers.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close() // nothing can be done about it, and Serve ends either way
	}
	for e := s.incomplete.Front(); e != nil; e = e.Next() {
		_ = e.Value.(net.Conn).Close() // its goroutine ends either way
	}
	s.mu.Unlock()
	s.connections.Wait()
}
