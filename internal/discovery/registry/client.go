package registry

import (
	"context"
	"errors"
	"time"

	"marlreel/internal/discovery/membership"
)

// Observer handles what a client reports. Its methods are called by one goroutine.
type Observer interface {
	OnSnapshot(snapshot membership.Snapshot)
	OnUpdate(update membership.Update)
	OnProgress(revision int64) // nothing has changed up to it
	OnCompacted()              // the updates after the known revision are gone
	OnLost(reason string)      // the registry can't be reached, or does not answer as it should
}

// Client speaks one registry's protocol.
type Client interface {
	// ReadSnapshot reads all nodes at one revision. Where the registry has no majority the snapshot is one member's,
	// and Stale.
	ReadSnapshot(ctx context.Context) (membership.Snapshot, error)
	// Watch reports what comes after a snapshot's revision, until it breaks: its error is never nil. ErrCompacted
	// and ErrHistoryReplaced mean that another snapshot is needed first.
	Watch(ctx context.Context, from membership.Snapshot, observer Observer) error
	// NextEndpoint makes further calls go to the next endpoint, and closes idle connections.
	NextEndpoint()
}

// AnyRevision is the revision of a write that doesn't depend on what stood before; 0 is of one that needs that there
// is no entry.
const AnyRevision = -1

// Writer writes entries, each if it is still at the revision at which it was read: ErrConflict otherwise. Errors of
// calls under a lease that has ended are ErrLeaseEnded.
type Writer interface {
	Client
	// Put writes an entry; without a lease ("") it stays for good.
	Put(ctx context.Context, name string, value []byte, revision int64, lease string) error
	Delete(ctx context.Context, name string, revision int64) error
	// Grant returns a lease that ends, with all that was put under it, when it is not renewed within ttl.
	Grant(ctx context.Context, ttl time.Duration) (lease string, err error)
	Renew(ctx context.Context, lease string) error
	Revoke(ctx context.Context, lease string) error
}

// Errors of Watch.
var (
	ErrCompacted       = errors.New("the changes behind this revision are no longer there")
	ErrHistoryReplaced = errors.New("the registry's history is another")
)

// ErrConflict is returned where an entry was written by another meanwhile.
var ErrConflict error = &ConflictError{}

// ErrLeaseEnded is returned where a lease has ended.
var ErrLeaseEnded error = &LeaseError{}

const (
	callTimeout  = 5 * time.Second
	maxBodyBytes = 64 << 20 // of a page or an event
	pageSize     = 500      // keys
	maxNodes     = 20_000
)

var (
	_ Writer = (*etcd)(nil)
	_ Writer = (*consul)(nil)
)

// New returns a client. Its errors are those of the files that the settings name.
func New(c Config) (Client, error) { return NewWriter(c) }

// NewWriter returns a client that writes, too.
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

// ReadItem returns an entry as it stands; its revision is 0 where there is none. It fails with a QuorumError rather than
// return what may be old.
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
