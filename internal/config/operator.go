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

// Operator is the operator's configuration (deploy/marlreel.toml), in addition to the platform's.
// All features in it are off by default.
type Operator struct {
	RPC          msgpackrpc.Config `toml:"rpc"`
	Registry     registry.Config   `toml:"registry"`
	LearnedState LearnedState      `toml:"memory"`
	Fleet        fleet.Config      `toml:"fleet"`
	Log          Log               `toml:"log"`
	// Background limits work outside the request path.
	Background Background `toml:"background"`
}

// Log configures the format of the log.
type Log struct {
	Format string `toml:"format"` // text or json
}

// Validate returns a *SettingError if the format is unknown.
func (l *Log) Validate() error {
	if l.Format != logs.Text && l.Format != logs.JSON {
		return &SettingError{Key: "log.format", Problem: fmt.Sprintf("= %q: must be %q or %q", l.Format, logs.Text, logs.JSON)}
	}
	return nil
}

// Background limits the CPU share and the concurrency of a proxy's background jobs.
type Background struct {
	MaxCores float64 `toml:"share"` // in cores: above 0 and up to 0.5
	MaxJobs  int     `toml:"most"`  // concurrent jobs: 1 to 16
}

// Validate returns a *SettingError if a limit is out of range.
func (b *Background) Validate() error {
	areCoresValid := b.MaxCores > 0 && b.MaxCores <= 0.5
	areJobsValid := b.MaxJobs >= 1 && b.MaxJobs <= 16
	if areCoresValid && areJobsValid {
		return nil
	}
	problem := fmt.Sprintf("= %v, background.most = %d: the share must be above 0 and up to 0.5 of a core, and jobs 1 to 16", b.MaxCores, b.MaxJobs)
	return &SettingError{Key: "background.share", Problem: problem}
}

// LearnedState configures where and how a proxy saves its learned state for the next process.
type LearnedState struct {
	Dir          string              `toml:"dir"`   // a folder that outlives the process; "" disables saving
	SaveInterval stricttoml.Duration `toml:"every"` // 100 ms to 1 h
	MaxAge       stricttoml.Duration `toml:"keep"`  // an older state is ignored
	HalfLife     stricttoml.Duration `toml:"half"`  // time in which the state loses half of its weight
}

// Enabled reports whether the learned state is saved.
func (l *LearnedState) Enabled() bool { return l.Dir != "" }

// Validate returns a *SettingError for the first value that is out of range.
func (l *LearnedState) Validate() error {
	interval, maxAge, halfLife := l.SaveInterval.D(), l.MaxAge.D(), l.HalfLife.D()
	switch {
	case interval < 100*time.Millisecond || interval > time.Hour:
		return &SettingError{Key: "memory.every", Problem: fmt.Sprintf("= %v: must be 100ms to 1h", interval)}
	case maxAge <= 0 || halfLife <= 0:
		return &SettingError{Key: "memory.keep", Problem: fmt.Sprintf("= %v, memory.half = %v: both must be above 0", maxAge, halfLife)}
	case l.Enabled() && !filepath.IsAbs(l.Dir):
		return &SettingError{Key: "memory.dir", Problem: fmt.Sprintf("= %q: must be an absolute path", l.Dir)}
	}
	return nil
}

// DefaultOperator returns the configuration without a file, with all features off.
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

// LoadOperator reads an operator's file; an empty path gives the defaults. Its errors are *FileError,
// *stricttoml.FileError and *OperatorFileError: one line that names the file, the key and the valid values.
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

// ParseOperator parses the text of an operator's file. path is used only in errors, which are those of LoadOperator.
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

// CheckAgainst returns an error if the operator's configuration doesn't fit the platform's.
func (o *Operator) CheckAgainst(platform *Platform) error {
	return o.RPC.CheckSettings(&platform.Settings)
}
