package wire

import (
	"encoding/binary"
	"math"
	"time"

	"marlreel/internal/balancer"
)

// The actions' record codes.
const (
	transmit     = 1
	reject       = 2
	endFailed    = 3
	abortAttempt = 4
	notifyMe     = 5
	sample       = 6
	release      = 7
	signal       = 8
	sayLog       = 9
	observe      = 11
	resolve      = 12
	onBehalf     = 13
)

const (
	maxText    = 1<<16 - 1
	maxMessage = 256
)

// Reply gathers the actions that answer one batch.
type Reply struct {
	buf     []byte
	records uint32
	current int // instance of the last onBehalf; -1 is none
}

// Reset begins the reply to a batch.
func (r *Reply) Reset(seq uint32) {
	r.buf = binary.LittleEndian.AppendUint32(r.buf[:0], seq)
	r.buf = append(r.buf, make([]byte, replyHeader-4)...)
	r.records, r.current = 0, -1
}

// Bytes is the whole frame.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.buf[4:], r.records)
	binary.LittleEndian.PutUint32(r.buf[8:], uint32(len(r.buf)-replyHeader))
	return r.buf
}

// Actions writes one instance's actions; it is that instance's balancer.Host.
type Actions struct {
	To       *Reply
	Instance uint16
}

func (a Actions) record(code byte) {
	if r := a.To; r.current != int(a.Instance) {
		r.current = int(a.Instance)
		r.buf = binary.LittleEndian.AppendUint16(append(r.buf, onBehalf), a.Instance)
		r.records++
	}
	a.To.buf = append(a.To.buf, code)
	a.To.records++
}

func (a Actions) u32(v uint32) { a.To.buf = binary.LittleEndian.AppendUint32(a.To.buf, v) }
func (a Actions) u64(v uint64) { a.To.buf = binary.LittleEndian.AppendUint64(a.To.buf, v) }

func (a Actions) millis(d time.Duration) {
	a.u64(math.Float64bits(float64(d) / float64(time.Millisecond)))
}

func (a Actions) bytes(b []byte, most int) {
	b = b[:min(len(b), most)]
	a.To.buf = binary.LittleEndian.AppendUint16(a.To.buf, uint16(len(b)))
	a.To.buf = append(a.To.buf, b...)
}

// Send implements balancer.Host.
func (a Actions) Send(id balancer.RequestID, to balancer.BackendID, until, _ time.Duration) {
	a.record(transmit)
	a.u32(uint32(id))
	a.u32(uint32(to))
	a.millis(until)
}

// Reject implements balancer.Host.
func (a Actions) Reject(id balancer.RequestID, retryAfter time.Duration) {
	a.record(reject)
	a.u32(uint32(id))
	a.millis(retryAfter)
}

// Fail implements balancer.Host.
func (a Actions) Fail(id balancer.RequestID) {
	a.record(endFailed)
	a.u32(uint32(id))
}

// Cancel implements balancer.Host.
func (a Actions) Cancel(id balancer.RequestID, attempt int) {
	a.record(abortAttempt)
	a.u32(uint32(id))
	a.To.buf = append(a.To.buf, byte(attempt))
}

// CheckHealth implements balancer.Host.
func (a Actions) CheckHealth(b balancer.BackendID) {
	a.record(sample)
	a.u32(uint32(b))
}

// Release implements balancer.Host.
func (a Actions) Release(b balancer.BackendID) {
	a.record(release)
	a.u32(uint32(b))
}

// Watch implements balancer.Host.
func (a Actions) Watch(on bool) {
	a.record(observe)
	var v byte
	if on {
		v = 1
	}
	a.To.buf = append(a.To.buf, v)
}

// Fetch implements balancer.Host.
func (a Actions) Fetch() { a.record(resolve) }

// SendToPeer implements balancer.Host.
func (a Actions) SendToPeer(peer uint32, body []byte) {
	a.record(signal)
	a.u32(peer)
	a.bytes(body, maxMessage)
}

// StartTimer implements balancer.Host.
func (a Actions) StartTimer(d time.Duration, token uint64) {
	a.record(notifyMe)
	a.millis(d)
	a.u64(token)
}

// Log implements balancer.Host.
func (a Actions) Log(line string) {
	a.record(sayLog)
	a.bytes([]byte(line), maxText)
}
