package experiment

import (
	"context"
	"fmt"
	"time"
)

// Tries is how often a run is played that the machine spoils, in all.
const Tries = 2

// Conduct says how an experiment is carried out.
type Conduct struct {
	Now  func() time.Duration // since the beginning
	Tell func(Standing)       // before each run; may be nil
}

// Standing is how an experiment stands.
type Standing struct {
	Run    Run
	Number int // of the runs still to be played when it began, from 1
	Of     int
	Again  bool // it was void before
	Left   time.Duration
}

// Outcome is how carrying one out ended.
type Outcome struct {
	Missing int  // runs without a result that counts, or a second void one
	Spent   bool // the budget was
}

// Go plays what is missing of a plan, a run after the other, and stores each result before the next
// begins. It ends with the plan, the budget, ctx or an error of the store.
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
				result.Seconds = nil // the store would hold them for nothing
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

// open tells whether a run is still to be played.
func needsRun(tries []*Result) bool {
	return len(tries) < Tries && (len(tries) == 0 || tries[len(tries)-1].Void != "")
}
