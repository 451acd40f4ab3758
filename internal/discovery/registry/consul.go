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

// consul is a client of Consul's KV store. It uses blocking queries, each of which returns the full list at an index.
// An index that goes back means that the history was replaced, as by a restore; the next query then starts from 0.
type consul struct{ *transport }

type consulKV struct {
	Key         string `json:"Key"`
	Value       []byte `json:"Value"`
	ModifyIndex int64  `json:"ModifyIndex"`
}

// blockFor is how long a query may wait for a change. Consul adds up to a sixteenth of it.
const blockFor = 55 * time.Second

// maxJitter spreads the queries of many proxies that were waiting for the same change.
const maxJitter = 20 * time.Millisecond

// ReadSnapshot implements Client. If there is no leader, it reads a single server's list and marks it stale.
func (c *consul) ReadSnapshot(ctx context.Context) (membership.Snapshot, error) {
	snapshot, err := c.query(ctx, 0, "consistent")
	var failed *callError
	if !errors.As(err, &failed) || failed.Status < http.StatusInternalServerError {
		return snapshot, err
	}
	stale, staleErr := c.query(ctx, 0, "stale")
	if staleErr != nil {
		return snapshot, err
	}
	stale.Stale = true
	return stale, nil
}

// Watch implements Client by consecutive blocking queries.
func (c *consul) Watch(ctx context.Context, from membership.Snapshot, observer Observer) error {
	index := from.Revision
	for {
		snapshot, err := c.query(ctx, index, "consistent")
		switch {
		case err != nil:
			return err
		case snapshot.Revision < index:
			return ErrHistoryReplaced
		case snapshot.Revision == index:
			observer.OnProgress(index)
		default:
			observer.OnSnapshot(snapshot)
		}
		index = snapshot.Revision
		sleep(ctx, time.Duration(rand.Int64N(int64(maxJitter))))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// query reads all nodes. It first waits until the index is above the given one, unless that is 0.
func (c *consul) query(ctx context.Context, index int64, mode string) (membership.Snapshot, error) {
	timeout := callTimeout
	query := "?recurse=true&" + mode
	if index > 0 {
		timeout += blockFor + blockFor/16
		query += "&index=" + strconv.FormatInt(index, 10) + "&wait=" + strconv.Itoa(int(blockFor.Seconds())) + "s"
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	header, err := c.authorization()
	if err != nil {
		return membership.Snapshot{}, err
	}
	response, err := c.call(ctx, http.MethodGet, "/v1/kv/"+escape(c.config.Prefix)+query, header, nil)
	if err != nil {
		return membership.Snapshot{}, err
	}
	defer response.Body.Close()
	return c.readSnapshot(response)
}

// authorization returns the headers of calls.
func (c *consul) authorization() (http.Header, error) {
	token, err := c.config.password()
	if err != nil {
		return nil, err
	}
	header := http.Header{}
	if token != "" {
		header.Set("X-Consul-Token", token)
	}
	return header, nil
}

// readSnapshot reads the response to a query. Status 404 with an index means that there are no keys.
func (c *consul) readSnapshot(response *http.Response) (membership.Snapshot, error) {
	text := response.Header.Get("X-Consul-Index")
	index, err := strconv.ParseInt(text, 10, 64)
	noKeys := response.StatusCode == http.StatusNotFound && err == nil
	switch {
	case response.StatusCode != http.StatusOK && !noKeys:
		return membership.Snapshot{}, readError(response)
	case err != nil || index < 1:
		return membership.Snapshot{}, &ProtocolError{fmt.Sprintf("X-Consul-Index = %.40q: a number above 0 is needed", text)}
	case noKeys:
		return membership.Snapshot{Revision: index}, nil
	}
	var all []consulKV
	if err := json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes)).Decode(&all); err != nil {
		return membership.Snapshot{}, err
	}
	if len(all) > maxNodes {
		return membership.Snapshot{}, tooManyKeys(c.config.Prefix)
	}
	snapshot := membership.Snapshot{Revision: index}
	for _, kv := range all {
		if kv.Key == c.config.Prefix {
			continue // the folder itself
		}
		snapshot.Items = append(snapshot.Items, ParseItem(c.config.Prefix, kv.Key, kv.Value, kv.ModifyIndex))
	}
	return snapshot, nil
}

// escape escapes a key or prefix for use in a path.
func escape(prefix string) string {
	parts := strings.Split(prefix, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return strings.Join(parts, "/")
}
