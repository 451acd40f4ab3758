package registry

import (
	"context"
	"errors"
	"time"
)

// Registration describes a node that keeps itself in the list.
type Registration struct {
	Name      string
	Value     Value         // State is ignored
	TTL       time.Duration // after which a node that has stopped is removed from the list
	DrainTime time.Duration // how long the node stays in the list as draining before it is removed
	Logf      func(format string, args ...any)
}

// Register keeps a node in the list until ctx ends. It renews the node's lease, and registers the node again if the
// lease has ended because the registry lost it or this node was cut off for too long. When ctx ends, the node drains
// for DrainTime, so that the proxies are notified and requests can finish, and is then removed; without the drain,
// running requests would be cut off and new ones refused. Register returns when the node has been removed, when the
// context leave ends, or with a ValueError.
func Register(ctx, leave context.Context, w Writer, r Registration) error {
	ready, err := r.encode("ready")
	if err != nil {
		return err
	}
	draining, err := r.encode("draining")
	if err != nil {
		return err
	}
	node := &registeredNode{Registration: r, writer: w, backoff: backoff{next: minBackoff}}
	for ctx.Err() == nil {
		sleep(ctx, node.keepAlive(ctx, ready))
	}
	if node.lease == "" {
		return nil
	}
	return node.leave(leave, draining)
}

func (r *Registration) encode(state string) ([]byte, error) {
	value := r.Value
	value.State = state
	return value.Encode()
}

// registeredNode is the state of Register.
type registeredNode struct {
	Registration
	writer  Writer
	lease   string // "": the node is not in the list
	backoff backoff
}

// keepAlive puts the node into the list or renews its lease, and returns the delay until its next call.
func (n *registeredNode) keepAlive(ctx context.Context, value []byte) time.Duration {
	var err error
	if n.lease == "" {
		n.lease, err = createEntry(ctx, n.writer, n.Registration, value)
	} else {
		err = n.writer.Renew(ctx, n.lease)
	}
	switch {
	case errors.Is(err, ErrLeaseEnded):
		n.Logf("registry: the lease of %s has ended; registering again", n.Name)
		n.lease = ""
		return 0
	case err != nil && ctx.Err() == nil:
		n.Logf("registry: registration of %s: %s", n.Name, oneLine(err))
		n.writer.NextEndpoint()
		return min(n.backoff.delay(), n.TTL/3)
	default:
		n.backoff.next = minBackoff
		return n.TTL / 3
	}
}

// leave drains the node and removes it from the list.
func (n *registeredNode) leave(ctx context.Context, draining []byte) error {
	renewed := time.Now()
	if err := n.writer.Put(ctx, n.Name, draining, AnyRevision, n.lease); err != nil {
		n.Logf("registry: marking %s as draining failed: %s", n.Name, oneLine(err))
	}
	for end := time.Now().Add(n.DrainTime); time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, min(time.Until(end), n.TTL/3))
		if time.Since(renewed) < n.TTL/3 {
			continue
		}
		renewed = time.Now()
		if err := n.writer.Renew(ctx, n.lease); err != nil {
			n.Logf("registry: renewing the lease of %s while it drains failed: %s", n.Name, oneLine(err))
		}
	}
	return n.writer.Revoke(ctx, n.lease)
}

// createEntry puts a node into the list under a new lease, which it returns. An existing entry of the same name is
// replaced only if it has this node's address, so is left over from an earlier run; otherwise two nodes are configured
// with one name, which is a NameTakenError.
func createEntry(ctx context.Context, w Writer, r Registration, value []byte) (lease string, err error) {
	existing, err := ReadItem(ctx, w, r.Name)
	if err != nil {
		return "", err
	}
	if existing.ModRevision != 0 && existing.Malformed == "" && existing.Entry.Addr != r.Value.Address {
		return "", &NameTakenError{r.Name, existing.Entry.Addr}
	}
	lease, err = w.Grant(ctx, r.TTL)
	if err != nil {
		return "", err
	}
	if existing.ModRevision != 0 {
		// Delete the entry and create it again: its old lease would remove it when it ends.
		if err := w.Delete(ctx, r.Name, existing.ModRevision); err != nil {
			return "", errors.Join(err, w.Revoke(ctx, lease))
		}
	}
	if err := w.Put(ctx, r.Name, value, 0, lease); err != nil {
		return "", errors.Join(err, w.Revoke(ctx, lease))
	}
	return lease, nil
}
