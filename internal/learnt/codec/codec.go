// Package codec puts what was learnt in bytes, versioned and checked, and reads it again, whole
// or not at all. It never judges what it says.
package codec

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/vmihailenco/msgpack/v5"

	"marlreel/internal/learnt"
)

// The form: magic, version, length and CRC-32C of what follows, which is MessagePack. A
// version that is not known is turned down whole: fields are in order and have no names.
const (
	magic   = "MRLT"
	version = 1
	header  = len(magic) + 2 + 4 + 4

	// Most is the length of a state at most, all in all.
	Most = 4 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode puts a state in words.
func Encode(s *learnt.State) ([]byte, error) {
	body, err := msgpack.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if len(body) > Most-header {
		return nil, fmt.Errorf("state: %d bytes, %d at most", len(body), Most-header)
	}
	out := make([]byte, 0, header+len(body))
	out = append(out, magic...)
	out = binary.BigEndian.AppendUint16(out, version)
	out = binary.BigEndian.AppendUint32(out, uint32(len(body)))
	out = binary.BigEndian.AppendUint32(out, crc32.Checksum(body, castagnoli))
	return append(out, body...), nil
}

// Decode reads a state, whole and checked, or says what is wrong with it.
func Decode(data []byte) (s *learnt.State, err error) {
	// The reader of the body meets only what carries the right sum; but a sum is no proof.
	defer func() {
		if p := recover(); p != nil {
			s, err = nil, fmt.Errorf("state: %v", p)
		}
	}()
	if len(data) < header || string(data[:len(magic)]) != magic {
		return nil, errors.New("state: it does not begin as a state does")
	}
	rest := data[len(magic):]
	if v := binary.BigEndian.Uint16(rest); v != version {
		return nil, fmt.Errorf("state: version %d, %d is known here", v, version)
	}
	n, sum, body := binary.BigEndian.Uint32(rest[2:]), binary.BigEndian.Uint32(rest[6:]), data[header:]
	if uint64(n) != uint64(len(body)) || len(data) > Most {
		return nil, fmt.Errorf("state: %d bytes where it says %d", len(body), n)
	}
	if got := crc32.Checksum(body, castagnoli); got != sum {
		return nil, fmt.Errorf("state: it is damaged: sum %08x, not %08x", got, sum)
	}
	s = new(learnt.State)
	if err := msgpack.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	return s, nil
}
