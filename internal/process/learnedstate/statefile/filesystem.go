package statefile

import (
	"errors"
	"fmt"
	"os"
)

// fileSystem is what a File needs of the file system; tests stop it at any step.
type fileSystem interface {
	ReadFile(name string) ([]byte, error)
	Create(name string) (writableFile, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error
}

type writableFile interface {
	Write(p []byte) (int, error)
	Sync() error
	Close() error
}

var _ fileSystem = osFileSystem{}

// errNotRegular: a directory, a device or the like stands where the file should be.
var errNotRegular = errors.New("it is no file")

// TooLargeError is a file that no proxy wrote: it is not read into memory.
type TooLargeError struct{ Bytes, Max int64 }

var _ error = (*TooLargeError)(nil)

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("it has %d bytes, and %d are the most", e.Bytes, e.Max)
}

// osFileSystem is the operating system's.
type osFileSystem struct{}

// ReadFile reads a regular file of maxBytes at most.
func (osFileSystem) ReadFile(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	switch {
	case err != nil:
		return nil, err
	case !info.Mode().IsRegular():
		return nil, errNotRegular
	case info.Size() > maxBytes:
		return nil, &TooLargeError{info.Size(), maxBytes}
	}
	return os.ReadFile(name)
}

// Create makes a file that its owner alone may read, or empties the one there is.
func (osFileSystem) Create(name string) (writableFile, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
}

// Rename is os.Rename.
func (osFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove is os.Remove.
func (osFileSystem) Remove(name string) error { return os.Remove(name) }

// SyncDir makes the renames in a directory durable.
func (osFileSystem) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
