package learnedstate

import (
	"errors"
	"math"
	"testing"
	"time"

	"marlreel/internal/balancer/grayfailure"
	"marlreel/internal/balancer/prediction"
)

func sound() *State {
	return &State{
		Classes:  []Class{{Name: "a", Prediction: prediction.State{Sum: -1}, Gray: grayfailure.ClassState{Dev: -1, Tokens: -1}}},
		Backends: []Backend{{Name: "s-1", WarmupTokens: -1, LastOK: Never, Cells: make([]grayfailure.CellState, 1)}},
	}
}

func TestSoundStatePassesCheck(t *testing.T) {
	if err := sound().Check(); err != nil {
		t.Errorf("overdrawn budgets and sums of logarithms may be negative: %v", err)
	}
}

func TestCheckNamesTheField(t *testing.T) {
	for _, c := range []struct {
		field string
		spoil func(s *State)
	}{
		{"state.Of", func(s *State) { s.ProxyName = string(make([]byte, maxNameBytes+1)) }},
		{"state.Common.Mean", func(s *State) { s.Common.MeanDelay = math.NaN() }},
		{"state.Common.Gap", func(s *State) { s.Common.RequestGap = maxSpan + 1 }},
		{"state.Common.Asked.Served", func(s *State) { s.Common.Offered.Completed = -1 }},
		{"state.Classes[0].Line[4]", func(s *State) { s.Classes[0].DelayFit[4] = math.Inf(1) }},
		{"state.Backends[0].Fails", func(s *State) { s.Backends[0].FailedChecks = -1 }},
		{"state.Backends[0].Cells[0].Vouched", func(s *State) { s.Backends[0].Cells[0].OtherAnswers = 2 * maxNumber }},
		{"state.Conns.Breaks[3]", func(s *State) { s.Connections.Broken[3] = -1 }},
		{`backend "s-1"`, func(s *State) { s.Backends[0].Cells = nil }},
	} {
		t.Run(c.field, func(t *testing.T) {
			s := sound()
			c.spoil(s)
			var invalid *InvalidError
			if err := s.Check(); !errors.As(err, &invalid) || invalid.Field != c.field {
				t.Errorf("the error is %v", err)
			}
		})
	}
}

func TestCheckBoundsTheLists(t *testing.T) {
	for _, c := range []struct {
		want  TooManyError
		spoil func(s *State)
	}{
		{TooManyError{"backends", MaxBackends + 1, MaxBackends}, func(s *State) { s.Backends = make([]Backend, MaxBackends+1) }},
		{TooManyError{"classes", MaxClasses + 1, MaxClasses}, func(s *State) { s.Classes = make([]Class, MaxClasses+1) }},
		{TooManyError{"tenants", MaxTenants + 1, MaxTenants}, func(s *State) { s.Tenants = make([]Tenant, MaxTenants+1) }},
	} {
		t.Run(c.want.What, func(t *testing.T) {
			s := sound()
			c.spoil(s)
			var tooMany *TooManyError
			if err := s.Check(); !errors.As(err, &tooMany) || *tooMany != c.want {
				t.Errorf("the error is %v, want %v", err, &c.want)
			}
		})
	}
}

func TestAgeIsNeverNegative(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	for ago, want := range map[time.Duration]time.Duration{time.Minute: time.Minute, 0: 0, -time.Minute: 0} {
		s := State{TakenAt: now.Add(-ago)}
		if got := s.Age(now); got != want {
			t.Errorf("taken %v ago: age %v", ago, got)
		}
	}
}
