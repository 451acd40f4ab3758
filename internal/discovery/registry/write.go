package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"marlreel/internal/discovery/membership"
)

// AnyRevision is the revision of a write that doesn't mind what stood before; 0 is that nothing did.
const AnyRevision = -1

// ErrConflict says that an entry was written by another meanwhile.
var ErrConflict error = &ConflictError{}

// ErrLeaseEnded says that a lease has ended.
var ErrLeaseEnded error = &LeaseError{}

// Writer writes entries, each if it is still at the revision at which it was read.
type Writer interface {
	Client
	// Put writes an entry; lease "" is for good.
	Put(ctx context.Context, name string, value []byte, at int64, lease string) error
	Delete(ctx context.Context, name string, at int64) error
	// Grant gives a lease that ends after ttl without Renew, with all that was put under it.
	Grant(ctx context.Context, ttl time.Duration) (lease string, err error)
	Renew(ctx context.Context, lease string) error
	Revoke(ctx context.Context, lease string) error
}

// NewWriter makes one.
func NewWriter(c Config) (Writer, error) {
	k, err := New(c)
	if err != nil {
		return nil, err
	}
	return k.(Writer), nil
}

// Put implements Writer.
func (e *etcd) Put(ctx context.Context, name string, value []byte, at int64, lease string) error {
	put := map[string]any{"key": []byte(e.config.Prefix + name), "value": value}
	if lease != "" {
		put["lease"] = lease
	}
	return e.write(ctx, name, at, map[string]any{"request_put": put})
}

// Delete implements Writer.
func (e *etcd) Delete(ctx context.Context, name string, at int64) error {
	return e.write(ctx, name, at, map[string]any{"request_delete_range": map[string]any{"key": []byte(e.config.Prefix + name)}})
}

func (e *etcd) write(ctx context.Context, name string, at int64, op map[string]any) error {
	ask := map[string]any{"success": []any{op}}
	if at != AnyRevision {
		ask["compare"] = []any{map[string]any{"key": []byte(e.config.Prefix + name), "target": "MOD", "result": "EQUAL", "mod_revision": strconv.FormatInt(at, 10)}}
	}
	var got struct {
		Succeeded bool `json:"succeeded"`
	}
	err := e.post(ctx, "/v3/kv/txn", ask, &got)
	var bad *callError
	switch {
	case errors.As(err, &bad) && strings.Contains(bad.Error(), "lease not found"):
		return ErrLeaseEnded
	case err != nil:
		return err
	case !got.Succeeded:
		return ErrConflict
	}
	return nil
}

// Grant implements Writer.
func (e *etcd) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	var got struct {
		ID    string `json:"ID"`
		Error string `json:"error"`
	}
	if err := e.post(ctx, "/v3/lease/grant", map[string]string{"TTL": strconv.Itoa(int((ttl + time.Second - 1) / time.Second))}, &got); err != nil {
		return "", err
	}
	if got.ID == "" || got.Error != "" {
		return "", fmt.Errorf("no lease: %.200s", got.Error)
	}
	return got.ID, nil
}

// Renew implements Writer.
func (e *etcd) Renew(ctx context.Context, lease string) error {
	var got struct {
		Result struct {
			TTL json.Number `json:"TTL"`
		} `json:"result"`
	}
	if err := e.post(ctx, "/v3/lease/keepalive", map[string]string{"ID": lease}, &got); err != nil {
		return err
	}
	if n, _ := got.Result.TTL.Int64(); n <= 0 {
		return ErrLeaseEnded
	}
	return nil
}

// Revoke implements Writer.
func (e *etcd) Revoke(ctx context.Context, lease string) error {
	var got struct{}
	return e.post(ctx, "/v3/lease/revoke", map[string]string{"ID": lease}, &got)
}

// Put implements Writer.
func (c *consul) Put(ctx context.Context, name string, value []byte, at int64, lease string) error {
	query := url.Values{}
	if lease != "" {
		query.Set("acquire", lease)
	}
	done, err := c.write(ctx, http.MethodPut, name, at, query, value)
	if err == nil && !done {
		// Consul says no alike to a session that has ended and to an entry that has changed.
		if lease != "" && c.Renew(ctx, lease) != nil {
			return ErrLeaseEnded
		}
		return ErrConflict
	}
	return err
}

// Delete implements Writer.
func (c *consul) Delete(ctx context.Context, name string, at int64) error {
	done, err := c.write(ctx, http.MethodDelete, name, at, url.Values{}, nil)
	if err == nil && !done {
		return ErrConflict
	}
	return err
}

func (c *consul) write(ctx context.Context, method, name string, at int64, query url.Values, value []byte) (done bool, err error) {
	if at != AnyRevision {
		query.Set("cas", strconv.FormatInt(at, 10))
	}
	err = c.answer(ctx, method, "/v1/kv/"+escape(c.config.Prefix+name)+"?"+query.Encode(), value, &done)
	return done, err
}

// answer makes a call that has one answer, in JSON.
func (c *consul) answer(ctx context.Context, method, path string, body []byte, into any) error {
	ctx, done := context.WithTimeout(ctx, callTimeout)
	defer done()
	token, err := c.config.password()
	if err != nil {
		return err
	}
	head := http.Header{}
	if token != "" {
		head.Set("X-Consul-Token", token)
	}
	var send any
	if body != nil {
		send = body
	}
	r, err := c.call(ctx, method, path, head, send)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return readError(r)
	}
	return json.NewDecoder(io.LimitReader(r.Body, 1<<20)).Decode(into)
}

// Grant implements Writer: a session whose keys go with it.
func (c *consul) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	body, err := json.Marshal(map[string]string{"TTL": ttl.String(), "Behavior": "delete", "LockDelay": "0s"})
	if err != nil {
		return "", err
	}
	var got struct {
		ID string `json:"ID"`
	}
	if err := c.answer(ctx, http.MethodPut, "/v1/session/create", body, &got); err != nil {
		return "", err
	}
	if got.ID == "" {
		return "", errors.New("no session")
	}
	return got.ID, nil
}

// Renew implements Writer.
func (c *consul) Renew(ctx context.Context, lease string) error {
	var got any
	err := c.answer(ctx, http.MethodPut, "/v1/session/renew/"+url.PathEscape(lease), nil, &got)
	var bad *callError
	if errors.As(err, &bad) && bad.Status == http.StatusNotFound {
		return ErrLeaseEnded
	}
	return err
}

// Revoke implements Writer.
func (c *consul) Revoke(ctx context.Context, lease string) error {
	var got any
	return c.answer(ctx, http.MethodPut, "/v1/session/destroy/"+url.PathEscape(lease), nil, &got)
}

// ReadItem gives an entry's value and revision; 0 is that there is none.
func ReadItem(ctx context.Context, w Writer, name string) (membership.Item, error) {
	all, err := w.ReadSnapshot(ctx)
	if err != nil {
		return membership.Item{}, err
	}
	if all.Stale {
		return membership.Item{}, &QuorumError{}
	}
	for _, i := range all.Items {
		if i.Name == name {
			return i, nil
		}
	}
	return membership.Item{}, nil
}

// Registration is how a node keeps itself in the list.
type Registration struct {
	Name      string
	Value     Value
	TTL       time.Duration // after which the list forgets a node that has stopped
	DrainTime time.Duration // for which it stays in the list as draining before it leaves
	Logf      func(format string, args ...any)
}

// Register keeps a node in the list until ctx ends: under a lease that is kept alive, anew where it has ended
// (the registry lost it, or this node was away for too long). Then the node drains, for as long as it takes the
// proxies to hear of it and their requests to end, and leaves. It returns when the node has left, or leave
// ends, or the first error that no further try mends.
func Register(ctx, leave context.Context, w Writer, r Registration) error {
	ready := r.Value
	ready.State = "ready"
	value, err := ready.Encode()
	if err != nil {
		return err
	}
	draining := r.Value
	draining.State = "draining"
	last, err := draining.Encode()
	if err != nil {
		return err
	}
	lease, backoff := "", minBackoff
	for ctx.Err() == nil {
		err := error(nil)
		if lease == "" {
			lease, err = createEntry(ctx, w, r, value)
		} else {
			err = w.Renew(ctx, lease)
		}
		wait := r.TTL / 3
		switch {
		case errors.Is(err, ErrLeaseEnded):
			r.Logf("registry: the lease of %s has ended: it enters anew", r.Name)
			lease, wait = "", 0
		case err != nil && ctx.Err() == nil:
			r.Logf("registry: %s: %s", r.Name, oneLine(err))
			w.NextEndpoint()
			wait = min(backoff/2+time.Duration(rand.Int64N(int64(backoff))), r.TTL/3)
			backoff = min(2*backoff, maxBackoff)
		default:
			backoff = minBackoff
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	if lease == "" {
		return nil
	}
	// Danger: a node that just leaves has its requests cut off, and those on their way refused. The list says
	// first that it drains; only then it goes.
	renewed := time.Now()
	if err := w.Put(leave, r.Name, last, AnyRevision, lease); err != nil {
		r.Logf("registry: %s could not say that it drains: %s", r.Name, oneLine(err))
	}
	for end := time.Now().Add(r.DrainTime); time.Now().Before(end) && leave.Err() == nil; {
		select {
		case <-leave.Done():
		case <-time.After(min(time.Until(end), r.TTL/3)):
		}
		if time.Since(renewed) >= r.TTL/3 {
			renewed = time.Now()
			w.Renew(leave, lease)
		}
	}
	return w.Revoke(leave, lease)
}

// createEntry puts a node into the list under a new lease. An entry of the same name that another node's lease holds
// is written over only where it is this node's own, from before: two nodes of one name are an error of a site.
func createEntry(ctx context.Context, w Writer, r Registration, value []byte) (string, error) {
	there, err := ReadItem(ctx, w, r.Name)
	if err != nil {
		return "", err
	}
	if there.ModRevision != 0 && there.Malformed == "" && there.Entry.Addr != r.Value.Address {
		return "", &NameTakenError{r.Name, there.Entry.Addr}
	}
	lease, err := w.Grant(ctx, r.TTL)
	if err != nil {
		return "", err
	}
	if there.ModRevision != 0 {
		// Its old lease would take the entry with it at its end: it is made anew.
		if err := w.Delete(ctx, r.Name, there.ModRevision); err != nil {
			return "", errors.Join(err, w.Revoke(ctx, lease))
		}
	}
	if err := w.Put(ctx, r.Name, value, 0, lease); err != nil {
		return "", errors.Join(err, w.Revoke(ctx, lease))
	}
	return lease, nil
}
