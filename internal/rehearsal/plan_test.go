package rehearsal

import (
	"math"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marlreel/scenarios"
)

func loadShipped(t testing.TB, name string) *Scenario {
	t.Helper()
	data, err := scenarios.Files.ReadFile(name + ".toml")
	if err != nil {
		t.Fatal(err)
	}
	s, err := Parse(name+".toml", data)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Each shipped scenario is valid, has a description and plans requests.
func TestShippedScenarios(t *testing.T) {
	files, err := scenarios.Files.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		s := loadShipped(t, strings.TrimSuffix(f.Name(), ".toml"))
		if s.About == "" || len(Draw(s, 1).Requests) == 0 {
			t.Errorf("%s plans no requests or has no description", f.Name())
		}
	}
	if len(files) < 6 {
		t.Errorf("only %d scenarios are shipped", len(files))
	}
}

// Equal seeds give equal plans, also in another process, and different seeds or scenarios give different ones.
func TestSchedulesRepeat(t *testing.T) {
	for _, name := range []string{"morning", "stale"} {
		s := loadShipped(t, name)
		want := Draw(s, 7).Digest()
		if Draw(s, 8).Digest() == want {
			t.Errorf("%s: seeds 7 and 8 give the same schedule", name)
		}
		self, err := os.Executable()
		if err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(self)
		cmd.Env = append(os.Environ(), "REHEARSAL_TEST_DIGEST="+name)
		out, err := cmd.Output()
		if err != nil {
			t.Fatal(err)
		}
		if got := strings.TrimSpace(string(out)); got != want {
			t.Errorf("%s: another process drew %s, this one %s", name, got, want)
		}
	}
	a, b := loadShipped(t, "calm"), loadShipped(t, "calm")
	b.Traffic.Rate++
	if Draw(a, 1).Digest() == Draw(b, 1).Digest() {
		t.Error("two scenarios have the same schedule")
	}
}

// The recorded digest changes only if the drawing of plans itself changes. Then every seed
// gives a different schedule than before, which must be noted in the changelog.
func TestScheduleIsTheSameOnEveryMachine(t *testing.T) {
	s := defaults()
	s.Name, s.Length = "fixed", Span(2*time.Second)
	s.Fleet.Nodes = []NodeKind{{"mid", 3, 2, [2]float64{0.5, 1.5}, 10, 3}}
	s.Classes = []Class{{Name: "bid", Share: 1, Work: Span(50 * ms), Wait: Span(60 * ms), Spread: 0.9, Aim: Span(400 * ms), GiveUp: Span(2 * time.Second), Worth: 8, Effect: "unsafe"}}
	s.Houses = []House{{Name: "obala", Share: 1}}
	s.Traffic.Rate = 100
	s.Faults = []Fault{{At: Span(time.Second), What: "die", Share: 0.5, For: Span(500 * ms)}}
	if got := Draw(s, 42).Digest(); got != fixedDigest {
		t.Errorf("the schedule of seed 42 is now %s", got)
	}
}

// More faults or nodes don't change the arrivals, as the random streams are independent.
func TestRandomStreamsAreIndependent(t *testing.T) {
	a, b := loadShipped(t, "calm"), loadShipped(t, "calm")
	b.Faults = append(b.Faults, Fault{At: Span(time.Second), What: "die", Nodes: 3, For: Span(time.Second)})
	b.Fleet.Nodes[0].Count++
	p, q := Draw(a, 5), Draw(b, 5)
	if len(p.Requests) != len(q.Requests) {
		t.Fatalf("%d and %d requests", len(p.Requests), len(q.Requests))
	}
	for i := range p.Requests {
		if p.Requests[i].At != q.Requests[i].At || p.Requests[i].IDs[0] != q.Requests[i].IDs[0] {
			t.Fatalf("request %d differs", i)
		}
	}
}

func TestLogarithm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := rapid.Uint64Min(1).Draw(t, "x")
		got := float64(negLog(x)) / (1 << 32)
		want := 64*math.Ln2 - math.Log(float64(x))
		if math.Abs(got-want) > 1e-6*(1+want) {
			t.Fatalf("-ln(%d/2^64) is %v, want %v", x, got, want)
		}
	})
}

// The drawn rate, shares and mean work are those of the scenario file.
func TestDrawnFigures(t *testing.T) {
	s := loadShipped(t, "calm")
	s.Length = Span(20 * time.Minute)
	s.Traffic.Jumps = []Jump{{At: Span(5 * time.Minute), For: Span(5 * time.Minute), Times: 2}}
	p := Draw(s, 11)
	var jumped, work, n float64
	classes := make([]float64, len(s.Classes))
	for _, r := range p.Requests {
		n++
		classes[r.Class]++
		if r.At >= 5*time.Minute && r.At < 10*time.Minute {
			jumped++
		}
		if s.Classes[r.Class].Name == "bid" {
			work += r.Work.Seconds()
		}
	}
	within := func(what string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 0.03*want {
			t.Errorf("%s is %v, want about %v", what, got, want)
		}
	}
	within("the rate", n/(25*60), s.Traffic.Rate)
	within("the rate in the jump", jumped/300, 2*s.Traffic.Rate)
	within("the share of bids", classes[2]/n, 0.24)
	within("the work of a bid", work/classes[2], 0.055)
}

func TestInvalidScenarios(t *testing.T) {
	data, err := scenarios.Files.ReadFile("morning.toml")
	if err != nil {
		t.Fatal(err)
	}
	good := string(data)
	for name, c := range map[string]struct{ old, new, want string }{
		"an unknown key":         {"seed = 7", "sead = 7", "morning.toml:4: unknown key sead (did you mean seed?)"},
		"a nested key":           {"slots = 20", "slotts = 20", "unknown key fleet.nodes.slotts (did you mean slots?)"},
		"no TOML":                {"seed = 7", "seed = = 7", "morning.toml:4:"},
		"a wrong type":           {"seed = 7", `seed = "seven"`, "morning.toml:4:"},
		"a wrong span":           {`length = "45s"`, `length = "45 fish"`, `"45 fish" is not a duration such as`},
		"no length":              {`length = "45s"`, `length = "0s"`, "length"},
		"an unknown fault":       {`what = "die"`, `what = "dei"`, "did you mean die?"},
		"a fault too late":       {`at = "12s"`, `at = "99s"`, "within the length"},
		"no share":               {"share = 0.25", "share = 1.25", "share"},
		"an unknown effect":      {`effect = "unsafe"`, `effect = "fragile"`, "safe, keyed or unsafe"},
		"no window":              {`window = "10s"`, "", "needs a window"},
		"a duplicate class":      {`name = "bid"`, `name = "lot-list"`, "a duplicate"},
		"no worth":               {"worth = 8", "worth = 0", "worth"},
		"too many nodes":         {"count = 4", "count = 4000", "at most 200 are possible"},
		"too many requests":      {"rate = 200", "rate = 2e6", "at most 2000000 are possible"},
		"too few zone shares":    {"zones = [0.4, 0.35, 0.25]", "zones = [0.4]", "1 shares for 3 zones"},
		"taken over 1":           {"taken = 0.5", "taken = 1.5", "taken"},
		"not a number":           {"rate = 200", "rate = nan", "rate"},
		"an empty crowd":         {`what = "die"`, `what = "crowd"`, "connections from 1 to 5000"},
		"a broken file":          {`what = "die"`, "what = \"retune\"\nhow = \"ctu\"", "did you mean cut?"},
		"too many attempts":      {`what = "die"`, "what = \"retune\"\nattempts = 9", "rules.max-attempts (4)"},
		"two changes":            {`what = "die"`, "what = \"retune\"\nhow = \"cut\"\nattempts = 2", "either how or attempts"},
		"another fault's key":    {`what = "die"`, "what = \"die\"\nconnections = 9", `connections belongs to what = "crowd"`},
		"a body of a safe class": {"answer-bytes = 4096", "body-bytes = 4096", "has no body"},
		"too large a body":       {"answer-bytes = 256", "body-bytes = 99999999", "up to 33554432 is possible"},
		"vanishes too early":     {"answer-bytes = 256", "appears = \"9s\"\nvanishes = \"8s\"", "has to be later"},
		"slow heads":             {"retries = 1", "slow-heads = 0.1", "needs slow-over"},
	} {
		text := strings.Replace(good, c.old, c.new, 1)
		if text == good {
			t.Fatalf("%s: the text to replace was not found", name)
		}
		_, err := Parse("morning.toml", []byte(text))
		if err == nil {
			t.Errorf("%s: accepted", name)
			continue
		}
		if !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %q, want %q in one line", name, err, c.want)
		}
	}
}

func FuzzParse(f *testing.F) {
	files, err := scenarios.Files.ReadDir(".")
	if err != nil {
		f.Fatal(err)
	}
	for _, e := range files {
		data, err := scenarios.Files.ReadFile(e.Name())
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz.toml", data)
		if err != nil {
			return
		}
		if s.Traffic.Rate*s.Length.D().Seconds() > 10_000 {
			return // valid, but too long to draw here
		}
		p := Draw(s, 1)
		for i, r := range p.Requests {
			if r.At >= p.Length || i > 0 && r.At < p.Requests[i-1].At {
				t.Fatalf("request %d at %v", i, r.At)
			}
		}
	})
}
