package msgpackrpc

import "encoding/binary"

// kind is the type of a value.
type kind uint8

const (
	kindNil kind = iota
	kindBool
	kindInt   // a signed integer or a fixint
	kindUint  // an unsigned integer
	kindFloat // of 32 or 64 bits
	kindString
	kindBinary
	kindArray
	kindMap
	kindExt
)

// header is the decoded header of a value.
type header struct {
	kind        kind
	headerBytes int    // length of the header itself; 0: it is not complete
	bodyBytes   uint64 // bytes that follow it
	elements    uint64 // values that follow it: the elements of an array, or the keys and values of a map
	bits        uint64 // of a number or a bool
}

// operand says what the bytes between a value's first byte and its body mean.
type operand uint8

const (
	noOperand     operand = iota // there are no such bytes
	unsignedValue                // the value's bits
	signedValue                  // the value, in two's complement
	bodyLength                   // how many bytes follow
	elementCount                 // how many elements follow; of a map: pairs
)

// format is a row of the specification's table of formats.
type format struct {
	kind    kind
	operand operand
	width   int    // bytes of the operand
	bits    uint64 // of a value that has no operand
	body    uint64 // bytes that follow besides those of the operand
}

// firstFormat and endFormats bound the first bytes that formats lists. Other first bytes hold a number, a length or a
// count themselves.
const (
	firstFormat   = 0xc0
	invalidFormat = 0xc1 // "never used" in the specification
	endFormats    = 0xe0
)

var formats = [endFormats - firstFormat]format{
	0xc0 - firstFormat: {kind: kindNil},
	0xc2 - firstFormat: {kind: kindBool, bits: 0},
	0xc3 - firstFormat: {kind: kindBool, bits: 1},
	0xc4 - firstFormat: {kind: kindBinary, operand: bodyLength, width: 1},
	0xc5 - firstFormat: {kind: kindBinary, operand: bodyLength, width: 2},
	0xc6 - firstFormat: {kind: kindBinary, operand: bodyLength, width: 4},
	0xc7 - firstFormat: {kind: kindExt, operand: bodyLength, width: 1, body: 1}, // its type comes before its bytes
	0xc8 - firstFormat: {kind: kindExt, operand: bodyLength, width: 2, body: 1},
	0xc9 - firstFormat: {kind: kindExt, operand: bodyLength, width: 4, body: 1},
	0xca - firstFormat: {kind: kindFloat, operand: unsignedValue, width: 4},
	0xcb - firstFormat: {kind: kindFloat, operand: unsignedValue, width: 8},
	0xcc - firstFormat: {kind: kindUint, operand: unsignedValue, width: 1},
	0xcd - firstFormat: {kind: kindUint, operand: unsignedValue, width: 2},
	0xce - firstFormat: {kind: kindUint, operand: unsignedValue, width: 4},
	0xcf - firstFormat: {kind: kindUint, operand: unsignedValue, width: 8},
	0xd0 - firstFormat: {kind: kindInt, operand: signedValue, width: 1},
	0xd1 - firstFormat: {kind: kindInt, operand: signedValue, width: 2},
	0xd2 - firstFormat: {kind: kindInt, operand: signedValue, width: 4},
	0xd3 - firstFormat: {kind: kindInt, operand: signedValue, width: 8},
	0xd4 - firstFormat: {kind: kindExt, body: 1 + 1},
	0xd5 - firstFormat: {kind: kindExt, body: 1 + 2},
	0xd6 - firstFormat: {kind: kindExt, body: 1 + 4},
	0xd7 - firstFormat: {kind: kindExt, body: 1 + 8},
	0xd8 - firstFormat: {kind: kindExt, body: 1 + 16},
	0xd9 - firstFormat: {kind: kindString, operand: bodyLength, width: 1},
	0xda - firstFormat: {kind: kindString, operand: bodyLength, width: 2},
	0xdb - firstFormat: {kind: kindString, operand: bodyLength, width: 4},
	0xdc - firstFormat: {kind: kindArray, operand: elementCount, width: 2},
	0xdd - firstFormat: {kind: kindArray, operand: elementCount, width: 4},
	0xde - firstFormat: {kind: kindMap, operand: elementCount, width: 2},
	0xdf - firstFormat: {kind: kindMap, operand: elementCount, width: 4},
}

// readHeader reads the header at the start of data. It returns headerBytes 0 if data ends within the header, and
// ErrNoFormat if no value begins there.
func readHeader(data []byte) (header, error) {
	if len(data) == 0 {
		return header{}, nil
	}
	first := data[0]
	if first == invalidFormat {
		return header{}, ErrNoFormat
	}
	if first < firstFormat || first >= endFormats {
		return readFixHeader(first), nil
	}
	f := &formats[first-firstFormat]
	if len(data) < 1+f.width {
		return header{}, nil
	}
	h := header{kind: f.kind, headerBytes: 1 + f.width, bodyBytes: f.body, bits: f.bits}
	value := bigEndian(data[1:], f.width)
	switch f.operand {
	case noOperand:
	case unsignedValue:
		h.bits = value
	case signedValue:
		shift := 64 - 8*f.width
		h.bits = uint64(int64(value<<shift) >> shift)
	case bodyLength:
		h.bodyBytes += value
	case elementCount:
		h.elements = elementsOf(f.kind, value)
	}
	return h, nil
}

// readFixHeader reads a header of one byte that holds a number, a length or a count itself.
func readFixHeader(first byte) header {
	switch {
	case first <= 0x7f: // positive fixint
		return header{kind: kindInt, headerBytes: 1, bits: uint64(first)}
	case first <= 0x8f:
		return header{kind: kindMap, headerBytes: 1, elements: elementsOf(kindMap, uint64(first&0x0f))}
	case first <= 0x9f:
		return header{kind: kindArray, headerBytes: 1, elements: uint64(first & 0x0f)}
	case first <= 0xbf:
		return header{kind: kindString, headerBytes: 1, bodyBytes: uint64(first & 0x1f)}
	}
	return header{kind: kindInt, headerBytes: 1, bits: uint64(int64(int8(first)))} // negative fixint
}

// elementsOf returns how many values follow the header of an array or a map with the given count.
func elementsOf(k kind, count uint64) uint64 {
	if k == kindMap {
		return 2 * count
	}
	return count
}

// bigEndian reads an unsigned integer of 0, 1, 2, 4 or 8 bytes.
func bigEndian(data []byte, width int) uint64 {
	switch width {
	case 0:
		return 0
	case 1:
		return uint64(data[0])
	case 2:
		return uint64(binary.BigEndian.Uint16(data))
	case 4:
		return uint64(binary.BigEndian.Uint32(data))
	}
	return binary.BigEndian.Uint64(data)
}
