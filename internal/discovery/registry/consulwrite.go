package registry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// maxAnswerBytes bounds the response to a write.
const maxAnswerBytes = 1 << 20

// Put implements Writer.
func (c *consul) Put(ctx context.Context, name string, value []byte, revision int64, lease string) error {
	query := url.Values{}
	if lease != "" {
		query.Set("acquire", lease)
	}
	done, err := c.write(ctx, http.MethodPut, name, revision, query, value)
	if err != nil || done {
		return err
	}
	// Consul's answer is the same if the session has ended and if the entry has changed.
	if lease != "" && c.Renew(ctx, lease) != nil {
		return ErrLeaseEnded
	}
	return ErrConflict
}

// Delete implements Writer.
func (c *consul) Delete(ctx context.Context, name string, revision int64) error {
	done, err := c.write(ctx, http.MethodDelete, name, revision, url.Values{}, nil)
	if err == nil && !done {
		return ErrConflict
	}
	return err
}

// write puts or deletes an entry if it is at the given revision, and reports whether it was.
func (c *consul) write(ctx context.Context, method, name string, revision int64, query url.Values, value []byte) (done bool, err error) {
	if revision != AnyRevision {
		query.Set("cas", strconv.FormatInt(revision, 10))
	}
	err = c.answer(ctx, method, "/v1/kv/"+escape(c.config.Prefix+name)+"?"+query.Encode(), value, &done)
	return done, err
}

// answer makes a call and decodes its JSON response.
func (c *consul) answer(ctx context.Context, method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	header, err := c.authorization()
	if err != nil {
		return err
	}
	var content any
	if body != nil {
		content = body
	}
	response, err := c.call(ctx, method, path, header, content)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readError(response)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(into)
}

// Grant implements Writer with a session that deletes its keys when it ends.
func (c *consul) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	body, err := json.Marshal(map[string]string{"TTL": ttl.String(), "Behavior": "delete", "LockDelay": "0s"})
	if err != nil {
		return "", err
	}
	var answer struct {
		ID string `json:"ID"`
	}
	if err := c.answer(ctx, http.MethodPut, "/v1/session/create", body, &answer); err != nil {
		return "", err
	}
	if answer.ID == "" {
		return "", &ProtocolError{"no session"}
	}
	return answer.ID, nil
}

// Renew implements Writer.
func (c *consul) Renew(ctx context.Context, lease string) error {
	var answer any
	err := c.answer(ctx, http.MethodPut, "/v1/session/renew/"+url.PathEscape(lease), nil, &answer)
	var failed *callError
	if errors.As(err, &failed) && failed.Status == http.StatusNotFound {
		return ErrLeaseEnded
	}
	return err
}

// Revoke implements Writer.
func (c *consul) Revoke(ctx context.Context, lease string) error {
	var answer any
	return c.answer(ctx, http.MethodPut, "/v1/session/destroy/"+url.PathEscape(lease), nil, &answer)
}
