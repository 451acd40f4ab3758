// Package codec encodes a learned state into bytes with a version and a checksum, and decodes it as a whole or not at
// all. It owns the frame format (see Seal), which package statefile uses too. It validates a state only with
// learnedstate's Check, and does no input or output.
package codec

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"marlreel/internal/process/learnedstate"
)

// The format is a frame (see Seal) around MessagePack. Unknown versions are rejected as a whole, as most fields are
// identified by their order, not by names.
const (
	magic   = "MRLT"
	version = 1

	// MaxBytes is the maximum length of an encoded state, including its frame.
	MaxBytes = 4 << 20
)

// TooLargeError means that an encoded state exceeds MaxBytes.
type TooLargeError struct{ Bytes int }

var _ error = (*TooLargeError)(nil)

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("state of %d bytes exceeds the limit of %d", e.Bytes, MaxBytes-frameHeader)
}

// Encode encodes a state. It returns a TooLargeError if the result would exceed MaxBytes.
func Encode(s *learnedstate.State) ([]byte, error) {
	body, err := msgpack.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if len(body) > MaxBytes-frameHeader {
		return nil, &TooLargeError{len(body)}
	}
	return Seal(magic, version, body), nil
}

// Decode decodes a state and checks it with State.Check. Its error is a wrapped FrameError or VersionError, an error of
// learnedstate, or one of the MessagePack decoder.
func Decode(data []byte) (s *learnedstate.State, err error) {
	// Data with a correct checksum may still be forged, and the decoder panics on some such data.
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
