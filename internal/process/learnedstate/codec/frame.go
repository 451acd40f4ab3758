package codec

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// frameHeader is the length of the header: magic, version, body length and checksum.
const frameHeader = len(magic) + 2 + 4 + 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// FrameError means that the data is not a complete frame.
type FrameError struct{ Reason string }

var _ error = (*FrameError)(nil)

// Error implements error.
func (e *FrameError) Error() string { return e.Reason }

// VersionError means that a frame has another version, whose fields may have other meanings.
type VersionError struct{ Version, Known uint16 }

var _ error = (*VersionError)(nil)

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("unsupported version %d, want %d", e.Version, e.Known)
}

// Seal puts a body into a frame: a magic of four bytes, the version, the length and the CRC-32C of the body, then the
// body. Numbers are in network byte order.
func Seal(magic string, version uint16, body []byte) []byte {
	frame := append(make([]byte, 0, frameHeader+len(body)), magic...)
	frame = binary.BigEndian.AppendUint16(frame, version)
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(body)))
	frame = binary.BigEndian.AppendUint32(frame, crc32.Checksum(body, castagnoli))
	return append(frame, body...)
}

// Open returns the body of a frame. The frame must be complete, have this magic and version, and be no longer than
// maxBytes. The error is a FrameError or a VersionError.
func Open(magic string, version uint16, maxBytes int, data []byte) ([]byte, error) {
	if len(data) < frameHeader || string(data[:len(magic)]) != magic {
		return nil, &FrameError{fmt.Sprintf("it does not begin as a %s file does", magic)}
	}
	fields := data[len(magic):]
	if v := binary.BigEndian.Uint16(fields); v != version {
		return nil, &VersionError{v, version}
	}
	length, sum := binary.BigEndian.Uint32(fields[2:]), binary.BigEndian.Uint32(fields[6:])
	body := data[frameHeader:]
	if uint64(length) != uint64(len(body)) || len(data) > maxBytes {
		return nil, &FrameError{fmt.Sprintf("%d bytes where it says %d", len(body), length)}
	}
	if got := crc32.Checksum(body, castagnoli); got != sum {
		return nil, &FrameError{fmt.Sprintf("it is damaged: sum %08x, not %08x", got, sum)}
	}
	return body, nil
}
