package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"runtime/debug"

	bolt "go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"marlreel/internal/fleet/agree"
)

// loadAdvice is what an operator can do about a file that can't be read.
const loadAdvice = "if the file is damaged: move it away, start the proxy again, and add it with " +
	"'marlreelctl fleet keepers add NAME'; if the disk is full: make room"

// numberLength is the length of a stored number in bytes.
const numberLength = 8

// Load reads a keeper's stored data and increments its life, which is synced when Load returns. fresh becomes the
// identity of a new disk.
func (d *Disk) Load(fresh uint64) (s agree.Saved, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", ErrTorn, p)
		}
		if err != nil {
			err = &Error{d.path, err, loadAdvice}
		}
	}()
	err = d.db.Update(func(tx *bolt.Tx) error {
		if err := errors.Join(loadMeta(tx, &s), loadLives(tx, &s), loadLog(tx, &s)); err != nil {
			return err
		}
		if s.ID == 0 {
			s.ID = fresh
		}
		s.Life++
		meta := tx.Bucket(bucketMeta)
		return errors.Join(meta.Put(keyID, seal(number(s.ID))), meta.Put(keyLife, seal(number(s.Life))))
	})
	return s, err
}

// loadMeta reads the keeper's identity, its life, and the hard state and snapshot of its log.
func loadMeta(tx *bolt.Tx, s *agree.Saved) error {
	meta := tx.Bucket(bucketMeta)
	return errors.Join(
		loadSealed(meta, keyID, func(v []byte) error { return parseNumber(v, &s.ID) }),
		loadSealed(meta, keyLife, func(v []byte) error { return parseNumber(v, &s.Life) }),
		loadSealed(meta, keyHard, func(v []byte) error {
			s.Hard = &pb.HardState{}
			return proto.Unmarshal(v, s.Hard)
		}),
		loadSealed(meta, keySnap, func(v []byte) error {
			s.Snapshot = &pb.Snapshot{}
			return proto.Unmarshal(v, s.Snapshot)
		}))
}

// loadSealed verifies the value of a key, if there is one, and passes it to read.
func loadSealed(bucket *bolt.Bucket, key []byte, read func([]byte) error) error {
	sealed := bucket.Get(key)
	if sealed == nil {
		return nil
	}
	value, err := unseal(sealed)
	if err != nil {
		return err
	}
	return read(value)
}

func parseNumber(value []byte, into *uint64) error {
	if len(value) != numberLength {
		return ErrTorn
	}
	*into = binary.BigEndian.Uint64(value)
	return nil
}

// loadLives reads the lives that are known of other keepers.
func loadLives(tx *bolt.Tx, s *agree.Saved) error {
	s.Lives = map[uint64]agree.Lived{}
	return tx.Bucket(bucketLives).ForEach(func(id, life []byte) error {
		if len(id) != numberLength || len(life) != 2*numberLength {
			return nil
		}
		s.Lives[binary.BigEndian.Uint64(id)] = agree.Lived{
			Life: binary.BigEndian.Uint64(life),
			Boot: binary.BigEndian.Uint64(life[numberLength:]),
		}
		return nil
	})
}

// loadLog reads the entries of the log.
func loadLog(tx *bolt.Tx, s *agree.Saved) error {
	return tx.Bucket(bucketLog).ForEach(func(_, sealed []byte) error {
		value, err := unseal(sealed)
		if err != nil {
			return err
		}
		entry := &pb.Entry{}
		s.Entries = append(s.Entries, entry)
		return proto.Unmarshal(value, entry)
	})
}
