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

// The file testdata/compatibility/state.bin was written by the code of commit 6fb9894. It represents the state that a
// proxy has on its disk, or gets from an earlier version that it takes over from. Don't regenerate it to make a test
// pass: a failing test means that the code can no longer read stored data.
//
// A missing file is written by
//
//	WRITE_COMPATIBILITY_FILES=1 go test -run TestCompatibility ./internal/process/learnedstate/codec
//
// An existing file is never overwritten.
const (
	compatibilityFile = "testdata/compatibility/state.bin"
	writeVariable     = "WRITE_COMPATIBILITY_FILES"
)

// storedState returns the content of the stored file. Every field has a different value, as the fields of most
// structures are stored in order, without names.
func storedState() *learnedstate.State {
	return &learnedstate.State{
		ProxyName: "proxy-7",
		TakenAt:   time.Date(2026, 11, 30, 12, 34, 56, 789_000_000, time.UTC),
		Common: learnedstate.Common{
			MeanDelay: 1.5, MeanWork: 2.5, MeanUtility: 3.5, MeanUtilityPerWork: 4.5, MeanWindow: 5.5,
			RequestGap:  6 * time.Millisecond,
			RetryTokens: 7.5,
			FalseAlarms: 8.5, Answers: 9.5,
			Offered: goodput.Tally{Offered: 10.5, Completed: 11.5},
		},
		Classes: storedClasses(),
		Tenants: []learnedstate.Tenant{
			{Name: "tenant-a", Offered: goodput.Tally{Offered: 50.75, Completed: 51.75}},
			{Name: "tenant-b", Offered: goodput.Tally{Offered: 52.75, Completed: 53.75}},
		},
		Backends: storedBackends(),
		Connections: connections.State{
			EarlyUses: 100.5, EarlyBroken: 101.5,
			Holdback: 102 * time.Millisecond,
		},
	}
}

func storedClasses() []learnedstate.Class {
	return []learnedstate.Class{
		{
			Name:       "interactive",
			DelayFit:   [5]float64{20.25, 21.25, 22.25, 23.25, 24.25},
			DelayTail:  [3]float64{25.25, 26.25, 27.25},
			Served:     28.25,
			Prediction: prediction.State{N: 29.25, Sum: -30.25, Sum2: 31.25},
			Gray:       grayfailure.ClassState{Failed: 32.25, Ended: 33.25, N: 34.25, Dev: -35.25, Dev2: 36.25, RecentEjections: 37.25, Tokens: -38.25},
			Offered:    goodput.Tally{Offered: 39.25, Completed: 40.25},
		},
		{Name: "batch"},
	}
}

func storedBackends() []learnedstate.Backend {
	return []learnedstate.Backend{
		{
			Name: "llm-1", Address: "10.0.0.1:8000",
			Healthy:      true,
			FailedChecks: 60, PassedChecks: 61, ConsecutiveFailures: 62, ConsecutiveBreaks: 63,
			LastOK: 64 * time.Second, EjectedFor: 65 * time.Second, EjectionDuration: 66 * time.Second,
			SinceStart:       67 * time.Second,
			WarmupTokens:     -68.125,
			ConcurrencyLimit: 69.125,
			DelayRatios:      70.125, Answers: 71.125,
			DelayTail: [3]float64{72.125, 73.125, 74.125},
			Cells: []grayfailure.CellState{
				{
					FaultProbability: 80.5, OtherAnswers: 81.5,
					SinceUpdate: 82 * time.Second, SuspectedFor: 83 * time.Second, EjectedFor: 84 * time.Second,
					Failures: 85,
					OK:       86.5, Ended: 87.5, OKEver: 88.5, EndedEver: 89.5, Delays: 90.5, Answered: 91.5,
				},
				{SinceUpdate: 92 * time.Second, SuspectedFor: -1, EjectedFor: -1},
			},
		},
		{
			Name: "llm-2", Address: "10.0.0.2:8000",
			LastOK: learnedstate.Never, EjectedFor: learnedstate.Never, SinceStart: learnedstate.Never,
			Cells: make([]grayfailure.CellState, 2),
		},
	}
}

// storedUses and storedBreaks are the sums per cell in the stored connections.State.
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
	copy(s.Connections.Uses[:], storedUses)
	copy(s.Connections.Broken[:], storedBreaks)
	return s
}

// TestCompatibilityOfStoredState decodes the stored state and compares it field by field.
func TestCompatibilityOfStoredState(t *testing.T) {
	got, err := Decode(storedFile(t))
	if err != nil {
		t.Fatal(err)
	}
	want := wantState()
	if len(got.Connections.Uses) != len(storedUses) || len(got.Connections.Broken) != len(storedBreaks) {
		t.Errorf("connections have %d and %d cells, want %d", len(got.Connections.Uses), len(got.Connections.Broken), len(storedUses))
	}
	if !got.TakenAt.Equal(want.TakenAt) {
		t.Errorf("Taken is %v, want %v", got.TakenAt, want.TakenAt)
	}
	got.TakenAt = want.TakenAt // its zone is not stored
	compareFields(t, "state", reflect.ValueOf(*got), reflect.ValueOf(*want))
}

// TestCompatibilityOfStoredBytes encodes the content of the stored file, as an earlier version must be able to read it
// too.
func TestCompatibilityOfStoredBytes(t *testing.T) {
	stored := storedFile(t)
	got, err := Encode(wantState())
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, stored) {
		t.Errorf("encoded\n%x\nwant the stored bytes\n%x", got, stored)
	}
	if header := "MRLT\x00\x01"; string(stored[:len(header)]) != header {
		t.Errorf("the file begins with %q, want %q", stored[:len(header)], header)
	}
}

// compareFields reports each field in which two values differ.
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

// storedFile reads the stored file. If it is missing and writeVariable is set, storedFile writes it first.
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
