package msgpackrpc

import (
	"bytes"
	"encoding/hex"
	"errors"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

var wideLimits = Limits{MaxMessageBytes: 1 << 20, MaxDepth: 64}

func unhex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(s, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Each format of the MessagePack specification is found with its length, and is incomplete without its last byte.
func TestFormatsOfTheSpecification(t *testing.T) {
	for _, v := range []string{
		"00", "7f", "e0", "ff", // fixint
		"80", "82 a7 636f6d70616374 c3 a6 736368656d61 00", // {"compact":true,"schema":0}, the specification's own
		"90", "93 01 02 03", "a0", "a3 616263", "c0", "c2", "c3",
		"c4 00", "c4 02 0102", "c5 0001 ff", "c6 00000001 ff",
		"c7 02 05 0102", "c8 0001 05 01", "c9 00000001 05 01",
		"ca 3f800000", "cb 3ff0000000000000", "cc ff", "cd ffff", "ce ffffffff", "cf ffffffffffffffff",
		"d0 80", "d1 8000", "d2 80000000", "d3 8000000000000000",
		"d4 01 00", "d5 01 0000", "d6 01 00000000", "d7 01 0000000000000000", "d8 01 00000000000000000000000000000000",
		"d9 01 61", "da 0001 61", "db 00000001 61", "dc 0001 c0", "dd 00000001 c0", "de 0001 c0 c0", "df 00000001 c0 c0",
	} {
		data := unhex(t, v)
		n, err := valueLength(append(append([]byte(nil), data...), 0xc0))
		if err != nil || n != len(data) {
			t.Errorf("%s: %d bytes, %v", v, n, err)
		}
		for k := range data {
			s := scanner{limits: wideLimits}
			if n, done, err := s.advance(data[:k]); done || err != nil {
				t.Errorf("%s: after %d bytes: %d %v %v", v, k, n, done, err)
			}
		}
	}
	if _, err := valueLength([]byte{0xc1}); !errors.Is(err, ErrNoFormat) {
		t.Errorf("0xc1: %v", err)
	}
}

// The messages of the MessagePack-RPC specification, byte for byte.
func TestMessagesOfTheSpecification(t *testing.T) {
	// [0, 1, "sum", [1, 2]], [1, 1, nil, 3], [2, "log", ["x"]]
	request := unhex(t, "94 00 01 a3 73756d 92 01 02")
	m, err := parseMessage(request)
	if err != nil || m.kind != typeRequest || m.id != 1 || m.method != "sum" || !bytes.Equal(m.params, unhex(t, "92 01 02")) {
		t.Errorf("%+v %v", m, err)
	}
	p := payload{method: "sum", args: unhex(t, "01 02"), count: 2}
	if got := p.encode(1, 0); !bytes.Equal(got, request) {
		t.Errorf("encoded request: %x", got)
	}
	response := unhex(t, "94 01 01 c0 03")
	if m, err = parseMessage(response); err != nil || m.kind != typeResponse || m.id != 1 || !isNil(m.error) || !bytes.Equal(m.result, []byte{3}) {
		t.Errorf("%+v %v", m, err)
	}
	if got := appendResponse(nil, 1, nilValue, []byte{3}); !bytes.Equal(got, response) {
		t.Errorf("encoded response: %x", got)
	}
	note := unhex(t, "93 02 a3 6c6f67 91 a1 78")
	if m, err = parseMessage(note); err != nil || m.kind != typeNotification || m.method != "log" {
		t.Errorf("%+v %v", m, err)
	}
	if got := encodeNotification("log", unhex(t, "91 a1 78")); !bytes.Equal(got, note) {
		t.Errorf("encoded notification: %x", got)
	}
	p.notification = true
	if got := p.encode(1, 0); !bytes.Equal(got, unhex(t, "93 02 a3 73756d 92 01 02")) {
		t.Errorf("forwarded notification: %x", got)
	}
	// A msgid of 32 bits, and a method in the binary format, as in the old version of the specification.
	if m, err = parseMessage(unhex(t, "94 00 ce ffffffff c4 01 61 90")); err != nil || m.id != 1<<32-1 || m.method != "a" {
		t.Errorf("%+v %v", m, err)
	}
}

func TestMalformedMessages(t *testing.T) {
	for name, v := range map[string]string{
		"a number":            "01",
		"a map":               "80",
		"an empty array":      "90",
		"five values":         "95 00 01 a1 61 90 c0",
		"a request of three":  "93 00 01 a1 61",
		"an unknown type":     "94 03 01 a1 61 90",
		"a type that is text": "94 a1 30 01 a1 61 90",
		"a negative msgid":    "94 00 ff a1 61 90",
		"a msgid of 33 bits":  "94 00 cf 0000000100000000 a1 61 90",
		"a method of nil":     "94 00 01 c0 90",
		"params of nil":       "94 00 01 a1 61 c0",
		"params of a map":     "94 00 01 a1 61 80",
	} {
		if m, err := parseMessage(unhex(t, v)); err == nil {
			t.Errorf("%s: parsed as %+v", name, m)
		}
	}
}

// Claimed lengths and nesting are checked against the limits before their bytes have arrived.
func TestLimits(t *testing.T) {
	for name, c := range map[string]struct {
		data []byte
		want error
	}{
		"4 GB of text":      {unhex(t, "db ffffffff"), ErrTooLong},
		"4 GB of bytes":     {unhex(t, "c6 ffffffff"), ErrTooLong},
		"an array of 4 G":   {unhex(t, "dd ffffffff"), ErrTooLong},
		"a map of 4 G":      {unhex(t, "df ffffffff"), ErrTooLong},
		"4 GB in a message": {unhex(t, "94 00 01 db ffffffff"), ErrTooLong},
		"nesting of 10,000": {bytes.Repeat([]byte{0x91}, 10000), ErrTooDeep},
		"nesting of 65":     {bytes.Repeat([]byte{0x91}, 65), ErrTooDeep},
		"nesting of maps":   {bytes.Repeat([]byte{0x81, 0xc0}, 65), ErrTooDeep},
		"over the limit":    {append(unhex(t, "c6 00100000"), make([]byte, 1<<20)...), ErrTooLong},
		"unused format":     {unhex(t, "92 c1"), ErrNoFormat},
	} {
		s := scanner{limits: wideLimits}
		if _, done, err := s.advance(c.data); done || !errors.Is(err, c.want) {
			t.Errorf("%s: %v %v, want %v", name, done, err, c.want)
		}
	}
	s := scanner{limits: wideLimits}
	if n, done, err := s.advance(append(bytes.Repeat([]byte{0x91}, 64), 0xc0)); !done || n != 65 || err != nil {
		t.Errorf("nesting of 64: %d %v %v", n, done, err)
	}
}

// The end of any value that the msgpack library encodes is found, however its bytes are split.
func TestValuesSplitAnywhere(t *testing.T) {
	value := rapid.Deferred(func() *rapid.Generator[any] { return anyValue(4) })
	rapid.Check(t, func(t *rapid.T) {
		data, err := msgpack.Marshal(value.Draw(t, "value"))
		if err != nil {
			t.Fatal(err)
		}
		stream := append(append([]byte(nil), data...), 0xc0, 0x93) // the beginning of the next message
		s := scanner{limits: Limits{MaxMessageBytes: len(data), MaxDepth: 16}}
		for at := 0; ; {
			at = min(len(stream), at+rapid.IntRange(1, 7).Draw(t, "more"))
			n, done, err := s.advance(stream[:at])
			if err != nil {
				t.Fatalf("%x: %v", data, err)
			}
			if done {
				if n != len(data) {
					t.Fatalf("%x: %d bytes, want %d", data, n, len(data))
				}
				return
			}
			if at == len(stream) {
				t.Fatalf("%x: its end was not found", data)
			}
		}
	})
}

func anyValue(depth int) *rapid.Generator[any] {
	leaves := []*rapid.Generator[any]{
		rapid.Int64().AsAny(), rapid.Uint64().AsAny(), rapid.Float64().AsAny(), rapid.Float32().AsAny(),
		rapid.Bool().AsAny(), rapid.String().AsAny(), rapid.SliceOf(rapid.Byte()).AsAny(), rapid.Just[any](nil),
	}
	if depth == 0 {
		return rapid.OneOf(leaves...)
	}
	inner := anyValue(depth - 1)
	return rapid.OneOf(append(leaves, rapid.SliceOfN(inner, 0, 20).AsAny(), rapid.MapOfN(rapid.String(), inner, 0, 20).AsAny())...)
}

// allMetadata has every key.
var allMetadata = map[string]any{"$id": "00000000000000aa", "$house": "obala", "$key": "k", "$about": "crate 7", "$left_ms": 480, "$repeat": true}

// encodeArray encodes an array with the msgpack library.
func encodeArray(t *testing.T, v ...any) []byte {
	t.Helper()
	b, err := msgpack.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestMetadataGoesOn(t *testing.T) {
	call, err := splitParams(encodeArray(t, 1, "two", allMetadata))
	if err != nil || !call.hasMeta || call.count != 2 || !bytes.Equal(call.args, unhex(t, "01 a3 74776f")) ||
		call.meta != (Metadata{"00000000000000aa", "obala", "k", "crate 7", 480, true}) {
		t.Errorf("%+v %v", call, err)
	}
	// The msgpack library can decode the forwarded call, whose $left_ms is the time left.
	p := payload{method: "a", args: call.args, count: call.count, meta: call.meta, hasMeta: true}
	var sent []any
	if err := msgpack.Unmarshal(p.encode(9, 250e6), &sent); err != nil {
		t.Fatal(err)
	}
	got := sent[3].([]any)[2].(map[string]any)
	if got["$id"] != "00000000000000aa" || got["$left_ms"] != 250.0 || got["$key"] != "k" || got["$house"] != "obala" || got["$about"] != "crate 7" {
		t.Errorf("forwarded metadata: %v", got)
	}
}

// A last parameter that is not a map of metadata keys alone is the method's own.
func TestParametersWithoutMetadata(t *testing.T) {
	for name, params := range map[string][]byte{
		"none":             encodeArray(t, 1, 2),
		"no params":        encodeArray(t),
		"an empty map":     encodeArray(t, map[string]any{}),
		"own map":          encodeArray(t, map[string]any{"weight": 7}),
		"mixed map":        encodeArray(t, map[string]any{"$id": "00000000000000aa", "weight": 7}),
		"key not a string": encodeArray(t, map[int]any{1: 2}),
		"not the last":     encodeArray(t, allMetadata, 1),
	} {
		t.Run(name, func(t *testing.T) {
			h, err := readHeader(params)
			if err != nil {
				t.Fatal(err)
			}
			got, err := splitParams(params)
			if err != nil || got.hasMeta || got.count != int(h.elements) || !bytes.Equal(got.args, params[h.headerBytes:]) {
				t.Errorf("%+v %v", got, err)
			}
		})
	}
}

func TestUnusableMetadata(t *testing.T) {
	for name, bad := range map[string]map[string]any{
		"malformed id":     {"$id": "../../etc"},
		"id not a string":  {"$id": 7},
		"a long key":       {"$key": strings.Repeat("k", 200)},
		"zero time":        {"$left_ms": 0},
		"endless time":     {"$left_ms": 1e300},
		"time as text":     {"$left_ms": "480"},
		"a repeat as text": {"$repeat": "yes"},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := splitParams(encodeArray(t, bad))
			if err == nil {
				t.Errorf("accepted: %+v", got)
			}
		})
	}
}

// Arbitrary input must not cause a panic. A value that the scanner finds complete is within the data and the limit, has
// the same length when it is measured again, and an accepted request ID is well formed.
func FuzzStream(f *testing.F) {
	f.Add(unhex(f, "94 00 01 a3 73756d 92 01 02 94 01 01 c0 03"))
	f.Add(unhex(f, "93 02 a3 6c6f67 91 81 a3 246964 b0 30303030303030303030303030306161"))
	f.Add(unhex(f, "dd ffffffff"))
	f.Add(bytes.Repeat([]byte{0x91}, 200))
	f.Fuzz(func(t *testing.T, data []byte) {
		limits := Limits{MaxMessageBytes: 4096, MaxDepth: 16}
		s := scanner{limits: limits}
		rest := data
		for len(rest) > 0 {
			n, done, err := s.advance(rest)
			if err != nil || !done {
				return
			}
			if n < 1 || n > len(rest) || n > limits.MaxMessageBytes {
				t.Fatalf("%d bytes of %d", n, len(rest))
			}
			if whole, err := valueLength(rest[:n]); err != nil || whole != n {
				t.Fatalf("length of the whole value: %d %v, want %d", whole, err, n)
			}
			if m, err := parseMessage(rest[:n]); err == nil && m.kind != typeResponse {
				if p, err := splitParams(m.params); err == nil && p.hasMeta && p.meta.RequestID != "" && !isRequestID(p.meta.RequestID) {
					t.Fatalf("accepted the request ID %q", p.meta.RequestID)
				}
			}
			rest = rest[n:]
			s.reset()
		}
	})
}
