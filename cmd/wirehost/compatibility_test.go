package main

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// frame is a batch of events at a time in milliseconds.
func frame(seq uint32, clock float64, records uint32, body ...any) []byte {
	f := batch(seq, records, body...)
	binary.LittleEndian.PutUint64(f[4:], math.Float64bits(clock))
	return f
}

// exchange is an input with every kind of event, frame by frame.
func exchange() [][]byte {
	text := "Balancers=2\nCaps.Probes=true\nCaps.Peers=true\nCaps.RetryAfter=true\nCaps.MaxRetryAfter=500\nCaps.MaxAttempts=3\n" +
		"Caps.ConnectTimeout=50\nCaps.Cancel=true\nCaps.SecondCopies=true\nObligations.DrainGrace=100\nObligations.Fall=3000\nFeedback.How=inline\nFeedback.Names=busy_reqs,pending\n" +
		"Services.count=2\nServices.0.Name=a\nServices.0.Aim=100\nServices.0.GiveUp=500\nServices.0.Effect=retryable\n" +
		"Services.1.Name=b\nServices.1.Aim=200\nServices.1.GiveUp=900\nTenants.count=1\nTenants.0.Name=t\nTenants.0.Share=1\nTenants.0.QuotaPerS=100\n"
	row := func(id uint32, zone uint16, state int) []any {
		return []any{id, zone, uint16(0), uint16(0), state, float32(1), -9000.0}
	}
	join := func(parts ...[]any) (all []any) {
		for _, p := range parts {
			all = append(all, p...)
		}
		return all
	}
	ask := func(id uint32, deadline float64, class int) []any {
		return []any{3, id, 10.0, deadline, 1, class, uint64(id) * 77, uint32(0)}
	}
	to := []any{11, uint16(4)}
	return [][]byte{
		frame(1, 0, 2, join(to, []any{1, uint64(99), uint32(len(text)), text})...),
		frame(2, 1, 3, join(to, []any{2, 1, uint32(1), uint32(3)}, row(70, 0, 1), row(71, 1, 1), row(72, 0, 1), ask(1, 500, 0))...),
		frame(3, 5, 4, join(to, ask(2, 900, 1), ask(3, 505, 0), ask(4, 505, 0))...),
		frame(4, 20, 4, join(to, []any{4, uint32(1), 0, uint32(70), 15.0}, []any{5, uint32(1), 0, uint32(70), 1, 19.0, 1, 2, float32(1), float32(0)},
			[]any{5, uint32(3), 0, uint32(71), 4, 15.0, 1, 0})...),
		frame(5, 40, 3, join(to, []any{6, uint32(4)}, []any{8, uint32(71), 1, 2.0, 0})...),
		frame(6, 60, 3, join(to, []any{2, 0, uint32(2), uint32(2)}, row(72, 0, 2), row(73, 1, 1), []any{9, uint16(1), uint16(2), "hi"})...),
		frame(7, 70, 3, join(to, []any{7, uint64(1)}, ask(5, 71, 1))...),
		frame(8, 80, 2, join(to, []any{2, 3, uint32(2), uint32(0)})...),
		frame(9, 900, 2, join(to, ask(6, 1400, 0))...),
		frame(10, 910, 2, join(to, []any{10})...),
	}
}

// A recorded exchange is answered byte for byte as by the recorded tree, on the recorded input.
func TestCompatibilityRecordedExchange(t *testing.T) {
	in := exchange()
	var sent strings.Builder
	for _, f := range in {
		fmt.Fprintln(&sent, hex.EncodeToString(f))
	}
	compareRecorded(t, "exchange-in.txt", []byte(sent.String()))
	recorded, err := os.ReadFile(filepath.Join("testdata", "compatibility", "exchange-in.txt"))
	if err != nil {
		t.Fatal(err)
	}
	input, err := hex.DecodeString(strings.ReplaceAll(string(recorded), "\n", ""))
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
	compareRecorded(t, "exchange-out.txt", []byte(answers.String()))
}

// The files under testdata/compatibility hold what the tree at commit 6fb9894 wrote. They stay as they are: a
// difference is a change of a form that others read, not a reason to write them anew. The variable below wrote
// them; it only makes files that are not there.
const writeCompatibility = "MARLREEL_WRITE_COMPATIBILITY"

// compareRecorded compares bytes with a recorded file.
func compareRecorded(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "compatibility", name)
	want, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && os.Getenv(writeCompatibility) != "" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs\n got %s\nwant %s", name, got, want)
	}
}
