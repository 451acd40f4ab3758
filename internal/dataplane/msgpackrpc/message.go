package msgpackrpc

import (
	"encoding/binary"
	"fmt"
	"math"
	"strings"
)

// The types of message, after the MessagePack-RPC specification.
const (
	typeRequest      = 0
	typeResponse     = 1
	typeNotification = 2
)

// message is one message, its values still encoded. The slices are parts of the bytes
// that it was read from.
type message struct {
	kind   int
	id     uint32 // not of a notification
	method string // not of a response
	params []byte // an array; not of a response
	error  []byte // of a response
	result []byte // of a response
}

// isNil tells whether an encoded value is nil.
func isNil(v []byte) bool { return len(v) == 1 && v[0] == 0xc0 }

// parseMessage reads a whole message.
func parseMessage(data []byte) (m message, err error) {
	h, err := readHeader(data)
	if err != nil || h.kind != kindArray || h.headerBytes == 0 {
		return m, ErrMessage
	}
	rest := data[h.headerBytes:]
	take := func() []byte {
		n, e := valueLength(rest)
		if e != nil {
			err = ErrMessage
			return nil
		}
		v := rest[:n]
		rest = rest[n:]
		return v
	}
	number := func(most uint64) uint64 {
		v, ok := readUint(take())
		if !ok || v > most {
			err = ErrMessage
		}
		return v
	}
	m.kind = int(number(typeNotification))
	if want := map[int]uint64{typeRequest: 4, typeResponse: 4, typeNotification: 3}[m.kind]; err != nil || h.elements != want {
		return m, ErrMessage
	}
	if m.kind != typeNotification {
		m.id = uint32(number(math.MaxUint32))
	}
	if m.kind == typeResponse {
		m.error, m.result = take(), take()
		return m, err
	}
	method, ok := readString(take())
	m.method, m.params = method, take()
	if p, e := readHeader(m.params); err != nil || !ok || e != nil || p.kind != kindArray {
		return m, ErrMessage
	}
	return m, nil
}

// readUint reads an integer that is not negative.
func readUint(v []byte) (uint64, bool) {
	h, err := readHeader(v)
	if err != nil || h.headerBytes == 0 || h.kind != kindInt && h.kind != kindUint || h.kind == kindInt && int64(h.bits) < 0 {
		return 0, false
	}
	return h.bits, true
}

// readString reads a string, or bytes that stand for one as in the specification's old form.
func readString(v []byte) (string, bool) {
	h, err := readHeader(v)
	if err != nil || h.headerBytes == 0 || h.kind != kindString && h.kind != kindBinary {
		return "", false
	}
	return string(v[h.headerBytes : h.headerBytes+int(h.bodyBytes)]), true
}

// readNumber reads any number.
func readNumber(v []byte) (float64, bool) {
	h, err := readHeader(v)
	if err != nil || h.headerBytes == 0 {
		return 0, false
	}
	switch h.kind {
	case kindInt:
		return float64(int64(h.bits)), true
	case kindUint:
		return float64(h.bits), true
	case kindFloat:
		if h.headerBytes == 5 {
			return float64(math.Float32frombits(uint32(h.bits))), true
		}
		return math.Float64frombits(h.bits), true
	}
	return 0, false
}

// readBool reads a bool.
func readBool(v []byte) (value, ok bool) {
	h, err := readHeader(v)
	return h.bits == 1, err == nil && h.kind == kindBool && h.headerBytes == 1
}

// mapEach calls for each pair of an encoded map whose key is a string; it gives false
// where v is no map.
func mapEach(v []byte, each func(key string, value []byte)) bool {
	h, err := readHeader(v)
	if err != nil || h.headerBytes == 0 || h.kind != kindMap {
		return false
	}
	rest := v[h.headerBytes:]
	for range h.elements / 2 {
		k, err := valueLength(rest)
		if err != nil {
			return false
		}
		n, err := valueLength(rest[k:])
		if err != nil {
			return false
		}
		if key, ok := readString(rest[:k]); ok {
			each(key, rest[k:k+n])
		}
		rest = rest[k+n:]
	}
	return true
}

// ---- writing ----

func appendArray(b []byte, n int) []byte {
	switch {
	case n < 16:
		return append(b, 0x90|byte(n))
	case n <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(b, 0xdc), uint16(n))
	}
	return binary.BigEndian.AppendUint32(append(b, 0xdd), uint32(n))
}

func appendMap(b []byte, n int) []byte {
	if n < 16 {
		return append(b, 0x80|byte(n))
	}
	return binary.BigEndian.AppendUint16(append(b, 0xde), uint16(n))
}

func appendUint(b []byte, v uint64) []byte {
	switch {
	case v < 128:
		return append(b, byte(v))
	case v <= math.MaxUint8:
		return append(b, 0xcc, byte(v))
	case v <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(b, 0xcd), uint16(v))
	case v <= math.MaxUint32:
		return binary.BigEndian.AppendUint32(append(b, 0xce), uint32(v))
	}
	return binary.BigEndian.AppendUint64(append(b, 0xcf), v)
}

func appendString(b []byte, s string) []byte {
	switch n := len(s); {
	case n < 32:
		b = append(b, 0xa0|byte(n))
	case n <= math.MaxUint8:
		b = append(b, 0xd9, byte(n))
	case n <= math.MaxUint16:
		b = binary.BigEndian.AppendUint16(append(b, 0xda), uint16(n))
	default:
		b = binary.BigEndian.AppendUint32(append(b, 0xdb), uint32(n))
	}
	return append(b, s...)
}

func appendFloat(b []byte, v float64) []byte {
	return binary.BigEndian.AppendUint64(append(b, 0xcb), math.Float64bits(v))
}

func appendBool(b []byte, v bool) []byte {
	if v {
		return append(b, 0xc3)
	}
	return append(b, 0xc2)
}

func appendResponse(b []byte, id uint32, err, result []byte) []byte {
	b = appendUint(append(appendArray(b, 4), typeResponse), uint64(id))
	return append(append(b, err...), result...)
}

func appendNotification(b []byte, method string, params []byte) []byte {
	return append(appendString(append(appendArray(b, 3), typeNotification), method), params...)
}

// ---- metadata ----

// Metadata is what travels with a call beside its parameters: a map as the last one, all
// of whose keys begin with "$".
type Metadata struct {
	RequestID      string  // $id: 16 hexadecimal digits, new with each call
	Tenant         string  // $house: the tenant
	IdempotencyKey string  // $key: against repeats, for a keyed class
	AffinityKey    string  // $about: what the call is about
	TimeoutMs      float64 // $left_ms: how long the caller will wait
	IsRetry        bool    // $repeat: a caller's retry
}

// splitMeta takes the metadata off a call's params. given is false, and count that of
// all params, where there is none; an error says what in it can't be used.
func splitMeta(params []byte) (args []byte, count int, m Metadata, given bool, err error) {
	h, err := readHeader(params)
	if err != nil {
		return nil, 0, m, false, err
	}
	rest, last := params[h.headerBytes:], []byte(nil)
	from := 0
	for at := 0; at < len(rest); {
		n, err := valueLength(rest[at:])
		if err != nil {
			return nil, 0, m, false, err
		}
		from, last = at, rest[at:at+n]
		at += n
	}
	count = int(h.elements)
	if k, _ := readHeader(last); count == 0 || k.kind != kindMap || k.elements == 0 {
		return rest, count, m, false, nil
	}
	marked, bad := true, ""
	want := func(key string, ok bool) {
		if !ok && bad == "" {
			bad = key
		}
	}
	pairs := 0
	mapEach(last, func(key string, v []byte) {
		pairs++
		if !strings.HasPrefix(key, "$") {
			marked = false
			return
		}
		var ok bool
		switch key {
		case "$id":
			m.RequestID, ok = readString(v)
			want(key, ok && isRequestID(m.RequestID))
		case "$house":
			m.Tenant, ok = readString(v)
			want(key, ok)
		case "$key":
			m.IdempotencyKey, ok = readString(v)
			want(key, ok && m.IdempotencyKey != "" && len(m.IdempotencyKey) <= maxKeyBytes)
		case "$about":
			m.AffinityKey, ok = readString(v)
			want(key, ok && len(m.AffinityKey) <= maxKeyBytes)
		case "$left_ms":
			m.TimeoutMs, ok = readNumber(v)
			want(key, ok && m.TimeoutMs > 0 && m.TimeoutMs <= maxTimeoutMs)
		case "$repeat":
			m.IsRetry, ok = readBool(v)
			want(key, ok)
		}
	})
	if h, _ := readHeader(last); !marked || uint64(pairs) != h.elements/2 {
		return rest, count, Metadata{}, false, nil // a parameter of the method's own
	}
	if bad != "" {
		return nil, 0, m, true, fmt.Errorf("%s is no good", bad)
	}
	return rest[:from], count - 1, m, true, nil
}

const (
	requestIDLength = 16
	maxKeyBytes     = 128
	maxTimeoutMs    = 3_600_000
)

func isRequestID(s string) bool {
	return len(s) == requestIDLength && strings.Trim(s, "0123456789abcdef") == ""
}

// appendMeta writes the metadata that a backend gets.
func appendMeta(b []byte, m *Metadata, leftMs float64) []byte {
	n := 2
	for _, s := range []string{m.Tenant, m.IdempotencyKey, m.AffinityKey} {
		if s != "" {
			n++
		}
	}
	b = appendString(appendString(appendMap(b, n), "$id"), m.RequestID)
	b = appendFloat(appendString(b, "$left_ms"), leftMs)
	for _, p := range [3][2]string{{"$house", m.Tenant}, {"$key", m.IdempotencyKey}, {"$about", m.AffinityKey}} {
		if p[1] != "" {
			b = appendString(appendString(b, p[0]), p[1])
		}
	}
	return b
}
