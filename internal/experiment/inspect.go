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

// The layout of a bbolt file as far as its length is concerned: each of its first two pages holds a record that
// names the page size, the page of the free list and the number of pages that the file needs.
const (
	metaPages       = 2
	metaOffset      = 16 // behind the page's own header
	metaLength      = 64
	metaMagic       = 0xED0CDAED
	metaPageSizeAt  = 8
	metaPageCountAt = 40

	largestPageSize  = 1 << 20
	largestPageCount = 1 << 40
)

const storeFileMode = 0o644

// DamagedError is a file of results that can't be trusted. It was not written to.
type DamagedError struct {
	Cause error
}

// Error implements error.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("the file is damaged, or no store (%v); it is left as it is", e.Cause)
}

// Unwrap implements errors.Unwrap.
func (e *DamagedError) Unwrap() error { return e.Cause }

// The causes that a DamagedError may wrap, beside the library's own.
var (
	ErrCutOff    = errors.New("it is shorter than its first pages say")
	ErrStrayPage = errors.New("a page points nowhere")
)

// NoFileError says that something else than a file stands at the path of a store.
type NoFileError struct{ Path string }

// Error implements error.
func (e *NoFileError) Error() string { return "it is no file: a file's path is needed" }

// Advice is what can be done about it.
func (e *NoFileError) Advice() string { return "name a file, or a path at which there is nothing yet" }

// inspect reads a file that is there through, without a write.
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
	// A page that points nowhere makes the library panic, or read outside its mapping.
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
	// Danger: the library leaves the lock of a file that is only read to the file's close, and a lock goes with the
	// last copy of its descriptor. A child that is being started beside this has one until it has become its program,
	// which on a busy machine takes longer than the wait for the lock: the store would be refused as in use.
	defer syscall.Flock(int(file.Fd()), syscall.LOCK_UN)
	return db.View(inspectPages)
}

// inspectLength compares a file's length with the number of pages that its first pages name. The library maps the
// file and follows page numbers without such a look: past the end of the mapping the process would be killed.
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

// neededLength is the length that the record in the page at an offset asks for, if there is a record at all:
// the library itself refuses a file without one.
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

// inspectPages reads every key and value on the caller's goroutine, where a stray page can be recovered from,
// and has the library compare the pages after that.
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

// hashBucket feeds each byte of a bucket, and of the buckets within it, to a digest.
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
