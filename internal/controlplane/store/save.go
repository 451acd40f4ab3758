package store

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/util"

	"marlreel/internal/controlplane/chain"
)

// Save writes the parts of a state that have changed in one synced batch. After an error the store must be closed, as it
// is unknown whether the batch is on disk.
func (s *Store) Save(state *chain.DurableState, changes chain.Changes) error {
	batch := new(leveldb.Batch)
	if err := putRecords(batch, state, changes); err != nil {
		return err
	}
	if changes.Snapshot {
		if err := s.deleteEntries(batch, state.Snapshot.GetSequence(), changes.LogReplaced); err != nil {
			return err
		}
	}
	if err := putEntries(batch, state, changes); err != nil {
		return err
	}
	return eris.Wrap(s.db.Write(batch, &opt.WriteOptions{Sync: true}), "write store")
}

// putRecords adds the changed records, except for the log, to a batch.
func putRecords(batch *leveldb.Batch, state *chain.DurableState, changes chain.Changes) error {
	if changes.Self {
		if err := putMessage(batch, keySelf, state.Self); err != nil {
			return err
		}
	}
	if changes.View {
		if err := putMessage(batch, keyView, state.View); err != nil {
			return err
		}
	}
	if changes.Acceptor {
		if err := putAcceptor(batch, state); err != nil {
			return err
		}
	}
	if changes.SyncedView {
		batch.Put(keySyncedView, binary.BigEndian.AppendUint64(nil, state.SyncedView))
	}
	if changes.Snapshot {
		return putMessage(batch, keySnapshot, state.Snapshot)
	}
	return nil
}

func putAcceptor(batch *leveldb.Batch, state *chain.DurableState) error {
	if err := putMessage(batch, keyPromised, state.Promised); err != nil {
		return err
	}
	if err := putMessage(batch, keyAcceptedBallot, state.AcceptedBallot); err != nil {
		return err
	}
	return putMessage(batch, keyAcceptedView, state.AcceptedView)
}

// putEntries adds the log entries that are not on disk yet to a batch.
func putEntries(batch *leveldb.Batch, state *chain.DurableState, changes chain.Changes) error {
	entries := changes.Appended
	if changes.LogReplaced {
		entries = state.Entries
	}
	for _, entry := range entries {
		if entry.Sequence <= state.Snapshot.GetSequence() {
			continue
		}
		if err := putMessage(batch, entryKey(entry.Sequence), entry); err != nil {
			return err
		}
	}
	return nil
}

// deleteEntries adds the deletion of the log entries up to a sequence number, or of all of them, to a batch.
func (s *Store) deleteEntries(batch *leveldb.Batch, upTo uint64, all bool) error {
	iterator := s.db.NewIterator(util.BytesPrefix(entriesPrefix), nil)
	defer iterator.Release()
	for iterator.Next() {
		sequence := binary.BigEndian.Uint64(iterator.Key()[len(entriesPrefix):])
		if all || sequence <= upTo {
			batch.Delete(append([]byte(nil), iterator.Key()...))
		}
	}
	return eris.Wrap(iterator.Error(), "read log")
}
