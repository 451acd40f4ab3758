package experiment

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"runtime/debug"
	"syscall"

	bolt "go.etcd.io/bbolt"
)

// The parts of the bbolt file layout that determine the file's length: each of the first two pages holds a meta record
// with the page size, the page of the free list and the number of pages that the file needs.
const (
	metaPages       = 2
	metaOffset      = 16 // after the page header
	metaLength      = 64
	metaMagic       = 0xED0CDAED
	metaPageSizeAt  = 8
	metaPageCountAt = 40

	largestPageSize  = 1 << 20
	largestPageCount = 1 << 40
)

const storeFileMode = 0o644

// DamagedError reports that a results file is corrupt or not a store. The file was not modified.
type DamagedError struct {
	Cause error
}

// Error implements error.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("the file is damaged or not a store (%v); it was not modified", e.Cause)
}

// Unwrap implements errors.Unwrap.
func (e *DamagedError) Unwrap() error { return e.Cause }

// Causes that a DamagedError may wrap, besides errors of bbolt.
var (
	ErrCutOff    = errors.New("it is shorter than its meta pages state")
	ErrStrayPage = errors.New("invalid page reference")
)

// NoFileError reports that the path of a store is not a regular file.
type NoFileError struct{ Path string }

// Error implements error.
func (e *NoFileError) Error() string { return "not a regular file: a file's path is needed" }

// Advice says how to fix the path.
func (e *NoFileError) Advice() string {
	return "give the path of a regular file, or a path that does not exist yet"
}

// inspect reads an existing file completely to detect damage, without writing to it.
func inspect(path string, lock *lockWait) (err error) {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) || err == nil && info.Size() == 0 {
		return nil
	}
	if err != nil {
		return err
	}
	if !info.Mode().IsRegular() {
		return &NoFileError{path}
	}
	if err := inspectLength(path, info.Size()); err != nil {
		return &DamagedError{err}
	}
	// An invalid page reference makes bbolt panic or read outside its mapping.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = &DamagedError{fmt.Errorf("%w: %v", ErrStrayPage, p)}
		}
	}()
	var file *os.File
	open := func(path string, flag int, mode os.FileMode) (*os.File, error) {
		var err error
		file, err = os.OpenFile(path, flag, mode)
		return file, err
	}
	db, err := lock.open(path, bolt.Options{ReadOnly: true, PreLoadFreelist: true, OpenFile: open})
	if errors.Is(err, ErrInUse) {
		return err
	}
	if err != nil {
		return &DamagedError{err}
	}
	defer db.Close()
	// Release the lock explicitly. For a file opened read-only, bbolt relies on closing it, but a lock lasts until the
	// last copy of its descriptor is closed. A child process being started concurrently has a copy until its exec, which
	// on a busy machine takes longer than the wait for the lock: the store would then be refused as in use.
	defer syscall.Flock(int(file.Fd()), syscall.LOCK_UN)
	return db.View(inspectPages)
}

// inspectLength compares a file's length with the number of pages that its meta pages state. bbolt maps the file and
// follows page numbers without this check: an access past the end of the file would kill the process.
func inspectLength(path string, size int64) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	for page := range int64(metaPages) {
		needed, known := neededLength(file, page*int64(os.Getpagesize()))
		if known && needed > size {
			return ErrCutOff
		}
	}
	return nil
}

// neededLength returns the file length that the meta record in the page at offset requires. known is false if there is
// no meta record; bbolt itself rejects a file without one.
func neededLength(file *os.File, offset int64) (length int64, known bool) {
	record := make([]byte, metaLength)
	if _, err := file.ReadAt(record, offset+metaOffset); err != nil {
		return 0, false
	}
	pageSize := binary.NativeEndian.Uint32(record[metaPageSizeAt:])
	if binary.NativeEndian.Uint32(record) != metaMagic || pageSize > largestPageSize {
		return 0, false
	}
	pages := min(binary.NativeEndian.Uint64(record[metaPageCountAt:]), largestPageCount)
	return int64(pages) * int64(pageSize), true
}

// inspectPages reads every key and value on the caller's goroutine, where the panic of an invalid page reference can be
// recovered, and only then runs bbolt's own check, which uses another goroutine.
func inspectPages(tx *bolt.Tx) error {
	digest := crc32.NewIEEE()
	err := tx.ForEach(func(_ []byte, bucket *bolt.Bucket) error { return hashBucket(bucket, digest) })
	for e := range tx.Check() {
		if err == nil {
			err = e
		}
	}
	if err != nil {
		return &DamagedError{err}
	}
	return nil
}

// hashBucket writes all keys and values of a bucket and its nested buckets to digest, so that each byte is read.
func hashBucket(bucket *bolt.Bucket, digest io.Writer) error {
	return bucket.ForEach(func(key, value []byte) error {
		if inner := bucket.Bucket(key); value == nil && inner != nil {
			return hashBucket(inner, digest)
		}
		if _, err := digest.Write(key); err != nil {
			return err
		}
		_, err := digest.Write(value)
		return err
	})
}
