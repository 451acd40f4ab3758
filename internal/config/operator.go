package config

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"marlreel/internal/dataplane/msgpackrpc"
	"marlreel/internal/discovery/registry"
	"marlreel/internal/fleet"
	"marlreel/internal/process/logs"
	"marlreel/internal/stricttoml"
)

// Operator is what an operator sets beyond what the platform says: deploy/marlreel.toml.
// All of it is off unless it is set there.
type Operator struct {
	RPC          msgpackrpc.Config `toml:"rpc"`
	Registry     registry.Config   `toml:"registry"`
	LearnedState LearnedState      `toml:"memory"`
	Fleet        fleet.Config      `toml:"fleet"`
	Log          Log               `toml:"log"`
	// Background bounds work that is no request.
	Background Background `toml:"background"`
}

// Log is the form of the log.
type Log struct {
	Format string `toml:"format"` // text or json
}

// Validate rejects a form that there is not, by a *SettingError.
func (l *Log) Validate() error {
	if l.Format != logs.Text && l.Format != logs.JSON {
		return &SettingError{Key: "log.format", Problem: fmt.Sprintf("= %q: %q or %q is needed", l.Format, logs.Text, logs.JSON)}
	}
	return nil
}

// Background is the budget of all that a proxy does beside serving.
type Background struct {
	MaxCores float64 `toml:"share"` // of a core: above 0 and up to 0.5
	MaxJobs  int     `toml:"most"`  // at once: 1 to 16
}

// Validate rejects a budget out of bounds, by a *SettingError.
func (b *Background) Validate() error {
	areCoresValid := b.MaxCores > 0 && b.MaxCores <= 0.5
	areJobsValid := b.MaxJobs >= 1 && b.MaxJobs <= 16
	if areCoresValid && areJobsValid {
		return nil
	}
	problem := fmt.Sprintf("= %v, background.most = %d: above 0 and up to 0.5 of a core, and 1 to 16 jobs, are needed", b.MaxCores, b.MaxJobs)
	return &SettingError{Key: "background.share", Problem: problem}
}

// LearnedState is where a proxy saves what it learns, for the process after it.
type LearnedState struct {
	Dir          string              `toml:"dir"`   // a folder that outlives the process; "" is off
	SaveInterval stricttoml.Duration `toml:"every"` // 100 ms to 1 h
	MaxAge       stricttoml.Duration `toml:"keep"`  // beyond this age nothing of it counts
	HalfLife     stricttoml.Duration `toml:"half"`  // in this time it loses half its weight
}

// Enabled tells whether anything is saved.
func (l *LearnedState) Enabled() bool { return l.Dir != "" }

// Validate rejects the first value out of bounds, by a *SettingError.
func (l *LearnedState) Validate() error {
	interval, maxAge, halfLife := l.SaveInterval.D(), l.MaxAge.D(), l.HalfLife.D()
	switch {
	case interval < 100*time.Millisecond || interval > time.Hour:
		return &SettingError{Key: "memory.every", Problem: fmt.Sprintf("= %v: 100ms to 1h is needed", interval)}
	case maxAge <= 0 || halfLife <= 0:
		return &SettingError{Key: "memory.keep", Problem: fmt.Sprintf("= %v, memory.half = %v: both above 0 are needed", maxAge, halfLife)}
	case l.Enabled() && !filepath.IsAbs(l.Dir):
		return &SettingError{Key: "memory.dir", Problem: fmt.Sprintf("= %q: a path from / on is needed", l.Dir)}
	}
	return nil
}

// DefaultOperator is what holds without a file: everything off.
func DefaultOperator() *Operator {
	return &Operator{
		RPC: msgpackrpc.DefaultConfig(), Registry: registry.DefaultConfig(), Fleet: fleet.DefaultConfig(), Log: Log{Format: logs.Text},
		LearnedState: LearnedState{
			SaveInterval: stricttoml.Duration(5 * time.Second),
			MaxAge:       stricttoml.Duration(10 * time.Minute),
			HalfLife:     stricttoml.Duration(30 * time.Second),
		},
		Background: Background{MaxCores: 0.02, MaxJobs: 2},
	}
}

// LoadOperator reads a file; "" is none. Its errors are *FileError, *stricttoml.FileError and *OperatorFileError: one
// line that names the file, the key and what would be right.
func LoadOperator(path string) (*Operator, error) {
	if path == "" {
		return DefaultOperator(), nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	operator, err := ParseOperator(path, data)
	if err != nil {
		return nil, err
	}
	if err := operator.Registry.CheckFiles(); err != nil {
		return nil, &OperatorFileError{Path: path, Err: err}
	}
	return operator, nil
}

// ParseOperator reads a file's text; path is for its errors, which are those of LoadOperator.
func ParseOperator(path string, data []byte) (*Operator, error) {
	operator := DefaultOperator()
	if err := stricttoml.Decode(path, data, operator); err != nil {
		return nil, err
	}
	for _, table := range []interface{ Validate() error }{
		&operator.RPC, &operator.Registry, &operator.Log, &operator.Fleet, &operator.Background, &operator.LearnedState,
	} {
		if err := table.Validate(); err != nil {
			return nil, &OperatorFileError{Path: path, Err: err}
		}
	}
	return operator, nil
}

// CheckAgainst rejects what doesn't fit what the platform says.
func (o *Operator) CheckAgainst(platform *Platform) error {
	return o.RPC.CheckSettings(&platform.Settings)
}
