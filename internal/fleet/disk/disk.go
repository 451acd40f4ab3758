// Package disk stores a proxy's fleet data in one file: a keeper's log and identity, and the last view of a member.
// Data is synced when Save returns. The package owns the file, its checksums and its owner record; whether the
// contents may still be trusted is decided by package agree.
package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

const (
	// File is the name of the file in its folder.
	File = "fleet.db"
	// tornSuffix is appended to the name of a damaged file that was moved aside.
	tornSuffix = ".torn"
	// lockTimeout is how long Open waits for the file lock. It is short, as a process keeps the lock until it ends.
	lockTimeout = time.Millisecond

	folderMode = 0o700
	fileMode   = 0o600
)

// The buckets and keys of the file. They are part of the stored format.
var (
	bucketMeta  = []byte("meta")
	bucketLog   = []byte("log")
	bucketLives = []byte("lives")
	keyOwner    = []byte("owner")
	keyID       = []byte("id")
	keyLife     = []byte("life")
	keyHard     = []byte("hard")
	keySnap     = []byte("snapshot")
	keyView     = []byte("view")
)

// Disk is an open file.
type Disk struct {
	path string
	db   *bolt.DB
}

// Open opens or creates the file of a proxy of a fleet. A damaged file is renamed to a name that ends with .torn, and
// the error says so; the next Open creates a new one. It fails with an *Error.
func Open(dir, fleet, name string) (*Disk, error) {
	path := filepath.Join(dir, File)
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return nil, &Error{path, err, "give this proxy write permission for the folder of [fleet] dir"}
	}
	d, err := openChecked(path, fleet+"/"+name)
	switch {
	case err == nil:
		return d, nil
	case errors.Is(err, ErrTorn):
		return nil, setAside(path, name, err)
	case errors.Is(err, ErrHeld):
		return nil, &Error{path, err, "stop the other process of this proxy, or give this one its own folder"}
	case errors.Is(err, ErrOwner):
		return nil, &Error{path, err, "restore this proxy's own folder, or use an empty one"}
	}
	return nil, &Error{path, err, "make room on the disk, and give this proxy read and write permission for the file"}
}

// openChecked opens a file and checks its length and its owner. Reading the memory mapping of a truncated file faults;
// that is reported as ErrTorn, too.
func openChecked(path, owner string) (d *Disk, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			d, err = nil, fmt.Errorf("%w: %v", ErrTorn, fault)
		}
	}()
	db, err := bolt.Open(path, fileMode, &bolt.Options{Timeout: lockTimeout, FreelistType: bolt.FreelistMapType})
	if err != nil {
		return nil, openFailure(err)
	}
	d = &Disk{path, db}
	if err := d.check(owner); err != nil {
		_ = db.Close() // the error of the check is the one that counts
		return nil, err
	}
	return d, nil
}

// check checks the file's length and its owner.
func (d *Disk) check(owner string) error {
	if err := d.checkLength(); err != nil {
		return err
	}
	return d.checkOwner(owner)
}

// openFailure maps an error of bolt to one of this package's, where there is one for it.
func openFailure(err error) error {
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return ErrHeld
	case errors.Is(err, bolterrors.ErrInvalid), errors.Is(err, bolterrors.ErrChecksum), errors.Is(err, bolterrors.ErrVersionMismatch):
		return fmt.Errorf("%w: %w", ErrTorn, err)
	}
	return err
}

// setAside renames a damaged file and returns an error that says so.
func setAside(path, name string, cause error) error {
	if err := os.Rename(path, path+tornSuffix); err != nil {
		return &Error{path, errors.Join(cause, err), "move the file away by hand and start the proxy again"}
	}
	return &Error{
		path, fmt.Errorf("%w: set aside as %s", cause, File+tornSuffix),
		"nothing at once: the keeper starts with a new disk; add it with 'marlreelctl fleet keepers add " + name + "'",
	}
}

// checkLength fails with ErrTorn if the file is shorter than the size in its own metadata.
func (d *Disk) checkLength() error {
	info, err := os.Stat(d.path)
	if err != nil {
		return err
	}
	return d.db.View(func(tx *bolt.Tx) error {
		if info.Size() < tx.Size() {
			return fmt.Errorf("%w: it is shorter than it was", ErrTorn)
		}
		return nil
	})
}

// checkOwner creates missing buckets, and records the file's owner or compares it with the recorded one.
func (d *Disk) checkOwner(owner string) error {
	return d.db.Update(func(tx *bolt.Tx) error {
		for _, bucket := range [][]byte{bucketMeta, bucketLog, bucketLives} {
			if _, err := tx.CreateBucketIfNotExists(bucket); err != nil {
				return err
			}
		}
		meta := tx.Bucket(bucketMeta)
		if meta.Get(keyOwner) == nil {
			return meta.Put(keyOwner, seal([]byte(owner)))
		}
		return loadSealed(meta, keyOwner, func(stored []byte) error {
			if string(stored) != owner {
				return fmt.Errorf("%w: of %s, and this is %s", ErrOwner, stored, owner)
			}
			return nil
		})
	})
}

// Close closes the file.
func (d *Disk) Close() error { return d.db.Close() }
