package registry

import (
	"context"
	"errors"
	"time"

	"marlreel/internal/discovery/membership"
)

// Observer receives the reports of a client. Its methods are called by one goroutine.
type Observer interface {
	OnSnapshot(snapshot membership.Snapshot)
	OnUpdate(update membership.Update)
	OnProgress(revision int64) // nothing else has changed up to this revision
	OnCompacted()              // the updates after the known revision have been compacted
	OnLost(reason string)      // the registry can't be reached, or its answers are not as expected
}

// Client is a client of one registry.
type Client interface {
	// ReadSnapshot reads all nodes at one revision. If the registry has no quorum, the snapshot is that of a single
	// member, and is marked Stale.
	ReadSnapshot(ctx context.Context) (membership.Snapshot, error)
	// Watch reports the changes after a snapshot's revision until the watch breaks; its error is never nil. After
	// ErrCompacted and ErrHistoryReplaced, a new snapshot is needed before the next watch.
	Watch(ctx context.Context, from membership.Snapshot, observer Observer) error
	// NextEndpoint directs further calls to the next endpoint, and closes idle connections.
	NextEndpoint()
}

// AnyRevision makes a write unconditional. Revision 0 makes it succeed only if there is no entry yet.
const AnyRevision = -1

// Writer writes entries. A write fails with ErrConflict if the entry is no longer at the given revision, and a call
// under a lease that has ended with ErrLeaseEnded.
type Writer interface {
	Client
	// Put writes an entry. Without a lease ("") the entry does not expire.
	Put(ctx context.Context, name string, value []byte, revision int64, lease string) error
	Delete(ctx context.Context, name string, revision int64) error
	// Grant returns a lease. If it is not renewed within ttl, it ends and the entries put under it are removed.
	Grant(ctx context.Context, ttl time.Duration) (lease string, err error)
	Renew(ctx context.Context, lease string) error
	Revoke(ctx context.Context, lease string) error
}

// Errors of Watch.
var (
	ErrCompacted       = errors.New("the changes after this revision have been compacted")
	ErrHistoryReplaced = errors.New("the registry was restored or set up anew")
)

// ErrConflict is returned if an entry has been written by another client since it was read.
var ErrConflict error = &ConflictError{}

// ErrLeaseEnded is returned if a lease has ended.
var ErrLeaseEnded error = &LeaseError{}

const (
	callTimeout  = 5 * time.Second
	maxBodyBytes = 64 << 20 // of one page or one watch message
	pageSize     = 500      // keys
	maxNodes     = 20_000
)

var (
	_ Writer = (*etcd)(nil)
	_ Writer = (*consul)(nil)
)

// New returns a client. It fails if a file that the settings name is unusable.
func New(c Config) (Client, error) { return NewWriter(c) }

// NewWriter returns a client that can also write.
func NewWriter(c Config) (Writer, error) {
	t, err := newTransport(c)
	if err != nil {
		return nil, err
	}
	if c.Kind == "consul" {
		return &consul{transport: t}, nil
	}
	return &etcd{transport: t}, nil
}

// ReadItem returns the current entry of a node, with revision 0 if there is none. If the registry has no quorum, it
// returns a QuorumError rather than an entry that may be stale.
func ReadItem(ctx context.Context, w Writer, name string) (membership.Item, error) {
	snapshot, err := w.ReadSnapshot(ctx)
	if err != nil {
		return membership.Item{}, err
	}
	if snapshot.Stale {
		return membership.Item{}, &QuorumError{}
	}
	for _, item := range snapshot.Items {
		if item.Name == name {
			return item, nil
		}
	}
	return membership.Item{}, nil
}
