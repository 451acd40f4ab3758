package main

import (
	"crypto/sha256"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// outputFolders are where the builds leave their programs.
var outputFolders = []string{"bin", "target"}

// digests are those of built programs, by their paths in the repository.
type digests map[string][sha256.Size]byte

// add takes in what builds have left in a clone.
func (d digests) add(source string) error {
	found := 0
	for _, folder := range outputFolders {
		entries, err := os.ReadDir(filepath.Join(source, folder))
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return eris.Wrap(err, "looking for programs")
		}
		for _, entry := range entries {
			path := filepath.Join(folder, entry.Name())
			data, err := os.ReadFile(filepath.Join(source, path))
			if err != nil {
				return eris.Wrap(err, "reading a program")
			}
			d[path] = sha256.Sum256(data)
			found++
		}
	}
	if found == 0 {
		return eris.New("the build left no program")
	}
	return nil
}

// compare names the first program that the other builds lack or made otherwise.
func (d digests) compare(other digests) error {
	if len(d) != len(other) {
		return eris.Errorf("one time there are %d programs, and the other %d", len(d), len(other))
	}
	for path, sum := range d {
		if other[path] != sum {
			return eris.Errorf("%s is not the same to the byte when it is built again", path)
		}
	}
	return nil
}
