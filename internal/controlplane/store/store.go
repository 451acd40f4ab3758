// Package store keeps a chain member's durable state in goleveldb. Every write is
// synced before it returns. An error of a write is final for its handle: whether it
// reached the disk is not known, so the store has to be closed and opened anew.
package store

import (
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"github.com/syndtr/goleveldb/leveldb"
	leveldberrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/storage"
	"github.com/syndtr/goleveldb/leveldb/util"
	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/chain"
)

// The keys. Entries follow their prefix with the sequence number, in big-endian order.
var (
	keySelf       = []byte("self")
	keyView       = []byte("view")
	keyPromised   = []byte("promised")
	keyBallot     = []byte("accepted-ballot")
	keyAccepted   = []byte("accepted-view")
	keySynced     = []byte("synced-view")
	keySnapshot   = []byte("snapshot")
	entriesPrefix = []byte("entry/")
)

// ErrCorrupted says that what the disk holds is not what was written.
var ErrCorrupted = eris.New("the store holds a log that does not fit together")

// Store is an open store.
type Store struct {
	db *leveldb.DB
}

// options keep memory small: the state is.
func options() *opt.Options {
	const writeBuffer = 1 << 20
	return &opt.Options{
		WriteBuffer: writeBuffer, BlockCacheCapacity: writeBuffer, OpenFilesCacheCapacity: 16,
		DisableSeeksCompaction: true, Compression: opt.NoCompression,
	}
}

// storeFolder is where the store is within the folder that is the process's.
const storeFolder = "chain"

// Open opens the store in a folder and makes it where it is missing. A store whose
// table of files was damaged by a loss of power is recovered from the files.
func Open(folder string) (*Store, error) {
	path := filepath.Join(folder, storeFolder)
	if err := makeFolder(folder, path); err != nil {
		return nil, err
	}
	db, err := leveldb.OpenFile(path, options())
	if leveldberrors.IsCorrupted(err) {
		db, err = leveldb.RecoverFile(path, options())
	}
	if err != nil {
		return nil, eris.Wrap(err, "opening the store")
	}
	return &Store{db}, nil
}

// makeFolder makes the store's folder where it is missing, so that it survives a loss of power.
func makeFolder(parent, path string) error {
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	if err := os.MkdirAll(path, 0o755); err != nil {
		return eris.Wrap(err, "making the store's folder")
	}
	return syncFolder(parent)
}

// syncFolder makes the names in a folder durable.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "opening a folder")
	}
	defer folder.Close()
	return eris.Wrap(folder.Sync(), "syncing a folder")
}

// Remove removes the store of a folder.
func Remove(folder string) error {
	if err := os.RemoveAll(filepath.Join(folder, storeFolder)); err != nil {
		return eris.Wrap(err, "removing the store")
	}
	return syncFolder(folder)
}

// OpenStorage opens a store on a storage of the caller's, for tests.
func OpenStorage(s storage.Storage) (*Store, error) {
	db, err := leveldb.Open(s, options())
	if leveldberrors.IsCorrupted(err) {
		db, err = leveldb.Recover(s, options())
	}
	if err != nil {
		return nil, eris.Wrap(err, "opening the store")
	}
	return &Store{db}, nil
}

// Close closes the store.
func (s *Store) Close() error { return s.db.Close() }

// Load reads the durable state. An empty store gives one without Self.
func (s *Store) Load() (chain.DurableState, error) {
	var d chain.DurableState
	var accepted, view api.View
	var member api.Member
	var promised, ballot api.Ballot
	var snapshot api.Snapshot
	found := map[string]bool{}
	for _, record := range []struct {
		key  []byte
		into proto.Message
	}{{keySelf, &member}, {keyView, &view}, {keyPromised, &promised}, {keyBallot, &ballot}, {keyAccepted, &accepted}, {keySnapshot, &snapshot}} {
		there, err := s.get(record.key, record.into)
		if err != nil {
			return d, err
		}
		found[string(record.key)] = there
	}
	if !found[string(keySelf)] {
		return d, nil
	}
	d.Self = &member
	if found[string(keyView)] {
		d.View = &view
	}
	if found[string(keyPromised)] {
		d.Promised = &promised
	}
	if found[string(keyBallot)] {
		d.AcceptedBallot, d.AcceptedView = &ballot, &accepted
	}
	if found[string(keySnapshot)] {
		d.Snapshot = &snapshot
	}
	if data, err := s.db.Get(keySynced, nil); err == nil && len(data) == 8 {
		d.SyncedView = binary.BigEndian.Uint64(data)
	} else if err != nil && !errors.Is(err, leveldb.ErrNotFound) {
		return d, eris.Wrap(err, "reading the store")
	}
	var err error
	if d.Entries, err = s.entries(d.Snapshot.GetSequence()); err != nil {
		return d, err
	}
	if !d.LogIsIntact() {
		return d, ErrCorrupted
	}
	return d, nil
}

func (s *Store) get(key []byte, into proto.Message) (bool, error) {
	data, err := s.db.Get(key, nil)
	if errors.Is(err, leveldb.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, eris.Wrap(err, "reading the store")
	}
	return true, eris.Wrap(proto.Unmarshal(data, into), "reading the store")
}

// entries reads the log after a sequence number.
func (s *Store) entries(after uint64) ([]*api.Entry, error) {
	iterator := s.db.NewIterator(util.BytesPrefix(entriesPrefix), nil)
	defer iterator.Release()
	var entries []*api.Entry
	for iterator.Next() {
		entry := new(api.Entry)
		if err := proto.Unmarshal(iterator.Value(), entry); err != nil {
			return nil, eris.Wrap(err, "reading the log")
		}
		if entry.Sequence > after {
			entries = append(entries, entry)
		}
	}
	return entries, eris.Wrap(iterator.Error(), "reading the log")
}

func entryKey(sequence uint64) []byte {
	return binary.BigEndian.AppendUint64(append([]byte(nil), entriesPrefix...), sequence)
}

// Save writes what has changed, in one synced batch.
func (s *Store) Save(d *chain.DurableState, changed chain.Changes) error {
	batch := new(leveldb.Batch)
	if changed.Self {
		put(batch, keySelf, d.Self)
	}
	if changed.View {
		put(batch, keyView, d.View)
	}
	if changed.Acceptor {
		put(batch, keyPromised, d.Promised)
		put(batch, keyBallot, d.AcceptedBallot)
		put(batch, keyAccepted, d.AcceptedView)
	}
	if changed.SyncedView {
		batch.Put(keySynced, binary.BigEndian.AppendUint64(nil, d.SyncedView))
	}
	if changed.Snapshot {
		put(batch, keySnapshot, d.Snapshot)
		if err := s.dropEntries(batch, d.Snapshot.GetSequence(), changed.LogReplaced); err != nil {
			return err
		}
	}
	added := changed.Appended
	if changed.LogReplaced {
		added = d.Entries
	}
	for _, entry := range added {
		if entry.Sequence > d.Snapshot.GetSequence() {
			put(batch, entryKey(entry.Sequence), entry)
		}
	}
	return eris.Wrap(s.db.Write(batch, &opt.WriteOptions{Sync: true}), "writing the store")
}

// dropEntries deletes the entries that a snapshot covers, or all of them.
func (s *Store) dropEntries(batch *leveldb.Batch, upTo uint64, all bool) error {
	iterator := s.db.NewIterator(util.BytesPrefix(entriesPrefix), nil)
	defer iterator.Release()
	for iterator.Next() {
		sequence := binary.BigEndian.Uint64(iterator.Key()[len(entriesPrefix):])
		if all || sequence <= upTo {
			batch.Delete(append([]byte(nil), iterator.Key()...))
		}
	}
	return eris.Wrap(iterator.Error(), "reading the log")
}

// put adds a message to a batch, or deletes its key where there is none.
func put[M interface {
	proto.Message
	comparable
}](batch *leveldb.Batch, key []byte, message M) {
	var none M
	if message == none {
		batch.Delete(key)
		return
	}
	data, _ := proto.Marshal(message) // a message of plain fields always marshals
	batch.Put(key, data)
}
