package simwire

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"marlreel/internal/balancer"
)

const (
	backendRowBytes = 23
	// Bounds every decoded time, so that the sum of several still fits a time.Duration.
	maxMillis = 1e12
)

// decoder reads the fields of records. After an error it returns zero values and stops advancing, so that callers
// needn't check for an error after each field.
type decoder struct {
	data          []byte
	offset        int
	err           error
	loadBuffer    []float32
	backendBuffer []balancer.Backend
}

var noBytes [8]byte

// take returns the next n bytes. After an error it returns zeros for n up to 8 (any fixed-size field), else nil.
func (d *decoder) take(n int) []byte {
	if d.err == nil && n > len(d.data)-d.offset {
		d.err = ErrTruncatedRecord
	}
	if d.err != nil {
		if n <= len(noBytes) {
			return noBytes[:n]
		}
		return nil
	}
	taken := d.data[d.offset : d.offset+n]
	d.offset += n
	return taken
}

func (d *decoder) u8() uint8   { return d.take(1)[0] }
func (d *decoder) u16() uint16 { return binary.LittleEndian.Uint16(d.take(2)) }
func (d *decoder) u32() uint32 { return binary.LittleEndian.Uint32(d.take(4)) }
func (d *decoder) u64() uint64 { return binary.LittleEndian.Uint64(d.take(8)) }
func (d *decoder) f32() float32 {
	v := math.Float32frombits(d.u32())
	if math.IsNaN(float64(v)) || math.IsInf(float64(v), 0) {
		d.fail(ErrNotFinite)
		return 0
	}
	return v
}

func (d *decoder) millis() time.Duration {
	v, err := durationFromMillis(math.Float64frombits(d.u64()))
	d.fail(err)
	return v
}

func (d *decoder) fail(err error) {
	if d.err == nil {
		d.err = err
	}
}

// durationFromMillis converts milliseconds, rounded to microseconds, the simulator's resolution.
func durationFromMillis(ms float64) (time.Duration, error) {
	if math.IsNaN(ms) || math.Abs(ms) > maxMillis {
		return 0, fmt.Errorf("time %v ms is out of range", ms)
	}
	return time.Duration(math.Round(ms*1000)) * time.Microsecond, nil
}

func (d *decoder) loads() []float32 {
	n := int(d.u8())
	d.loadBuffer = d.loadBuffer[:0]
	for i := 0; i < n && d.err == nil; i++ {
		d.loadBuffer = append(d.loadBuffer, d.f32())
	}
	return d.loadBuffer
}

// resultsByCode is indexed by the outcome code on the wire.
var resultsByCode = [...]balancer.Result{
	balancer.Error, balancer.OK, balancer.Rejected, balancer.Timeout,
	balancer.ConnectFailed, balancer.Reset, balancer.Cancelled, balancer.NotSent,
}

func (d *decoder) result() balancer.Result {
	code := d.u8()
	if int(code) >= len(resultsByCode) {
		d.fail(fmt.Errorf("unknown outcome %d", code))
		return balancer.Error
	}
	return resultsByCode[code]
}

// statesByCode is indexed by the availability code on the wire.
var statesByCode = [...]balancer.State{balancer.Gone, balancer.Ready, balancer.Draining}

// listKindsByCode is indexed by the list mode on the wire.
var listKindsByCode = [...]balancer.MembershipKind{balancer.MembershipDelta, balancer.MembershipFull, balancer.MembershipCached, balancer.MembershipFailed}

func (d *decoder) membership() balancer.Membership {
	kind, version, count := d.u8(), d.u32(), int(d.u32())
	if int(kind) >= len(listKindsByCode) {
		d.fail(fmt.Errorf("unknown list mode %d", kind))
	} else if count > (len(d.data)-d.offset)/backendRowBytes {
		d.fail(ErrTruncatedRecord)
	}
	if d.err != nil {
		return balancer.Membership{}
	}
	d.backendBuffer = d.backendBuffer[:0]
	for range count {
		row := d.backend()
		if d.err != nil {
			break
		}
		d.backendBuffer = append(d.backendBuffer, row)
	}
	return balancer.Membership{Kind: listKindsByCode[kind], Version: version, Backends: d.backendBuffer}
}

func (d *decoder) backend() balancer.Backend {
	row := balancer.Backend{
		ID: balancer.BackendID(d.u32()), Zone: int(d.u16()), Kind: int(d.u16()),
		Cell: int(d.u16()),
	}
	state := d.u8()
	row.Weight, row.Started = float64(d.f32()), d.millis()
	if int(state) >= len(statesByCode) {
		d.fail(fmt.Errorf("backend %d: unknown availability %d", row.ID, state))
		return row
	}
	row.State = statesByCode[state]
	return row
}

// Flag bits of a request record.
const (
	flagCostKnown   = 1
	flagClientRetry = 2
)

func (d *decoder) decodeEvent(event *Event) {
	switch event.Code {
	case EventInit:
		event.Seed = d.u64()
		event.BootInfo = d.take(int(d.u32()))
	case EventMembership:
		event.Membership = d.membership()
	case EventRequest:
		event.Request = d.request()
	case EventFirstByte:
		event.FirstByte = balancer.FirstByte{
			ID: balancer.RequestID(d.u32()), Attempt: int(d.u8()),
			Backend: balancer.BackendID(d.u32()), Took: d.millis(),
		}
	case EventAttemptEnd:
		event.Outcome = balancer.Outcome{
			ID: balancer.RequestID(d.u32()), Attempt: int(d.u8()),
			Backend: balancer.BackendID(d.u32()), Result: d.result(), Took: d.millis(), Final: d.u8() != 0,
			Load: d.loads(),
		}
	case EventClientGone:
		event.RequestID = balancer.RequestID(d.u32())
	case EventTimer:
		event.TimerToken = d.u64()
	case EventHealthCheck:
		event.HealthCheck = balancer.HealthCheckResult{
			Backend: balancer.BackendID(d.u32()), Result: d.result(), Took: d.millis(),
			Load: d.loads(),
		}
	case EventPeerMessage:
		from := int(d.u16())
		event.PeerMessage = balancer.PeerMessage{From: from, Body: d.take(int(d.u16()))}
	case EventDestroy:
	default:
		d.fail(ErrUnknownRecord)
	}
}

func (d *decoder) request() balancer.Request {
	r := balancer.Request{ID: balancer.RequestID(d.u32()), Cost: d.millis(), Deadline: d.millis()}
	flags := d.u8()
	r.Class, r.Key, r.Tenant = int(d.u8()), d.u64(), int(d.u32())
	if flags&flagCostKnown == 0 || r.Cost < 0 {
		r.Cost = 0
	}
	r.IsRetry = flags&flagClientRetry != 0
	return r
}
