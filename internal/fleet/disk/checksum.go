package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// checksumBytes is the length of the CRC-32C in front of each value.
const checksumBytes = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// seal returns a value with its checksum in front.
func seal(value []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, crc32.Checksum(value, castagnoli)), value...)
}

// unseal verifies the checksum in front of a value and returns the value. It fails with ErrTorn.
func unseal(sealed []byte) ([]byte, error) {
	if len(sealed) < checksumBytes || binary.BigEndian.Uint32(sealed) != crc32.Checksum(sealed[checksumBytes:], castagnoli) {
		return nil, fmt.Errorf("%w: a checksum is wrong", ErrTorn)
	}
	return sealed[checksumBytes:], nil
}

// number encodes a number so that keys sort by it.
func number(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }
