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

// Store keeps experiments and the results of their runs in one file. A run is written in one transaction:
// whatever ends this process, a run is there whole or not at all.
type Store struct {
	db   *bolt.DB
	path string
}

// Layout, version len(migrations): bucket "meta" with "version"; bucket "experiments", name to identity; bucket
// "results", in it a bucket for each experiment, in it run keys with the number of the try behind them.

var (
	bucketMeta        = []byte("meta")
	bucketExperiments = []byte("experiments")
	bucketResults     = []byte("results")
	keyVersion        = []byte("version")
)

// migrations take a store from the version of their place to the next one.
var migrations = []func(tx *bolt.Tx) error{
	func(tx *bolt.Tx) error { // an empty file
		for _, b := range [][]byte{bucketMeta, bucketExperiments, bucketResults} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		return nil
	},
}

// Open opens a store, or makes one, once no other process has it open; ErrInUse if that takes longer than the
// configuration allows. A file that is damaged is named, and never written to.
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
				return errors.New("the store does not say its version")
			}
			version = int(binary.BigEndian.Uint64(v))
		}
		if version > len(migrations) {
			return fmt.Errorf("it is of version %d, and this program knows %d: a newer one is needed", version, len(migrations))
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

// Close closes it.
func (s *Store) Close() error { return s.db.Close() }

// Begin puts an experiment down before its first run, seeds and all, or finds that it was begun. One of the
// same name that differs is refused with the difference.
func (s *Store) Begin(name string, id *Identity) error {
	return s.update(func(tx *bolt.Tx) error {
		all := tx.Bucket(bucketExperiments)
		if data := all.Get([]byte(name)); data != nil {
			var begun Identity
			if err := json.Unmarshal(data, &begun); err != nil {
				return fmt.Errorf("experiment %s: %w", name, err)
			}
			if d := id.Differs(&begun); d != "" {
				return fmt.Errorf("experiment %s was begun otherwise: %s. Give it another name, or 'rehearse results forget %s'", name, d, name)
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

// Put writes a try's result.
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

// Results are the tries of an experiment's runs, by their keys, in the order in which they were made.
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
				return fmt.Errorf("store %s: a result of %s: %w", s.path, name, err)
			}
			key := string(k[:len(k)-1])
			all[key] = append(all[key], r)
			return nil
		})
	})
	return all, err
}

// Identity is what an experiment was begun as.
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

// Names are the experiments that were begun.
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

// Forget drops an experiment with its results.
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

// Exported is an experiment for programs.
type Exported struct {
	Identity *Identity     `json:"experiment"`
	Runs     []ExportedRun `json:"runs"`
}

// ExportedRun is a run with all its tries.
type ExportedRun struct {
	Arm   string    `json:"arm"`
	Level Level     `json:"level,omitempty"`
	Seed  uint64    `json:"seed"`
	Tries []*Result `json:"tries"`
}

// Export puts an experiment's results into the order of its plan.
func Export(id *Identity, results map[string][]*Result) Exported {
	e := Exported{Identity: id}
	for _, r := range id.Runs {
		e.Runs = append(e.Runs, ExportedRun{id.Arms[r.Arm].Name, id.Levels[r.Level], r.Seed, results[id.Key(r)]})
	}
	return e
}

// DefaultStore is where results are kept if nobody says where.
func DefaultStore() (string, error) {
	dir, err := os.UserCacheDir()
	if err != nil {
		return "", fmt.Errorf("no folder for the results (%w): give one with --store", err)
	}
	dir = filepath.Join(dir, "marlreel")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fmt.Errorf("results: %w", err)
	}
	return filepath.Join(dir, "experiments.db"), nil
}
