package main

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"strings"
	"testing"

	"marlreel/internal/testing/recorded"
)

// frame returns a batch of events at a time in milliseconds.
func frame(seq uint32, clock float64, records uint32, body ...any) []byte {
	f := batch(seq, records, body...)
	binary.LittleEndian.PutUint64(f[4:], math.Float64bits(clock))
	return f
}

// compatibilitySettings enables everything that an instance may do.
const compatibilitySettings = "Balancers=2\nCaps.Probes=true\nCaps.Peers=true\nCaps.RetryAfter=true\nCaps.MaxRetryAfter=500\nCaps.MaxAttempts=3\n" +
	"Caps.ConnectTimeout=50\nCaps.Cancel=true\nCaps.SecondCopies=true\nObligations.DrainGrace=100\nObligations.Fall=3000\nFeedback.How=inline\nFeedback.Names=busy_reqs,pending\n" +
	"Services.count=2\nServices.0.Name=a\nServices.0.Aim=100\nServices.0.GiveUp=500\nServices.0.Effect=retryable\n" +
	"Services.1.Name=b\nServices.1.Aim=200\nServices.1.GiveUp=900\nTenants.count=1\nTenants.0.Name=t\nTenants.0.Share=1\nTenants.0.QuotaPerS=100\n"

// row returns a backend's entry in a membership list.
func row(id uint32, zone uint16, state int) []any {
	return []any{id, zone, uint16(0), uint16(0), state, float32(1), -9000.0}
}

// clientRequest returns the fields of a request event.
func clientRequest(id uint32, deadline float64, class int) []any {
	return []any{3, id, 10.0, deadline, 1, class, uint64(id) * 77, uint32(0)}
}

func join(parts ...[]any) (all []any) {
	for _, p := range parts {
		all = append(all, p...)
	}
	return all
}

// exchange returns an input with every kind of event, frame by frame.
func exchange() [][]byte {
	to := []any{11, uint16(4)}
	return [][]byte{
		frame(1, 0, 2, join(to, []any{1, uint64(99), uint32(len(compatibilitySettings)), compatibilitySettings})...),
		frame(2, 1, 3, join(to, []any{2, 1, uint32(1), uint32(3)}, row(70, 0, 1), row(71, 1, 1), row(72, 0, 1), clientRequest(1, 500, 0))...),
		frame(3, 5, 4, join(to, clientRequest(2, 900, 1), clientRequest(3, 505, 0), clientRequest(4, 505, 0))...),
		frame(4, 20, 4, join(to, []any{4, uint32(1), 0, uint32(70), 15.0}, []any{5, uint32(1), 0, uint32(70), 1, 19.0, 1, 2, float32(1), float32(0)},
			[]any{5, uint32(3), 0, uint32(71), 4, 15.0, 1, 0})...),
		frame(5, 40, 3, join(to, []any{6, uint32(4)}, []any{8, uint32(71), 1, 2.0, 0})...),
		frame(6, 60, 3, join(to, []any{2, 0, uint32(2), uint32(2)}, row(72, 0, 2), row(73, 1, 1), []any{9, uint16(1), uint16(2), "hi"})...),
		frame(7, 70, 3, join(to, []any{7, uint64(1)}, clientRequest(5, 71, 1))...),
		frame(8, 80, 2, join(to, []any{2, 3, uint32(2), uint32(0)})...),
		frame(9, 900, 2, join(to, clientRequest(6, 1400, 0))...),
		frame(10, 910, 2, join(to, []any{10})...),
	}
}

// outcomes returns an input with an instance for each of the eight outcomes of attempts and probes, for each mode of a
// membership list, and for each availability of a backend.
func outcomes() (frames [][]byte) {
	seq := uint32(0)
	addFrame := func(clock float64, records uint32, body ...any) {
		seq++
		frames = append(frames, frame(seq, clock, records, body...))
	}
	start := func(instance uint16, rows ...[]any) {
		addFrame(0, 2, join([]any{11, instance, 1, uint64(99), uint32(len(compatibilitySettings)), compatibilitySettings})...)
		addFrame(1, 2, join([]any{11, instance, 2, 1, uint32(1), uint32(len(rows))}, join(rows...))...)
	}
	for code := range 8 {
		instance := uint16(10 + code)
		start(instance, row(70, 0, 1), row(71, 0, 1))
		for class := range 2 {
			id := uint32(100 + class)
			addFrame(2, 2, join([]any{11, instance}, clientRequest(id, 500, class))...)
			for _, backend := range []uint32{70, 71} {
				addFrame(4, 2, 11, instance, 5, id, 0, backend, code, 2.0, 0, 0)
				addFrame(6, 2, 11, instance, 5, id, 0, backend, code, 4.0, 1, 0)
			}
		}
		addFrame(8, 2, 11, instance, 8, uint32(70), code, 1.0, 0)
		addFrame(20, 2, join([]any{11, instance}, clientRequest(110, 500, 0))...)
	}
	for mode := range 4 {
		instance := uint16(30 + mode)
		start(instance, row(70, 0, 1), row(71, 0, 1))
		addFrame(10, 2, join([]any{11, instance, 2, mode, uint32(2), uint32(1)}, row(72, 0, 1))...)
		for id := range uint32(6) {
			addFrame(20, 2, join([]any{11, instance}, clientRequest(id, 500, 0))...)
		}
	}
	for state := range 3 {
		instance := uint16(40 + state)
		start(instance, row(70, 0, 1))
		addFrame(10, 2, join([]any{11, instance, 2, 0, uint32(2), uint32(1)}, row(71, 0, state))...)
		addFrame(20, 2, join([]any{11, instance, 2, 0, uint32(3), uint32(1)}, row(70, 0, state))...)
		for id := range uint32(4) {
			addFrame(30, 2, join([]any{11, instance}, clientRequest(id, 500, 0))...)
		}
	}
	return frames
}

// The replies to a recorded input match the recorded replies byte for byte.
func TestCompatibilityRecordedExchange(t *testing.T) {
	for name, in := range map[string][][]byte{"exchange": exchange(), "outcomes": outcomes()} {
		t.Run(name, func(t *testing.T) { compareExchange(t, name, in) })
	}
}

func compareExchange(t *testing.T, name string, in [][]byte) {
	t.Helper()
	var sent strings.Builder
	for _, f := range in {
		fmt.Fprintln(&sent, hex.EncodeToString(f))
	}
	recorded.Check(t, name+"-in.txt", sent.String())
	file := recorded.Read(t, name+"-in.txt")
	input, err := hex.DecodeString(strings.ReplaceAll(string(file), "\n", ""))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := serve(bytes.NewReader(input), &out); err != nil {
		t.Fatal(err)
	}
	var answers strings.Builder // a line for each reply
	for rest := out.Bytes(); len(rest) > 0; {
		size := 12 + int(binary.LittleEndian.Uint32(rest[8:]))
		fmt.Fprintln(&answers, hex.EncodeToString(rest[:size]))
		rest = rest[size:]
	}
	if n := strings.Count(answers.String(), "\n"); n != len(in) {
		t.Errorf("%d replies to %d batches", n, len(in))
	}
	recorded.Check(t, name+"-out.txt", answers.String())
}
