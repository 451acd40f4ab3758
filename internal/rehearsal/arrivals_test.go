package rehearsal

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"marlreel/internal/standin"
)

// arrivalsOf draws a plan of 10 minutes with one kind of arrivals, and returns the number of requests in each second.
func arrivalsOf(t *testing.T, change func(s *Scenario)) (p *Plan, seconds []int) {
	t.Helper()
	s := shortScenario()
	s.Length, s.Traffic.Rate = Span(10*time.Minute), 100
	change(s)
	if err := s.Validate(); err != nil {
		t.Fatal(err)
	}
	p = Draw(s, 3)
	if Draw(s, 3).Digest() != p.Digest() || Draw(s, 4).Digest() == p.Digest() {
		t.Error("equal seeds give different plans, or different seeds give equal ones")
	}
	seconds = make([]int, 600)
	last := time.Duration(0)
	for _, r := range p.Requests {
		if r.At < last {
			t.Fatal("requests are not ordered by time")
		}
		last = r.At
		seconds[r.At/time.Second]++
	}
	return p, seconds
}

// All kinds of arrivals have the configured mean rate. Bursts exceed it clearly, and a wave rises and falls.
func TestArrivalsKeepTheirMean(t *testing.T) {
	t.Parallel()
	mean := func(seconds []int) float64 {
		n := 0
		for _, k := range seconds {
			n += k
		}
		return float64(n) / float64(len(seconds))
	}
	_, steady := arrivalsOf(t, func(*Scenario) {})
	_, bursty := arrivalsOf(t, func(s *Scenario) {
		s.Traffic.Arrivals, s.Traffic.Bursts = arrivalsBursty, Bursts{Times: 5, For: Span(2 * time.Second), Every: Span(10 * time.Second)}
	})
	_, wave := arrivalsOf(t, func(s *Scenario) {
		s.Traffic.Arrivals, s.Traffic.Wave = arrivalsWave, Wave{Swing: 0.8, Period: Span(40 * time.Second)}
	})
	for name, c := range map[string]struct {
		seconds []int
		spread  float64 // allowed relative deviation from the mean
	}{"steady": {steady, 0.02}, "bursty": {bursty, 0.15}, "wave": {wave, 0.02}} {
		if m := mean(c.seconds); m < 100*(1-c.spread) || m > 100*(1+c.spread) {
			t.Errorf("%s: %.1f requests per second, want about 100", name, m)
		}
	}
	if most := slices.Max(steady); most > 150 {
		t.Errorf("steady arrivals: %d requests in a second", most)
	}
	if most, least := slices.Max(bursty), slices.Min(bursty); most < 200 || least > 90 {
		t.Errorf("bursty arrivals: %d to %d requests per second", least, most)
	}
	up, down := 0, 0
	for i, k := range wave {
		switch i % 40 {
		case 8, 9, 10, 11:
			up += k
		case 28, 29, 30, 31:
			down += k
		}
	}
	if up < 5*down {
		t.Errorf("wave: %d requests around the maxima, %d around the minima", up, down)
	}
}

// The plan of a trace holds the requests of the trace, up to the length of the run.
func TestTrace(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	data, err := os.ReadFile(filepath.Join("..", "..", "scenarios", "calm.toml"))
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(string(data), "\n")
	for i, l := range lines {
		if strings.HasPrefix(l, "rate = ") {
			lines[i] = "quota = 100\narrivals = \"trace\"\ntrace = \"day.csv\""
		}
	}
	text := []byte(strings.Join(lines, "\n"))
	path := filepath.Join(dir, "day.toml")
	write := func(trace string) {
		if err := os.WriteFile(filepath.Join(dir, "day.csv"), []byte(trace), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("# a morning\n0.5,bid\n\n 0.25, lot-list\n1.000001,bid\n3599,bid\n")
	s, err := Parse(path, text)
	if err != nil {
		t.Fatal(err)
	}
	p := Draw(s, 1)
	var got []string
	for _, r := range p.Requests {
		got = append(got, r.At.String()+" "+s.Classes[r.Class].Name)
	}
	if want := []string{"250ms lot-list", "500ms bid", "1.000001s bid"}; !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
	for trace, want := range map[string]string{
		"":                "day.csv: no requests",
		"1,bid\nx,bid":    `day.csv:2: "x" is not a time in seconds`,
		"1,bid\n-1,bid":   `day.csv:2: "-1" is not a time`,
		"1,bid\n1":        `day.csv:2: unknown class ""`,
		"NaN,bid":         `day.csv:1: "NaN" is not a time`,
		"1,bid\n2,biding": `day.csv:2: unknown class "biding"`,
	} {
		write(trace)
		if _, err := Parse(path, text); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %s", trace, err, want)
		}
	}
	os.Remove(filepath.Join(dir, "day.csv"))
	if _, err := Parse(path, text); err == nil || !strings.Contains(err.Error(), "traffic.trace") {
		t.Errorf("missing trace file: %v", err)
	}
}

func TestInvalidTraffic(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		change func(f *Traffic)
		want   string
	}{
		"arrivals":    {func(f *Traffic) { f.Arrivals = "burst" }, "steady, bursty, wave, trace is needed"},
		"bursts":      {func(f *Traffic) { f.Arrivals = arrivalsBursty }, "traffic.bursts: times from above 1"},
		"wave":        {func(f *Traffic) { f.Arrivals, f.Wave = arrivalsWave, Wave{Swing: 2, Period: Span(time.Second)} }, "swing above 0 and up to 1"},
		"both":        {func(f *Traffic) { f.Wave = Wave{Swing: 0.5, Period: Span(time.Second)} }, "only with the arrivals of the same name"},
		"no trace":    {func(f *Traffic) { f.Arrivals = arrivalsTrace }, "traffic.trace is missing"},
		"trace, rate": {func(f *Traffic) { f.Arrivals, f.Trace = arrivalsTrace, "x" }, "rate and jumps must be left out"},
		"users, rate": {func(f *Traffic) { f.Users, f.Quota = Users{5, Span(time.Second)}, 9 }, "traffic.users is a closed loop"},
		"users":       {func(f *Traffic) { f.Rate, f.Users = 0, Users{5, Span(time.Second)} }, "traffic.quota is needed"},
		"no think":    {func(f *Traffic) { f.Rate, f.Quota, f.Users = 0, 9, Users{5, 0} }, "think of 1ms or more"},
		"many":        {func(f *Traffic) { f.Rate, f.Quota, f.Users = 0, 9, Users{20000, Span(time.Millisecond)} }, "at most 2000000 are possible"},
	} {
		s := shortScenario()
		s.Length = Span(time.Minute)
		c.change(&s.Traffic)
		if err := s.Validate(); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", name, err, c.want)
		}
	}
}

// In a closed loop each user has one request at a time, so that fewer are sent while the service is slow. The report
// says that the load is a closed loop.
func TestUsers(t *testing.T) {
	users := func(wait time.Duration) *Scenario {
		s := shortScenario()
		s.Length = Span(3 * time.Second)
		s.Traffic.Rate, s.Traffic.Quota, s.Traffic.Users = 0, 100, Users{Count: 12, Think: Span(200 * ms)}
		for i := range s.Classes {
			s.Classes[i].Wait, s.Classes[i].Spread = Span(wait), 0
		}
		return s
	}
	quick, dir, err := playAgainst(t, users(5*ms), faultsJSON(t, standin.Faults{}))
	if err != nil {
		t.Fatal(err)
	}
	slow, _, err := playAgainst(t, users(400*ms), faultsJSON(t, standin.Faults{}))
	if err != nil {
		t.Fatal(err)
	}
	if quick.Requests < 50 || slow.Requests >= quick.Requests*3/4 {
		t.Errorf("%d requests with a quick service, %d with a slow one", quick.Requests, slow.Requests)
	}
	if !strings.Contains(quick.Note, "closed loop: 12 users") || quick.Schedule == slow.Schedule {
		t.Errorf("%q, schedules %.8s and %.8s", quick.Note, quick.Schedule, slow.Schedule)
	}
	if quick.Schedule != Draw(users(5*ms), 1).Digest() {
		t.Error("the report's schedule is not the digest of the drawn plan")
	}
	if quick.Service < 0.9 || quick.Rules.Lost > 0 || quick.Clients.MostOpen > 12 {
		t.Errorf("service %.3f, %d lost, %d connections at once (%s)", quick.Service, quick.Rules.Lost, quick.Clients.MostOpen, dir)
	}
}
