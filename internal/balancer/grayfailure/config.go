package grayfailure

import (
	"fmt"
	"time"
)

// Config has the figures of the judgement. DefaultConfig gives those in service.
type Config struct {
	// Classes of work that are told apart. Each costs about 200 bytes a backend.
	Classes int

	// AnsweredRatio is the share of attempts that a bad cell is assumed to answer. Higher notices
	// milder troubles, and takes chance for trouble more often: with e of 2%, what fails more
	// than 27% is judged bad at 0.25, more than 40% at 0.4.
	AnsweredRatio float64

	// MeanTimeBetweenFaults is the mean time between two troubles of one cell. Longer wants more evidence: at
	// 600 s two or three silences in a row, with nothing answered between them.
	MeanTimeBetweenFaults time.Duration

	// MinFaultDuration and Longest bound how long a trouble is expected to last further; within them
	// it is as long as it has lasted. They matter where a kind is so rare that it is hardly
	// ever tried: then a cell is back after about half of this by time alone.
	MinFaultDuration, MaxFaultDuration time.Duration

	// TimeConstant is the time over which the share of failures in good cells, and delays, fade.
	TimeConstant time.Duration

	// TrialRatio is the share of a kind's attempts that may be lost on trying bad cells, and Burst
	// how many may be saved up.
	TrialRatio, TrialBurst float64
}

// DefaultConfig gives the figures in service, for so many kinds of work.
func DefaultConfig(kinds int) Config {
	return Config{
		Classes: kinds, AnsweredRatio: 0.25, MeanTimeBetweenFaults: 600 * time.Second, MinFaultDuration: 2 * time.Second,
		MaxFaultDuration: 10 * time.Second, TimeConstant: 10 * time.Second, TrialRatio: 0.0075, TrialBurst: 1,
	}
}

// Validate names the first figure that makes no sense.
func (c Config) Validate() error {
	switch {
	case c.Classes < 1:
		return fmt.Errorf("gray: Kinds = %d: at least 1 is needed", c.Classes)
	case !(c.AnsweredRatio > 0 && c.AnsweredRatio < 1):
		return fmt.Errorf("gray: Answered = %v: a share between 0 and 1 is needed", c.AnsweredRatio)
	case c.MinFaultDuration <= 0 || c.MaxFaultDuration < c.MinFaultDuration || c.MeanTimeBetweenFaults < c.MaxFaultDuration:
		return fmt.Errorf("gray: Shortest = %v, Longest = %v, Onset = %v: above 0 and rising is needed",
			c.MinFaultDuration, c.MaxFaultDuration, c.MeanTimeBetweenFaults)
	case c.TimeConstant <= 0:
		return fmt.Errorf("gray: Memory = %v: above 0 is needed", c.TimeConstant)
	case !(c.TrialRatio >= 0 && c.TrialRatio <= 1) || !(c.TrialBurst >= 1):
		return fmt.Errorf("gray: Spend = %v, Burst = %v: a share, and 1 or more, are needed", c.TrialRatio, c.TrialBurst)
	}
	return nil
}
