package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/rotisserie/eris"

	"marlreel/internal/balancer"
)

// EventCode is the record code of an event.
type EventCode uint8

// The record codes of events.
const (
	EventInit        EventCode = 1  // an instance is created
	EventMembership  EventCode = 2  // the backend list, or a delta to it
	EventRequest     EventCode = 3  // a client sent a request
	EventFirstByte   EventCode = 4  // the first byte of an attempt's response arrived
	EventAttemptEnd  EventCode = 5  // an attempt ended
	EventClientGone  EventCode = 6  // the client abandoned a request
	EventTimer       EventCode = 7  // a timer fired
	EventHealthCheck EventCode = 8  // a health check ended
	EventPeerMessage EventCode = 9  // another instance sent a message
	EventDestroy     EventCode = 10 // an instance is destroyed

	eventSelectInstance EventCode = 11 // sets the instance for the records that follow
)

const (
	batchHeaderBytes = 20
	readChunkBytes   = 1 << 20 // limits allocation ahead of the data, as a length field may be wrong
)

// Batch is a frame of events that share one timestamp.
type Batch struct {
	Sequence    uint32
	Now         time.Duration // the simulator's clock
	recordCount uint32
	body        []byte
}

// Event is one decoded record. Code determines which fields are set; slices are valid until the next event is
// decoded.
type Event struct {
	Code        EventCode
	Instance    uint16
	Seed        uint64
	BootInfo    []byte
	RequestID   balancer.RequestID
	TimerToken  uint64
	Membership  balancer.Membership
	Request     balancer.Request
	FirstByte   balancer.FirstByte
	Outcome     balancer.Outcome
	HealthCheck balancer.HealthCheckResult
	PeerMessage balancer.PeerMessage
}

// ReadBatch reads a frame into buf, which it reallocates if it is too small, and returns the buffer for reuse. The error
// is io.EOF only if the input ended between frames. A frame that ends early gives a *TruncatedFrameError, which does not
// match io.EOF with errors.Is.
func ReadBatch(r io.Reader, buf []byte) (Batch, []byte, error) {
	var header [batchHeaderBytes]byte
	n, err := io.ReadFull(r, header[:])
	if err != nil && n == 0 && errors.Is(err, io.EOF) {
		return Batch{}, buf, io.EOF
	}
	if err != nil {
		part := fmt.Sprintf("truncated frame: header has %d of %d bytes", n, batchHeaderBytes)
		return Batch{}, buf, &TruncatedFrameError{Part: part, Err: err}
	}
	le := binary.LittleEndian
	b := Batch{Sequence: le.Uint32(header[0:]), recordCount: le.Uint32(header[16:])}
	b.Now, err = durationFromMillis(math.Float64frombits(le.Uint64(header[4:])))
	if err != nil {
		return Batch{}, buf, eris.Wrapf(err, "batch %d, byte 4: clock", b.Sequence)
	}
	size := int(le.Uint32(header[12:]))
	b.body, err = readBody(r, buf[:0], size)
	if err != nil {
		part := fmt.Sprintf("batch %d: truncated frame: %d of %d bytes", b.Sequence, len(b.body), size)
		return Batch{}, buf, &TruncatedFrameError{Part: part, Err: err}
	}
	return b, b.body, nil
}

// readBody appends size bytes to buf, growing it only as data arrives. On an error it returns the bytes read so far.
func readBody(r io.Reader, buf []byte, size int) ([]byte, error) {
	for len(buf) < size {
		start, step := len(buf), min(readChunkBytes, size-len(buf))
		if cap(buf) < start+step {
			buf = append(make([]byte, 0, min(size, 2*(start+step))), buf...)
		}
		buf = buf[:start+step]
		n, err := io.ReadFull(r, buf[start:])
		if err != nil {
			return buf[:start+n], err
		}
	}
	return buf, nil
}

// TruncatedFrameError reports a frame that could not be read to its end.
type TruncatedFrameError struct {
	Part string // describes how much was read
	Err  error  // from the reader
}

func (e *TruncatedFrameError) Error() string { return e.Part + ": " + e.Err.Error() }

// Unwrap returns the reader's error, with io.EOF replaced by io.ErrUnexpectedEOF: callers take io.EOF for a clean end of
// input between frames.
func (e *TruncatedFrameError) Unwrap() error {
	if errors.Is(e.Err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return e.Err
}

// RecordError reports a record that can't be decoded, or that its handler rejected with Err.
type RecordError struct {
	Batch  uint32 // its sequence number
	Record uint32 // from 0, counting instance selections
	Offset int    // bytes from the start of the frame's body
	Code   EventCode
	Err    error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("batch %d, record %d at byte %d (code %d): %v", e.Batch, e.Record, e.Offset, e.Code, e.Err)
}

func (e *RecordError) Unwrap() error { return e.Err }

// Errors in a frame, apart from values out of range.
var (
	ErrTruncatedRecord = errors.New("record extends past the end of the frame")
	ErrUnknownRecord   = errors.New("unknown record code")
	ErrNoInstance      = errors.New("no instance selected before this record")
	ErrNotFinite       = errors.New("number is not finite")
	ErrFrameLength     = errors.New("wrong length")
)

// Each decodes the events in order and passes them to handle. It stops at the first error, which is a *RecordError,
// or wraps ErrFrameLength if bytes follow the last record.
func (b Batch) Each(handle func(*Event) error) error {
	d := decoder{data: b.body}
	var event Event
	hasInstance := false
	for i := range b.recordCount {
		start := d.offset
		code := EventCode(d.u8())
		switch {
		case d.err != nil:
		case code == eventSelectInstance:
			event.Instance = d.u16()
			hasInstance = true
		case !hasInstance:
			d.fail(ErrNoInstance)
		default:
			event.Code = code
			d.decodeEvent(&event)
			if d.err == nil {
				d.err = handle(&event)
			}
		}
		if d.err != nil {
			return &RecordError{Batch: b.Sequence, Record: i, Offset: start, Code: code, Err: d.err}
		}
	}
	if d.offset != len(d.data) {
		return fmt.Errorf("batch %d, byte %d: %w: %d bytes after the last of %d records",
			b.Sequence, d.offset, ErrFrameLength, len(d.data)-d.offset, b.recordCount)
	}
	return nil
}
