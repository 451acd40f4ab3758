package main

import (
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// deployFile is what a deploy file says of the build.
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
		return file, eris.Wrap(err, "reading a deploy file")
	}
	if err := toml.Unmarshal(text, &file); err != nil {
		return file, eris.Wrapf(err, "%s", path)
	}
	if file.Build == "" {
		return file, eris.Errorf("%s names no build", path)
	}
	return file, nil
}
