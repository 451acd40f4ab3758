// Package wire speaks the simulator's wire: frames of event records in, frames
// of action records out. It translates and decides nothing.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"marlreel/internal/balancer"
)

// Code is an event's record code.
type Code uint8

// The events.
const (
	Init       Code = 1
	Membership Code = 2
	Ask        Code = 3
	Headers    Code = 4
	Returned   Code = 5
	Aborted    Code = 6
	Elapsed    Code = 7
	Probed     Code = 8
	Peer       Code = 9
	Destroy    Code = 10
	to         Code = 11
)

const (
	batchHeader = 20
	replyHeader = 12
	rowSize     = 23
	// A length field is not believed before the bytes are there.
	readStep = 1 << 20
	// The longest span that a Duration is asked to hold, so that sums of a few stay in range.
	maxMillis = 1e12
)

// Batch is a frame of events, all at one time.
type Batch struct {
	Seq     uint32
	Now     time.Duration
	records uint32
	body    []byte
}

// Event is one decoded record. Which fields hold something follows from Code;
// slices are good until the next event is decoded.
type Event struct {
	Code     Code
	Instance uint16
	Seed     uint64
	BootInfo []byte
	ID       balancer.RequestID
	Token    uint64
	List     balancer.Membership
	Request  balancer.Request
	First    balancer.FirstByte
	Outcome  balancer.Outcome
	Probe    balancer.HealthCheckResult
	Message  balancer.PeerMessage
}

// ReadBatch reads a frame, using buf's space if it suffices. The error is
// io.EOF only if the input ended between frames.
func ReadBatch(r io.Reader, buf []byte) (Batch, []byte, error) {
	var h [batchHeader]byte
	if n, err := io.ReadFull(r, h[:]); err != nil {
		if err == io.EOF {
			return Batch{}, buf, io.EOF
		}
		return Batch{}, buf, fmt.Errorf("truncated frame: header has %d of %d bytes: %w", n, batchHeader, err)
	}
	le := binary.LittleEndian
	b := Batch{Seq: le.Uint32(h[0:]), records: le.Uint32(h[16:])}
	var err error
	if b.Now, err = millis(math.Float64frombits(le.Uint64(h[4:]))); err != nil {
		return Batch{}, buf, fmt.Errorf("batch %d, byte 4: clock: %w", b.Seq, err)
	}
	size := int(le.Uint32(h[12:]))
	buf = buf[:0]
	for len(buf) < size {
		old, step := len(buf), min(readStep, size-len(buf))
		if cap(buf) < old+step {
			buf = append(make([]byte, 0, min(size, 2*(old+step))), buf...)
		}
		buf = buf[:old+step]
		if n, err := io.ReadFull(r, buf[old:]); err != nil {
			return Batch{}, buf, fmt.Errorf("batch %d: truncated frame: %d of %d bytes: %w", b.Seq, old+n, size, err)
		}
	}
	b.body = buf
	return b, buf, nil
}

// Each decodes the events in order and hands them to f. It stops at the first error.
func (b Batch) Each(f func(*Event) error) error {
	d := decoder{data: b.body}
	var ev Event
	instance := -1
	for i := uint32(0); i < b.records; i++ {
		at := d.pos
		code := Code(d.u8())
		if d.err == nil && code != to && instance < 0 {
			d.err = errors.New("no instance named before it")
		}
		if code == to {
			instance = int(d.u16())
		} else if d.err == nil {
			ev.Code, ev.Instance = code, uint16(instance)
			d.event(&ev)
		}
		if d.err == nil && code != to {
			d.err = f(&ev)
		}
		if d.err != nil {
			return fmt.Errorf("batch %d, record %d at byte %d (code %d): %w", b.Seq, i, at, code, d.err)
		}
	}
	if d.pos != len(d.data) {
		return fmt.Errorf("batch %d, byte %d: wrong length: %d bytes after the last of %d records",
			b.Seq, d.pos, len(d.data)-d.pos, b.records)
	}
	return nil
}

type decoder struct {
	data []byte
	pos  int
	err  error
	load []float32
	rows []balancer.Backend
}

var (
	errShort = errors.New("record goes past the end of the frame")
	noBytes  [8]byte
)

func (d *decoder) take(n int) []byte {
	if d.err == nil && n > len(d.data)-d.pos {
		d.err = errShort
	}
	if d.err != nil {
		if n <= len(noBytes) {
			return noBytes[:n]
		}
		return nil
	}
	s := d.data[d.pos : d.pos+n]
	d.pos += n
	return s
}

func (d *decoder) u8() uint8   { return d.take(1)[0] }
func (d *decoder) u16() uint16 { return binary.LittleEndian.Uint16(d.take(2)) }
func (d *decoder) u32() uint32 { return binary.LittleEndian.Uint32(d.take(4)) }
func (d *decoder) u64() uint64 { return binary.LittleEndian.Uint64(d.take(8)) }
func (d *decoder) f32() float32 {
	v := math.Float32frombits(d.u32())
	if v != v || math.IsInf(float64(v), 0) {
		d.fail(errors.New("a number is not finite"))
		return 0
	}
	return v
}

func (d *decoder) time() time.Duration {
	v, err := millis(math.Float64frombits(d.u64()))
	d.fail(err)
	return v
}

func (d *decoder) fail(err error) {
	if d.err == nil {
		d.err = err
	}
}

// millis turns milliseconds into a span, rounded to the simulator's microseconds.
func millis(ms float64) (time.Duration, error) {
	if !(math.Abs(ms) <= maxMillis) {
		return 0, fmt.Errorf("time %v ms is out of range", ms)
	}
	return time.Duration(math.Round(ms*1000)) * time.Microsecond, nil
}

func (d *decoder) loads() []float32 {
	n := int(d.u8())
	d.load = d.load[:0]
	for i := 0; i < n && d.err == nil; i++ {
		d.load = append(d.load, d.f32())
	}
	return d.load
}

// results gives the outcomes by their code on the wire.
var results = [...]balancer.Result{
	balancer.Error, balancer.OK, balancer.Rejected, balancer.Timeout,
	balancer.ConnectFailed, balancer.Reset, balancer.Cancelled, balancer.NotSent,
}

func (d *decoder) result() balancer.Result {
	c := d.u8()
	if int(c) >= len(results) {
		d.fail(fmt.Errorf("unknown outcome %d", c))
		return balancer.Error
	}
	return results[c]
}

var states = [...]balancer.State{balancer.Gone, balancer.Ready, balancer.Draining}

var listKinds = [...]balancer.MembershipKind{balancer.MembershipDelta, balancer.MembershipFull, balancer.MembershipCached, balancer.MembershipFailed}

func (d *decoder) list() balancer.Membership {
	kind, version, n := d.u8(), d.u32(), int(d.u32())
	if int(kind) >= len(listKinds) {
		d.fail(fmt.Errorf("unknown list mode %d", kind))
	} else if n > (len(d.data)-d.pos)/rowSize {
		d.fail(errShort)
	}
	if d.err != nil {
		return balancer.Membership{}
	}
	d.rows = d.rows[:0]
	for range n {
		row := balancer.Backend{
			ID: balancer.BackendID(d.u32()), Zone: int(d.u16()), Kind: int(d.u16()),
			Cell: int(d.u16()),
		}
		state := d.u8()
		row.Weight, row.Started = float64(d.f32()), d.time()
		if int(state) >= len(states) {
			d.fail(fmt.Errorf("backend %d: unknown availability %d", row.ID, state))
			break
		}
		row.State = states[state]
		d.rows = append(d.rows, row)
	}
	return balancer.Membership{Kind: listKinds[kind], Version: version, Backends: d.rows}
}

const (
	hintValid    = 1
	clientRepeat = 2
)

func (d *decoder) event(ev *Event) {
	switch ev.Code {
	case Init:
		ev.Seed = d.u64()
		ev.BootInfo = d.take(int(d.u32()))
	case Membership:
		ev.List = d.list()
	case Ask:
		r := balancer.Request{ID: balancer.RequestID(d.u32()), Cost: d.time(), Deadline: d.time()}
		bits := d.u8()
		r.Class, r.Key, r.Tenant = int(d.u8()), d.u64(), int(d.u32())
		if bits&hintValid == 0 || r.Cost < 0 {
			r.Cost = 0
		}
		r.IsRetry = bits&clientRepeat != 0
		ev.Request = r
	case Headers:
		ev.First = balancer.FirstByte{
			ID: balancer.RequestID(d.u32()), Attempt: int(d.u8()),
			Backend: balancer.BackendID(d.u32()), Took: d.time(),
		}
	case Returned:
		ev.Outcome = balancer.Outcome{
			ID: balancer.RequestID(d.u32()), Attempt: int(d.u8()),
			Backend: balancer.BackendID(d.u32()), Result: d.result(), Took: d.time(), Final: d.u8() != 0,
			Load: d.loads(),
		}
	case Aborted:
		ev.ID = balancer.RequestID(d.u32())
	case Elapsed:
		ev.Token = d.u64()
	case Probed:
		ev.Probe = balancer.HealthCheckResult{
			Backend: balancer.BackendID(d.u32()), Result: d.result(), Took: d.time(),
			Load: d.loads(),
		}
	case Peer:
		from := int(d.u16())
		ev.Message = balancer.PeerMessage{From: from, Body: d.take(int(d.u16()))}
	case Destroy:
	default:
		d.fail(errors.New("unknown record code"))
	}
}
