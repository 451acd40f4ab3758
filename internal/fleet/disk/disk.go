// Package disk is the file of a proxy's part in a fleet: a keeper's log and identity, and the view that a member
// had last. What Save returns from is synced. It owns the file, its checks and who it belongs to; it never decides
// whether what stands in it may still be believed (package agree).
package disk

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"marlreel/internal/fleet/agree"
)

// File is the name of the file in its folder.
const File = "fleet.db"

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
	castagnoli  = crc32.MakeTable(crc32.Castagnoli)
)

// Error is a file that can't be used.
type Error struct {
	Path string
	Err  error
	Does string // what an operator can do
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Err) }

// Unwrap implements errors.Unwrap.
func (e *Error) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *Error) Advice() string { return e.Does }

// The causes that an Error may wrap.
var (
	ErrTorn  = errors.New("the file is torn or spoilt")
	ErrOwner = errors.New("the file is another proxy's")
	ErrHeld  = errors.New("another process has the file")
)

// Disk is an open file.
type Disk struct {
	path string
	db   *bolt.DB
}

// Open opens or makes the file of a proxy of a fleet. A file that is torn is set aside, under a name that ends
// with .torn, and the error says so; the next Open makes a new one.
func Open(dir, fleet, name string) (d *Disk, err error) {
	path := filepath.Join(dir, File)
	fail := func(err error, does string) (*Disk, error) { return nil, &Error{path, err, does} }
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fail(err, "make the folder of [fleet] dir one that this proxy may write to")
	}
	// What is mapped from a file that was cut short faults where it is read: that must not end the process.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	torn := func(why any) (*Disk, error) {
		os.Rename(path, path+".torn")
		return fail(fmt.Errorf("%w: %v: set aside as %s.torn", ErrTorn, why, File), "nothing at once: the keeper begins with a new disk; take it in with 'marlreelctl fleet keepers add "+name+"'")
	}
	defer func() {
		if p := recover(); p != nil {
			d, err = torn(p)
		}
	}()
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Millisecond, FreelistType: bolt.FreelistMapType})
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return fail(ErrHeld, "end the other process of this proxy, or give this one a folder of its own")
	case errors.Is(err, bolterrors.ErrInvalid), errors.Is(err, bolterrors.ErrChecksum), errors.Is(err, bolterrors.ErrVersionMismatch):
		return torn(err)
	case err != nil:
		return fail(err, "make room on the disk, and let this proxy read and write the file")
	}
	d = &Disk{path, db}
	if err := d.check(fleet, name); err != nil {
		db.Close()
		if errors.Is(err, ErrTorn) {
			return torn(err)
		}
		if errors.Is(err, ErrOwner) {
			return fail(err, "put this proxy's own folder back, or an empty one")
		}
		return fail(err, "make room on the disk")
	}
	return d, nil
}

// check reads the whole file once, and notes or checks whose it is.
func (d *Disk) check(fleet, name string) error {
	info, err := os.Stat(d.path)
	if err != nil {
		return err
	}
	short := false
	err = d.db.View(func(tx *bolt.Tx) error {
		short = info.Size() < tx.Size()
		return nil
	})
	if err != nil {
		return err
	}
	if short {
		return fmt.Errorf("%w: it is shorter than it was", ErrTorn)
	}
	owner := fleet + "/" + name
	return d.db.Update(func(tx *bolt.Tx) error {
		for _, b := range [][]byte{bucketMeta, bucketLog, bucketLives} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		meta := tx.Bucket(bucketMeta)
		if was := meta.Get(keyOwner); was != nil {
			text, err := unseal(was)
			if err != nil {
				return err
			}
			if string(text) != owner {
				return fmt.Errorf("%w: of %s, and this is %s", ErrOwner, text, owner)
			}
			return nil
		}
		return meta.Put(keyOwner, seal([]byte(owner)))
	})
}

// seal puts a checksum before a value, and unseal looks at it.
func seal(v []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, crc32.Checksum(v, castagnoli)), v...)
}

func unseal(v []byte) ([]byte, error) {
	if len(v) < 4 || binary.BigEndian.Uint32(v) != crc32.Checksum(v[4:], castagnoli) {
		return nil, fmt.Errorf("%w: a checksum is wrong", ErrTorn)
	}
	return v[4:], nil
}

func number(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// View is the view that a member had last; nil is none.
func (d *Disk) View() (s *agree.State, err error) {
	err = d.db.View(func(tx *bolt.Tx) error {
		v := tx.Bucket(bucketMeta).Get(keyView)
		if v == nil {
			return nil
		}
		if v, err = unseal(v); err != nil {
			return err
		}
		s = &agree.State{}
		return json.Unmarshal(v, s)
	})
	if err != nil {
		return nil, &Error{d.path, err, "nothing: the proxy goes by its own file until it hears from the keepers"}
	}
	if s != nil && s.Floors == nil {
		s.Floors = map[string]agree.Floor{}
	}
	return s, nil
}

// SaveView keeps a member's view.
func (d *Disk) SaveView(s *agree.State) error {
	v, err := json.Marshal(s)
	if err == nil {
		err = d.db.Update(func(tx *bolt.Tx) error { return tx.Bucket(bucketMeta).Put(keyView, seal(v)) })
	}
	if err != nil {
		return &Error{d.path, err, "make room on the disk"}
	}
	return nil
}

// Close closes the file.
func (d *Disk) Close() error { return d.db.Close() }
