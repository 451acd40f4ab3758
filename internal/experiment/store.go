package experiment

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	bolt "go.etcd.io/bbolt"
)

// Store keeps experiments and the results of their runs in one file. A result is written in one transaction, so that a
// crash of the process never leaves it half written.
type Store struct {
	db   *bolt.DB
	path string
}

// Layout, version len(migrations): bucket "meta" holds "version"; bucket "experiments" maps names to identities; bucket
// "results" holds a bucket for each experiment, which maps run keys followed by the number of the try to results.

var (
	bucketMeta        = []byte("meta")
	bucketExperiments = []byte("experiments")
	bucketResults     = []byte("results")
	keyVersion        = []byte("version")
)

// migrations[i] upgrades a store from version i to version i+1.
var migrations = []func(tx *bolt.Tx) error{
	func(tx *bolt.Tx) error { // version 0 is an empty file
		for _, b := range [][]byte{bucketMeta, bucketExperiments, bucketResults} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		return nil
	},
}

// Open opens or creates a store. It waits while another process has the store open, and returns ErrInUse if that takes
// longer than the configuration allows. It reports a damaged file with a *DamagedError and doesn't write to it.
func Open(path string, config OpenConfig) (*Store, error) {
	lock := config.begin(time.Now())
	if err := inspect(path, lock); err != nil {
		return nil, fmt.Errorf("store %s: %w", path, err)
	}
	db, err := lock.open(path, bolt.Options{})
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", path, err)
	}
	s := &Store{db, path}
	if err := s.migrate(); err != nil {
		db.Close()
		return nil, fmt.Errorf("store %s: %w", path, err)
	}
	return s, nil
}

func (s *Store) migrate() error {
	return s.db.Update(func(tx *bolt.Tx) error {
		version := 0
		if b := tx.Bucket(bucketMeta); b != nil {
			v := b.Get(keyVersion)
			if len(v) != 8 {
				return errors.New("it has no valid version record")
			}
			version = int(binary.BigEndian.Uint64(v))
		}
		if version > len(migrations) {
			return fmt.Errorf("it has version %d, but this program supports versions up to %d: use a newer program", version, len(migrations))
		}
		for _, m := range migrations[version:] {
			if err := m(tx); err != nil {
				return err
			}
		}
		if version == len(migrations) {
			return nil
		}
		return tx.Bucket(bucketMeta).Put(keyVersion, binary.BigEndian.AppendUint64(nil, uint64(len(migrations))))
	})
}

// Close closes the store and releases its lock.
func (s *Store) Close() error { return s.db.Close() }

// Begin records an experiment, including its seeds, before its first run. If it was recorded before, Begin only adds
// new seeds. If an experiment of the same name differs, Begin returns an error that describes the difference.
func (s *Store) Begin(name string, id *Identity) error {
	return s.update(func(tx *bolt.Tx) error {
		all := tx.Bucket(bucketExperiments)
		if data := all.Get([]byte(name)); data != nil {
			var begun Identity
			if err := json.Unmarshal(data, &begun); err != nil {
				return fmt.Errorf("experiment %s: %w", name, err)
			}
			if d := id.Differs(&begun); d != "" {
				return fmt.Errorf("experiment %s was begun with other settings: %s. Use another name, or delete its results with 'rehearse results forget %s'", name, d, name)
			}
			if len(id.Seeds) <= len(begun.Seeds) {
				return nil
			}
		}
		data, err := json.Marshal(id)
		if err != nil {
			return err
		}
		if _, err := tx.Bucket(bucketResults).CreateBucketIfNotExists([]byte(name)); err != nil {
			return err
		}
		return all.Put([]byte(name), data)
	})
}

// Put stores the result of one try of a run.
func (s *Store) Put(name, key string, r *Result) error {
	return s.update(func(tx *bolt.Tx) error {
		b := tx.Bucket(bucketResults).Bucket([]byte(name))
		if b == nil {
			return fmt.Errorf("no experiment %s", name)
		}
		data, err := json.Marshal(r)
		if err != nil {
			return err
		}
		tries, c := 0, b.Cursor()
		for k, _ := c.Seek([]byte(key)); bytes.HasPrefix(k, []byte(key)); k, _ = c.Next() {
			tries++
		}
		return b.Put(append([]byte(key), byte('0'+min(tries, 9))), data)
	})
}

func (s *Store) update(do func(tx *bolt.Tx) error) error {
	if err := s.db.Update(do); err != nil {
		return fmt.Errorf("store %s: %w", s.path, err)
	}
	return nil
}

// Results returns the tries of an experiment's runs by run key, oldest first.
func (s *Store) Results(name string) (map[string][]*Result, error) {
	all := map[string][]*Result{}
	err := s.db.View(func(tx *bolt.Tx) error {
		b := tx.Bucket(bucketResults).Bucket([]byte(name))
		if b == nil {
			return nil
		}
		return b.ForEach(func(k, v []byte) error {
			r := &Result{}
			if err := json.Unmarshal(v, r); err != nil {
				return fmt.Errorf("store %s: decode a result of %s: %w", s.path, name, err)
			}
			key := string(k[:len(k)-1])
			all[key] = append(all[key], r)
			return nil
		})
	})
	return all, err
}

// Identity returns the identity with which an experiment was begun.
func (s *Store) Identity(name string) (*Identity, error) {
	id := &Identity{}
	err := s.db.View(func(tx *bolt.Tx) error {
		data := tx.Bucket(bucketExperiments).Get([]byte(name))
		if data == nil {
			names, _ := s.names(tx)
			return fmt.Errorf("store %s: no experiment %q; there are %v", s.path, name, names)
		}
		return json.Unmarshal(data, id)
	})
	return id, err
}

// Names returns the sorted names of all experiments in the store.
func (s *Store) Names() (names []string, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		names, err = s.names(tx)
		return err
	})
	return names, err
}

func (s *Store) names(tx *bolt.Tx) (names []string, err error) {
	err = tx.Bucket(bucketExperiments).ForEach(func(k, _ []byte) error {
		names = append(names, string(k))
		return nil
	})
	slices.Sort(names)
	return names, err
}

// Forget deletes an experiment and its results.
func (s *Store) Forget(name string) error {
	return s.update(func(tx *bolt.Tx) error {
		all := tx.Bucket(bucketExperiments)
		if all.Get([]byte(name)) == nil {
			return fmt.Errorf("no experiment %q", name)
		}
		if err := all.Delete([]byte(name)); err != nil {
			return err
		}
		if tx.Bucket(bucketResults).Bucket([]byte(name)) == nil {
			return nil
		}
		return tx.Bucket(bucketResults).DeleteBucket([]byte(name))
	})
}

// Exported is an experiment in the form for other programs.
type Exported struct {
	Identity *Identity     `json:"experiment"`
	Runs     []ExportedRun `json:"runs"`
}

// ExportedRun is a run with the results of all its tries.
type ExportedRun struct {
	Arm   string    `json:"arm"`
	Level Level     `json:"level,omitempty"`
	Seed  uint64    `json:"seed"`
	Tries []*Result `json:"tries"`
}

// Export lists an experiment's results in the order of its plan.
func Export(id *Identity, results map[string][]*Result) Exported {
	e := Exported{Identity: id}
	for _, r := range id.Runs {
		e.Runs = append(e.Runs, ExportedRun{id.Arms[r.Arm].Name, id.Levels[r.Level], r.Seed, results[id.Key(r)]})
	}
	return e
}

// DefaultStore returns the default path of the store and creates its folder.
func DefaultStore() (string, error) {
	dir, err := os.UserCacheDir()
	if err != nil {
		return "", fmt.Errorf("no default folder for the results (%w): give a file with --store", err)
	}
	dir = filepath.Join(dir, "marlreel")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fmt.Errorf("create the folder for the results: %w", err)
	}
	return filepath.Join(dir, "experiments.db"), nil
}
