package store

import (
	"io"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"github.com/syndtr/goleveldb/leveldb"
	leveldberrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/storage"
)

// Store is an open store. It must not be used by several goroutines at once.
type Store struct {
	db *leveldb.DB
}

var _ io.Closer = (*Store)(nil)

// options keep goleveldb's memory use small, as the state is small.
func options() *opt.Options {
	const writeBufferBytes = 1 << 20
	return &opt.Options{
		WriteBuffer: writeBufferBytes, BlockCacheCapacity: writeBufferBytes, OpenFilesCacheCapacity: 16,
		DisableSeeksCompaction: true, Compression: opt.NoCompression,
	}
}

// directoryName is the name of the store's directory within the data directory of the process.
const directoryName = "chain"

// Open opens the store in a data directory and creates it if it is missing. A store whose manifest was damaged by a
// power loss is recovered from its tables. The caller closes the store.
func Open(dataDirectory string) (*Store, error) {
	path := filepath.Join(dataDirectory, directoryName)
	if err := createDirectory(dataDirectory, path); err != nil {
		return nil, err
	}
	db, err := leveldb.OpenFile(path, options())
	if leveldberrors.IsCorrupted(err) {
		db, err = leveldb.RecoverFile(path, options())
	}
	if err != nil {
		return nil, eris.Wrapf(err, "open store %s", path)
	}
	return &Store{db}, nil
}

// OpenStorage opens a store on a goleveldb storage instead of a directory, such as a simulated disk.
func OpenStorage(disk storage.Storage) (*Store, error) {
	db, err := leveldb.Open(disk, options())
	if leveldberrors.IsCorrupted(err) {
		db, err = leveldb.Recover(disk, options())
	}
	if err != nil {
		return nil, eris.Wrap(err, "open store")
	}
	return &Store{db}, nil
}

// Remove deletes the store of a data directory, which must not be open. As the ballots that the member promised and
// accepted are lost, the process must rejoin as a different member.
func Remove(dataDirectory string) error {
	path := filepath.Join(dataDirectory, directoryName)
	if err := os.RemoveAll(path); err != nil {
		return eris.Wrapf(err, "remove store %s", path)
	}
	return syncDirectory(dataDirectory)
}

// Close closes the store.
func (s *Store) Close() error { return s.db.Close() }

// createDirectory creates the store's directory if it is missing, and syncs its parent so that it survives a power loss.
func createDirectory(parent, path string) error {
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	if err := os.MkdirAll(path, 0o755); err != nil {
		return eris.Wrapf(err, "create store directory %s", path)
	}
	return syncDirectory(parent)
}

// syncDirectory makes the entries of a directory durable.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return eris.Wrapf(err, "open directory %s", path)
	}
	defer directory.Close()
	return eris.Wrapf(directory.Sync(), "sync directory %s", path)
}
