package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

func batch(seq uint32, records uint32, body ...any) []byte {
	var b bytes.Buffer
	for _, f := range body {
		switch v := f.(type) {
		case int:
			b.WriteByte(byte(v))
		case string:
			b.WriteString(v)
		default:
			_ = binary.Write(&b, binary.LittleEndian, v) // a write to a Buffer does not fail
		}
	}
	var out bytes.Buffer
	for _, f := range []any{seq, float64(seq) * 100, uint32(b.Len()), records} {
		_ = binary.Write(&out, binary.LittleEndian, f)
	}
	return append(out.Bytes(), b.Bytes()...)
}

const settings = "Caps.Probes=true\nServices.count=1\nServices.0.Aim=100\nServices.0.GiveUp=500\n"

func initRecord(seed uint64) []any {
	return []any{1, seed, uint32(len(settings)), settings}
}

func run(t *testing.T, frames ...[]byte) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := serve(bytes.NewReader(bytes.Join(frames, nil)), &out)
	return out.String(), err
}

func TestEndOfInputBetweenFramesIsNoFault(t *testing.T) {
	out, err := run(t, batch(1, 0))
	if err != nil || len(out) != 12 {
		t.Errorf("%d bytes, error %v", len(out), err)
	}
}

func TestInstancesInAnyOrderAndNumber(t *testing.T) {
	start := batch(1, 4, append(append([]any{11, uint16(9)}, initRecord(1)...),
		append([]any{11, uint16(2)}, initRecord(1)...)...)...)
	again := batch(2, 4, append([]any{11, uint16(9), 10}, append(initRecord(2), 6, uint32(77))...)...)
	if out, err := run(t, start, again); err != nil || len(out) < 24 {
		t.Errorf("%d bytes, error %v", len(out), err)
	}
}

func TestFaultsAreOnePlainLineAndNothingHalfWritten(t *testing.T) {
	for _, c := range []struct {
		name, want string
		frames     [][]byte
	}{
		{"never initialised", "instance 5 was never initialised", [][]byte{batch(3, 2, 11, uint16(5), 6, uint32(1))}},
		{"gone", "instance 5 was never initialised", [][]byte{
			batch(1, 3, append([]any{11, uint16(5)}, append(initRecord(1), 10)...)...),
			batch(2, 2, 11, uint16(5), 6, uint32(1)),
		}},
		{"bad settings line", "settings line 1", [][]byte{batch(1, 2, 11, uint16(5), 1, uint64(1), uint32(3), "abc")}},
		{"settings without a class", "Classes", [][]byte{batch(1, 2, 11, uint16(5), 1, uint64(1), uint32(3), "a=b")}},
		{"truncated after its header", "truncated", [][]byte{batch(1, 0), batch(2, 2, 11, uint16(5), 6, uint32(1))[:20]}},
		{"truncated", "truncated", [][]byte{batch(1, 0), batch(2, 2, 11, uint16(5), 6, uint32(1))[:25]}},
	} {
		out, err := run(t, c.frames...)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", c.name, err)
		}
		for rest := []byte(out); len(rest) > 0; {
			size := 12 + int(binary.LittleEndian.Uint32(rest[8:]))
			if size > len(rest) {
				t.Errorf("%s: a reply was written incompletely", c.name)
				break
			}
			rest = rest[size:]
		}
	}
}
