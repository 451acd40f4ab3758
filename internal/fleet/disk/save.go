package disk

import (
	"errors"

	bolt "go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"marlreel/internal/fleet/agree"
)

// saveAdvice is what an operator can do about a file that can't be written.
const saveAdvice = "make room on the disk: the keeper restarts by itself once it can write"

// Save writes data of a keeper. It is synced when Save returns.
func (d *Disk) Save(a agree.Save) error {
	err := d.db.Update(func(tx *bolt.Tx) error {
		if a.Reset {
			if err := errors.Join(resetBucket(tx, bucketMeta), resetBucket(tx, bucketLog)); err != nil {
				return err
			}
		}
		return errors.Join(saveMeta(tx, a), saveLog(tx, a), saveLives(tx, a))
	})
	if err != nil {
		return &Error{d.path, err, saveAdvice}
	}
	return nil
}

// resetBucket empties a bucket, except for the owner record.
func resetBucket(tx *bolt.Tx, name []byte) error {
	owner := append([]byte(nil), tx.Bucket(name).Get(keyOwner)...)
	if err := tx.DeleteBucket(name); err != nil {
		return err
	}
	made, err := tx.CreateBucket(name)
	if err != nil || len(owner) == 0 {
		return err
	}
	return made.Put(keyOwner, owner)
}

// saveMeta writes the keeper's identity, its life, and the hard state and snapshot of its log.
func saveMeta(tx *bolt.Tx, a agree.Save) error {
	meta := tx.Bucket(bucketMeta)
	if a.ID != 0 {
		if err := errors.Join(meta.Put(keyID, seal(number(a.ID))), meta.Put(keyLife, seal(number(a.Life)))); err != nil {
			return err
		}
	}
	if a.Hard != nil {
		if err := saveSealed(meta, keyHard, a.Hard); err != nil {
			return err
		}
	}
	if a.Snapshot != nil {
		return saveSealed(meta, keySnap, a.Snapshot)
	}
	return nil
}

// saveLog replaces the log from the first new entry on, or all of it by a snapshot.
func saveLog(tx *bolt.Tx, a agree.Save) error {
	log := tx.Bucket(bucketLog)
	switch {
	case a.Snapshot != nil:
		if err := deleteFrom(log, number(0)); err != nil {
			return err
		}
	case len(a.Entries) > 0:
		if err := deleteFrom(log, number(a.Entries[0].GetIndex())); err != nil {
			return err
		}
	}
	for _, entry := range a.Entries {
		if err := saveSealed(log, number(entry.GetIndex()), entry); err != nil {
			return err
		}
	}
	return nil
}

// deleteFrom deletes a key and all keys after it.
func deleteFrom(bucket *bolt.Bucket, first []byte) error {
	cursor := bucket.Cursor()
	for key, _ := cursor.Seek(first); key != nil; key, _ = cursor.Seek(first) {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// saveLives writes the lives that have been seen of other keepers.
func saveLives(tx *bolt.Tx, a agree.Save) error {
	lives := tx.Bucket(bucketLives)
	for id, life := range a.Lives {
		if err := lives.Put(number(id), append(number(life.Life), number(life.Boot)...)); err != nil {
			return err
		}
	}
	return nil
}

func saveSealed(bucket *bolt.Bucket, key []byte, message proto.Message) error {
	value, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	return bucket.Put(key, seal(value))
}
