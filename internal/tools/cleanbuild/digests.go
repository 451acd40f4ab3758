package main

import (
	"crypto/sha256"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// outputFolders are the folders of the clone into which the builds write their programs.
var outputFolders = []string{"bin", "target"}

// digests maps the path of each built program in the repository to its SHA-256.
type digests map[string][sha256.Size]byte

// add records the digest of each program that the builds wrote in a clone.
func (d digests) add(source string) error {
	found := 0
	for _, folder := range outputFolders {
		entries, err := os.ReadDir(filepath.Join(source, folder))
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return eris.Wrap(err, "listing built programs")
		}
		for _, entry := range entries {
			path := filepath.Join(folder, entry.Name())
			data, err := os.ReadFile(filepath.Join(source, path))
			if err != nil {
				return eris.Wrap(err, "reading built program")
			}
			d[path] = sha256.Sum256(data)
			found++
		}
	}
	if found == 0 {
		return eris.New("the build produced no program")
	}
	return nil
}

// compare returns an error if the other builds produced a different number of programs, or a program with other bytes.
func (d digests) compare(other digests) error {
	if len(d) != len(other) {
		return eris.Errorf("the first builds produced %d programs and the second %d", len(d), len(other))
	}
	for path, sum := range d {
		if other[path] != sum {
			return eris.Errorf("%s is not reproducible: the second build produced different bytes", path)
		}
	}
	return nil
}
