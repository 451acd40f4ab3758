package codec

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"marlreel/internal/balancer/connections"
	"marlreel/internal/balancer/goodput"
	"marlreel/internal/balancer/grayfailure"
	"marlreel/internal/balancer/prediction"
	"marlreel/internal/process/learnedstate"
)

// The file testdata/compatibility/state.bin was written by the code of commit 6fb9894. It stands for what a proxy
// keeps on its disk, and what a proxy of an earlier version tells the one that takes over. It must not be written again
// to make a test pass: where this test fails, the code has lost the ability to read stored data.
//
// If the file is missing, it is written by
//
//	WRITE_COMPATIBILITY_FILES=1 go test -run TestCompatibility ./internal/process/learnedstate/codec
//
// A file that exists is never overwritten.
const (
	compatibilityFile = "testdata/compatibility/state.bin"
	writeVariable     = "WRITE_COMPATIBILITY_FILES"
)

// storedState is what the stored file holds. Every field has a value of its own, as those of most
// structures are stored in order and without names.
func storedState() *learnedstate.State {
	return &learnedstate.State{
		Of:    "proxy-7",
		Taken: time.Date(2026, 11, 30, 12, 34, 56, 789_000_000, time.UTC),
		Common: learnedstate.Common{
			Mean: 1.5, MeanWork: 2.5, MeanWorth: 3.5, MeanRank: 4.5, Over: 5.5,
			Gap:     6 * time.Millisecond,
			Retries: 7.5,
			Alarms:  8.5, Answered: 9.5,
			Asked: goodput.Tally{Offered: 10.5, Completed: 11.5},
		},
		Classes: []learnedstate.Class{
			{
				Name:     "interactive",
				Line:     [5]float64{20.25, 21.25, 22.25, 23.25, 24.25},
				Tail:     [3]float64{25.25, 26.25, 27.25},
				Served:   28.25,
				Forecast: prediction.State{N: 29.25, Sum: -30.25, Sum2: 31.25},
				Gray:     grayfailure.KindState{Failed: 32.25, Ended: 33.25, N: 34.25, Dev: -35.25, Dev2: 36.25, RecentEjections: 37.25, Tokens: -38.25},
				Asked:    goodput.Tally{Offered: 39.25, Completed: 40.25},
			},
			{Name: "batch"},
		},
		Tenants: []learnedstate.Tenant{
			{Name: "tenant-a", Asked: goodput.Tally{Offered: 50.75, Completed: 51.75}},
			{Name: "tenant-b", Asked: goodput.Tally{Offered: 52.75, Completed: 53.75}},
		},
		Backends: []learnedstate.Backend{
			{
				Name: "llm-1", Addr: "10.0.0.1:8000",
				Healthy: true,
				Fails:   60, Passes: 61, Bad: 62, Broken: 63,
				LastOK: 64 * time.Second, Ejected: 65 * time.Second, Hold: 66 * time.Second,
				Cold:   67 * time.Second,
				Tokens: -68.125,
				Limit:  69.125,
				Delays: 70.125, Answers: 71.125,
				Tail: [3]float64{72.125, 73.125, 74.125},
				Cells: []grayfailure.CellState{
					{
						FaultProbability: 80.5, OtherAnswers: 81.5,
						At: 82 * time.Second, SuspectedFor: 83 * time.Second, EjectedFor: 84 * time.Second,
						Failures: 85,
						OK:       86.5, Ended: 87.5, OKEver: 88.5, EndedEver: 89.5, Delays: 90.5, Answered: 91.5,
					},
					{At: 92 * time.Second, SuspectedFor: -1, EjectedFor: -1},
				},
			},
			{
				Name: "llm-2", Addr: "10.0.0.2:8000",
				LastOK: learnedstate.Never, Ejected: learnedstate.Never, Cold: learnedstate.Never,
				Cells: make([]grayfailure.CellState, 2),
			},
		},
		Conns: connections.State{
			EarlyUses: 100.5, EarlyBroken: 101.5,
			Holdback: 102 * time.Millisecond,
		},
	}
}

// storedUses and storedBreaks are the sums by cell of the stored state of connections.
var (
	storedUses = []float64{
		200.5, 201.5, 202.5, 203.5, 204.5, 205.5, 206.5, 207.5, 208.5, 209.5,
		210.5, 211.5, 212.5, 213.5, 214.5, 215.5, 216.5, 217.5, 218.5, 219.5,
		220.5, 221.5, 222.5, 223.5, 224.5, 225.5, 226.5, 227.5, 228.5, 229.5,
		230.5, 231.5, 232.5, 233.5, 234.5, 235.5, 236.5, 237.5, 238.5, 239.5,
		240.5, 241.5, 242.5, 243.5, 244.5, 245.5, 246.5, 247.5, 248.5, 249.5,
	}
	storedBreaks = []float64{
		300.5, 301.5, 302.5, 303.5, 304.5, 305.5, 306.5, 307.5, 308.5, 309.5,
		310.5, 311.5, 312.5, 313.5, 314.5, 315.5, 316.5, 317.5, 318.5, 319.5,
		320.5, 321.5, 322.5, 323.5, 324.5, 325.5, 326.5, 327.5, 328.5, 329.5,
		330.5, 331.5, 332.5, 333.5, 334.5, 335.5, 336.5, 337.5, 338.5, 339.5,
		340.5, 341.5, 342.5, 343.5, 344.5, 345.5, 346.5, 347.5, 348.5, 349.5,
	}
)

func wantState() *learnedstate.State {
	s := storedState()
	copy(s.Conns.Uses[:], storedUses)
	copy(s.Conns.Broken[:], storedBreaks)
	return s
}

// TestCompatibilityOfStoredState decodes a stored state and compares it field by field.
func TestCompatibilityOfStoredState(t *testing.T) {
	got, err := Decode(storedFile(t))
	if err != nil {
		t.Fatal(err)
	}
	want := wantState()
	if len(got.Conns.Uses) != len(storedUses) || len(got.Conns.Broken) != len(storedBreaks) {
		t.Errorf("connections have %d and %d cells, want %d", len(got.Conns.Uses), len(got.Conns.Broken), len(storedUses))
	}
	if !got.Taken.Equal(want.Taken) {
		t.Errorf("Taken is %v, want %v", got.Taken, want.Taken)
	}
	got.Taken = want.Taken // its zone is not stored
	compareFields(t, "state", reflect.ValueOf(*got), reflect.ValueOf(*want))
}

// TestCompatibilityOfStoredBytes encodes the content of the stored file: an earlier version has to understand it too.
func TestCompatibilityOfStoredBytes(t *testing.T) {
	stored := storedFile(t)
	got, err := Encode(wantState())
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, stored) {
		t.Errorf("encoded is\n%x\nand stored is\n%x", got, stored)
	}
	if header := "MRLT\x00\x01"; string(stored[:len(header)]) != header {
		t.Errorf("the file begins with %q, want %q", stored[:len(header)], header)
	}
}

// compareFields names each field in which two values differ.
func compareFields(t *testing.T, path string, got, want reflect.Value) {
	t.Helper()
	switch {
	case got.Type() == reflect.TypeFor[time.Time]():
	case got.Kind() == reflect.Struct:
		for i := range got.NumField() {
			if field := got.Type().Field(i); field.IsExported() {
				compareFields(t, path+"."+field.Name, got.Field(i), want.Field(i))
			}
		}
		return
	case got.Kind() == reflect.Slice && got.Len() == want.Len() && got.Type().Elem().Kind() == reflect.Struct:
		for i := range got.Len() {
			compareFields(t, path, got.Index(i), want.Index(i))
		}
		return
	}
	if !reflect.DeepEqual(got.Interface(), want.Interface()) {
		t.Errorf("%s is %v, want %v", path, got, want)
	}
}

// storedFile reads the stored file, or writes it where it is missing and that is asked for.
func storedFile(t *testing.T) []byte {
	t.Helper()
	if _, err := os.Stat(compatibilityFile); err != nil && os.Getenv(writeVariable) != "" {
		data, err := Encode(wantState())
		if err != nil {
			t.Fatal(err)
		}
		if err := os.MkdirAll(filepath.Dir(compatibilityFile), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(compatibilityFile, data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	data, err := os.ReadFile(compatibilityFile)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
