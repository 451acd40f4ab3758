package simwire

import (
	"encoding/binary"
	"math"
	"time"

	"marlreel/internal/balancer"
)

// The record codes of actions, one for each method of balancer.Host.
const (
	actionSend           = 1
	actionReject         = 2
	actionFail           = 3
	actionCancel         = 4
	actionStartTimer     = 5
	actionCheckHealth    = 6
	actionRelease        = 7
	actionSendToPeer     = 8
	actionLog            = 9
	actionWatch          = 11
	actionFetch          = 12
	actionSelectInstance = 13 // sets the instance for the records that follow
)

// Frame header size and payload limits; longer payloads are truncated.
const (
	replyHeaderBytes    = 12
	maxLogBytes         = 1<<16 - 1
	maxPeerMessageBytes = 256
)

// Reply gathers the actions that answer one batch.
type Reply struct {
	buf             []byte
	recordCount     uint32
	currentInstance int // from the last actionSelectInstance; -1 if there was none
}

// Reset starts the reply to the batch with this sequence number.
func (r *Reply) Reset(seq uint32) {
	r.buf = binary.LittleEndian.AppendUint32(r.buf[:0], seq)
	r.buf = append(r.buf, make([]byte, replyHeaderBytes-4)...)
	r.recordCount, r.currentInstance = 0, -1
}

// Bytes fills in the header and returns the whole frame.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.buf[4:], r.recordCount)
	binary.LittleEndian.PutUint32(r.buf[8:], uint32(len(r.buf)-replyHeaderBytes))
	return r.buf
}

// Actions is the balancer.Host of one instance: it appends the instance's actions to the reply. This protocol doesn't
// carry the last argument of Send.
type Actions struct {
	Reply    *Reply
	Instance uint16
}

var _ balancer.Host = Actions{}

func (a Actions) record(code byte) {
	r := a.Reply
	if r.currentInstance != int(a.Instance) {
		r.currentInstance = int(a.Instance)
		r.buf = binary.LittleEndian.AppendUint16(append(r.buf, actionSelectInstance), a.Instance)
		r.recordCount++
	}
	r.buf = append(r.buf, code)
	r.recordCount++
}

func (a Actions) u32(v uint32) { a.Reply.buf = binary.LittleEndian.AppendUint32(a.Reply.buf, v) }
func (a Actions) u64(v uint64) { a.Reply.buf = binary.LittleEndian.AppendUint64(a.Reply.buf, v) }

func (a Actions) millis(d time.Duration) {
	a.u64(math.Float64bits(float64(d) / float64(time.Millisecond)))
}

func (a Actions) bytes(b []byte, maxLength int) {
	b = b[:min(len(b), maxLength)]
	a.Reply.buf = binary.LittleEndian.AppendUint16(a.Reply.buf, uint16(len(b)))
	a.Reply.buf = append(a.Reply.buf, b...)
}

// Send implements balancer.Host.
func (a Actions) Send(id balancer.RequestID, to balancer.BackendID, deadline, _ time.Duration) {
	a.record(actionSend)
	a.u32(uint32(id))
	a.u32(uint32(to))
	a.millis(deadline)
}

// Reject implements balancer.Host.
func (a Actions) Reject(id balancer.RequestID, retryAfter time.Duration) {
	a.record(actionReject)
	a.u32(uint32(id))
	a.millis(retryAfter)
}

// Fail implements balancer.Host.
func (a Actions) Fail(id balancer.RequestID) {
	a.record(actionFail)
	a.u32(uint32(id))
}

// Cancel implements balancer.Host.
func (a Actions) Cancel(id balancer.RequestID, attempt int) {
	a.record(actionCancel)
	a.u32(uint32(id))
	a.Reply.buf = append(a.Reply.buf, byte(attempt))
}

// CheckHealth implements balancer.Host.
func (a Actions) CheckHealth(b balancer.BackendID) {
	a.record(actionCheckHealth)
	a.u32(uint32(b))
}

// Release implements balancer.Host.
func (a Actions) Release(b balancer.BackendID) {
	a.record(actionRelease)
	a.u32(uint32(b))
}

// Watch implements balancer.Host.
func (a Actions) Watch(on bool) {
	a.record(actionWatch)
	var flag byte
	if on {
		flag = 1
	}
	a.Reply.buf = append(a.Reply.buf, flag)
}

// Fetch implements balancer.Host.
func (a Actions) Fetch() { a.record(actionFetch) }

// SendToPeer implements balancer.Host.
func (a Actions) SendToPeer(peer uint32, body []byte) {
	a.record(actionSendToPeer)
	a.u32(peer)
	a.bytes(body, maxPeerMessageBytes)
}

// StartTimer implements balancer.Host.
func (a Actions) StartTimer(d time.Duration, token uint64) {
	a.record(actionStartTimer)
	a.millis(d)
	a.u64(token)
}

// Log implements balancer.Host.
func (a Actions) Log(line string) {
	a.record(actionLog)
	a.bytes([]byte(line), maxLogBytes)
}
