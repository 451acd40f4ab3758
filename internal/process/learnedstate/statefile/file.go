package statefile

import (
	"errors"
	"io/fs"
	"path/filepath"
	"strings"

	"marlreel/internal/balancer/staleness"
)

// File is one proxy's file. One goroutine at a time.
type File struct {
	path       string
	fileSystem fileSystem
}

// Open names a proxy's file in a directory. Nothing is read or written yet.
func Open(dir, proxyName string) *File {
	// A proxy's name is its operator's choice: as a file's it must not lead out of the directory.
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

// Path is the file's.
func (f *File) Path() string { return f.path }

// Error is a file of learned state that can't be used.
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
	return "nothing at once: the proxy learns anew; look at the file with 'marlreel state check FILE', and at its folder's room and rights"
}

// Load reads the last record; nil without an error is that there is none. The error is an Error.
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

// Save replaces the record by one of a state in codec's bytes.
func (f *File) Save(at staleness.Timestamp, shutDown bool, state []byte) error {
	data, err := Encode(at, shutDown, state)
	if err != nil {
		return err
	}
	return f.replace(data)
}

// replace writes the bytes aside and renames them into place. A rename may reach the disk before the bytes that it
// names; so these are synced first, and the directory after it.
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

// removeUnfinished removes what a write left that did not come to its end: on a full disk it would stay in the way.
func (f *File) removeUnfinished(next string) error {
	if err := f.fileSystem.Remove(next); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}
