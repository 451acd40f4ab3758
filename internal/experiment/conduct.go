package experiment

import (
	"context"
	"fmt"
	"time"
)

// Tries is the maximum number of times that a run is played if its results are void.
const Tries = 2

// Conduct configures Go.
type Conduct struct {
	Now  func() time.Duration // time since the start of the experiment
	Tell func(Standing)       // called before each run; may be nil
}

// Standing is the progress of an experiment before a run.
type Standing struct {
	Run    Run
	Number int           // from 1, among the runs that were missing when Go was called
	Of     int           // number of the runs that were missing when Go was called
	Again  bool          // repeats a void run
	Left   time.Duration // estimated time for the remaining runs, including this one
}

// Outcome is the state in which Go left the experiment.
type Outcome struct {
	Missing int  // runs still to be played
	Spent   bool // the budget ended it
}

// Go plays the missing runs of a plan one after another and stores each result before the next run starts. It returns
// when the plan is complete, the next run would exceed the budget, ctx is done, or the store or the player fails.
func Go(ctx context.Context, p *Plan, s *Store, player Player, c Conduct) (Outcome, error) {
	id := p.Identity()
	var o Outcome
	if err := s.Begin(p.File.Name, &id); err != nil {
		return o, err
	}
	done, err := s.Results(p.File.Name)
	if err != nil {
		return o, err
	}
	var todo []Run
	for _, r := range p.Runs {
		if needsRun(done[id.Key(r)]) {
			todo = append(todo, r)
		}
	}
	left := func(from int) (sum time.Duration) {
		for _, r := range todo[from:] {
			sum += p.Checked[r.Arm][r.Level].Length
		}
		return sum
	}
	budget := p.File.Budget.D()
	for n, r := range todo {
		key, day := id.Key(r), p.Days[r.Arm][r.Level]
		for needsRun(done[key]) {
			if err := ctx.Err(); err != nil {
				o.Missing = len(todo) - n
				return o, context.Cause(ctx)
			}
			if budget > 0 && c.Now()+p.Checked[r.Arm][r.Level].Length > budget {
				o.Missing, o.Spent = len(todo)-n, true
				return o, nil
			}
			if c.Tell != nil {
				c.Tell(Standing{r, n + 1, len(todo), len(done[key]) > 0, left(n)})
			}
			began := c.Now()
			result, err := player.Play(ctx, day, r.Seed)
			if err != nil {
				o.Missing = len(todo) - n
				if ctx.Err() != nil {
					return o, context.Cause(ctx)
				}
				return o, fmt.Errorf("arm %s, seed %d: %w", day.Arm.Name, r.Seed, err)
			}
			result.TookS = (c.Now() - began).Seconds()
			if p.File.Question == Tipping && result.Failed == "" {
				if result.Figures == nil {
					result.Figures = map[string]float64{}
				}
				for name, v := range p.File.Tipping.Figures(result.Seconds) {
					result.Figures[name] = v
				}
			} else {
				result.Seconds = nil // only a staircase needs them; don't store them
			}
			if err := s.Put(p.File.Name, key, &result); err != nil {
				o.Missing = len(todo) - n
				return o, err
			}
			done[key] = append(done[key], &result)
		}
	}
	return o, nil
}

// needsRun reports whether a run is still to be played, given its tries so far.
func needsRun(tries []*Result) bool {
	return len(tries) < Tries && (len(tries) == 0 || tries[len(tries)-1].Void != "")
}
