package statefile

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"marlreel/internal/balancer/staleness"
	"marlreel/internal/process/learnedstate"
	"marlreel/internal/process/learnedstate/codec"
)

// Record is what a file holds. The json tags are the names under which 'marlreel state show --json' prints the fields.
type Record struct {
	WrittenAt staleness.Timestamp `json:"At"`
	ShutDown  bool                `json:"Stopped"` // it was written by an orderly shutdown
	State     *learnedstate.State
}

// encodedRecord is its stored form, by the names in the tags: the state has a form of its own, with its own checksum.
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

// UnreadableError is a record, whole by its checksum, that can't be decoded.
type UnreadableError struct{ Err error }

var _ error = (*UnreadableError)(nil)

// Error implements error.
func (e *UnreadableError) Error() string { return "it can't be read: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Err }

// Encode gives the bytes of a record that holds a state in codec's bytes.
func Encode(at staleness.Timestamp, shutDown bool, state []byte) ([]byte, error) {
	body, err := msgpack.Marshal(&encodedRecord{at.Wall, at.BootID, at.Uptime, shutDown, state})
	if err != nil {
		return nil, &Error{"memory", err}
	}
	return codec.Seal(magic, version, body), nil
}

// Decode reads a record that is whole and whose state passes its checks. The error says what is wrong with it: one of
// package codec's, an UnreadableError, or staleness.ErrNoTimestamp for one without a time.
func Decode(data []byte) (r *Record, err error) {
	// What has the right checksum may still be made up, and the decoder panics at some of that.
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
