package msgpackrpc

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"time"

	"marlreel/internal/dataplane/engine"
)

const (
	// messageTimeout is the time in which the rest of a message has to arrive once it has begun, so that a client that
	// sends half a message is answered or disconnected within 3 s.
	messageTimeout = 2500 * time.Millisecond
	// answerTimeout is how long a client may read nothing of its answers.
	answerTimeout = 5 * time.Second
	// drainLinger is how long an idle connection still answers calls while the process drains. A call that was sent
	// just before its connection is closed would otherwise be lost.
	drainLinger = 500 * time.Millisecond
	// drainMethod is the notification that announces a drain.
	drainMethod = "$drain"
)

// Server accepts clients' connections. Many calls can be pending on one, and are answered in any order.
type Server struct {
	engine   *engine.Engine
	carrier  engine.Carrier
	config   *Config
	limits   Limits
	counters *Counters

	mu          sync.Mutex
	connections map[*clientConn]struct{}
	draining    bool
	drained     chan struct{} // closed when a draining server has no connection left

	goroutines sync.WaitGroup
}

// NewServer returns a server whose calls reach backends through a carrier. The configuration has been validated, also
// against the settings.
func NewServer(e *engine.Engine, carrier *Carrier, cfg *Config, counters *Counters) *Server {
	return &Server{
		engine: e, carrier: carrier, config: cfg, counters: counters,
		limits:      Limits{MaxMessageBytes: cfg.MaxMessageBytes, MaxDepth: cfg.MaxDepth},
		connections: map[*clientConn]struct{}{}, drained: make(chan struct{}),
	}
}

// Serve accepts connections until the listener is closed, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if isTimeout(err) {
			continue
		}
		if err != nil {
			return err
		}
		s.admit(conn)
	}
}

// admit serves a new connection. At the limit it first closes the idle connection whose last message is the oldest; if
// none is idle, it closes the new one.
func (s *Server) admit(conn net.Conn) {
	c := newClientConn(conn, s)
	s.mu.Lock()
	if len(s.connections) >= s.config.MaxConnections && !s.closeLongestIdle() {
		s.mu.Unlock()
		_ = conn.Close() // there is nobody to report an error to
		return
	}
	s.connections[c] = struct{}{}
	draining := s.draining
	s.mu.Unlock()
	s.goroutines.Go(c.readLoop)
	s.goroutines.Go(c.writeLoop)
	if draining {
		c.startDraining(s.config.AnnounceDrain)
	}
}

// closeLongestIdle closes the idle connection whose last message is the oldest, and returns false if none is idle.
// Called with the lock.
func (s *Server) closeLongestIdle() bool {
	var longestIdle *clientConn
	for c := range s.connections {
		if c.isIdle() && (longestIdle == nil || c.lastMessage().Before(longestIdle.lastMessage())) {
			longestIdle = c
		}
	}
	if longestIdle == nil {
		return false
	}
	delete(s.connections, longestIdle)
	longestIdle.close()
	return true
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

// StartDraining begins a graceful shutdown: new calls are rejected with code "draining", and each connection is
// closed when its pending calls are answered.
func (s *Server) StartDraining() {
	s.mu.Lock()
	s.draining = true
	var all []*clientConn
	for c := range s.connections {
		all = append(all, c)
	}
	if len(all) == 0 {
		s.closeDrained()
	}
	s.mu.Unlock()
	for _, c := range all {
		c.startDraining(s.config.AnnounceDrain)
	}
}

// closeDrained signals that no connection is left. Called with the lock.
func (s *Server) closeDrained() {
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// Shutdown waits until all connections have ended, after a call of StartDraining. It returns the context's error if the
// context ends before.
func (s *Server) Shutdown(ctx context.Context) error {
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
	}
	select {
	case <-s.drained: // both happened at once
		return nil
	default:
		return ctx.Err()
	}
}

// Close closes all connections and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	for c := range s.connections {
		c.close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

func (s *Server) onConnEnded(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
	if s.draining && len(s.connections) == 0 {
		s.closeDrained()
	}
}

// methodOf finds the entry of a method: an exact name takes precedence over a prefix, and a longer prefix over a shorter
// one. It returns nil if there is none.
func (s *Server) methodOf(name string) *Method {
	var best *Method
	for i := range s.config.Methods {
		m := &s.config.Methods[i]
		switch {
		case !m.IsPrefix && m.Name == name:
			return m
		case m.IsPrefix && strings.HasPrefix(name, m.Name) && (best == nil || len(m.Name) > len(best.Name)):
			best = m
		}
	}
	return best
}
