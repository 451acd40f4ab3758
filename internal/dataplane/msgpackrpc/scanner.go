package msgpackrpc

import "errors"

// Limits bound what a client or a backend may send.
type Limits struct {
	MaxMessageBytes int // bytes of one message
	MaxDepth        int // of nested arrays and maps
}

// Errors of malformed input. They end the connection, because the beginning of the next message can't be found.
var (
	ErrTooLong  = errors.New("the message is longer than allowed")
	ErrTooDeep  = errors.New("arrays and maps are nested deeper than allowed")
	ErrNoFormat = errors.New("0xc1 begins no MessagePack value")
	ErrMessage  = errors.New("not a MessagePack-RPC message")
)

// maxBodyBytes is more than any limit of a message, but small enough that no sum with it overflows an int.
const maxBodyBytes = 1 << 40

// scanner finds the end of one MessagePack value without decoding it. When more bytes have arrived, it goes on where it
// stopped, so that a message that arrives byte by byte costs no more than one that arrives at once. It allocates nothing
// for a length that a header claims.
type scanner struct {
	limits    Limits
	scanned   int      // bytes of the value that have been scanned
	remaining []uint64 // values missing from each incomplete array or map, outermost first
	started   bool
}

// reset prepares the scanner for the next value.
func (s *scanner) reset() {
	s.scanned = 0
	s.remaining = s.remaining[:0]
	s.started = false
}

// advance continues the scan of data, which holds the value from its first byte. It returns the value's length and true
// if the value is complete.
func (s *scanner) advance(data []byte) (int, bool, error) {
	for !s.started || len(s.remaining) > 0 {
		h, err := readHeader(data[s.scanned:])
		if err != nil {
			return 0, false, err
		}
		if s.scanned+max(h.headerBytes, 1)+int(min(h.bodyBytes, maxBodyBytes)) > s.limits.MaxMessageBytes {
			return 0, false, ErrTooLong
		}
		if h.headerBytes == 0 || len(data)-s.scanned < h.headerBytes+int(h.bodyBytes) {
			return 0, false, nil
		}
		err = s.accept(h)
		if err != nil {
			return 0, false, err
		}
	}
	return s.scanned, true, nil
}

// accept skips a header and its body, and closes the arrays and maps that they complete.
func (s *scanner) accept(h header) error {
	s.started = true
	s.scanned += h.headerBytes + int(h.bodyBytes)
	depth := len(s.remaining)
	if depth > 0 {
		s.remaining[depth-1]--
	}
	if h.elements > 0 {
		if h.elements > uint64(s.limits.MaxMessageBytes-s.scanned) { // each takes at least a byte
			return ErrTooLong
		}
		if depth >= s.limits.MaxDepth {
			return ErrTooDeep
		}
		s.remaining = append(s.remaining, h.elements)
	}
	for len(s.remaining) > 0 && s.remaining[len(s.remaining)-1] == 0 {
		s.remaining = s.remaining[:len(s.remaining)-1]
	}
	return nil
}

// maxValueDepth is more than any connection's limit of nesting, so it doesn't reject what a connection has accepted.
const maxValueDepth = 1 << 20

// valueLength returns the length of the value at the start of data, which holds all of it.
func valueLength(data []byte) (int, error) {
	s := scanner{limits: Limits{MaxMessageBytes: len(data), MaxDepth: maxValueDepth}}
	n, complete, err := s.advance(data)
	if err == nil && !complete {
		err = ErrMessage
	}
	return n, err
}
