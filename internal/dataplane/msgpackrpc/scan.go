package msgpackrpc

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Limits bound what a peer may send.
type Limits struct {
	MaxMessageBytes int // bytes of one message
	MaxDepth        int // arrays and maps within one another
}

// Errors of what can't be read. They end the connection: nothing after such bytes can
// be told apart from their middle.
var (
	ErrTooLong  = errors.New("the message is longer than allowed")
	ErrTooDeep  = errors.New("arrays and maps are nested deeper than allowed")
	ErrNoFormat = errors.New("0xc1 begins no MessagePack value")
	ErrMessage  = errors.New("not a MessagePack-RPC message")
)

// scanner finds the end of one MessagePack value without decoding it. It goes on where
// it stopped when more bytes have come, so that a message that arrives byte by byte
// costs no more than one that arrives whole. What a header claims is believed only as
// far as bytes come: no room is taken for it.
type scanner struct {
	limits    Limits
	scanned   int      // bytes of the value that are read
	remaining []uint64 // values still to come in each open array or map, outermost first
	started   bool
}

// reset begins the next value.
func (s *scanner) reset() { s.scanned, s.remaining, s.started = 0, s.remaining[:0], false }

// advance goes on over data, which holds the value from its first byte. It gives the
// value's length and true when the value is whole.
func (s *scanner) advance(data []byte) (int, bool, error) {
	for !s.started || len(s.remaining) > 0 {
		h, err := readHeader(data[s.scanned:])
		if err != nil {
			return 0, false, err
		}
		if s.scanned+max(h.headerBytes, 1)+int(min(h.bodyBytes, 1<<40)) > s.limits.MaxMessageBytes {
			return 0, false, ErrTooLong
		}
		if h.headerBytes == 0 || len(data)-s.scanned < h.headerBytes+int(h.bodyBytes) {
			return 0, false, nil // there is more to come
		}
		s.started = true
		s.scanned += h.headerBytes + int(h.bodyBytes)
		if n := len(s.remaining); n > 0 {
			s.remaining[n-1]--
		}
		if h.elements > 0 {
			// Each value takes a byte at least.
			if h.elements > uint64(s.limits.MaxMessageBytes-s.scanned) {
				return 0, false, ErrTooLong
			}
			if len(s.remaining) >= s.limits.MaxDepth {
				return 0, false, ErrTooDeep
			}
			s.remaining = append(s.remaining, h.elements)
		}
		for len(s.remaining) > 0 && s.remaining[len(s.remaining)-1] == 0 {
			s.remaining = s.remaining[:len(s.remaining)-1]
		}
	}
	return s.scanned, true, nil
}

// kind is what a value is.
type kind uint8

const (
	kindNil kind = iota
	kindBool
	kindInt   // a signed integer, or one that fits into it
	kindUint  // an unsigned integer
	kindFloat // of 32 or 64 bits
	kindString
	kindBinary
	kindArray
	kindMap
	kindExt
)

// header is the first bytes of a value.
type header struct {
	kind        kind
	headerBytes int    // of the header itself; 0: more bytes are needed to tell
	bodyBytes   uint64 // bytes that follow it
	elements    uint64 // values that follow it: of an array, twice those of a map
	bits        uint64 // of a number or a bool
}

// readHeader reads the header at the start of data, after the MessagePack
// specification's table of formats.
func readHeader(data []byte) (header, error) {
	if len(data) == 0 {
		return header{}, nil
	}
	b := data[0]
	switch {
	case b <= 0x7f:
		return header{kind: kindInt, headerBytes: 1, bits: uint64(b)}, nil
	case b <= 0x8f:
		return header{kind: kindMap, headerBytes: 1, elements: 2 * uint64(b&0x0f)}, nil
	case b <= 0x9f:
		return header{kind: kindArray, headerBytes: 1, elements: uint64(b & 0x0f)}, nil
	case b <= 0xbf:
		return header{kind: kindString, headerBytes: 1, bodyBytes: uint64(b & 0x1f)}, nil
	case b >= 0xe0:
		return header{kind: kindInt, headerBytes: 1, bits: uint64(int64(int8(b)))}, nil
	}
	// number reads n bytes behind the first one.
	number := func(n int) (uint64, bool) {
		if len(data) < 1+n {
			return 0, false
		}
		switch n {
		case 1:
			return uint64(data[1]), true
		case 2:
			return uint64(binary.BigEndian.Uint16(data[1:])), true
		case 4:
			return uint64(binary.BigEndian.Uint32(data[1:])), true
		}
		return binary.BigEndian.Uint64(data[1:]), true
	}
	sized := func(k kind, n int) (header, error) { // a length of n bytes, then so many bytes
		v, ok := number(n)
		if !ok {
			return header{}, nil
		}
		return header{kind: k, headerBytes: 1 + n, bodyBytes: v}, nil
	}
	counted := func(k kind, n int, each uint64) (header, error) {
		v, ok := number(n)
		if !ok {
			return header{}, nil
		}
		return header{kind: k, headerBytes: 1 + n, elements: v * each}, nil
	}
	plain := func(k kind, n int, signed bool) (header, error) {
		v, ok := number(n)
		if !ok {
			return header{}, nil
		}
		if signed {
			shift := 64 - 8*uint(n)
			v = uint64(int64(v<<shift) >> shift)
		}
		return header{kind: k, headerBytes: 1 + n, bits: v}, nil
	}
	switch b {
	case 0xc0:
		return header{kind: kindNil, headerBytes: 1}, nil
	case 0xc2, 0xc3:
		return header{kind: kindBool, headerBytes: 1, bits: uint64(b & 1)}, nil
	case 0xc4, 0xc5, 0xc6:
		return sized(kindBinary, 1<<(b-0xc4))
	case 0xc7, 0xc8, 0xc9:
		h, err := sized(kindExt, 1<<(b-0xc7))
		h.bodyBytes++ // its type
		return h, err
	case 0xca:
		return plain(kindFloat, 4, false)
	case 0xcb:
		return plain(kindFloat, 8, false)
	case 0xcc, 0xcd, 0xce, 0xcf:
		return plain(kindUint, 1<<(b-0xcc), false)
	case 0xd0, 0xd1, 0xd2, 0xd3:
		return plain(kindInt, 1<<(b-0xd0), true)
	case 0xd4, 0xd5, 0xd6, 0xd7, 0xd8:
		return header{kind: kindExt, headerBytes: 1, bodyBytes: 1 + 1<<(b-0xd4)}, nil
	case 0xd9, 0xda, 0xdb:
		return sized(kindString, 1<<(b-0xd9))
	case 0xdc, 0xdd:
		return counted(kindArray, 2<<(b-0xdc), 1)
	case 0xde, 0xdf:
		return counted(kindMap, 2<<(b-0xde), 2)
	}
	return header{}, fmt.Errorf("%w", ErrNoFormat)
}

// valueLength is the length of the value at the start of data, which holds it whole.
func valueLength(data []byte) (int, error) {
	s := scanner{limits: Limits{MaxMessageBytes: len(data), MaxDepth: 1 << 20}}
	n, done, err := s.advance(data)
	if err == nil && !done {
		err = ErrMessage
	}
	return n, err
}
