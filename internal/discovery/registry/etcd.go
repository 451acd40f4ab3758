package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"marlreel/internal/discovery/membership"
)

// etcd speaks etcd v3's JSON gateway: KV range, watch with start_revision, progress notifications, compaction,
// authentication. Numbers of 64 bits are texts there, keys and values base64.
type etcd struct {
	*transport
	mu    sync.Mutex
	token string
}

type etcdHeader struct {
	Cluster  uint64 `json:"cluster_id,string"`
	Revision int64  `json:"revision,string"`
}

type etcdKV struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
}

type etcdRange struct {
	Header etcdHeader `json:"header"`
	KVs    []etcdKV   `json:"kvs"`
	More   bool       `json:"more"`
}

type etcdWatch struct {
	Error  *callError `json:"error"`
	Result struct {
		Header    etcdHeader `json:"header"`
		Created   bool       `json:"created"`
		Canceled  bool       `json:"canceled"`
		Why       string     `json:"cancel_reason"`
		Compacted int64      `json:"compact_revision,string"`
		Fragment  bool       `json:"fragment"`
		Events    []struct {
			Type string `json:"type"` // DELETE; left out for a put
			KV   etcdKV `json:"kv"`
		} `json:"events"`
	} `json:"result"`
}

// gRPC's codes, as the gateway gives them.
const (
	codeOutOfRange      = 11
	codeUnauthenticated = 16
)

// rangeEnd is the key behind all that begin with a prefix.
func rangeEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// post makes a call that has one answer.
func (e *etcd) post(ctx context.Context, path string, ask, into any) error {
	ctx, done := context.WithTimeout(ctx, callTimeout)
	defer done()
	for again := false; ; again = true {
		head, err := e.authorization(ctx)
		if err != nil {
			return err
		}
		r, err := e.call(ctx, http.MethodPost, path, head, ask)
		if err != nil {
			return err
		}
		if r.StatusCode == http.StatusOK {
			err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(into)
			r.Body.Close()
			return err
		}
		bad := readError(r)
		r.Body.Close()
		if !again && e.dropToken(bad) {
			continue
		}
		return bad
	}
}

// authorization logs in where that is asked for and was not done.
func (e *etcd) authorization(ctx context.Context) (http.Header, error) {
	if e.config.User == "" {
		return nil, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.token == "" {
		password, err := e.config.password()
		if err != nil {
			return nil, err
		}
		r, err := e.call(ctx, http.MethodPost, "/v3/auth/authenticate", nil, map[string]string{"name": e.config.User, "password": password})
		if err != nil {
			return nil, err
		}
		defer r.Body.Close()
		if r.StatusCode != http.StatusOK {
			return nil, fmt.Errorf("user %s: %w", e.config.User, readError(r))
		}
		var got struct {
			Token string `json:"token"`
		}
		if err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&got); err != nil || got.Token == "" {
			return nil, fmt.Errorf("user %s: no token (%v)", e.config.User, err)
		}
		e.token = got.Token
	}
	return http.Header{"Authorization": {e.token}}, nil
}

// dropToken drops a token that is no longer taken.
func (e *etcd) dropToken(bad *callError) bool {
	if e.config.User == "" || bad.Code != codeUnauthenticated && bad.Status != http.StatusUnauthorized {
		return false
	}
	e.mu.Lock()
	e.token = ""
	e.mu.Unlock()
	return true
}

// ReadSnapshot implements Client: page by page, all at the revision of the first. Where no member can tell what is
// newest, one's own word is taken as what it is: perhaps old.
func (e *etcd) ReadSnapshot(ctx context.Context) (membership.Snapshot, error) {
	w, err := e.rangeAll(ctx, false)
	var bad *callError
	if err != nil && (errors.As(err, &bad) && bad.Code != codeOutOfRange && bad.Status >= 500 || errors.Is(err, context.DeadlineExceeded)) && ctx.Err() == nil {
		if old, err := e.rangeAll(ctx, true); err == nil {
			return old, nil
		}
	}
	return w, err
}

func (e *etcd) rangeAll(ctx context.Context, stale bool) (membership.Snapshot, error) {
	w := membership.Snapshot{Stale: stale}
	key := []byte(e.config.Prefix)
	for {
		ask := map[string]any{"key": key, "range_end": rangeEnd(e.config.Prefix), "limit": pageSize, "serializable": stale || w.Revision > 0}
		if w.Revision > 0 {
			ask["revision"] = w.Revision
		}
		var page etcdRange
		if err := e.post(ctx, "/v3/kv/range", ask, &page); err != nil {
			return w, err
		}
		if w.Revision == 0 {
			w.History, w.Revision = page.Header.Cluster, page.Header.Revision
		}
		for _, kv := range page.KVs {
			w.Items = append(w.Items, ParseItem(e.config.Prefix, string(kv.Key), kv.Value, kv.ModRevision))
		}
		if !page.More || len(page.KVs) == 0 {
			return w, nil
		}
		if len(w.Items) > maxNodes {
			return w, fmt.Errorf("more than %d keys under %s", maxNodes, e.config.Prefix)
		}
		key = append(page.KVs[len(page.KVs)-1].Key, 0)
	}
}

// watchTimeout is how long a watch may say nothing: progress comes oftener where it is asked for.
const watchTimeout = 15 * time.Minute

// Watch implements Client.
func (e *etcd) Watch(ctx context.Context, from membership.Snapshot, told Observer) error {
	head, err := e.authorization(ctx)
	if err != nil {
		return err
	}
	ctx, end := context.WithCancel(ctx)
	defer end()
	opening := newIdleTimeout(callTimeout, end)
	defer opening.stop()
	r, err := e.call(ctx, http.MethodPost, "/v3/watch", head, map[string]any{"create_request": map[string]any{
		"key":       []byte(e.config.Prefix),
		"range_end": rangeEnd(e.config.Prefix), "start_revision": from.Revision + 1, "progress_notify": true, "fragment": true,
	}})
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		bad := readError(r)
		e.dropToken(bad)
		return bad
	}
	// Progress may come minutes apart, and a machine that is cut off says nothing: whether it is there is
	// asked beside the watch.
	gone := make(chan error, 1)
	over := make(chan struct{})
	defer func() { end(); <-over }()
	go func() {
		defer close(over)
		if err := e.checkMember(ctx); err != nil {
			gone <- err
			end()
		}
	}()
	err = e.read(ctx, r.Body, opening, from, told)
	select {
	case because := <-gone:
		return because
	default:
		return err
	}
}

// checkMember asks the member now and then whether it is there, until it isn't, or ctx ends.
func (e *etcd) checkMember(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(e.checkEvery):
		}
		var got etcdRange
		ask := map[string]any{"key": []byte(e.config.Prefix), "limit": 1, "keys_only": true, "serializable": true}
		if err := e.post(ctx, "/v3/kv/range", ask, &got); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("the member does not answer beside its watch: %w", err)
		}
	}
}

// read tells what a watch brings.
func (e *etcd) read(ctx context.Context, body io.Reader, opening *idleTimeout, from membership.Snapshot, told Observer) error {
	// A message has its bound; so has what fragments add up to.
	in := &boundedReader{r: body, left: maxBodyBytes}
	d := json.NewDecoder(in)
	var parts []membership.Update
	total := 0
	for {
		var m etcdWatch
		if err := d.Decode(&m); err != nil {
			if errors.Is(err, io.EOF) {
				return errors.New("the watch ended")
			}
			return err
		}
		in.left = maxBodyBytes
		opening.after = watchTimeout
		opening.reset()
		h := m.Result.Header
		switch {
		case m.Error != nil:
			e.dropToken(m.Error)
			if m.Error.Code == codeOutOfRange {
				return ErrCompacted
			}
			return m.Error
		case m.Result.Compacted > 0:
			return ErrCompacted
		case m.Result.Canceled:
			if strings.Contains(m.Result.Why, "compacted") {
				return ErrCompacted
			}
			return fmt.Errorf("the watch was cancelled: %.200s", m.Result.Why)
		case h.Cluster != from.History:
			return ErrHistoryReplaced
		case m.Result.Created:
			if h.Revision < from.Revision {
				return ErrHistoryReplaced // or a member that lags: the whole list tells which
			}
			continue
		}
		for _, ev := range m.Result.Events {
			if total++; total > 2*maxNodes {
				return fmt.Errorf("more than %d changes in one message", 2*maxNodes)
			}
			// Transactions are told whole: one message may have several, and one may come in fragments.
			if n := len(parts); n == 0 || parts[n-1].Revision != ev.KV.ModRevision {
				parts = append(parts, membership.Update{Revision: ev.KV.ModRevision})
			}
			c := &parts[len(parts)-1]
			if ev.Type == "DELETE" {
				c.Deletes = append(c.Deletes, strings.TrimPrefix(string(ev.KV.Key), e.config.Prefix))
			} else {
				c.Puts = append(c.Puts, ParseItem(e.config.Prefix, string(ev.KV.Key), ev.KV.Value, ev.KV.ModRevision))
			}
		}
		if m.Result.Fragment {
			continue
		}
		for _, c := range parts {
			told.OnUpdate(c)
		}
		if len(parts) == 0 {
			told.OnProgress(h.Revision)
		}
		parts, total = nil, 0
	}
}

// boundedReader ends a message that is longer than it may be.
type boundedReader struct {
	r    io.Reader
	left int
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, fmt.Errorf("a message of more than %d bytes", maxBodyBytes)
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}
