package simwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"marlreel/internal/balancer"
)

// raw encodes fields as little-endian bytes; an int is written as one byte.
func raw(fields ...any) []byte {
	var buf bytes.Buffer
	for _, f := range fields {
		switch v := f.(type) {
		case int:
			buf.WriteByte(byte(v))
		case string:
			buf.WriteString(v)
		case []byte:
			buf.Write(v)
		default:
			if err := binary.Write(&buf, binary.LittleEndian, v); err != nil {
				panic(err)
			}
		}
	}
	return buf.Bytes()
}

func batch(seq uint32, clock float64, records uint32, body []byte) []byte {
	return raw(seq, clock, uint32(len(body)), records, body)
}

// events decodes a frame. It copies slices, as they are only valid until the next event is decoded.
func events(t testing.TB, data []byte) ([]Event, error) {
	t.Helper()
	b, _, err := ReadBatch(bytes.NewReader(data), nil)
	if err != nil {
		return nil, err
	}
	var out []Event
	err = b.Each(func(ev *Event) error {
		e := *ev
		e.Outcome.Load = append([]float32(nil), ev.Outcome.Load...)
		e.HealthCheck.Load = append([]float32(nil), ev.HealthCheck.Load...)
		e.Membership.Backends = append([]balancer.Backend(nil), ev.Membership.Backends...)
		out = append(out, e)
		return nil
	})
	return out, err
}

const ms = time.Millisecond

// eventLayout pairs the bytes of a record with the part of the event that they decode to.
type eventLayout struct {
	name   string
	record []byte
	got    func(Event) any
	want   any
}

func eventLayouts() []eventLayout {
	row := raw(uint32(70), uint16(2), uint16(1), uint16(9), 1, float32(1.5), 8000.25)
	return []eventLayout{
		{"init", raw(1, uint64(77), uint32(3), "a=b"), func(e Event) any { return string(e.BootInfo) }, "a=b"},
		{
			"membership", raw(2, 1, uint32(5), uint32(1), row), func(e Event) any { return e.Membership },
			balancer.Membership{Kind: balancer.MembershipFull, Version: 5, Backends: []balancer.Backend{{
				ID: 70, Zone: 2,
				Kind: 1, Cell: 9, State: balancer.Ready, Weight: 1.5, Started: 8000*ms + 250*time.Microsecond,
			}}},
		},
		{"a failed list", raw(2, 3, uint32(5), uint32(0)), func(e Event) any { return e.Membership.Kind }, balancer.MembershipFailed},
		{
			"ask", raw(3, uint32(9), 12.5, 900.0, 3, 2, uint64(1<<60), uint32(4)), func(e Event) any { return e.Request },
			balancer.Request{
				ID: 9, Class: 2, Tenant: 4, Key: 1 << 60, Cost: 12500 * time.Microsecond, Deadline: 900 * ms,
				IsRetry: true,
			},
		},
		{
			"ask without a valid hint", raw(3, uint32(9), 12.5, 900.0, 0, 2, uint64(0), uint32(0)),
			func(e Event) any { return e.Request.Cost }, time.Duration(0),
		},
		{
			"headers", raw(4, uint32(9), 1, uint32(70), 3.0), func(e Event) any { return e.FirstByte },
			balancer.FirstByte{ID: 9, Attempt: 1, Backend: 70, Took: 3 * ms},
		},
		{
			"returned", raw(5, uint32(9), 1, uint32(70), 4, 3.0, 1, 2, float32(1), float32(2)),
			func(e Event) any { return e.Outcome },
			balancer.Outcome{
				ID: 9, Attempt: 1, Backend: 70,
				Result: balancer.ConnectFailed, Took: 3 * ms, Final: true, Load: []float32{1, 2},
			},
		},
		{"aborted", raw(6, uint32(9)), func(e Event) any { return e.RequestID }, balancer.RequestID(9)},
		{"elapsed", raw(7, uint64(1)<<63), func(e Event) any { return e.TimerToken }, uint64(1) << 63},
		{
			"probed", raw(8, uint32(70), 1, 1.5, 0), func(e Event) any { return e.HealthCheck },
			balancer.HealthCheckResult{Backend: 70, Result: balancer.OK, Took: 1500 * time.Microsecond},
		},
		{"neighbour_says", raw(9, uint16(2), uint16(2), "hi"), func(e Event) any { return string(e.PeerMessage.Body) }, "hi"},
		{"destroy", raw(10), func(e Event) any { return e.Code }, EventDestroy},
	}
}

func TestEventLayouts(t *testing.T) {
	for _, c := range eventLayouts() {
		evs, err := events(t, batch(1, 5, 2, raw(11, uint16(3), c.record)))
		if err != nil || len(evs) != 1 || evs[0].Instance != 3 {
			t.Errorf("%s: %d events, error %v", c.name, len(evs), err)
			continue
		}
		if got := c.got(evs[0]); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}

func TestOutcomeCodes(t *testing.T) {
	want := []balancer.Result{
		balancer.Error, balancer.OK, balancer.Rejected, balancer.Timeout, balancer.ConnectFailed,
		balancer.Reset, balancer.Cancelled, balancer.NotSent,
	}
	for code, result := range want {
		evs, err := events(t, batch(1, 0, 2, raw(11, uint16(0), 8, uint32(1), code, 0.0, 0)))
		if err != nil || evs[0].HealthCheck.Result != result {
			t.Errorf("code %d: %v, error %v", code, evs, err)
		}
	}
}

func TestMalformedFrameErrorsNameThePosition(t *testing.T) {
	good := raw(11, uint16(3), 7, uint64(1))
	for _, c := range []struct {
		name string
		data []byte
		want string
	}{
		{"half a header", batch(1, 0, 0, nil)[:7], "header has 7 of 20"},
		{"half a body", batch(1, 0, 2, good)[:25], "5 of 12 bytes"},
		{"bytes after the last record", batch(4, 0, 1, good), "batch 4, byte 3: wrong length"},
		{"one record missing", batch(1, 0, 3, good), "record 2 at byte 12"},
		{"unknown record", batch(1, 0, 2, raw(11, uint16(3), 99)), "record 1 at byte 3 (code 99): unknown"},
		{"no instance", batch(1, 0, 1, raw(7, uint64(1))), "no instance"},
		{"unknown outcome", batch(1, 0, 2, raw(11, uint16(0), 8, uint32(1), 8, 0.0, 0)), "unknown outcome 8"},
		{"unknown mode", batch(1, 0, 2, raw(11, uint16(0), 2, 4, uint32(0), uint32(0))), "unknown list mode"},
		{"list longer than the frame", batch(1, 0, 2, raw(11, uint16(0), 2, 1, uint32(0), uint32(1<<31))), "past the end"},
		{"text longer than the frame", batch(1, 0, 2, raw(11, uint16(0), 1, uint64(0), uint32(1<<31))), "past the end"},
		{"clock is not a number", batch(1, math.NaN(), 0, nil), "clock"},
		{"a time out of range", batch(1, 0, 2, raw(11, uint16(0), 8, uint32(1), 1, 1e300, 0)), "out of range"},
	} {
		_, err := events(t, c.data)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", c.name, err, c.want)
		}
	}
	if _, _, err := ReadBatch(bytes.NewReader(nil), nil); !errors.Is(err, io.EOF) {
		t.Errorf("end of input between frames: %v", err)
	}
}

func TestFrameOfMegabytes(t *testing.T) {
	body := raw(11, uint16(0))
	one := raw(7, uint64(5))
	const n = 400_000
	for range n {
		body = append(body, one...)
	}
	evs, err := events(t, batch(1, 0, n+1, body))
	if err != nil || len(evs) != n {
		t.Errorf("%d events, error %v", len(evs), err)
	}
}

func TestActionLayouts(t *testing.T) {
	var r Reply
	for _, c := range []struct {
		name string
		do   func(balancer.Host)
		want []byte
	}{
		{"transmit", func(h balancer.Host) { h.Send(9, 70, 1500*time.Microsecond, 0) }, raw(1, uint32(9), uint32(70), 1.5)},
		{"reject", func(h balancer.Host) { h.Reject(9, 240*ms) }, raw(2, uint32(9), 240.0)},
		{"end_failed", func(h balancer.Host) { h.Fail(9) }, raw(3, uint32(9))},
		{"abort_attempt", func(h balancer.Host) { h.Cancel(9, 2) }, raw(4, uint32(9), 2)},
		{"notify_me", func(h balancer.Host) { h.StartTimer(500*ms, 77) }, raw(5, 500.0, uint64(77))},
		{"sample", func(h balancer.Host) { h.CheckHealth(70) }, raw(6, uint32(70))},
		{"release", func(h balancer.Host) { h.Release(70) }, raw(7, uint32(70))},
		{"signal", func(h balancer.Host) { h.SendToPeer(balancer.AllPeers, []byte("hi")) }, raw(8, uint32(1<<32-1), uint16(2), "hi")},
		{"say_log", func(h balancer.Host) { h.Log("x") }, raw(9, uint16(1), "x")},
		{"observe", func(h balancer.Host) { h.Watch(true); h.Watch(false) }, raw(11, 1, 11, 0)},
		{"resolve", func(h balancer.Host) { h.Fetch() }, raw(12)},
	} {
		r.Reset(6)
		c.do(Actions{Reply: &r, Instance: 3})
		got := r.Bytes()
		records := uint32(2)
		if c.name == "observe" {
			records = 3
		}
		body := raw(13, uint16(3), c.want)
		if want := raw(uint32(6), records, uint32(len(body)), body); !bytes.Equal(got, want) {
			t.Errorf("%s:\n got %x\nwant %x", c.name, got, want)
		}
	}
	r.Reset(7)
	if got := r.Bytes(); !bytes.Equal(got, raw(uint32(7), uint32(0), uint32(0))) {
		t.Errorf("empty reply: %x", got)
	}
	r.Reset(8)
	Actions{&r, 1}.Fetch()
	Actions{&r, 2}.Fetch()
	Actions{&r, 1}.Fetch()
	if got := r.Bytes()[12:]; !bytes.Equal(got, raw(13, uint16(1), 12, 13, uint16(2), 12, 13, uint16(1), 12)) {
		t.Errorf("interleaved instances: %x", got)
	}
}

// Input that ends within a frame, at any byte, must not look like a clean end of input.
func TestTruncatedFrameIsNotEOF(t *testing.T) {
	whole := batch(1, 0, 2, raw(11, uint16(3), 7, uint64(1)))
	for length := 1; length < len(whole); length++ {
		_, _, err := ReadBatch(bytes.NewReader(whole[:length]), nil)
		var truncated *TruncatedFrameError
		if !errors.As(err, &truncated) || errors.Is(err, io.EOF) || !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%d of %d bytes: %v", length, len(whole), err)
		}
	}
}

func FuzzFrames(f *testing.F) {
	f.Add(batch(1, 5, 2, raw(11, uint16(3), 7, uint64(1))))
	f.Add(batch(1, 5, 2, raw(11, uint16(3), 1, uint64(1), uint32(3), "a=b")))
	f.Add(batch(1, 5, 2, raw(11, uint16(0), 2, 1, uint32(0), uint32(1<<31))))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := events(t, data)
		if err != nil && !errors.Is(err, io.EOF) && strings.Contains(err.Error(), "\n") {
			t.Errorf("error message has more than one line: %q", err)
		}
	})
}
