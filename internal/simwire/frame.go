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

// EventCode is an event's record code.
type EventCode uint8

// The events, by what the balancer is told.
const (
	EventInit        EventCode = 1  // an instance starts
	EventMembership  EventCode = 2  // the list of backends, or a change of it
	EventRequest     EventCode = 3  // a client's request
	EventFirstByte   EventCode = 4  // an attempt's answer begins
	EventAttemptEnd  EventCode = 5  // an attempt has ended
	EventClientGone  EventCode = 6  // the client has given a request up
	EventTimer       EventCode = 7  // a timer has fired
	EventHealthCheck EventCode = 8  // a health check has ended
	EventPeerMessage EventCode = 9  // another instance sent a message
	EventDestroy     EventCode = 10 // an instance ends

	eventSelectInstance EventCode = 11 // the records after it are for the instance that it names
)

const (
	batchHeaderBytes = 20
	readChunkBytes   = 1 << 20 // a length field isn't believed before the bytes are there
)

// Batch is a frame of events, all at one time.
type Batch struct {
	Sequence    uint32
	Now         time.Duration // the simulator's clock
	recordCount uint32
	body        []byte
}

// Event is one decoded record. Which fields have a meaning follows from Code; slices are good until the next event
// is decoded.
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

// ReadBatch reads a frame, using buf's space if it suffices, and gives the space that it used. The error is io.EOF
// only if the input ended between frames; a frame that ends early is a *TruncatedFrameError, which errors.Is doesn't
// take for io.EOF.
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

// readBody appends size bytes to buf, and grows it no further than bytes come in. With an error it gives what came.
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

// TruncatedFrameError is a frame whose bytes can't all be read.
type TruncatedFrameError struct {
	Part string // what is there
	Err  error  // of the reader
}

func (e *TruncatedFrameError) Error() string { return e.Part + ": " + e.Err.Error() }

// Unwrap gives the reader's error, but for io.EOF, which is an end between frames and no fault.
func (e *TruncatedFrameError) Unwrap() error {
	if errors.Is(e.Err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return e.Err
}

// RecordError is a record that can't be decoded, or that its handler rejects with Err.
type RecordError struct {
	Batch  uint32 // its sequence number
	Record uint32 // from 0, instance selections counted
	Offset int    // bytes from the start of the frame's body
	Code   EventCode
	Err    error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("batch %d, record %d at byte %d (code %d): %v", e.Batch, e.Record, e.Offset, e.Code, e.Err)
}

func (e *RecordError) Unwrap() error { return e.Err }

// What can be wrong with a frame, apart from numbers out of range.
var (
	ErrTruncatedRecord = errors.New("record goes past the end of the frame")
	ErrUnknownRecord   = errors.New("unknown record code")
	ErrNoInstance      = errors.New("no instance named before it")
	ErrNotFinite       = errors.New("a number is not finite")
	ErrFrameLength     = errors.New("wrong length")
)

// Each decodes the events in order and hands them to handle. It stops at the first error, which is a *RecordError,
// or wraps ErrFrameLength for bytes after the last record.
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
