package simnet

import (
	"io"
	"sync"
	"time"
)

// windowBytes limits the bytes in flight and unread in one direction.
const windowBytes = 256 << 10

// stream is one direction of a connection.
type stream struct {
	network  *Network
	from, to string // IPs
	server   string // the listening address of the connection

	mu       sync.Mutex // guards all below
	segments []segment
	bytes    int
	finished bool          // closed for writing
	failure  error         // why the connection failed, or nil
	changed  chan struct{} // closed and replaced at each change
}

// segment holds the bytes of one write.
type segment struct {
	data      []byte // empty: end of the stream
	arrivesAt time.Time
}

func newStream(n *Network, from, to, server string) *stream {
	return &stream{network: n, from: from, to: to, server: server, changed: make(chan struct{})}
}

// notify wakes all goroutines that wait for a change. The caller holds the lock.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// enqueue appends a segment, which arrives no earlier than the one before. The caller holds the lock.
func (s *stream) enqueue(data []byte) {
	arrivesAt := time.Now()
	if s.from != s.to {
		arrivesAt = arrivesAt.Add(s.network.reserveLink(s.from, len(data)) + s.network.drawDelay())
	}
	if n := len(s.segments); n > 0 && s.segments[n-1].arrivesAt.After(arrivesAt) {
		arrivesAt = s.segments[n-1].arrivesAt
	}
	s.segments = append(s.segments, segment{data, arrivesAt})
	s.bytes += len(data)
	s.network.traffic.add(Flow{From: s.from, To: s.to, Server: s.server, Kind: "tcp"}, len(data))
	s.notify()
}

// fail ends the stream immediately. Both ends see the error of the first call.
func (s *stream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure == nil {
		s.failure = err
		s.notify()
	}
}

// finish marks the end of the stream, after the bytes already written.
func (s *stream) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.finished {
		s.finished = true
		s.enqueue(nil)
	}
}

// pending holds what a reader without data waits for: a time, a change of the stream, or a change of partitions.
type pending struct {
	wait       time.Duration // until the next segment arrives; negative: none is due
	changed    <-chan struct{}
	partitions <-chan struct{}
}

// read reads bytes that have arrived. If it returns neither bytes nor an error, pending holds what to wait for.
func (s *stream) read(p []byte) (int, pending, error) {
	open, partitions := s.network.passes(s.from, s.to)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return 0, pending{}, s.failure
	}
	if len(s.segments) == 0 || !open {
		return 0, pending{-1, s.changed, partitions}, nil
	}
	first := &s.segments[0]
	wait := time.Until(first.arrivesAt)
	if wait > 0 {
		return 0, pending{wait, s.changed, partitions}, nil
	}
	if len(first.data) == 0 {
		return 0, pending{}, io.EOF
	}
	n := copy(p, first.data)
	first.data = first.data[n:]
	s.bytes -= n
	if len(first.data) == 0 {
		s.segments = s.segments[1:]
	}
	s.notify()
	return n, pending{}, nil
}

// unread reports whether unread bytes have arrived, and whether the stream has ended or failed.
func (s *stream) unread() (bytes, end bool) {
	open, _ := s.network.passes(s.from, s.to)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range s.segments {
		if !open || time.Until(part.arrivesAt) > 0 {
			break
		}
		if len(part.data) == 0 {
			end = true
		} else {
			bytes = true
		}
	}
	return bytes, end || s.failure != nil
}

// write writes as many bytes as the window has room for. If it is full, the returned channel is closed at the next change.
func (s *stream) write(p []byte) (int, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil || s.finished {
		return 0, nil, opError("write", "tcp", errClosedByPeer)
	}
	free := windowBytes - s.bytes
	if free <= 0 {
		return 0, s.changed, nil
	}
	n := min(free, len(p))
	s.enqueue(append([]byte(nil), p[:n]...))
	return n, nil, nil
}
