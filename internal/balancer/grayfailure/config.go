package grayfailure

import (
	"fmt"
	"time"
)

// Config holds the parameters of the model. DefaultConfig returns those used in production.
type Config struct {
	// Classes is the number of request classes, 1 or more. Each costs about 200 bytes per backend.
	Classes int

	// AnsweredRatio is the part of its attempts that a bad cell is assumed to answer, between 0 and 1. A higher ratio
	// detects milder faults, and more often takes chance for a fault: with e of 2%, a cell is judged bad if it fails
	// more than 27% of its attempts at 0.25, and more than 40% at 0.4.
	AnsweredRatio float64

	// MeanTimeBetweenFaults is that of one cell, MaxFaultDuration or more. A longer time requires more evidence: at
	// 600 s, two or three attempts in a row without an answer, with nothing answered between them.
	MeanTimeBetweenFaults time.Duration

	// MinFaultDuration, above 0, and MaxFaultDuration are how much longer a fault is expected to last at a cell that is
	// not ejected, and at one that is. They matter where a class is so rare that it hardly ever has a trial: then a
	// cell is reinstated after about half of MaxFaultDuration by time alone.
	MinFaultDuration, MaxFaultDuration time.Duration

	// TimeConstant, above 0, is the time over which delays and the ratio of failures in good cells decay to 1/e.
	TimeConstant time.Duration

	// TrialRatio, 0 to 1, is the part of a class's attempts that may be lost to trials of ejected cells, and
	// TrialBurst, 1 or more, how many such trials may be saved up.
	TrialRatio, TrialBurst float64
}

// DefaultConfig returns the parameters used in production, for the given number of classes.
func DefaultConfig(classes int) Config {
	return Config{
		Classes:               classes,
		AnsweredRatio:         0.25,
		MeanTimeBetweenFaults: 600 * time.Second,
		MinFaultDuration:      2 * time.Second,
		MaxFaultDuration:      10 * time.Second,
		TimeConstant:          10 * time.Second,
		TrialRatio:            0.0075,
		TrialBurst:            1,
	}
}

// ConfigError reports a parameter that is out of its range.
type ConfigError struct{ Field, Value, Want string }

var _ error = (*ConfigError)(nil)

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("gray failures: %s is %s, want %s", e.Field, e.Value, e.Want)
}

// Validate returns a ConfigError for the first parameter that is out of its range, or nil.
func (c Config) Validate() error {
	switch {
	case c.Classes < 1:
		return &ConfigError{"Classes", fmt.Sprint(c.Classes), "1 or more"}
	case !(c.AnsweredRatio > 0 && c.AnsweredRatio < 1):
		return &ConfigError{"AnsweredRatio", fmt.Sprint(c.AnsweredRatio), "a ratio between 0 and 1"}
	case c.MinFaultDuration <= 0:
		return &ConfigError{"MinFaultDuration", c.MinFaultDuration.String(), "above 0"}
	case c.MaxFaultDuration < c.MinFaultDuration:
		return &ConfigError{"MaxFaultDuration", c.MaxFaultDuration.String(), "MinFaultDuration or more"}
	case c.MeanTimeBetweenFaults < c.MaxFaultDuration:
		return &ConfigError{"MeanTimeBetweenFaults", c.MeanTimeBetweenFaults.String(), "MaxFaultDuration or more"}
	case c.TimeConstant <= 0:
		return &ConfigError{"TimeConstant", c.TimeConstant.String(), "above 0"}
	case !(c.TrialRatio >= 0 && c.TrialRatio <= 1):
		return &ConfigError{"TrialRatio", fmt.Sprint(c.TrialRatio), "a ratio from 0 to 1"}
	case !(c.TrialBurst >= 1):
		return &ConfigError{"TrialBurst", fmt.Sprint(c.TrialBurst), "1 or more"}
	}
	return nil
}
