// Package codec encodes a learned state into bytes with a version and a checksum, and decodes it as a whole or not at
// all. It owns the frame (see Seal), which package statefile uses too. It never judges what a state says, beyond
// learnedstate's Check; it does no input or output.
package codec

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"marlreel/internal/process/learnedstate"
)

// The form: a frame (see Seal) around MessagePack. A version that is not known is rejected as a whole: most fields are in
// order and have no names.
const (
	magic   = "MRLT"
	version = 1

	// MaxBytes is the length of an encoded state at most, with its frame.
	MaxBytes = 4 << 20
)

// TooLargeError is a state of more than MaxBytes.
type TooLargeError struct{ Bytes int }

var _ error = (*TooLargeError)(nil)

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("state: %d bytes, %d at most", e.Bytes, MaxBytes-frameHeader)
}

// Encode gives the bytes of a state, MaxBytes at most; more is a TooLargeError.
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

// Decode reads a state that is whole and passes its Check. The error says what is wrong with it: a FrameError or a
// VersionError, wrapped, one of learnedstate's, or the decoder's.
func Decode(data []byte) (s *learnedstate.State, err error) {
	// What has the right checksum may still be made up, and the decoder panics at some of that.
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
