package fleettest

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// program is the daemon, built once for all tests of the package.
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

// The stricter settings of TestMeasureContradiction: one attempt, and a class less.
func stricter() Settings { return Usual().Try(1).Without("pickup") }

// How long two of five proxies act on rules that contradict each other after a change that tightens, where one
// turns the file down, one gets no signal, one is stopped over the change. MARLREEL_MEASURE=1 plays it.
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
		f.Load(4, 20*time.Millisecond, Usual().Classes...)
		time.Sleep(2 * time.Second) // of ordinary service
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
