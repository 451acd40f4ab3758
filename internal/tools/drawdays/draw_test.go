package main

import (
	"reflect"
	"testing"
)

const allKinds = "core_cut: x\nreplace_core: (how oldest: y)\nseed_turnover: z\nherd_kill: a\ngarble: b\nclock_step: c\n"

// Each subject is paired with each closing fault. A day has two kinds of faults, and its subject twice unless that is
// permanent.
func TestDrawnDays(t *testing.T) {
	all := inForce(subjects(), allKinds)
	met := map[string]map[closing]bool{}
	for number := range len(all) * len(closings()) {
		d := drawDay(7, number, 34, all)
		if !reflect.DeepEqual(d, drawDay(7, number, 34, all)) {
			t.Fatalf("day %d differs when it is drawn again", number)
		}
		subject := all[number%len(all)]
		if met[subject.Kind+" "+subject.How] == nil {
			met[subject.Kind+" "+subject.How] = map[closing]bool{}
		}
		met[subject.Kind+" "+subject.How][d.Closing] = true
		times := map[string]int{}
		for _, e := range append(d.Plan, d.Faults...) {
			times[e.Kind]++
			if e.At < firstFault || e.At > 34-lastMargin+5 {
				t.Errorf("day %d: %s at %.2f s is out of range", number, e.Kind, e.At)
			}
		}
		want := 2
		if subject.Last {
			want = 1
		}
		if times[subject.Kind] != want || len(times) != 2 {
			t.Errorf("day %d with subject %s: occurrences by kind %v", number, subject.Kind, times)
		}
	}
	for subject, ends := range met {
		if len(ends) != len(closings()) {
			t.Errorf("%s is paired with %d closing faults", subject, len(ends))
		}
	}
}

func TestKindsNotInForceAreNotDrawn(t *testing.T) {
	for _, v := range inForce(subjects(), allKinds) {
		if v.Kind == "idle_race" || v.Kind == "config_race" {
			t.Errorf("%s is drawn but not enabled", v.Kind)
		}
	}
}
