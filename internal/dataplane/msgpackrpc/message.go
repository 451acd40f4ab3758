package msgpackrpc

import "math"

// The message types of the MessagePack-RPC specification.
const (
	typeRequest      = 0
	typeResponse     = 1
	typeNotification = 2
)

// message is one message with its values still encoded. The slices are parts of the bytes that it was read from.
type message struct {
	kind   int
	id     uint32 // unset in a notification
	method string // unset in a response
	params []byte // an array; unset in a response
	error  []byte // only in a response
	result []byte // only in a response
}

// elementsByType is how many elements a message of each type has.
var elementsByType = [...]uint64{typeRequest: 4, typeResponse: 4, typeNotification: 3}

// parseMessage reads a complete message. Its error is ErrMessage.
func parseMessage(data []byte) (message, error) {
	h, err := readHeader(data)
	if err != nil || h.kind != kindArray || h.headerBytes == 0 {
		return message{}, ErrMessage
	}
	r := valueReader{rest: data[h.headerBytes:]}
	m := message{kind: int(r.uint(typeNotification))}
	if r.failed || h.elements != elementsByType[m.kind] {
		return message{}, ErrMessage
	}
	if m.kind != typeNotification {
		m.id = uint32(r.uint(math.MaxUint32))
	}
	if m.kind == typeResponse {
		m.error = r.value()
		m.result = r.value()
	} else {
		m.method = r.string()
		m.params = r.array()
	}
	if r.failed {
		return message{}, ErrMessage
	}
	return m, nil
}

// valueReader reads encoded values one after the other. After a failure it returns zero values.
type valueReader struct {
	rest   []byte
	failed bool
}

// value reads the next value and returns it encoded.
func (r *valueReader) value() []byte {
	if r.failed {
		return nil
	}
	n, err := valueLength(r.rest)
	if err != nil {
		r.failed = true
		return nil
	}
	v := r.rest[:n]
	r.rest = r.rest[n:]
	return v
}

// uint reads an integer from 0 to a maximum.
func (r *valueReader) uint(maximum uint64) uint64 {
	v, ok := readUint(r.value())
	if !ok || v > maximum {
		r.failed = true
		return 0
	}
	return v
}

func (r *valueReader) string() string {
	v, ok := readString(r.value())
	r.failed = r.failed || !ok
	return v
}

// array reads an array and returns it encoded.
func (r *valueReader) array() []byte {
	v := r.value()
	h, err := readHeader(v)
	r.failed = r.failed || err != nil || h.kind != kindArray
	return v
}

// appendRequest appends the beginning of a request, up to its parameters.
func appendRequest(b []byte, id uint32, method string) []byte {
	b = appendUint(append(appendArray(b, 4), typeRequest), uint64(id))
	return appendString(b, method)
}

// appendNotification appends the beginning of a notification, up to its parameters.
func appendNotification(b []byte, method string) []byte {
	return appendString(append(appendArray(b, 3), typeNotification), method)
}

// encodeNotification encodes a notification; params is an encoded array.
func encodeNotification(method string, params []byte) []byte {
	return append(appendNotification(nil, method), params...)
}

func appendResponse(b []byte, id uint32, err, result []byte) []byte {
	b = appendUint(append(appendArray(b, 4), typeResponse), uint64(id))
	return append(append(b, err...), result...)
}
