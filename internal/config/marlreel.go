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

// Marlreel is what an operator sets beyond what the platform says: deploy/marlreel.toml.
// All of it is off unless it is set there.
type Marlreel struct {
	RPC      msgpackrpc.Config `toml:"rpc"`
	Registry registry.Config   `toml:"registry"`
	Memory   Memory            `toml:"memory"`
	Fleet    fleet.Config      `toml:"fleet"`
	Log      Log               `toml:"log"`
	// Background is what work that is no request may take.
	Background Background `toml:"background"`
}

// Log is the form of the log.
type Log struct {
	Format string `toml:"format"` // text or json
}

// Validate names a form that there is not.
func (l *Log) Validate() error {
	if l.Format != logs.Text && l.Format != logs.JSON {
		return &SettingError{"log.format", fmt.Sprintf("= %q: %q or %q is needed", l.Format, logs.Text, logs.JSON)}
	}
	return nil
}

// Background is the budget of all that a proxy does beside serving.
type Background struct {
	Share float64 `toml:"share"` // of a core
	Most  int     `toml:"most"`  // jobs at once
}

// Validate names the first thing that makes no budget.
func (b *Background) Validate() error {
	if !(b.Share > 0 && b.Share <= 0.5) || b.Most < 1 || b.Most > 16 {
		return &SettingError{"background.share", fmt.Sprintf("= %v, background.most = %d: above 0 and up to 0.5 of a core, and 1 to 16 jobs, are needed", b.Share, b.Most)}
	}
	return nil
}

// Memory is where a proxy keeps what it learns, for its next life.
type Memory struct {
	Dir   string              `toml:"dir"`   // a folder that outlives the process; "" is off
	Every stricttoml.Duration `toml:"every"` // how often it is written
	Keep  stricttoml.Duration `toml:"keep"`  // beyond this age nothing of it is believed
	Half  stricttoml.Duration `toml:"half"`  // in this time it loses half its weight
}

// On tells whether anything is kept.
func (m *Memory) On() bool { return m.Dir != "" }

// Validate names the first thing that makes no memory.
func (m *Memory) Validate() error {
	switch {
	case m.Every.D() < 100*time.Millisecond || m.Every.D() > time.Hour:
		return &SettingError{"memory.every", fmt.Sprintf("= %v: 100ms to 1h is needed", m.Every.D())}
	case m.Keep <= 0 || m.Half <= 0:
		return &SettingError{"memory.keep", fmt.Sprintf("= %v, memory.half = %v: both above 0 are needed", m.Keep.D(), m.Half.D())}
	case m.On() && !filepath.IsAbs(m.Dir):
		return &SettingError{"memory.dir", fmt.Sprintf("= %q: a path from / on is needed", m.Dir)}
	}
	return nil
}

// DefaultMarlreel is what holds without a file: everything off.
func DefaultMarlreel() *Marlreel {
	return &Marlreel{
		RPC: msgpackrpc.DefaultConfig(), Registry: registry.DefaultConfig(), Fleet: fleet.DefaultConfig(), Log: Log{Format: logs.Text},
		Memory:     Memory{Every: stricttoml.Duration(5 * time.Second), Keep: stricttoml.Duration(10 * time.Minute), Half: stricttoml.Duration(30 * time.Second)},
		Background: Background{Share: 0.02, Most: 2},
	}
}

// LoadMarlreel reads a file; "" is none. An error is one line that names file, key and
// what would be right.
func LoadMarlreel(path string) (*Marlreel, error) {
	if path == "" {
		return DefaultMarlreel(), nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{path, err}
	}
	m, err := ParseMarlreel(path, data)
	if err != nil {
		return nil, err
	}
	if err := m.Registry.CheckFiles(); err != nil {
		return nil, &OwnError{path, err}
	}
	return m, nil
}

// ParseMarlreel reads a file's text; path is for its errors.
func ParseMarlreel(path string, data []byte) (*Marlreel, error) {
	m := DefaultMarlreel()
	if err := stricttoml.Decode(path, data, m); err != nil {
		return nil, err
	}
	if err := m.RPC.Validate(); err != nil {
		return nil, &OwnError{path, err}
	}
	if err := m.Registry.Validate(); err != nil {
		return nil, &OwnError{path, err}
	}
	if err := m.Log.Validate(); err != nil {
		return nil, &OwnError{path, err}
	}
	if err := m.Fleet.Validate(); err != nil {
		return nil, &OwnError{path, err}
	}
	if err := m.Background.Validate(); err != nil {
		return nil, &OwnError{path, err}
	}
	if err := m.Memory.Validate(); err != nil {
		return nil, &OwnError{path, err}
	}
	return m, nil
}

// CheckPlatform names what does not fit what the platform says.
func (m *Marlreel) CheckPlatform(p *Platform) error {
	return m.RPC.CheckSettings(&p.Settings)
}
