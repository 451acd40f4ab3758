//go:build linux

package fleettest

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// program is the path of the daemon, built once for all tests of the package.
var program string

func TestMain(m *testing.M) {
	if os.Getenv("MARLREEL_FLEET_PROGRAM") != "" {
		program = os.Getenv("MARLREEL_FLEET_PROGRAM")
		os.Exit(m.Run())
	}
	dir, err := os.MkdirTemp("", "fleettest")
	if err == nil {
		program, err = Build(dir)
	}
	code := 1
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	} else {
		code = m.Run()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

// stricter returns the settings after the change in TestMeasureContradiction: one attempt, and one class less.
func stricter() Settings { return Usual().Try(1).Without("pickup") }

// Measures how long any of five proxies still acts on the old settings after a change to stricter ones: if all take the
// change, one rejects its file, one gets no signal, or one is suspended during the change. Runs if MARLREEL_MEASURE is
// set; MARLREEL_MEASURE=alone runs the proxies without keepers.
func TestMeasureContradiction(t *testing.T) {
	if os.Getenv("MARLREEL_MEASURE") == "" {
		t.Skip("MARLREEL_MEASURE is not set")
	}
	keepers := 3
	if os.Getenv("MARLREEL_MEASURE") == "alone" {
		keepers = 0
	}
	const watch = 25 * time.Second
	for _, how := range []string{"all take it", "one turns it down", "one gets no signal", "one is stopped for 10 s"} {
		f, err := New(Options{Program: program, Dir: t.TempDir(), Proxies: 5, Nodes: 3, Settings: Usual(), Errors: 0.3, Keepers: keepers, Within: 5 * time.Second, Seed: 3})
		if err != nil {
			t.Fatal(err)
		}
		if err := f.StartAll(); err != nil {
			t.Fatal(err)
		}
		if keepers > 0 {
			if err := f.Wait(f.Proxies, "version 1", func(_ *Proxy, st Status) bool { return st.Goes(1) }); err != nil {
				t.Fatal(err)
			}
		}
		f.Load(4, 20*time.Millisecond, Usual().Classes...)
		time.Sleep(2 * time.Second) // of normal operation
		last := f.Proxies[4]
		for _, p := range f.Proxies {
			p.WriteFile(stricter())
		}
		if how == "one turns it down" {
			last.WriteRaw(`{"name":`)
		}
		if how == "one is stopped for 10 s" {
			last.Stop()
			time.AfterFunc(10*time.Second, last.Continue)
		}
		changed := f.Note("the change")
		for _, p := range f.Proxies {
			if p != last || how != "one gets no signal" {
				p.Hangup()
			}
		}
		time.Sleep(watch)
		f.Unload()
		f.Close()
		again, gone, acts := time.Duration(0), time.Duration(0), 0
		for _, s := range f.Journal.Records().Sends {
			if s.Whole < changed {
				continue
			}
			if s.Attempt > 1 {
				again, acts = s.Whole-changed, acts+1
			}
			if s.Class == "pickup" {
				gone, acts = s.Whole-changed, acts+1
			}
		}
		fmt.Printf("| %s | %.2f s | %.2f s | %d |\n", how, again.Seconds(), gone.Seconds(), acts)
	}
}

// Measures the idle resource usage of a fleet, and how soon a new version is in force at all proxies, with 3, 9, 30 and
// 300 processes on this machine. Runs if MARLREEL_MEASURE is set; MARLREEL_SIZES selects other sizes.
func TestMeasureFleet(t *testing.T) {
	if os.Getenv("MARLREEL_MEASURE") == "" {
		t.Skip("MARLREEL_MEASURE is not set")
	}
	sizes := "3 9 30 300"
	if s := os.Getenv("MARLREEL_SIZES"); s != "" {
		sizes = s
	}
	for word := range strings.FieldsSeq(sizes) {
		n, err := strconv.Atoi(word)
		if err != nil {
			t.Fatal(err)
		}
		f, err := New(Options{Program: program, Dir: t.TempDir(), Proxies: n, Nodes: 1, Settings: Usual(), Keepers: 3, Within: 5 * time.Second, Seed: 3, Direct: n > 40})
		if err != nil {
			t.Fatal(err)
		}
		if err := f.StartAll(); err != nil {
			t.Fatal(err)
		}
		if err := f.Wait(f.Proxies, "version 1", func(_ *Proxy, st Status) bool { return st.Goes(1) }); err != nil {
			for _, p := range f.Proxies {
				if st, err := p.Status(); err != nil || !st.Goes(1) {
					t.Logf("%s: %v held %d seq %d leader %s strict %v sent %d\n%s", p.Name, err, st.Held, st.View.Seq, st.Leader, st.Strict, st.Sent, p.Log())
				}
			}
			t.Fatal(err)
		}
		const rest = 20 * time.Second
		time.Sleep(5 * time.Second) // the work of forming the fleet is not measured
		cpu, sent := make([]float64, n), make([]int64, n)
		for i, p := range f.Proxies {
			cpu[i], _ = p.Use()
			st, _ := p.Status()
			sent[i] = st.Sent
		}
		time.Sleep(rest)
		var shares, memory, bytes []float64
		leads := 0.0
		for i, p := range f.Proxies {
			c, m := p.Use()
			st, _ := p.Status()
			share := (c - cpu[i]) / rest.Seconds() * 100
			if st.Leads {
				leads = share
			}
			shares, memory, bytes = append(shares, share), append(memory, m), append(bytes, float64(st.Sent-sent[i])/rest.Seconds())
		}
		slices.Sort(shares)
		slices.Sort(memory)
		slices.Sort(bytes)
		began := f.Clock.Now()
		if _, err := f.Propose(f.Proxies[n-1], Usual().Try(2), Patience); err != nil {
			t.Fatal(err)
		}
		decided := f.Clock.Now() - began
		if err := f.Wait(f.Proxies, "version 2", func(_ *Proxy, st Status) bool { return st.Goes(2) }); err != nil {
			t.Fatal(err)
		}
		fmt.Printf("| %d | %.2f s | %.2f s | %.1f%% | %.1f%% | %.1f MB | %.0f |\n", n, decided.Seconds(), (f.Clock.Now() - began).Seconds(), shares[n/2], leads, memory[n/2], bytes[n/2])
		f.Close()
	}
}

// Measures the share of requests served while all keepers are down. Runs if MARLREEL_MEASURE is set.
func TestMeasureWithoutKeepers(t *testing.T) {
	if os.Getenv("MARLREEL_MEASURE") == "" {
		t.Skip("MARLREEL_MEASURE is not set")
	}
	for _, errors := range []float64{0, 0.1} {
		f, err := New(Options{Program: program, Dir: t.TempDir(), Proxies: 9, Nodes: 6, Settings: Usual(), Errors: errors, Keepers: 3, Within: 5 * time.Second, Seed: 3})
		if err != nil {
			t.Fatal(err)
		}
		if err := f.StartAll(); err != nil {
			t.Fatal(err)
		}
		if err := f.Wait(f.Proxies, "version 1", func(_ *Proxy, st Status) bool { return st.Goes(1) }); err != nil {
			t.Fatal(err)
		}
		f.Load(4, 20*time.Millisecond, Usual().Classes...)
		time.Sleep(10 * time.Second)
		for _, p := range f.Proxies[:3] {
			p.Kill()
		}
		if err := f.Wait(f.Proxies[3:], "no lease", func(_ *Proxy, st Status) bool { return st.Strict }); err != nil {
			t.Fatal(err)
		}
		gone := f.Clock.Now()
		time.Sleep(20 * time.Second)
		answers := f.Unload()
		v, err := f.Audit(answers)
		if err != nil {
			t.Fatal(err)
		}
		f.Close()
		share := func(from, to time.Duration) float64 {
			served, asked := 0.0, 0.0
			for _, a := range answers {
				if a.Proxy >= 3 && a.Sent >= from && a.Sent < to {
					asked++
					if a.Status == 200 {
						served++
					}
				}
			}
			return served / asked
		}
		fmt.Printf("| %.0f%% | %.4f | %.4f | %d |\n", errors*100, share(0, gone-6*time.Second), share(gone, time.Hour), len(v.Breaks))
	}
}
