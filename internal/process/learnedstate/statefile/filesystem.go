package statefile

import (
	"errors"
	"fmt"
	"os"
)

// fileSystem is the file system interface that a File uses; tests make it fail at any step.
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

// errNotRegular means that a directory, a device or the like is in place of the file.
var errNotRegular = errors.New("not a regular file")

// TooLargeError means that a file is too large to have been written by a proxy. It is not read into memory.
type TooLargeError struct{ Bytes, Max int64 }

var _ error = (*TooLargeError)(nil)

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("size of %d bytes exceeds the limit of %d", e.Bytes, e.Max)
}

// osFileSystem is the operating system's file system.
type osFileSystem struct{}

// ReadFile reads a regular file of up to maxBytes.
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

// Create creates or truncates a file that only its owner may read.
func (osFileSystem) Create(name string) (writableFile, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
}

// Rename implements fileSystem with os.Rename.
func (osFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements fileSystem with os.Remove.
func (osFileSystem) Remove(name string) error { return os.Remove(name) }

// SyncDir makes the renames in a directory durable.
func (osFileSystem) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
