package codec

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// frameHeader is the length of what stands before a body: magic, version, length and checksum.
const frameHeader = len(magic) + 2 + 4 + 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// FrameError is bytes that are no whole frame.
type FrameError struct{ Reason string }

var _ error = (*FrameError)(nil)

// Error implements error.
func (e *FrameError) Error() string { return e.Reason }

// VersionError is a frame of another version: its fields may mean something else.
type VersionError struct{ Version, Known uint16 }

var _ error = (*VersionError)(nil)

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("version %d, %d is known here", e.Version, e.Known)
}

// Seal puts a body into a frame: a magic of four bytes, version, length and CRC-32C of what follows, numbers in network
// byte order.
func Seal(magic string, version uint16, body []byte) []byte {
	frame := append(make([]byte, 0, frameHeader+len(body)), magic...)
	frame = binary.BigEndian.AppendUint16(frame, version)
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(body)))
	frame = binary.BigEndian.AppendUint32(frame, crc32.Checksum(body, castagnoli))
	return append(frame, body...)
}

// Open gives the body of a frame that is whole, of this magic and version, and no longer than maxBytes. The error is a
// FrameError or a VersionError.
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
