package main

import (
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// deployFile holds the build settings of a deploy file.
type deployFile struct {
	Path     string   `toml:"-"`
	Build    string   `toml:"build"`
	Packages []string `toml:"packages"` // Debian packages
}

func (f deployFile) name() string { return filepath.Base(f.Path) }

func readDeployFile(path string) (deployFile, error) {
	file := deployFile{Path: path}
	text, err := os.ReadFile(path)
	if err != nil {
		return file, eris.Wrap(err, "reading deploy file")
	}
	if err := toml.Unmarshal(text, &file); err != nil {
		return file, eris.Wrapf(err, "parsing deploy file %s", path)
	}
	if file.Build == "" {
		return file, eris.Errorf("deploy file %s sets no build command", path)
	}
	return file, nil
}
