package config

import (
	"fmt"
	"os"

	"marlreel/internal/registry"
	"marlreel/internal/rpc"
	"marlreel/internal/strict"
)

// Marlreel is what an operator sets beyond what the platform says: deploy/marlreel.toml.
// All of it is off unless it is set there.
type Marlreel struct {
	RPC      rpc.Config      `toml:"rpc"`
	Registry registry.Config `toml:"registry"`
}

// DefaultMarlreel is what holds without a file: everything off.
func DefaultMarlreel() *Marlreel {
	return &Marlreel{RPC: rpc.DefaultConfig(), Registry: registry.DefaultConfig()}
}

// LoadMarlreel reads a file; "" is none. An error is one line that names file, key and
// what would be right.
func LoadMarlreel(path string) (*Marlreel, error) {
	if path == "" {
		return DefaultMarlreel(), nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return ParseMarlreel(path, data)
}

// ParseMarlreel reads a file's text; path is for its errors.
func ParseMarlreel(path string, data []byte) (*Marlreel, error) {
	m := DefaultMarlreel()
	if err := strict.Decode(path, data, m); err != nil {
		return nil, err
	}
	if err := m.RPC.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := m.Registry.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return m, nil
}

// CheckPlatform names what does not fit what the platform says.
func (m *Marlreel) CheckPlatform(p *Platform) error {
	return m.RPC.CheckSettings(&p.Settings)
}
