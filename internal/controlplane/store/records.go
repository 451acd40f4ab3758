package store

import (
	"encoding/binary"
	"errors"

	"github.com/rotisserie/eris"
	"github.com/syndtr/goleveldb/leveldb"
	"google.golang.org/protobuf/proto"
)

// The keys of the records. A log entry's key is entriesPrefix and its sequence number, 8 bytes in big-endian order, so
// that an iterator returns entries in log order. Values are protobuf messages of package api, except for the synced
// view, which is a number of 8 bytes in big-endian order.
var (
	keySelf           = []byte("self")
	keyView           = []byte("view")
	keyPromised       = []byte("promised")
	keyAcceptedBallot = []byte("accepted-ballot")
	keyAcceptedView   = []byte("accepted-view")
	keySyncedView     = []byte("synced-view")
	keySnapshot       = []byte("snapshot")
	entriesPrefix     = []byte("entry/")
)

func entryKey(sequence uint64) []byte {
	return binary.BigEndian.AppendUint64(append([]byte(nil), entriesPrefix...), sequence)
}

// message is a pointer to a protobuf message type.
type message[T any] interface {
	*T
	proto.Message
}

// getMessage reads the message stored under a key; nil if there is none.
func getMessage[T any, M message[T]](s *Store, key []byte) (M, error) {
	data, err := s.db.Get(key, nil)
	if errors.Is(err, leveldb.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrapf(err, "read record %s", key)
	}
	value := M(new(T))
	if err := proto.Unmarshal(data, value); err != nil {
		return nil, eris.Wrapf(err, "decode record %s", key)
	}
	return value, nil
}

// getNumber reads the number stored under a key; 0 if there is none, or it doesn't have 8 bytes.
func getNumber(s *Store, key []byte) (uint64, error) {
	data, err := s.db.Get(key, nil)
	if errors.Is(err, leveldb.ErrNotFound) || err == nil && len(data) != 8 {
		return 0, nil
	}
	if err != nil {
		return 0, eris.Wrapf(err, "read record %s", key)
	}
	return binary.BigEndian.Uint64(data), nil
}

// putMessage adds a message to a batch, or the deletion of its key if the message is nil.
func putMessage[T any, M message[T]](batch *leveldb.Batch, key []byte, value M) error {
	if value == nil {
		batch.Delete(key)
		return nil
	}
	data, err := proto.Marshal(value)
	if err != nil {
		return eris.Wrapf(err, "encode record %s", key)
	}
	batch.Put(key, data)
	return nil
}
