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
const loadAdvice = "if it is torn: move the file away, start the proxy again, and take it in with " +
	"'marlreelctl fleet keepers add NAME'; if the disk is full: make room"

// numberLength is how many bytes a number takes in the file.
const numberLength = 8

// Load reads what a keeper's disk holds, with the life of this start: it is on the disk when Load returns. fresh is
// the identity that a new disk gets.
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

// loadMeta reads who the keeper is, and what it has promised.
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

// loadSealed gives what stands under a key to a reader, where anything does.
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

// loadLives reads the lives of the keepers that are known.
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

// loadLog reads the log.
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
