package experiment

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

// As a child process the test binary runs an experiment until it is killed or reaches a limit on file size.
func TestMain(m *testing.M) {
	switch what := os.Getenv("EXPERIMENT_TEST_CHILD"); what {
	case "":
		goleak.VerifyTestMain(m)
	case "full":
		signal.Ignore(syscall.SIGXFSZ)
		limit := syscall.Rlimit{Cur: 256 << 10, Max: 256 << 10}
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &limit); err != nil {
			fmt.Println("set the limit on file size:", err)
			os.Exit(7)
		}
		fallthrough
	default:
		if what == "large" {
			ballast := make([]byte, largeChildBytes)
			for i := range ballast {
				ballast[i] = byte(i)
			}
			defer runtime.KeepAlive(ballast)
		}
		f, err := Parse("child.toml", []byte(os.Getenv("EXPERIMENT_TEST_FILE")))
		if err == nil {
			err = carryOut(f, os.Getenv("EXPERIMENT_TEST_STORE"), &fakePlayer{fill: 200, play: func(Day, uint64) Result {
				fmt.Println("played")
				return Result{Figures: map[string]float64{"service": 1}}
			}})
		}
		if err != nil {
			fmt.Println(err)
			os.Exit(5)
		}
	}
}

// fakePlayer is a player that computes results with a function.
type fakePlayer struct {
	play   func(d Day, seed uint64) Result
	text   string // text of the scenario
	build  string
	fill   int // number of additional figures, to make results large
	played []string
	now    time.Duration
}

func (p *fakePlayer) Check(d Day) (Checked, error) {
	for k := range d.Set {
		if k == "traffic.rat" {
			return Checked{}, errors.New("morning.toml:4: unknown key rat (did you mean rate?)")
		}
		if v, negative := d.Set[k].(int64); negative && v < 0 {
			return Checked{}, errors.New("traffic.rate: 0.1 requests a second or more are needed")
		}
	}
	return Checked{Length: 10 * time.Second, Scenario: p.text, Build: p.build + d.Arm.Marlreel}, nil
}

func (p *fakePlayer) Play(ctx context.Context, d Day, seed uint64) (Result, error) {
	if err := ctx.Err(); err != nil {
		return Result{}, err
	}
	p.now += 10 * time.Second
	p.played = append(p.played, fmt.Sprintf("%s %d %v", d.Arm.Name, seed, d.Set))
	r := p.play(d, seed)
	for i := range p.fill {
		if r.Figures != nil {
			r.Figures[fmt.Sprintf("class.%04d", i)] = float64(i)
		}
	}
	return r, nil
}

func carryOut(f *File, path string, player *fakePlayer) error {
	plan, err := Make(f, player)
	if err != nil {
		return err
	}
	s, err := Open(path, OpenConfig{})
	if err != nil {
		return err
	}
	defer s.Close()
	_, err = Go(context.Background(), plan, s, player, Conduct{Now: func() time.Duration { return player.now }})
	return err
}

func parse(t testing.TB, text string) *File {
	t.Helper()
	f, err := Parse("q.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

const twoArms = `
scenario = "morning"
replicates = %d
figures = ["service"]
[[arms]]
name = "a"
[[arms]]
name = "b"
`

// runAndAnalyse runs an experiment file with a player and analyses the results.
func runAndAnalyse(t testing.TB, text string, p *fakePlayer) *Analysis {
	t.Helper()
	f := parse(t, text)
	path := filepath.Join(t.TempDir(), "r.db")
	if err := carryOut(f, path, p); err != nil {
		t.Fatal(err)
	}
	return analyseStore(t, path, f.Name)
}

func analyseStore(t testing.TB, path, name string) *Analysis {
	t.Helper()
	s, err := Open(path, OpenConfig{})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	id, err := s.Identity(name)
	if err != nil {
		t.Fatal(err)
	}
	results, err := s.Results(name)
	if err != nil {
		t.Fatal(err)
	}
	return Analyse(name, id, results)
}

// The runs of a pair have the same seed, are adjacent and alternate in order; the days of a level have its values; with
// more replicates the first seeds stay the same.
func TestMakePlan(t *testing.T) {
	t.Parallel()
	text := fmt.Sprintf(twoArms, 3) + `
[set]
"a.b" = 1
[[factors]]
key = "traffic.rate"
from = 100
to = 300
steps = 3
[[factors.also]]
key = "daemon.rpc.idle"
levels = ["1s", "2s", "3s"]
`
	p, err := Make(parse(t, text), &fakePlayer{})
	if err != nil {
		t.Fatal(err)
	}
	if len(p.Runs) != 18 || len(p.Levels) != 3 || p.Length() != 180*time.Second || p.Levels[1].String() != "traffic.rate = 200" {
		t.Fatalf("%d runs, levels %v, %v", len(p.Runs), p.Levels, p.Length())
	}
	first := map[int]int{}
	for i := 0; i < len(p.Runs); i += 2 {
		x, y := p.Runs[i], p.Runs[i+1]
		if x.Seed != y.Seed || x.Level != y.Level || x.Arm == y.Arm || i >= 2 && p.Runs[i-2].Arm == x.Arm && i%6 != 0 {
			t.Errorf("runs %d and %d: %+v, %+v", i, i+1, x, y)
		}
		first[x.Arm]++
	}
	if first[0]-first[1] > 1 || first[1]-first[0] > 1 {
		t.Errorf("times that each arm is the first of a pair: %v", first)
	}
	d := p.Days[1][2]
	if d.Arm.Name != "b" || d.Set["traffic.rate"] != int64(300) || d.Set["a.b"] != int64(1) || d.Daemon["rpc.idle"] != "3s" {
		t.Errorf("%+v", d)
	}
	more, err := Make(parse(t, strings.Replace(text, "replicates = 3", "replicates = 9", 1)), &fakePlayer{})
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(more.Seeds[:3], p.Seeds) {
		t.Errorf("seeds %v; with more replicates %v", p.Seeds, more.Seeds)
	}
	a, b := p.Identity(), more.Identity()
	if d := b.Differs(&a); d != "" {
		t.Errorf("more replicates make another experiment: %s", d)
	}
	if a.Key(p.Runs[0]) == a.Key(p.Runs[1]) || a.Key(p.Runs[4]) != b.Key(more.Runs[4]) {
		t.Error("two runs share a key, or a run's key changes with the number of replicates")
	}
}

// An invalid file is rejected before anything is played, with an error that names the file, the line and what is valid.
func TestBadFiles(t *testing.T) {
	t.Parallel()
	good := fmt.Sprintf(twoArms, 3)
	for name, c := range map[string]struct{ text, want string }{
		"unknown key":   {strings.Replace(good, "replicates", "replicats", 1), "q.toml:3: unknown key replicats (did you mean replicates?)"},
		"question":      {"question = \"swep\"\n" + good, "q.toml:1: question = \"swep\": must be one of compare, sweep, tipping, recovery (did you mean sweep?)"},
		"no scenario":   {strings.Replace(good, "scenario = \"morning\"", "", 1), "scenario is missing"},
		"replicates":    {fmt.Sprintf(twoArms, 0), "q.toml:3: replicates = 0: must be 1 to 1000"},
		"one arm":       {strings.Replace(good, "[[arms]]\nname = \"b\"", "", 1), "at least two [[arms]] are needed"},
		"twice":         {strings.Replace(good, `"b"`, `"a"`, 1), `q.toml:8: two arms have the name "a"`},
		"figure":        {strings.Replace(good, `"service"`, `"servise"`, 1), `q.toml:4: figures: unknown figure "servise" (did you mean service?)`},
		"no levels":     {good + "[[factors]]\nkey = \"x\"\n", "q.toml:10: factor 1 (x): levels are missing"},
		"range":         {good + "[[factors]]\nkey = \"x\"\nfrom = 1\nto = \"2s\"\nsteps = 3\n", "must be two numbers, or two durations"},
		"steps":         {good + "[[factors]]\nkey = \"x\"\nfrom = 1\nto = 2\nsteps = 1\n", "steps = 1: must be 2 to 100"},
		"level twice":   {good + "[[factors]]\nkey = \"x\"\nlevels = [1, 1]\n", "level 1 occurs twice"},
		"too many":      {fmt.Sprintf(twoArms, 1000) + "[[factors]]\nkey = \"x\"\nfrom = 1\nto = 100\nsteps = 100\n", "200000 runs; at most 10000 are allowed"},
		"scenario key":  {good + "[[factors]]\nkey = \"traffic.rat\"\nlevels = [1]\n", "q.toml:10: traffic.rat = 1: morning.toml:4: unknown key rat (did you mean rate?)"},
		"level":         {good + "[[factors]]\nkey = \"traffic.rate\"\nlevels = [1, -2]\n", "q.toml:10: traffic.rate = -2: traffic.rate: 0.1 requests"},
		"staircase":     {"question = \"tipping\"\n" + good + "[tipping]\nfrom = 2\nto = 1\n", "q.toml:11: tipping: from must be above 0, to above from"},
		"its own":       {"question = \"tipping\"\n" + good + "[set]\nlength = \"3s\"\n", "q.toml:11: length: the question tipping sets this itself"},
		"no baseline":   {good + "baseline = \"worst\"\n", `q.toml:9: arm b: baseline = "worst": only random is supported`},
		"plain's own":   {good + "baseline = \"random\"\n[daemon]\n\"rpc.idle\" = \"1s\"\n", "has no settings of its own"},
		"in an arm too": {good + "[arms.set]\n\"x\" = 1\n[[factors]]\nkey = \"x\"\nlevels = [1, 2]\n", "x is a factor, but arm b sets it too"},
	} {
		f, err := Parse("q.toml", []byte(c.text))
		if err == nil {
			_, err = Make(f, &fakePlayer{})
		}
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v\nwant %s", name, err, c.want)
		}
	}
}

// With simulated noise of several distributions, about one in twenty of 1,000 experiments without a difference reports
// one, and the confidence intervals contain the true difference as often as stated.
func TestPairedFalseAlarmsAndCoverage(t *testing.T) {
	t.Parallel()
	const experiments = 1000
	noises := map[string]func(r *rand.Rand) float64{
		"normal":  func(r *rand.Rand) float64 { return r.NormFloat64() },
		"one way": func(r *rand.Rand) float64 { return r.ExpFloat64() - 1 },
		"even":    func(r *rand.Rand) float64 { return r.Float64() - 0.5 },
	}
	for _, name := range slices.Sorted(maps.Keys(noises)) {
		for _, pairs := range []int{6, 10, 20} {
			r := rand.New(rand.NewPCG(3, uint64(pairs)))
			alarms, missed, low := 0, 0, 0
			for n := range experiments {
				diffs := make([]float64, pairs)
				for i := range diffs {
					diffs[i] = 0.3 + 0.1*(noises[name](r)-noises[name](r))
				}
				d := Paired(diffs, uint64(n))
				if d.From > 0.3 || d.To < 0.3 {
					missed++
				}
				if d.From > 0.3 {
					low++
				}
				for i := range diffs {
					diffs[i] -= 0.3
				}
				if v := Paired(diffs, uint64(n)).Verdict; v != Unseen {
					alarms++
				}
			}
			// A rate of 0.05 over 1,000 experiments has a standard deviation of 0.007.
			if alarms > 72 || missed > 72 || missed < 8 {
				t.Errorf("%s, %d pairs: %d false alarms, %d intervals miss the true difference (%d lie above it)", name, pairs, alarms, missed, low)
			}
		}
	}
}

// A difference of the size Visible is detected about four times in five.
func TestVisibleDifferenceIsDetected(t *testing.T) {
	t.Parallel()
	r := rand.New(rand.NewPCG(5, 6))
	for _, pairs := range []int{8, 16} {
		named, seen := 0.0, 0
		for range 300 {
			diffs := make([]float64, pairs)
			for i := range diffs {
				diffs[i] = r.NormFloat64()
			}
			named += Paired(diffs, 1).Visible / 300
		}
		for n := range 500 {
			diffs := make([]float64, pairs)
			for i := range diffs {
				diffs[i] = named + r.NormFloat64()
			}
			if Paired(diffs, uint64(n)).Verdict == More {
				seen++
			}
		}
		if share := float64(seen) / 500; share < 0.70 || share > 0.92 {
			t.Errorf("%d pairs: a difference of %.2f is detected in %.2f of the experiments", pairs, named, share)
		}
	}
}

// With few pairs, or pairs that are all equal, the verdict claims no more than the data shows.
func TestVerdictsOfFewOrEqualPairs(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		diffs []float64
		want  Verdict
	}{
		{nil, Few},
		{[]float64{1}, Few},
		{[]float64{1, 1}, Few},
		{[]float64{9, 9.1, 9, 9.2, 9}, Few},
		{[]float64{0, 0, 0, 0, 0, 0}, Same},
		{[]float64{0.1, 0.1, 0.1, 0.1, 0.1, 0.1}, More},
		{[]float64{-2, -2, -2, -2, -2, -2}, Less},
		{[]float64{0, 0, 0, 0, 0, 1}, Unseen},
		{[]float64{-0.66, -0.65, -0.65, -0.64, -0.28, -0.6}, Less},
		{[]float64{9, 9.1, 9, 9.2, 9, 9.1}, More},
	} {
		d := Paired(c.diffs, 1)
		if d.Verdict != c.want || d.From > d.To {
			t.Errorf("%v: %+v", c.diffs, d)
		}
		if w := d.Words("a", "b", "service"); !strings.Contains(w, "service: ") {
			t.Error(w)
		}
	}
	a := runAndAnalyse(t, fmt.Sprintf(twoArms, 2), &fakePlayer{play: func(d Day, seed uint64) Result {
		return Result{Figures: map[string]float64{"service": float64(len(d.Arm.Name))}}
	}})
	if g := a.Against[0].Figures["service"]; g.Verdict != Few || a.Played != 4 {
		t.Errorf("%+v", g)
	}
	rapid.Check(t, func(t *rapid.T) {
		d := Paired(rapid.SliceOfN(rapid.Float64Range(-1e6, 1e6), 0, 12).Draw(t, "differences"), 1)
		if d.From > d.To || d.Verdict == "" || d.Pairs > 0 && (d.Mean < d.From-1e-6 || d.Mean > d.To+1e-6) {
			t.Fatalf("%+v", d)
		}
	})
}

// hysteresisSeconds simulates a service that collapses at the load tip and recovers only at the lower load back.
func hysteresisSeconds(tip, back float64, s Staircase) []Second {
	var seconds []Second
	over := false
	for _, load := range s.loads() {
		if load >= tip {
			over = true
		} else if load <= back {
			over = false
		}
		for range int(s.Each.D().Seconds()) {
			x := Second{Asked: 100 * load, Served: 99 * load}
			if over {
				x.Served = 40 * load
			}
			seconds = append(seconds, x)
		}
	}
	return seconds
}

// The analysis finds tipping points and differences that were built into the results.
func TestAnalyseFindsKnownEffects(t *testing.T) {
	t.Parallel()
	text := strings.Replace(fmt.Sprintf(twoArms, 8), `figures = ["service"]`, `question = "tipping"`, 1) + "[tipping]\nfrom = 0.5\nto = 2.0\nsteps = 4\neach = \"4s\"\n"
	f := parse(t, text)
	a := runAndAnalyse(t, text, &fakePlayer{play: func(d Day, seed uint64) Result {
		if d.Set["length"] != "32s" || len(d.Set["traffic.jumps"].([]any)) != 8 {
			t.Errorf("%v", d.Set)
		}
		if d.Arm.Name == "a" {
			return Result{Seconds: hysteresisSeconds(1.4, 0.9, f.Tipping)} // metastable: recovers at a lower load than it tipped at
		}
		if seed%2 == 0 {
			return Result{Seconds: hysteresisSeconds(1.9, 1.5, f.Tipping)}
		}
		return Result{Seconds: hysteresisSeconds(9, 9, f.Tipping)} // it never tips over
	}})
	first, second := a.cell(0, 0), a.cell(1, 0)
	if s := first.Figures; s["tips-at"].Median != 1.5 || s["back-at"].Median != 0.5 || s["hysteresis"].Median != 1 {
		t.Errorf("%+v", s)
	}
	if s := second.Figures; s["tips-at"].Median != 2 || s["back-at"].Median != 1.5 || s["tips-at"].N+second.Absent["tips-at"] != 8 || second.Absent["tips-at"] == 0 {
		t.Errorf("%+v, absent %v", s, second.Absent)
	}
	if words := strings.Join(a.Words(), "\n"); !strings.Contains(words, "tips-at has no value in") || !strings.Contains(words, "pairs are left out") {
		t.Error(words)
	}
	if len(first.Steps) != 8 || first.Steps[2].Service.Median != 0.4 || !first.Steps[5].Down {
		t.Errorf("%+v", first.Steps)
	}

	for _, c := range []struct {
		better float64
		want   Verdict
	}{{0.05, More}, {-0.05, Less}, {0.001, Unseen}} {
		a := runAndAnalyse(t, fmt.Sprintf(twoArms, 12), &fakePlayer{play: func(d Day, seed uint64) Result {
			r := rand.New(rand.NewPCG(seed, uint64(d.Arm.Name[0])))
			v := 0.8 + float64(seed%100)/1000 + 0.01*r.NormFloat64() // the seed has more influence than the arm
			if d.Arm.Name == "b" {
				v += c.better
			}
			return Result{Figures: map[string]float64{"service": v}}
		}})
		if g := a.Against[0].Figures["service"]; g.Verdict != c.want || math.Abs(g.Mean-c.better) > 0.02 {
			t.Errorf("%v: %+v", c.better, g)
		}
	}
}

// back-at requires that service stays good to the end: one good step on the way down may be luck.
func TestBackAtNeedsLastingRecovery(t *testing.T) {
	t.Parallel()
	s := Staircase{From: 1, To: 3, Steps: 3, Each: 0, Below: 0.9}
	s.Each = 2e9
	var seconds []Second
	for _, service := range []float64{1, 0.5, 0.5, 0.95, 0.5, 0.95} {
		seconds = append(seconds, Second{10, 10}, Second{10, 10 * service})
	}
	if f := s.Figures(seconds); f["tips-at"] != 2 || f["back-at"] != 1 {
		t.Errorf("%v", f)
	}
	if f := s.Figures(seconds[:8]); f["tips-at"] != 2 || len(f) != 1 { // steps that were not played don't count
		t.Errorf("seconds of the last steps missing: %v", f)
	}
}

// Void runs are counted and played once more; an arm that fails on every seed is reported and doesn't stop the
// experiment; runs that exceed the budget are left for the next call.
func TestVoidsFailuresAndBudgets(t *testing.T) {
	t.Parallel()
	tries := map[string]int{}
	p := &fakePlayer{play: func(d Day, seed uint64) Result {
		k := fmt.Sprint(d.Arm.Name, seed)
		tries[k]++
		switch {
		case d.Arm.Name == "b":
			return Result{Failed: "the proxies were not ready", Crashes: 1}
		case tries[k] == 1 || seed%2 == 0:
			return Result{Void: "sends were late", Figures: map[string]float64{"service": 0}}
		}
		return Result{Figures: map[string]float64{"service": 1}, LateMs: 3, Broken: 2}
	}}
	a := runAndAnalyse(t, fmt.Sprintf(twoArms, 10), p)
	even := 0
	for _, s := range a.Identity.Seeds {
		if s%2 == 0 {
			even++
		}
	}
	c := a.cell(0, 0)
	if even == 0 || even == 10 || a.Lost != even || c.Runs != 10-even || c.Void != 10+even || c.Figures["service"].Low != 1 || c.Broken != 2*(10-even) {
		t.Errorf("%d even seeds: %+v, lost %d", even, c, a.Lost)
	}
	if b := a.cell(1, 0); b.Failed != 10 || b.Crashes != 10 || b.Runs != 0 || len(p.played) != 20+10 {
		t.Errorf("%+v, %d played", b, len(p.played))
	}
	words := strings.Join(a.Words(), "\n")
	for _, w := range []string{"b: 10 of 10 runs failed: the proxies were not ready", "void in every try", "too few pairs to say a word"} {
		if !strings.Contains(words, w) {
			t.Errorf("no %q in\n%s", w, words)
		}
	}

	f := parse(t, "budget = \"45s\"\n"+fmt.Sprintf(twoArms, 4))
	path := filepath.Join(t.TempDir(), "r.db")
	p = &fakePlayer{play: func(Day, uint64) Result { return Result{Figures: map[string]float64{"service": 1}} }}
	for round, want := range []int{4, 4, 0} {
		p.now, p.played = 0, nil
		if err := carryOut(f, path, p); err != nil || len(p.played) != want {
			t.Errorf("round %d: %d played, %v", round, len(p.played), err)
		}
	}
}

// An edited scenario or another build makes another experiment; under the same name it is refused with the difference.
func TestChangedExperimentUnderTheSameName(t *testing.T) {
	t.Parallel()
	play := func(Day, uint64) Result { return Result{Figures: map[string]float64{"service": 1}} }
	path := filepath.Join(t.TempDir(), "r.db")
	text := fmt.Sprintf(twoArms, 2)
	was := func() *fakePlayer { return &fakePlayer{play: play, text: "rate = 200\nlength = \"30s\"", build: "x"} }
	if err := carryOut(parse(t, text), path, was()); err != nil {
		t.Fatal(err)
	}
	edited, built := was(), was()
	edited.text, built.build = "rate = 250\nlength = \"30s\"", "y"
	for name, c := range map[string]struct {
		text   string
		player *fakePlayer
		want   string
	}{
		"edited":   {text, edited, `the scenario was edited: it said "rate = 200" and now says "rate = 250"`},
		"built":    {text, built, "arm a has another build of the daemon"},
		"seeds":    {"seed = 9\n" + text, was(), "the seeds differ"},
		"arms":     {strings.Replace(text, `"b"`, `"c"`, 1), was(), "the arms differ"},
		"settings": {text + "[set]\nx = 1\n", was(), "the settings of arm a differ"},
		"factors":  {text + "[[factors]]\nkey = \"x\"\nlevels = [1]\n", was(), "the factors differ"},
		"question": {"question = \"recovery\"\n" + text, was(), "the question was compare and is now recovery"},
	} {
		err := carryOut(parse(t, c.text), path, c.player)
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "results forget q") || len(c.player.played) > 0 {
			t.Errorf("%s: %v, %d played", name, err, len(c.player.played))
		}
	}
	more := was()
	if err := carryOut(parse(t, fmt.Sprintf(twoArms, 3)), path, more); err != nil || len(more.played) != 2 {
		t.Errorf("one more seed: %v, %v", more.played, err)
	}
	s, err := Open(path, OpenConfig{})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Forget("nobody"); err == nil {
		t.Error("an experiment that doesn't exist was deleted without an error")
	}
	if err := s.Forget("q"); err != nil {
		t.Error(err)
	}
	if names, err := s.Names(); err != nil || len(names) != 0 {
		t.Errorf("%v, %v", names, err)
	}
	s.Close()
	if err := carryOut(parse(t, text), path, edited); err != nil {
		t.Errorf("after its results were deleted: %v", err)
	}
}

func child(t *testing.T, what, text, path string) *exec.Cmd {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	c := exec.Command(self)
	c.Env = append(os.Environ(), "EXPERIMENT_TEST_CHILD="+what, "EXPERIMENT_TEST_FILE="+text, "EXPERIMENT_TEST_STORE="+path)
	return c
}

// An experiment that is killed at any time loses at most the current run, and continues from there.
func TestKilled(t *testing.T) {
	t.Parallel()
	text, path := "name = \"child\"\n"+fmt.Sprintf(twoArms, 1000), filepath.Join(t.TempDir(), "r.db")
	before := 0
	for round := range 12 {
		c := child(t, "kill", text, path)
		out, err := c.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		// The child prints a line for each run: after a few lines it may be anywhere within a write.
		played, line := 0, make([]byte, len("played\n"))
		for played < 3+round {
			if _, err := out.Read(line); err != nil {
				t.Fatalf("round %d: the child exited early: %v", round, err)
			}
			played++
		}
		c.Process.Signal(syscall.SIGKILL)
		rest := make([]byte, 1<<16)
		for {
			n, err := out.Read(rest)
			played += strings.Count(string(rest[:n]), "p")
			if err != nil {
				break
			}
		}
		c.Wait()
		a := analyseStore(t, path, "child")
		if a.Played < before+played-1 || a.Played > before+played {
			t.Fatalf("round %d: the child reported %d runs; the store has %d, and had %d before", round, played, a.Played, before)
		}
		before = a.Played
	}
}

// duplicateLockDescriptors duplicates the descriptors through which this process holds a read lock on a file, and keeps
// the copies until the test ends, like a child process between fork and exec. It returns their number.
func duplicateLockDescriptors(t *testing.T, path string) *atomic.Int64 {
	t.Helper()
	var held []int
	var n atomic.Int64
	stop, ended := make(chan struct{}), make(chan struct{})
	look := func(name string) {
		if to, err := os.Readlink("/proc/self/fd/" + name); err != nil || to != path {
			return
		}
		fd, err := strconv.Atoi(name)
		if err != nil || slices.Contains(held, fd) {
			return
		}
		if fd, err = syscall.Dup(fd); err != nil {
			return
		}
		to, _ := os.Readlink(fmt.Sprint("/proc/self/fd/", fd)) // the descriptor may have been reused for another file
		info, _ := os.ReadFile(fmt.Sprint("/proc/self/fdinfo/", fd))
		if to != path || !strings.Contains(string(info), "FLOCK  ADVISORY  READ") {
			syscall.Close(fd)
			return
		}
		held = append(held, fd)
		n.Add(1)
	}
	go func() {
		defer close(ended)
		for len(held) < 64 {
			select {
			case <-stop:
				return
			default:
			}
			open, _ := os.ReadDir("/proc/self/fd")
			for _, e := range open {
				look(e.Name())
			}
		}
	}()
	t.Cleanup(func() {
		close(stop)
		<-ended
		for _, fd := range held {
			syscall.Close(fd)
		}
	})
	return &n
}

// Close releases a store's lock at once, even if a child process was started while the store was open: until its exec
// the child holds copies of the store's descriptors.
func TestStartingChildDoesNotHoldTheLock(t *testing.T) {
	t.Parallel()
	if runtime.GOOS != "linux" {
		t.Skip("needs /proc/self/fd of Linux")
	}
	path := filepath.Join(t.TempDir(), "r.db")
	if err := carryOut(parse(t, fmt.Sprintf(twoArms, 20)), path, &fakePlayer{fill: 2000, play: func(Day, uint64) Result {
		return Result{Figures: map[string]float64{"service": 1}}
	}}); err != nil {
		t.Fatal(err)
	}
	held := duplicateLockDescriptors(t, path)
	for until := time.Now().Add(time.Minute); held.Load() < 3; {
		s, err := Open(path, OpenConfig{})
		if err != nil {
			t.Fatalf("with %d copies of read-locked descriptors: %v", held.Load(), err)
		}
		s.Close()
		if time.Now().After(until) {
			t.Fatalf("only %d descriptors were duplicated in time", held.Load())
		}
	}
	s, err := Open(path, OpenConfig{})
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
}

// A full disk ends the experiment with an error that names the store; results written before are intact.
func TestFullDisk(t *testing.T) {
	t.Parallel()
	if runtime.GOOS != "linux" {
		t.Skip("needs the limit on file size of Linux")
	}
	path := filepath.Join(t.TempDir(), "r.db")
	out, err := child(t, "full", "name = \"child\"\n"+fmt.Sprintf(twoArms, 1000), path).CombinedOutput()
	if err == nil || !strings.Contains(string(out), "store "+path) {
		t.Fatalf("%v: %s", err, out)
	}
	if a := analyseStore(t, path, "child"); a.Played == 0 || a.Played < strings.Count(string(out), "played\n")-1 {
		t.Errorf("the store has %d of %d runs", a.Played, strings.Count(string(out), "played\n"))
	}
}

// Open refuses a store that is in use, has a newer version or is damaged, with a one-line error and without changing it.
func TestOpenRefusesUnusableStores(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	at := func(name string) string { return filepath.Join(dir, name) }
	made := func(name string) string {
		if err := carryOut(parse(t, fmt.Sprintf(twoArms, 20)), at(name), &fakePlayer{fill: 50, play: func(Day, uint64) Result {
			return Result{Figures: map[string]float64{"service": 1}}
		}}); err != nil {
			t.Fatal(err)
		}
		return at(name)
	}
	s, err := Open(made("two.db"), OpenConfig{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(at("two.db"), OpenConfig{LockTimeout: lockQuietTime}); !errors.Is(err, ErrInUse) {
		t.Errorf("opened twice: %v", err)
	}
	if err := s.Put("nobody", "key", &Result{}); err == nil {
		t.Error("a result of an unknown experiment was stored")
	}
	s.db.Update(func(tx *bolt.Tx) error {
		return tx.Bucket(bucketMeta).Put(keyVersion, binary.BigEndian.AppendUint64(nil, 99))
	})
	s.Close()
	if _, err := Open(at("two.db"), OpenConfig{LockTimeout: lockQuietTime}); err == nil || !strings.Contains(err.Error(), "version 99") {
		t.Errorf("a newer version: %v", err)
	}

	whole, err := os.ReadFile(made("whole.db"))
	if err != nil {
		t.Fatal(err)
	}
	for name, damage := range map[string]func([]byte) []byte{
		"text":     func([]byte) []byte { return []byte("runs: 1\n") },
		"cut off":  func(b []byte) []byte { return b[:len(b)/2] },
		"head":     func(b []byte) []byte { return b[:4096*4] },
		"zeroes":   func(b []byte) []byte { clear(b[4096*2:]); return b },
		"no pages": func(b []byte) []byte { clear(b[:4096*2]); return b },
		"noise": func(b []byte) []byte {
			r := rand.New(rand.NewPCG(1, 1))
			for i := 4096 * 2; i < len(b); i += 16 {
				b[i] = byte(r.Uint32())
			}
			return b
		},
	} {
		path := at(strings.ReplaceAll(name, " ", "-") + ".db")
		bytes := damage(slices.Clone(whole))
		if err := os.WriteFile(path, bytes, 0o644); err != nil {
			t.Fatal(err)
		}
		s, err := Open(path, OpenConfig{})
		if err == nil {
			s.Close()
			t.Errorf("%s: Open succeeded", name)
		} else if damaged := (*DamagedError)(nil); !errors.As(err, &damaged) {
			t.Errorf("%s: %T", name, err)
		} else if !strings.Contains(err.Error(), path) || !strings.Contains(err.Error(), "was not modified") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
		if after, err := os.ReadFile(path); err != nil || !slices.Equal(after, bytes) {
			t.Errorf("%s: the file was changed (%v)", name, err)
		}
	}
}

// A store of an older version is migrated to the current one step by step.
func TestMigration(t *testing.T) {
	t.Parallel()
	const storeVersion = 1 // raise it with each new migration
	if len(migrations) != storeVersion {
		t.Errorf("%d migrations, want %d, the version", len(migrations), storeVersion)
	}
	path := filepath.Join(t.TempDir(), "old.db")
	db, err := bolt.Open(path, 0o644, nil)
	if err != nil {
		t.Fatal(err)
	}
	db.Close() // an empty store has version 0
	s, err := Open(path, OpenConfig{})
	if err != nil {
		t.Fatal(err)
	}
	s.db.View(func(tx *bolt.Tx) error {
		if v := tx.Bucket(bucketMeta).Get(keyVersion); binary.BigEndian.Uint64(v) != storeVersion {
			t.Errorf("version %v", v)
		}
		return nil
	})
	s.Close()
}

// Every kind of analysis can be drawn and written in each format.
func TestRenderAnalysis(t *testing.T) {
	t.Parallel()
	climb := parse(t, "question = \"tipping\"\n"+fmt.Sprintf(twoArms, 2)).Tipping
	for name, text := range map[string]string{
		"pairs":  fmt.Sprintf(twoArms, 7),
		"levels": "question = \"sweep\"\n" + fmt.Sprintf(twoArms, 2) + "[[factors]]\nkey = \"x\"\nlevels = [1, 2, 5]\n",
		"words":  "question = \"sweep\"\n" + fmt.Sprintf(twoArms, 2) + "[[factors]]\nkey = \"x\"\nlevels = [\"1s\", \"2s\"]\n",
		"climb":  strings.Replace("question = \"tipping\"\n"+fmt.Sprintf(twoArms, 2), `figures = ["service"]`, "", 1),
		"none":   fmt.Sprintf(twoArms, 1),
	} {
		a := runAndAnalyse(t, text, &fakePlayer{play: func(d Day, seed uint64) Result {
			if name == "none" {
				return Result{Failed: "it does not start"}
			}
			return Result{Figures: map[string]float64{"service": float64(seed%10) / 10}, Seconds: hysteresisSeconds(1.5, 1, climb)}
		}})
		dir := t.TempDir()
		charts, err := a.Charts(dir)
		if err != nil || len(charts) == 0 {
			t.Errorf("%s: %v, %v", name, charts, err)
		}
		for _, c := range charts {
			if data, err := os.ReadFile(filepath.Join(dir, c)); err != nil || !strings.Contains(string(data), "</svg>") {
				t.Errorf("%s: %s: %v", name, c, err)
			}
		}
		var csv strings.Builder
		if err := a.CSV(&csv); err != nil || strings.Count(csv.String(), "\n") != 1+countFigures(a) {
			t.Errorf("%s: %v\n%s", name, err, csv.String())
		}
		if text := a.Text() + a.Markdown(charts); !strings.Contains(text, "median") || strings.Contains(text, "NaN") {
			t.Errorf("%s:\n%s", name, text)
		}
	}
}

func countFigures(a *Analysis) (figures int) {
	for _, c := range a.Cells {
		for _, r := range c.counted {
			figures += len(r.result.Figures)
		}
	}
	return figures
}
