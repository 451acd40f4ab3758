package msgpackrpc

import "errors"

// Limits bound what a client or a backend may send.
type Limits struct {
	MaxMessageBytes int // bytes of one message
	MaxDepth        int // arrays and maps within one another
}

// Errors of what can't be read. They end the connection: nothing after such bytes can be told apart from their
// middle.
var (
	ErrTooLong  = errors.New("the message is longer than allowed")
	ErrTooDeep  = errors.New("arrays and maps are nested deeper than allowed")
	ErrNoFormat = errors.New("0xc1 begins no MessagePack value")
	ErrMessage  = errors.New("not a MessagePack-RPC message")
)

// maxBodyBytes is more than any limit of a message, and no sum with it overflows an int.
const maxBodyBytes = 1 << 40

// scanner finds the end of one MessagePack value without decoding it. It goes on where it stopped when more bytes
// have come, so that a message that arrives byte by byte costs no more than one that arrives at once. What a header
// claims is believed only as far as bytes come: nothing is allocated for it.
type scanner struct {
	limits    Limits
	scanned   int      // bytes of the value that have been scanned
	remaining []uint64 // values still to come in each array or map that is not complete, outermost first
	started   bool
}

// reset makes the scanner ready for the next value.
func (s *scanner) reset() {
	s.scanned = 0
	s.remaining = s.remaining[:0]
	s.started = false
}

// advance goes on over data, which holds the value from its first byte. It returns the value's length and true when
// the value is complete.
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

// accept passes over a header and its body, and closes the arrays and maps that are complete with it.
func (s *scanner) accept(h header) error {
	s.started = true
	s.scanned += h.headerBytes + int(h.bodyBytes)
	depth := len(s.remaining)
	if depth > 0 {
		s.remaining[depth-1]--
	}
	if h.elements > 0 {
		if h.elements > uint64(s.limits.MaxMessageBytes-s.scanned) { // each takes a byte at least
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

// maxValueDepth bounds nothing that a scanner with a connection's limits has let through.
const maxValueDepth = 1 << 20

// valueLength is the length of the value at the start of data, which holds all of it.
func valueLength(data []byte) (int, error) {
	s := scanner{limits: Limits{MaxMessageBytes: len(data), MaxDepth: maxValueDepth}}
	n, complete, err := s.advance(data)
	if err == nil && !complete {
		err = ErrMessage
	}
	return n, err
}
