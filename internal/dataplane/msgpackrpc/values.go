package msgpackrpc

import (
	"encoding/binary"
	"math"
)

// isNil reports whether an encoded value is nil.
func isNil(v []byte) bool { return len(v) == 1 && v[0] == 0xc0 }

// readUint reads an integer that is not negative.
func readUint(v []byte) (uint64, bool) {
	h, err := readHeader(v)
	if err != nil || h.headerBytes == 0 {
		return 0, false
	}
	switch h.kind {
	case kindUint:
		return h.bits, true
	case kindInt:
		return h.bits, int64(h.bits) >= 0
	}
	return 0, false
}

// readString reads a string, or binary data that stands for one as in the old version of the specification.
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
		if h.headerBytes == 1+4 {
			return float64(math.Float32frombits(uint32(h.bits))), true
		}
		return math.Float64frombits(h.bits), true
	}
	return 0, false
}

// readBool reads a bool.
func readBool(v []byte) (value, ok bool) {
	h, err := readHeader(v)
	if err != nil || h.kind != kindBool {
		return false, false
	}
	return h.bits == 1, true
}

// forEachPair calls a function for each pair of an encoded map whose key is a string. It does nothing for other values.
func forEachPair(v []byte, visit func(key string, value []byte)) {
	h, err := readHeader(v)
	if err != nil || h.headerBytes == 0 || h.kind != kindMap {
		return
	}
	r := valueReader{rest: v[h.headerBytes:]}
	for range h.elements / 2 {
		keyBytes := r.value()
		value := r.value()
		if r.failed {
			return
		}
		key, ok := readString(keyBytes)
		if ok {
			visit(key, value)
		}
	}
}

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
