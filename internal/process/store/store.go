// Package store keeps what a proxy has learnt in a file that a crash at any moment leaves whole: the last one
// that was written, or the one before. It owns the file's form and its replacement, and never judges what
// stands in it. Nobody who serves waits for it.
package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"marlreel/internal/balancer/staleness"
	"marlreel/internal/process/learnedstate"
	"marlreel/internal/process/learnedstate/codec"
)

// Record is what a file holds.
type Record struct {
	At      staleness.Timestamp
	Stopped bool // it was written at a stop as told
	State   *learnedstate.State
}

// record is its form: the state has one of its own, with its own sum.
type record struct {
	Wall    time.Time
	Boot    string
	Up      time.Duration
	Stopped bool
	State   []byte
}

const (
	magic   = "MRST"
	version = 1
	most    = codec.Most + 4096
)

// Encode puts a state, in codec's bytes, into a record's.
func Encode(at staleness.Timestamp, stopped bool, state []byte) ([]byte, error) {
	body, err := msgpack.Marshal(&record{at.Wall, at.BootID, at.Uptime, stopped, state})
	if err != nil {
		return nil, &Error{"memory", err}
	}
	return codec.Seal(magic, version, body), nil
}

// Decode reads a record, whole and checked, or says what is wrong with it.
func Decode(data []byte) (r *Record, err error) {
	defer func() {
		if p := recover(); p != nil {
			r, err = nil, fmt.Errorf("it can't be read: %v", p)
		}
	}()
	body, err := codec.Open(magic, version, most, data)
	if err != nil {
		return nil, err
	}
	var x record
	if err := msgpack.Unmarshal(body, &x); err != nil {
		return nil, fmt.Errorf("it can't be read: %w", err)
	}
	if len(x.Boot) > 64 || x.Up < 0 {
		return nil, errors.New("it does not say when it was written")
	}
	s, err := codec.Decode(x.State)
	if err != nil {
		return nil, err
	}
	return &Record{staleness.Timestamp{Wall: x.Wall, BootID: x.Boot, Uptime: x.Up}, x.Stopped, s}, nil
}

// files is the file system, as far as it matters here.
type files interface {
	ReadFile(name string) ([]byte, error)
	Create(name string) (file, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error
}

type file interface {
	Write(p []byte) (int, error)
	Sync() error
	Close() error
}

type system struct{}

func (system) ReadFile(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	i, err := f.Stat()
	switch {
	case err != nil:
		return nil, err
	case !i.Mode().IsRegular():
		return nil, errors.New("it is no file")
	case i.Size() > most:
		return nil, fmt.Errorf("it has %d bytes, and %d are the most", i.Size(), most)
	}
	return os.ReadFile(name)
}

func (system) Create(name string) (file, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
}
func (system) Rename(from, to string) error { return os.Rename(from, to) }
func (system) Remove(name string) error     { return os.Remove(name) }
func (system) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Store is one proxy's file. One goroutine at a time.
type Store struct {
	path  string
	files files
}

// Open names a proxy's file in a folder. Nothing is read or written yet.
func Open(dir, name string) *Store {
	// A proxy's name is its operator's: as a file's it may not lead out of the folder.
	safe := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' {
			return r
		}
		return '.'
	}, name)
	return &Store{filepath.Join(dir, "marlreel-"+safe+".memory"), system{}}
}

// Path is the file's.
func (s *Store) Path() string { return s.path }

// Error is a file of what was learnt that can't be used.
type Error struct {
	Path string
	Err  error
}

func (e *Error) Error() string { return e.Path + ": " + e.Err.Error() }
func (e *Error) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *Error) Advice() string {
	return "nothing at once: the proxy learns anew; look at the file with 'marlreel state check FILE', and at its folder's room and rights"
}

// Load reads the last record; nil without an error is that there is none.
func (s *Store) Load() (*Record, error) {
	data, err := s.files.ReadFile(s.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &Error{s.path, err}
	}
	r, err := Decode(data)
	if err != nil {
		return nil, &Error{s.path, err}
	}
	return r, nil
}

// Save replaces the record by one of a state in codec's bytes. Danger: a rename may come to the disk before the
// bytes that it names; so these are synced first, and the folder after it.
func (s *Store) Save(at staleness.Timestamp, stopped bool, state []byte) error {
	data, err := Encode(at, stopped, state)
	if err != nil {
		return err
	}
	return s.write(data)
}

func (s *Store) write(data []byte) error {
	next := s.path + ".next"
	f, err := s.files.Create(next)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err == nil {
		err = s.files.Rename(next, s.path)
	}
	if err != nil {
		return errors.Join(err, s.clean(next))
	}
	return s.files.SyncDir(filepath.Dir(s.path))
}

// clean removes what a write left that did not come to its end: on a full disk it would stay in the way.
func (s *Store) clean(next string) error {
	if err := s.files.Remove(next); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// Now is the moment, by this machine's clocks.
func Now() staleness.Timestamp {
	m := staleness.Timestamp{Wall: time.Now()}
	// Where the system does not say, the wall's clock alone is left.
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	up, err2 := os.ReadFile("/proc/uptime")
	if err != nil || err2 != nil {
		return m
	}
	first, _, _ := strings.Cut(string(up), " ")
	d, err := time.ParseDuration(first + "s")
	if err != nil {
		return m
	}
	m.BootID, m.Uptime = strings.TrimSpace(string(id)), d
	return m
}
