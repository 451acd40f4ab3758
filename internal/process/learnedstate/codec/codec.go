// Package codec puts what was learnt in bytes, versioned and checked, and reads it again, whole
// or not at all. It never judges what it says.
package codec

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/vmihailenco/msgpack/v5"

	"marlreel/internal/process/learnedstate"
)

// The form: a frame (see Seal) around MessagePack. A version that is not known is turned down
// whole: fields are in order and have no names.
const (
	magic   = "MRLT"
	version = 1
	header  = len(magic) + 2 + 4 + 4

	// MaxBytes is the length of a state at most, all in all.
	MaxBytes = 4 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode puts a state in words.
func Encode(s *learnedstate.State) ([]byte, error) {
	body, err := msgpack.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if len(body) > MaxBytes-header {
		return nil, fmt.Errorf("state: %d bytes, %d at most", len(body), MaxBytes-header)
	}
	return Seal(magic, version, body), nil
}

// Seal puts a body into a frame: magic, version, length and CRC-32C of what follows.
func Seal(magic string, version uint16, body []byte) []byte {
	out := append(make([]byte, 0, header+len(body)), magic...)
	out = binary.BigEndian.AppendUint16(out, version)
	out = binary.BigEndian.AppendUint32(out, uint32(len(body)))
	out = binary.BigEndian.AppendUint32(out, crc32.Checksum(body, castagnoli))
	return append(out, body...)
}

// Open gives the body of a frame that is whole, of this magic and version, and no longer than most.
func Open(magic string, version uint16, maxBytes int, data []byte) ([]byte, error) {
	if len(data) < header || string(data[:len(magic)]) != magic {
		return nil, fmt.Errorf("it does not begin as a %s file does", magic)
	}
	fields := data[len(magic):]
	if v := binary.BigEndian.Uint16(fields); v != version {
		return nil, fmt.Errorf("version %d, %d is known here", v, version)
	}
	n, sum, body := binary.BigEndian.Uint32(fields[2:]), binary.BigEndian.Uint32(fields[6:]), data[header:]
	if uint64(n) != uint64(len(body)) || len(data) > maxBytes {
		return nil, fmt.Errorf("%d bytes where it says %d", len(body), n)
	}
	if got := crc32.Checksum(body, castagnoli); got != sum {
		return nil, fmt.Errorf("it is damaged: sum %08x, not %08x", got, sum)
	}
	return body, nil
}

// Decode reads a state, whole and checked, or says what is wrong with it.
func Decode(data []byte) (s *learnedstate.State, err error) {
	// The reader of the body meets only what carries the right sum; but a sum is no proof.
	defer func() {
		if p := recover(); p != nil {
			s, err = nil, fmt.Errorf("state: %v", p)
		}
	}()
	body, err := Open(magic, version, MaxBytes, data)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	s = new(learnedstate.State)
	if err := msgpack.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	return s, nil
}
