package store

import (
	"github.com/rotisserie/eris"
	"github.com/syndtr/goleveldb/leveldb/util"
	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/chain"
)

// ErrCorrupted means that the stored log has a gap or a wrong hash. The ballots that the member promised and accepted
// can't be trusted either.
var ErrCorrupted = eris.New("stored log is corrupted: it has a gap or a wrong hash")

// Load reads the durable state; that of an empty store has no Self. The error is ErrCorrupted if the log is
// corrupted, or else the error of goleveldb or of decoding.
func (s *Store) Load() (chain.DurableState, error) {
	state, err := s.loadRecords()
	if err != nil || state.Self == nil {
		return chain.DurableState{}, err
	}
	state.Entries, err = s.loadEntries(state.Snapshot.GetSequence())
	if err != nil {
		return chain.DurableState{}, err
	}
	if !state.LogIsIntact() {
		return chain.DurableState{}, ErrCorrupted
	}
	return state, nil
}

// loadRecords reads everything except the log.
func (s *Store) loadRecords() (chain.DurableState, error) {
	var state chain.DurableState
	var err error
	if state.Self, err = getMessage[api.Member](s, keySelf); err != nil {
		return state, err
	}
	if state.View, err = getMessage[api.View](s, keyView); err != nil {
		return state, err
	}
	if state.Promised, err = getMessage[api.Ballot](s, keyPromised); err != nil {
		return state, err
	}
	if state.AcceptedBallot, err = getMessage[api.Ballot](s, keyAcceptedBallot); err != nil {
		return state, err
	}
	if state.AcceptedView, err = getMessage[api.View](s, keyAcceptedView); err != nil {
		return state, err
	}
	if state.Snapshot, err = getMessage[api.Snapshot](s, keySnapshot); err != nil {
		return state, err
	}
	state.SyncedView, err = getNumber(s, keySyncedView)
	return state, err
}

// loadEntries reads the log entries after a sequence number.
func (s *Store) loadEntries(after uint64) ([]*api.Entry, error) {
	iterator := s.db.NewIterator(util.BytesPrefix(entriesPrefix), nil)
	defer iterator.Release()
	var entries []*api.Entry
	for iterator.Next() {
		entry := new(api.Entry)
		if err := proto.Unmarshal(iterator.Value(), entry); err != nil {
			return nil, eris.Wrapf(err, "decode record %q", iterator.Key())
		}
		if entry.Sequence > after {
			entries = append(entries, entry)
		}
	}
	return entries, eris.Wrap(iterator.Error(), "read log")
}
