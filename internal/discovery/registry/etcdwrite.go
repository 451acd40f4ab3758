package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Put implements Writer.
func (e *etcd) Put(ctx context.Context, name string, value []byte, revision int64, lease string) error {
	put := map[string]any{"key": []byte(e.config.Prefix + name), "value": value}
	if lease != "" {
		put["lease"] = lease
	}
	return e.write(ctx, name, revision, map[string]any{"request_put": put})
}

// Delete implements Writer.
func (e *etcd) Delete(ctx context.Context, name string, revision int64) error {
	return e.write(ctx, name, revision, map[string]any{"request_delete_range": map[string]any{"key": []byte(e.config.Prefix + name)}})
}

// write makes a transaction with one operation, conditional on the entry's revision.
func (e *etcd) write(ctx context.Context, name string, revision int64, op map[string]any) error {
	request := map[string]any{"success": []any{op}}
	if revision != AnyRevision {
		request["compare"] = []any{map[string]any{
			"key": []byte(e.config.Prefix + name), "target": "MOD", "result": "EQUAL",
			"mod_revision": strconv.FormatInt(revision, 10),
		}}
	}
	var answer struct {
		Succeeded bool `json:"succeeded"`
	}
	err := e.post(ctx, "/v3/kv/txn", request, &answer)
	var failed *callError
	switch {
	case errors.As(err, &failed) && strings.Contains(failed.Error(), "lease not found"):
		return ErrLeaseEnded
	case err != nil:
		return err
	case !answer.Succeeded:
		return ErrConflict
	}
	return nil
}

// Grant implements Writer.
func (e *etcd) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	var answer struct {
		ID    string `json:"ID"`
		Error string `json:"error"`
	}
	seconds := int((ttl + time.Second - 1) / time.Second) // rounded up
	if err := e.post(ctx, "/v3/lease/grant", map[string]string{"TTL": strconv.Itoa(seconds)}, &answer); err != nil {
		return "", err
	}
	if answer.ID == "" || answer.Error != "" {
		return "", &ProtocolError{fmt.Sprintf("no lease: %.200s", answer.Error)}
	}
	return answer.ID, nil
}

// Renew implements Writer.
func (e *etcd) Renew(ctx context.Context, lease string) error {
	var answer struct {
		Result struct {
			TTL json.Number `json:"TTL"`
		} `json:"result"`
	}
	if err := e.post(ctx, "/v3/lease/keepalive", map[string]string{"ID": lease}, &answer); err != nil {
		return err
	}
	ttl, err := answer.Result.TTL.Int64() // missing if the lease has ended
	if err != nil || ttl <= 0 {
		return ErrLeaseEnded
	}
	return nil
}

// Revoke implements Writer.
func (e *etcd) Revoke(ctx context.Context, lease string) error {
	var answer struct{}
	return e.post(ctx, "/v3/lease/revoke", map[string]string{"ID": lease}, &answer)
}
