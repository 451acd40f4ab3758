package rehearsal

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"marlreel/internal/standin"
)

const fixedDigest = "af161b46f8fd7e6414e23a00870769a31e2112a087273a43ff77a8fa5cca6e7e"

// As a child process the test binary is a proxy, correct or faulty, or draws a plan.
func TestMain(m *testing.M) {
	if name := os.Getenv("REHEARSAL_TEST_DIGEST"); name != "" {
		fmt.Println(Draw(loadShipped(&testing.T{}, name), 7).Digest())
		return
	}
	if kind := os.Getenv("REHEARSAL_TEST_PROXY"); kind != "" {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		runTestProxy(ctx, kind)
		return
	}
	goleak.VerifyTestMain(m)
}

func runTestProxy(ctx context.Context, kind string) {
	path := os.Getenv("NODE_CONFIG")
	var faults standin.Faults
	switch kind {
	case "dies":
		go func() { time.Sleep(1500 * time.Millisecond); os.Exit(3) }()
	case "never":
		fmt.Fprintln(os.Stderr, "it can't start today")
		os.Exit(4)
	case "stalls":
		runStallingProxy(ctx, path)
		return
	default:
		if err := json.Unmarshal([]byte(kind), &faults); err != nil {
			panic(err)
		}
	}
	if err := standin.RunPlainProxy(ctx, path, faults); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runStallingProxy runs a proxy that reports to be ready and answers no other request.
func runStallingProxy(ctx context.Context, path string) {
	var c struct{ Listen string }
	data, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(data, &c)
	}
	if err != nil {
		panic(err)
	}
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		panic(err)
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					if r.URL.Path == "/ready" {
						io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					}
				}
			}()
		}
	}()
	<-ctx.Done()
}

// shortScenario returns a scenario of a few seconds.
func shortScenario() *Scenario {
	s := defaults()
	s.Name, s.Length, s.Proxies.Count = "short", Span(2500*ms), 2
	s.Proxies.DeadAfter = Span(300 * ms)
	s.Discovery = DiscoverySpec{
		Late: [2]Span{Span(50 * ms), Span(100 * ms)}, NoticeDead: [2]Span{Span(100 * ms), Span(200 * ms)},
		NoticeGone: [2]Span{Span(100 * ms), Span(200 * ms)},
	}
	s.Fleet.Zones = []string{"koper", "maribor"}
	s.Fleet.CrossZone, s.Fleet.Handshake = Span(ms), Span(ms)
	s.Fleet.Nodes = []NodeKind{{"mid", 4, 2, [2]float64{1, 1}, 20, 20}}
	class := func(name, effect string, worth float64) Class {
		return Class{
			Name: name, Share: 1, Work: Span(5 * ms), Wait: Span(10 * ms), Spread: 0.5, Aim: Span(2 * time.Second),
			GiveUp: Span(2 * time.Second), Worth: worth, Effect: effect, Window: Span(10 * time.Second),
		}
	}
	s.Classes = []Class{class("lot-list", "safe", 1), class("bid", "unsafe", 8), class("pickup", "keyed", 2)}
	s.Houses = []House{{Name: "obala", Share: 1}}
	s.Traffic.Rate = 40
	return s
}

// playAgainst runs a scenario against proxies of the given kind, as child processes.
func playAgainst(t *testing.T, s *Scenario, kind string) (*Report, string, error) {
	t.Helper()
	if err := s.Validate(); err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	rep, err := Run(t.Context(), s, Options{
		Seed: 1, Out: dir, Name: kind,
		Command: []string{"/usr/bin/env", "REHEARSAL_TEST_PROXY=" + kind, self},
	})
	return rep, dir, err
}

func faultsJSON(t *testing.T, f standin.Faults) string {
	t.Helper()
	data, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// A correct proxy breaks no rule. Each faulty one is caught under the rule that it breaks.
func TestWrongProxiesAreCaught(t *testing.T) {
	t.Parallel()
	dies := Fault{At: Span(300 * ms), What: "die", Nodes: 1, For: Span(400 * ms)}
	for _, c := range []struct {
		name   string
		faults standin.Faults
		rule   string
		word   string
		change func(s *Scenario)
	}{
		{"right", standin.Faults{}, "", "", func(s *Scenario) { s.Faults = []Fault{dies} }},
		{"resends bids", standin.Faults{ResendBids: true}, RuleDuplicated, "unsafe", nil},
		{"sends keys elsewhere", standin.Faults{KeyElsewhere: true}, RuleDuplicated, "another group", nil},
		{"refuses what ran", standin.Faults{RefuseRan: true}, RuleDuplicated, "refused", nil},
		{"answers twice", standin.Faults{AnswerTwice: true}, RuleLost, "more than once", nil},
		{"loses requests", standin.Faults{Lose: true}, RuleLost, "connection ended", nil},
		{"invents answers", standin.Faults{Invent: true}, RuleLost, "no node made", nil},
		{"answers too late", standin.Faults{LateAnswers: true}, RuleLost, "no answer", func(s *Scenario) {
			for i := range s.Classes {
				s.Classes[i].Aim, s.Classes[i].GiveUp = Span(400*ms), Span(400*ms)
			}
		}},
		{"sends after the answer", standin.Faults{SendAfter: true}, RuleLost, "after its final answer", nil},
		{"ignores drains", standin.Faults{IgnoreDrains: true}, RuleDrains, "Terminating", func(s *Scenario) {
			s.Faults = []Fault{{At: Span(300 * ms), What: "drain", Nodes: 1}}
		}},
		{"floods a cold node", standin.Faults{FloodCold: true}, RuleCold, "pushed over", func(s *Scenario) {
			s.Faults = []Fault{dies}
			s.Length = Span(3 * time.Second)
			s.Fleet.Cold = Cold{From: 0.05, For: Span(30 * time.Second), Multiple: 1, Over: Span(time.Second)}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := shortScenario()
			if c.change != nil {
				c.change(s)
			}
			rep, dir, err := playAgainst(t, s, faultsJSON(t, c.faults))
			if err != nil {
				t.Fatal(err)
			}
			if c.rule == "" {
				if !rep.OK() {
					t.Errorf("violations of a correct proxy: %v", rep.Breaks)
				}
				if rep.Worth.Served == 0 || rep.Requests < 50 || rep.Attempts < 50 || rep.Handshakes == 0 {
					t.Errorf("too little load was served: %+v", rep.Worth)
				}
			} else if n := (map[string]int{
				RuleLost: rep.Rules.Lost, RuleDuplicated: rep.Rules.Duplicated, RuleDrains: rep.Rules.Drains,
				RuleCold: rep.Rules.Cold,
			})[c.rule]; n == 0 {
				t.Errorf("not caught: %+v", rep.Rules)
			} else if !strings.Contains(fmt.Sprint(rep.Breaks), c.word) {
				t.Errorf("%q is not among %v", c.word, rep.Breaks)
			}
			if err := rep.Write(dir); err != nil {
				t.Fatal(err)
			}
			back, err := ReadReport(dir)
			if err != nil || back.Service != rep.Service || back.Schedule != Draw(s, 1).Digest() {
				t.Errorf("read back: %v", err)
			}
		})
	}
}

// The same for upgrades, reloads of settings, large bodies and crowds of connections.
func TestWrongServiceIsCaught(t *testing.T) {
	t.Parallel()
	upgrade := func(s *Scenario) {
		s.Faults = []Fault{{At: Span(700 * ms), What: "upgrade", Each: Span(300 * ms)}}
		for i := range s.Classes { // long enough that requests are in flight at any time
			s.Classes[i].Wait = Span(150 * ms)
		}
	}
	retune := func(how string) func(s *Scenario) {
		return func(s *Scenario) { s.Faults = []Fault{{At: Span(700 * ms), What: "retune", How: how}} }
	}
	large := func(s *Scenario) {
		s.Classes[0].Size, s.Classes[0].Chunked = 300<<10, true
		s.Classes[1].Body, s.Classes[1].Writes = 200<<10, 1<<20
		s.Classes[2].Size, s.Classes[2].Gives, s.Classes[2].Reads = 100<<10, 1<<20, 1<<20
	}
	for _, c := range []struct {
		name   string
		faults standin.Faults
		change func(s *Scenario)
		word   string // "": no violation is expected
	}{
		{"right", standin.Faults{}, upgrade, ""},
		{"drops what it holds", standin.Faults{DropAtTerm: true}, upgrade, "lost"},
		{"never says yes", standin.Faults{NoYes: true}, func(s *Scenario) {
			upgrade(s)
			s.Length = Span(readyTimeout + 2*time.Second)
		}, "has not said within"},
		{"right", standin.Faults{}, retune("empty"), ""},
		{"right", standin.Faults{}, retune("cut"), ""},
		{"right", standin.Faults{}, retune("short"), ""},
		{"right", standin.Faults{}, retune("deadline"), ""},
		{"right", standin.Faults{}, retune("attempts"), ""},
		{"takes a broken file", standin.Faults{TakeBroken: true}, retune("short"), "broken settings file was taken"},
		{"says nothing of a file", standin.Faults{Mute: true}, retune("cut"), "neither taken nor turned down"},
		{"right", standin.Faults{}, func(s *Scenario) { s.Classes[2].Appears, s.Classes[2].Vanishes = Span(300*ms), Span(2*time.Second) }, ""},
		{"right", standin.Faults{}, func(s *Scenario) { s.Faults = []Fault{{At: Span(700 * ms), What: "retune", Attempts: 3}} }, ""},
		{"sends more often than it may", standin.Faults{ResendBids: true}, func(s *Scenario) {
			s.Length = Span(4 * time.Second)
			s.Faults = []Fault{{At: Span(500 * ms), What: "retune", Attempts: 1}}
		}, "2 attempts, 1 are allowed"},
		{"right", standin.Faults{}, large, ""},
		{"cuts large answers", standin.Faults{CutLarge: true}, large, "connection ended"},
		{"right", standin.Faults{}, func(s *Scenario) {
			s.Clients = Clients{TryShare: 0.85, New: true, SlowHeads: 0.3, SlowOver: Span(400 * ms)}
			s.Faults = []Fault{{At: Span(300 * ms), What: "crowd", Connections: 50, For: Span(1500 * ms)}}
		}, ""},
	} {
		s := shortScenario()
		c.change(s)
		what := "large bodies"
		if len(s.Faults) > 0 {
			what = s.Faults[0].What + " " + s.Faults[0].How
		}
		t.Run(c.name+", "+what, func(t *testing.T) {
			t.Parallel()
			rep, _, err := playAgainst(t, s, faultsJSON(t, c.faults))
			if err != nil {
				t.Fatal(err)
			}
			found := fmt.Sprint(rep.Breaks, rep.Crashed)
			if c.word == "" && (!rep.OK() || rep.Worth.Served < 0.5*rep.Worth.Asked) {
				t.Errorf("%+v, %v of %v served: %s", rep.Rules, rep.Worth.Served, rep.Worth.Asked, found)
			}
			if c.word != "" && (rep.OK() || !strings.Contains(found, c.word)) {
				t.Errorf("%q is not among what was found: %+v %s", c.word, rep.Rules, found)
			}
		})
	}
}

// A proxy that stalls doesn't delay arrivals: all requests are sent although none is answered.
func TestOpenLoopUnderAStalledProxy(t *testing.T) {
	t.Parallel()
	s := shortScenario()
	s.Length = Span(1500 * ms) // all requests are planned before the first client gives up
	rep, _, err := playAgainst(t, s, "stalls")
	if err != nil {
		t.Fatal(err)
	}
	if rep.Clients.Outcomes[Silent] != rep.Requests || rep.Rules.Lost != rep.Requests || rep.Requests < 30 {
		t.Errorf("%d requests: %v, %+v", rep.Requests, rep.Clients.Outcomes, rep.Rules)
	}
	if rep.Clients.MostOpen < rep.Requests*9/10 {
		t.Errorf("only %d of %d requests were open at once: arrivals were delayed", rep.Clients.MostOpen, rep.Requests)
	}
}

// A proxy that exits by itself is reported as a crash, with its exit status; the run continues to its end.
func TestCrashedProxy(t *testing.T) {
	t.Parallel()
	rep, _, err := playAgainst(t, shortScenario(), "dies")
	if err != nil {
		t.Fatal(err)
	}
	if rep.Crashes != 2 || rep.OK() || !strings.Contains(fmt.Sprint(rep.Crashed), "exit status 3") {
		t.Errorf("%d crashes: %v", rep.Crashes, rep.Crashed)
	}
}

// A proxy that can't start ends the run at once, with an error that contains the proxy's output.
func TestFailedStart(t *testing.T) {
	t.Parallel()
	_, _, err := playAgainst(t, shortScenario(), "never")
	if err == nil || !strings.Contains(err.Error(), "it can't start today") {
		t.Errorf("got error %v", err)
	}
	s := shortScenario()
	_, err = Run(t.Context(), s, Options{Seed: 1, Command: []string{filepath.Join(t.TempDir(), "nothing")}})
	if err == nil || !strings.Contains(err.Error(), "nothing") {
		t.Errorf("missing program: %v", err)
	}
}

// Requests in flight at a killed proxy don't count as lost, and a restarted proxy can be given the old node list.
func TestRestartsWithAnOldList(t *testing.T) {
	t.Parallel()
	s := shortScenario()
	s.Length = Span(5 * time.Second)
	s.Faults = []Fault{
		{At: Span(500 * ms), What: "replace", Nodes: 1},
		{At: Span(1 * time.Second), What: "discovery-silent", For: Span(2 * time.Second)},
		{At: Span(1200 * ms), What: "kill", Proxies: []int{0}, For: Span(500 * ms), Known: "start"},
		{At: Span(2500 * ms), What: "term", Proxies: []int{1}, For: Span(300 * ms)},
	}
	rep, dir, err := playAgainst(t, s, faultsJSON(t, standin.Faults{}))
	if err != nil {
		t.Fatal(err)
	}
	if rep.Rules.Lost != 0 || rep.Crashes != 0 {
		t.Errorf("%+v %v", rep.Rules, rep.Breaks)
	}
	lives := 0
	for _, l := range rep.Timeline.Proxies {
		if strings.HasPrefix(l.What, "n0") {
			lives++
		}
	}
	if lives != 2 {
		t.Errorf("n0 had %d processes, want 2: %v", lives, rep.Timeline.Proxies)
	}
	plan := Draw(s, 1)
	old := plan.Nodes[plan.Nodes[len(plan.Nodes)-1].Replaces].ID
	data, err := os.ReadFile(filepath.Join(dir, "n0.json"))
	if err != nil || !strings.Contains(string(data), old) {
		t.Errorf("the restarted proxy's list lacks the old node %s: %v", old, err)
	}
}

// Everything that a run started has stopped when it returns, also when it was interrupted.
func TestInterruptedRunStopsEverything(t *testing.T) {
	s := shortScenario()
	ctx, cancel := context.WithCancel(t.Context())
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	_, err = Run(ctx, s, Options{
		Seed: 1, Out: dir, Command: []string{"/usr/bin/env", "REHEARSAL_TEST_PROXY=" + faultsJSON(t, standin.Faults{}), self},
		Progress: func(p Progress) {
			if p.Phase == "playing" {
				cancel()
			}
		},
	})
	if err == nil || ctx.Err() == nil {
		t.Fatalf("the run was not interrupted: %v", err)
	}
	var c struct{ Listen string }
	data, err := os.ReadFile(filepath.Join(dir, "n0.json"))
	if err == nil {
		err = json.Unmarshal(data, &c)
	}
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		t.Fatalf("a proxy still listens at its address: %v", err)
	}
	ln.Close()
}
