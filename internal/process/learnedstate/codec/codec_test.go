package codec

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"marlreel/internal/balancer/grayfailure"
	"marlreel/internal/process/learnedstate"
)

// sample returns a state with values in all of its structures.
func sample() *learnedstate.State {
	s := &learnedstate.State{ProxyName: "n0", TakenAt: time.UnixMilli(1_790_000_000_123).UTC(), Classes: make([]learnedstate.Class, 2), Tenants: make([]learnedstate.Tenant, 1)}
	s.Common.MeanDelay, s.Common.RequestGap, s.Connections.Holdback = 41.5, 3*time.Millisecond, time.Millisecond
	s.Classes[0].Name, s.Classes[0].DelayFit, s.Classes[1].Name = "bid", [5]float64{1, 2, 3, 4, 5}, "lot-list"
	s.Connections.Uses[3] = 7
	for range 3 {
		b := learnedstate.Backend{Name: "s-1", Address: "127.0.0.1:1", Healthy: true, ConcurrencyLimit: 4, SinceStart: learnedstate.Never, Cells: make([]grayfailure.CellState, 2)}
		b.Cells[1].FaultProbability = 0.25
		s.Backends = append(s.Backends, b)
	}
	return s
}

func TestRoundTrip(t *testing.T) {
	t.Parallel()
	want := sample()
	data, err := Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	got.TakenAt = got.TakenAt.UTC()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("encoded\n%+v\nand decoded\n%+v", want, got)
	}
}

// Data that is damaged or truncated anywhere, or has another version, is rejected.
func TestDamagedBytesAreRejected(t *testing.T) {
	t.Parallel()
	data, err := Encode(sample())
	if err != nil {
		t.Fatal(err)
	}
	for i := range data {
		if _, err := Decode(data[:i]); err == nil {
			t.Fatalf("data truncated to %d bytes was decoded", i)
		}
		bad := append([]byte(nil), data...)
		bad[i] ^= 0x10
		if _, err := Decode(bad); err == nil {
			t.Fatalf("data with a changed byte %d was decoded", i)
		}
	}
	data[5]++
	if _, err := Decode(data); err == nil || !strings.Contains(err.Error(), "unsupported version 2, want 1") {
		t.Errorf("error for another version: %v", err)
	}
}

// Impossible values are rejected even if the checksum is correct, with an error that names the field.
func TestImpossibleValuesAreRejected(t *testing.T) {
	t.Parallel()
	for name, spoil := range map[string]func(*learnedstate.State){
		"state.Common.Mean is NaN":               func(s *learnedstate.State) { s.Common.MeanDelay = math.NaN() },
		"state.Classes[0].Line[4] is +Inf":       func(s *learnedstate.State) { s.Classes[0].DelayFit[4] = math.Inf(1) },
		"state.Backends[2].Cells[1].Bad is NaN":  func(s *learnedstate.State) { s.Backends[2].Cells[1].FaultProbability = math.NaN() },
		"state.Backends[0].Fails is -1":          func(s *learnedstate.State) { s.Backends[0].FailedChecks = -1 },
		"state.Backends[0].LastOK is":            func(s *learnedstate.State) { s.Backends[0].LastOK = math.MinInt64 },
		"state.Classes[1].Name has 300 bytes":    func(s *learnedstate.State) { s.Classes[1].Name = strings.Repeat("x", 300) },
		"backend \"s-1\" has 1 classes, want 2":  func(s *learnedstate.State) { s.Backends[1].Cells = s.Backends[1].Cells[:1] },
		"65 classes exceed the limit of 64":      func(s *learnedstate.State) { s.Classes = make([]learnedstate.Class, 65) },
		"2049 backends exceed the limit of 2048": func(s *learnedstate.State) { s.Backends = make([]learnedstate.Backend, 2049) },
		"state.Conns.Uses[3] is NaN":             func(s *learnedstate.State) { s.Connections.Uses[3] = math.NaN() },
	} {
		s := sample()
		spoil(s)
		data, err := Encode(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(data); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	data, err := Encode(sample())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode(data)
		if (s == nil) == (err == nil) {
			t.Fatalf("decoded %v, error %v; want exactly one of them", s, err)
		}
	})
}
