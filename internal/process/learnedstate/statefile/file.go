package statefile

import (
	"errors"
	"io/fs"
	"path/filepath"
	"strings"

	"marlreel/internal/balancer/staleness"
)

// File is the state file of one proxy. It must be used by one goroutine at a time.
type File struct {
	path       string
	fileSystem fileSystem
}

// Open returns the File of a proxy in a directory. It doesn't read or write anything yet.
func Open(dir, proxyName string) *File {
	// Operators choose proxy names freely, but a file name must not lead out of the directory.
	safe := strings.Map(safeRune, proxyName)
	return &File{filepath.Join(dir, "marlreel-"+safe+".memory"), osFileSystem{}}
}

func safeRune(r rune) rune {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	if letter || r >= '0' && r <= '9' || r == '-' || r == '_' {
		return r
	}
	return '.'
}

// Path returns the path of the file.
func (f *File) Path() string { return f.path }

// Error reports that a state file can't be used.
type Error struct {
	Path string
	Err  error
}

var _ error = (*Error)(nil)

// Error implements error.
func (e *Error) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *Error) Advice() string {
	return "nothing urgent: the proxy starts without learned state; inspect the file with 'marlreel state check FILE', and check the free space and permissions of its folder"
}

// Load reads the last record. It returns nil without an error if there is none. Its error is an Error.
func (f *File) Load() (*Record, error) {
	data, err := f.fileSystem.ReadFile(f.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &Error{f.path, err}
	}
	r, err := Decode(data)
	if err != nil {
		return nil, &Error{f.path, err}
	}
	return r, nil
}

// Save replaces the record with a new one. state is a state encoded by package codec.
func (f *File) Save(at staleness.Timestamp, shutDown bool, state []byte) error {
	data, err := Encode(at, shutDown, state)
	if err != nil {
		return err
	}
	return f.replace(data)
}

// replace writes the data to a temporary file and renames it into place. The file is synced before the rename, as the
// rename could otherwise reach the disk before the data; the directory is synced after it.
func (f *File) replace(data []byte) error {
	next := f.path + ".next"
	w, err := f.fileSystem.Create(next)
	if err != nil {
		return err
	}
	if err := writeAndClose(w, data); err != nil {
		return errors.Join(err, f.removeUnfinished(next))
	}
	if err := f.fileSystem.Rename(next, f.path); err != nil {
		return errors.Join(err, f.removeUnfinished(next))
	}
	return f.fileSystem.SyncDir(filepath.Dir(f.path))
}

// writeAndClose writes and syncs a file, and closes it in any case.
func writeAndClose(w writableFile, data []byte) error {
	_, err := w.Write(data)
	if err == nil {
		err = w.Sync()
	}
	return errors.Join(err, w.Close())
}

// removeUnfinished removes the temporary file of a failed write, which would otherwise take up space on a full disk.
func (f *File) removeUnfinished(next string) error {
	if err := f.fileSystem.Remove(next); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}
