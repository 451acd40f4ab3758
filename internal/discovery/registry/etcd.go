package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"marlreel/internal/discovery/membership"
)

// etcd is a client of etcd v3's JSON gateway: KV range, watch with start_revision, progress notifications, compaction,
// authentication. The gateway encodes 64-bit numbers as strings, and keys and values in base64.
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

// gRPC status codes, as the gateway returns them.
const (
	codeOutOfRange      = 11
	codeUnauthenticated = 16
)

// maxTokenBytes bounds the response to a login.
const maxTokenBytes = 1 << 16

// rangeEnd returns the first key after all keys with a prefix.
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

// post makes a call that has a single response. If the token has expired, it logs in and tries once more.
func (e *etcd) post(ctx context.Context, path string, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := e.postOnce(ctx, path, request, answer)
	var login *LoginError
	var failed *callError
	if errors.As(err, &login) || !errors.As(err, &failed) || !e.dropToken(failed) {
		return err
	}
	return e.postOnce(ctx, path, request, answer)
}

func (e *etcd) postOnce(ctx context.Context, path string, request, answer any) error {
	header, err := e.authorization(ctx)
	if err != nil {
		return err
	}
	response, err := e.call(ctx, http.MethodPost, path, header, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readError(response)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes)).Decode(answer)
}

// authorization returns the headers of calls, and logs in first if necessary.
func (e *etcd) authorization(ctx context.Context) (http.Header, error) {
	if e.config.User == "" {
		return nil, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.token == "" {
		token, err := e.logIn(ctx)
		if err != nil {
			return nil, err
		}
		e.token = token
	}
	return http.Header{"Authorization": {e.token}}, nil
}

func (e *etcd) logIn(ctx context.Context) (token string, err error) {
	password, err := e.config.password()
	if err != nil {
		return "", err
	}
	response, err := e.call(ctx, http.MethodPost, "/v3/auth/authenticate", nil, map[string]string{"name": e.config.User, "password": password})
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return "", &LoginError{e.config.User, readError(response)}
	}
	var answer struct {
		Token string `json:"token"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxTokenBytes)).Decode(&answer); err != nil {
		return "", &LoginError{e.config.User, fmt.Errorf("no token (%w)", err)}
	}
	if answer.Token == "" {
		return "", &LoginError{e.config.User, &ProtocolError{"no token"}}
	}
	return answer.Token, nil
}

// dropToken drops the token if an error shows that it is no longer accepted, and reports whether it did.
func (e *etcd) dropToken(failed *callError) bool {
	if e.config.User == "" || failed.Code != codeUnauthenticated && failed.Status != http.StatusUnauthorized {
		return false
	}
	e.mu.Lock()
	e.token = ""
	e.mu.Unlock()
	return true
}

// ReadSnapshot implements Client. It reads page by page, all at the revision of the first page.
func (e *etcd) ReadSnapshot(ctx context.Context) (membership.Snapshot, error) {
	snapshot, err := e.rangeAll(ctx, false)
	if err == nil || ctx.Err() != nil || !withoutQuorum(err) {
		return snapshot, err
	}
	// Without a quorum no member knows the newest revision, so read a single member's list and mark it stale.
	stale, staleErr := e.rangeAll(ctx, true)
	if staleErr != nil {
		return snapshot, err
	}
	return stale, nil
}

// withoutQuorum reports whether a call may have failed because the cluster has no quorum.
func withoutQuorum(err error) bool {
	var failed *callError
	if errors.As(err, &failed) && failed.Code != codeOutOfRange && failed.Status >= http.StatusInternalServerError {
		return true
	}
	return errors.Is(err, context.DeadlineExceeded)
}

func (e *etcd) rangeAll(ctx context.Context, stale bool) (membership.Snapshot, error) {
	snapshot := membership.Snapshot{Stale: stale}
	key := []byte(e.config.Prefix)
	for {
		request := map[string]any{
			"key": key, "range_end": rangeEnd(e.config.Prefix), "limit": pageSize,
			"serializable": stale || snapshot.Revision > 0,
		}
		if snapshot.Revision > 0 {
			request["revision"] = snapshot.Revision
		}
		var page etcdRange
		if err := e.post(ctx, "/v3/kv/range", request, &page); err != nil {
			return snapshot, err
		}
		if snapshot.Revision == 0 {
			snapshot.History, snapshot.Revision = page.Header.Cluster, page.Header.Revision
		}
		for _, kv := range page.KVs {
			snapshot.Items = append(snapshot.Items, e.item(kv))
		}
		if !page.More || len(page.KVs) == 0 {
			return snapshot, nil
		}
		if len(snapshot.Items) > maxNodes {
			return snapshot, tooManyKeys(e.config.Prefix)
		}
		key = append(page.KVs[len(page.KVs)-1].Key, 0) // the next possible key
	}
}

func (e *etcd) item(kv etcdKV) membership.Item {
	return ParseItem(e.config.Prefix, string(kv.Key), kv.Value, kv.ModRevision)
}

func tooManyKeys(prefix string) error {
	return &ProtocolError{fmt.Sprintf("more than %d keys under %s", maxNodes, prefix)}
}
