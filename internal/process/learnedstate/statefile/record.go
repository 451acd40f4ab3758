package statefile

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"marlreel/internal/balancer/staleness"
	"marlreel/internal/process/learnedstate"
	"marlreel/internal/process/learnedstate/codec"
)

// Record is the content of a state file. 'marlreel state show --json' prints the fields under the names in the json tags.
type Record struct {
	WrittenAt staleness.Timestamp `json:"At"`
	ShutDown  bool                `json:"Stopped"` // written during a graceful shutdown
	State     *learnedstate.State
}

// encodedRecord is the stored form of a Record, with the names in the tags. The state in it is encoded by package codec,
// with its own checksum.
type encodedRecord struct {
	Wall     time.Time     `msgpack:"Wall"`
	BootID   string        `msgpack:"Boot"`
	Uptime   time.Duration `msgpack:"Up"`
	ShutDown bool          `msgpack:"Stopped"`
	State    []byte        `msgpack:"State"`
}

const (
	magic          = "MRST"
	version        = 1
	maxBytes       = codec.MaxBytes + 4096
	maxBootIDBytes = 64
)

// UnreadableError means that a record has a correct checksum but can't be decoded.
type UnreadableError struct{ Err error }

var _ error = (*UnreadableError)(nil)

// Error implements error.
func (e *UnreadableError) Error() string { return "it can't be read: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Err }

// Encode encodes a record. state is a state encoded by package codec.
func Encode(at staleness.Timestamp, shutDown bool, state []byte) ([]byte, error) {
	body, err := msgpack.Marshal(&encodedRecord{at.Wall, at.BootID, at.Uptime, shutDown, state})
	if err != nil {
		return nil, &Error{"encoding a state record", err}
	}
	return codec.Seal(magic, version, body), nil
}

// Decode decodes a record and checks its state. Its error is one of package codec, an UnreadableError, or
// staleness.ErrNoTimestamp for a record without a valid timestamp.
func Decode(data []byte) (r *Record, err error) {
	// Data with a correct checksum may still be forged, and the decoder panics on some such data.
	defer func() {
		if p := recover(); p != nil {
			r, err = nil, &UnreadableError{fmt.Errorf("%v", p)}
		}
	}()
	body, err := codec.Open(magic, version, maxBytes, data)
	if err != nil {
		return nil, err
	}
	var stored encodedRecord
	if err := msgpack.Unmarshal(body, &stored); err != nil {
		return nil, &UnreadableError{err}
	}
	if len(stored.BootID) > maxBootIDBytes || stored.Uptime < 0 {
		return nil, staleness.ErrNoTimestamp
	}
	state, err := codec.Decode(stored.State)
	if err != nil {
		return nil, err
	}
	at := staleness.Timestamp{Wall: stored.Wall, BootID: stored.BootID, Uptime: stored.Uptime}
	return &Record{WrittenAt: at, ShutDown: stored.ShutDown, State: state}, nil
}
