package chain

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fault is one fault injected into a cluster. Machines are given by their index among those that have not been
// replaced, modulo their number, so that a fault is valid whatever faults precede it.
type fault struct {
	kind    string
	machine int
	other   int
	lasts   time.Duration
	back    time.Duration // how long a replaced machine is back with its old disk; 0 if it does not come back
	rest    time.Duration // time without faults afterwards
}

// history is a sequence of faults to inject into a cluster, with the seed of the simulation's delays and losses.
type history struct {
	seed    uint64
	members int
	faults  []fault
}

// ---- generating ----

const (
	// minFaults is the minimum number of faults in a random history.
	minFaults = 12
	// maxFaultDuration and maxRest bound how long a fault lasts, and the time without faults after it.
	maxFaultDuration = 1500 * time.Millisecond
	maxRest          = 600 * time.Millisecond
)

// randomHistory returns the random history with a number, for 3, 5 or 7 members. Equal numbers give equal histories.
func randomHistory(number int) history {
	seed := uint64(number) + 100
	rng := rand.New(rand.NewPCG(seed, 2))
	h := history{seed: seed, members: 3 + 2*(number%3)}
	for len(h.faults) < minFaults {
		h.faults = append(h.faults, randomFaults(rng)...)
	}
	return h
}

// randomFaults returns one random fault, or several that follow each other immediately.
func randomFaults(rng *rand.Rand) []fault {
	span := func(limit time.Duration) time.Duration {
		return time.Duration(rng.Int64N(int64(limit))).Truncate(time.Millisecond)
	}
	const machines = 64
	f := fault{machine: rng.IntN(machines), other: rng.IntN(machines), lasts: span(maxFaultDuration), rest: span(maxRest)}
	kinds := []string{
		"kill", "lose-disk", "freeze", "stall-disk", "cut", "cut-one-way", "lose-messages", "lose-power",
		"cut-and-restart", "lose-disk-and-power", "replace", "views", "hold", "leave", "lose-two",
		"interrupt-proposal", "interrupt-proposal", "interrupt-handover", "interrupt-handover", "interrupt-vote", "interrupt-vote",
		"interrupt-vote", "late-entry",
	}
	f.kind = kinds[rng.IntN(len(kinds))]
	switch f.kind {
	case "lose-power":
		f.lasts /= 4
	case "lose-disk-and-power":
		if f.lasts /= 4; rng.IntN(2) == 0 {
			f.kind = "lose-disk-and-power-at-acknowledgement"
		}
	case "leave", "lose-two":
		f.back = span(500 * time.Millisecond)
	case "replace":
		if rng.IntN(2) == 0 {
			f.back = span(2 * time.Second)
		}
	case "views": // further view changes while a view change is in progress
		var cuts []fault
		for range 4 {
			cuts = append(cuts, fault{kind: "cut", machine: rng.IntN(machines), lasts: span(700 * time.Millisecond)})
		}
		cuts[len(cuts)-1].rest = f.rest
		return cuts
	}
	return []fault{f}
}

// randomizeTimeouts randomizes timeouts of the members. With short ones they propose at the same time and preempt each
// other's ballots.
func (c *cluster) randomizeTimeouts() {
	rng := rand.New(rand.NewPCG(uint64(c.rng.Uint32()), 7))
	if rng.IntN(2) == 0 {
		c.cfg.ProposalStagger = time.Duration(rng.IntN(30)) * time.Millisecond
	}
	if rng.IntN(2) == 0 {
		c.cfg.PromiseGracePeriod = time.Duration(rng.IntN(10)) * time.Millisecond
	}
	if rng.IntN(3) == 0 {
		c.cfg.MaxLagEntries = 0
	}
	for _, p := range c.processes {
		p.node.config = c.cfg
	}
}

// ---- running ----

// failure is the panic value with which a failed check ends a history.
type failure struct{ what string }

// run runs a history and returns the failure that it found, or "".
func (h history) run(t *testing.T) (problem string) {
	t.Helper()
	problem, _ = h.runCounted(t)
	return problem
}

// runCounted also returns how often each kind of fault reached the step of the protocol that it targets.
func (h history) runCounted(t *testing.T) (problem string, hits map[string]int) {
	t.Helper()
	defer func() {
		switch f := recover().(type) {
		case nil:
		case failure:
			problem = f.what
		default:
			panic(f)
		}
	}()
	c := newCluster(t, h.seed, h.members)
	hits = c.faultHits
	c.panicOnFailure = true
	c.randomizeTimeouts()
	c.mustServe("founding")
	for _, f := range h.faults {
		faultKinds[f.kind](c, f)
		c.audit()
		c.runFor(f.rest)
	}
	c.heal()
	c.mustServe("all faults have ended")
	c.auditLinearizable()
	for _, p := range c.processes {
		if !p.replaced && !p.node.InService() {
			c.fail("%s is not back in the chain", p.address)
		}
	}
	return "", hits
}

// maxShrinkRuns bounds how often a history is run to shrink it.
const maxShrinkRuns = 400

// shrink returns the shortest history found for which fails is still true.
func (h history) shrink(fails func(history) bool) history {
	runs := 0
	stillFails := func(shorter history) bool {
		runs++
		return runs <= maxShrinkRuns && fails(shorter)
	}
	for again := true; again; {
		again = false
		for i := len(h.faults) - 1; i >= 0; i-- {
			shorter := h
			shorter.faults = slices.Delete(slices.Clone(h.faults), i, i+1)
			if stillFails(shorter) {
				h, again = shorter, true
			}
		}
	}
	return h.shorten(stillFails)
}

// shorten removes the times without faults and halves the durations of faults, as long as the history still fails.
func (h history) shorten(stillFails func(history) bool) history {
	for i := range h.faults {
		for _, change := range []func(f *fault){
			func(f *fault) { f.rest = 0 },
			func(f *fault) { f.back = 0 },
			func(f *fault) { f.lasts = (f.lasts / 2).Truncate(time.Millisecond) },
		} {
			shorter := h
			shorter.faults = slices.Clone(h.faults)
			if change(&shorter.faults[i]); shorter.faults[i] != h.faults[i] && stillFails(shorter) {
				h = shorter
			}
		}
	}
	return h
}

// mustPass runs a history. If it fails, the test's output contains the shortest failing history found, in the format of
// the files in testdata/histories.
func (h history) mustPass(t *testing.T) (hits map[string]int) {
	t.Helper()
	problem, hits := h.runCounted(t)
	if problem == "" {
		return hits
	}
	if os.Getenv("CHAIN_SHRINK") == "0" {
		t.Fatal(problem)
	}
	short := h.shrink(func(shorter history) bool { return shorter.run(t) != "" })
	t.Fatalf("%s\nthe shortest failing history found, with failure %s:\n%s", problem, short.run(t), short)
	return nil
}

// ---- text format ----

// String returns a history in the format of the files in testdata/histories.
func (h history) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d\nmembers %d\n", h.seed, h.members)
	for _, f := range h.faults {
		fmt.Fprintf(&text, "%s machine=%d other=%d lasts=%s back=%s rest=%s\n", f.kind, f.machine, f.other, f.lasts, f.back, f.rest)
	}
	return text.String()
}

// parseHistory parses a history file: comments, seed, members, and one line for each fault with its parameters.
func parseHistory(text string) (history, error) {
	var h history
	lines := bufio.NewScanner(strings.NewReader(text))
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		var err error
		switch {
		case words[0] == "seed" && len(words) == 2:
			h.seed, err = strconv.ParseUint(words[1], 10, 64)
		case words[0] == "members" && len(words) == 2:
			h.members, err = strconv.Atoi(words[1])
		default:
			var f fault
			f, err = parseFault(words)
			h.faults = append(h.faults, f)
		}
		if err != nil {
			return h, fmt.Errorf("%q: %w", lines.Text(), err)
		}
	}
	if h.members < 1 {
		return h, fmt.Errorf("the number of members is missing")
	}
	return h, lines.Err()
}

func parseFault(words []string) (fault, error) {
	f := fault{kind: words[0]}
	if faultKinds[f.kind] == nil {
		return f, fmt.Errorf("unknown kind of fault")
	}
	for _, word := range words[1:] {
		key, value, _ := strings.Cut(word, "=")
		var err error
		switch key {
		case "machine":
			f.machine, err = strconv.Atoi(value)
		case "other":
			f.other, err = strconv.Atoi(value)
		case "lasts":
			f.lasts, err = time.ParseDuration(value)
		case "back":
			f.back, err = time.ParseDuration(value)
		case "rest":
			f.rest, err = time.ParseDuration(value)
		default:
			err = fmt.Errorf("unknown parameter %s", key)
		}
		if err != nil {
			return f, err
		}
	}
	return f, nil
}

// ---- the tests ----

// Random histories contain kills, lost disks, freezes, stalls, one-way and two-way partitions, message loss, and losses
// of all power. They stay within what fault_tolerance allows: one disk at a time is lost, and its machine gets time to
// catch up.
func TestRandomHistories(t *testing.T) {
	histories := 40
	if more, err := strconv.Atoi(os.Getenv("CHAIN_HISTORIES")); err == nil {
		histories = more
	}
	hits := make(chan map[string]int, histories)
	t.Run("all", func(t *testing.T) {
		for number := range histories {
			t.Run(strconv.Itoa(number), func(t *testing.T) {
				t.Parallel()
				hits <- randomHistory(number).mustPass(t)
			})
		}
	})
	close(hits)
	total := map[string]int{}
	for counts := range hits {
		for what, count := range counts {
			total[what] += count
		}
	}
	t.Logf("faults reached %v", total)
	for _, what := range []string{"a proposal", "a synchronizing head", "a vote", "a vote for a rival", "an entry of an earlier view"} {
		if total[what] == 0 {
			t.Errorf("in %d histories no fault reached %s", histories, what)
		}
	}
}

// Each file in testdata/histories once revealed a bug in the chain, or in a mutant of it.
func TestRecordedHistories(t *testing.T) {
	files, err := filepath.Glob("testdata/histories/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no files in testdata/histories: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			text, err := os.ReadFile(file)
			is.NoErr(err)
			h, err := parseHistory(string(text))
			is.NoErr(err)
			is.Equal(h.run(t), "")
		})
	}
}

func TestHistoryFilesRoundTrip(t *testing.T) {
	is := is.New(t)
	for number := range 50 {
		h := randomHistory(number)
		parsed, err := parseHistory(h.String())
		is.NoErr(err)
		is.Equal(parsed, h)
	}
	for _, text := range []string{"", "members 3\nexplode machine=1", "members 3\nkill machine=x", "members 3\nkill for=1s", "members x"} {
		_, err := parseHistory(text)
		is.True(err != nil)
	}
}

func TestHistoryIsDeterministic(t *testing.T) {
	is := is.New(t)
	trace := func() []string {
		h := randomHistory(5)
		c := newCluster(t, h.seed, h.members)
		for _, f := range h.faults {
			faultKinds[f.kind](c, f)
		}
		return append(c.acknowledged, c.now.String())
	}
	is.Equal(trace(), trace())
}

// Shrinking a history keeps only what the failure needs.
func TestShrinkHistory(t *testing.T) {
	is := is.New(t)
	h := randomHistory(3)
	h.faults = append(h.faults, fault{kind: "kill", machine: 1, lasts: time.Second, rest: time.Second},
		fault{kind: "freeze", machine: 2, lasts: 400 * time.Millisecond, rest: time.Second})
	needed := func(h history) bool {
		killed := false
		for _, f := range h.faults {
			killed = killed || f.kind == "kill" && f.machine == 1
			if killed && f.kind == "freeze" && f.machine == 2 && f.lasts >= 300*time.Millisecond {
				return true
			}
		}
		return false
	}
	short := h.shrink(needed)
	is.Equal(short.faults, []fault{
		{kind: "kill", machine: 1, lasts: 500 * time.Millisecond},
		{kind: "freeze", machine: 2, lasts: 400 * time.Millisecond},
	})
}
