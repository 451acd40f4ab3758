package registry

import (
	"context"
	"encoding/json"
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

// consul speaks Consul's KV store by blocking queries: the whole list each time, at an index. An index that
// goes back means another history, as after a restore, and is asked for from 0 on.
type consul struct{ *transport }

type consulKV struct {
	Key         string `json:"Key"`
	Value       []byte `json:"Value"`
	ModifyIndex int64  `json:"ModifyIndex"`
}

// blockFor is how long a query may wait for a change. Consul adds up to a sixteenth of it.
const blockFor = 55 * time.Second

// ReadSnapshot implements Client. Where there is no leader, a server's own word is taken as what it is.
func (c *consul) ReadSnapshot(ctx context.Context) (membership.Snapshot, error) {
	w, err := c.query(ctx, 0, "consistent")
	if bad, is := err.(*callError); is && bad.Status >= 500 {
		if old, err := c.query(ctx, 0, "stale"); err == nil {
			old.Stale = true
			return old, nil
		}
	}
	return w, err
}

// Watch implements Client: one query after the other.
func (c *consul) Watch(ctx context.Context, from membership.Snapshot, told Observer) error {
	index := from.Revision
	for {
		w, err := c.query(ctx, index, "consistent")
		switch {
		case err != nil:
			return err
		case w.Revision < index:
			return ErrHistoryReplaced
		case w.Revision == index:
			told.OnProgress(index)
		default:
			told.OnSnapshot(w)
		}
		index = w.Revision
		// Jitter: of many proxies that wait for the same change.
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Duration(rand.Int64N(int64(20 * time.Millisecond)))):
		}
	}
}

// query asks for all nodes, and waits for an index beyond the one given; 0 is not to wait.
func (c *consul) query(ctx context.Context, index int64, mode string) (membership.Snapshot, error) {
	within := callTimeout
	ask := "?recurse=true&" + mode
	if index > 0 {
		within += blockFor + blockFor/16
		ask += "&index=" + strconv.FormatInt(index, 10) + "&wait=" + strconv.Itoa(int(blockFor.Seconds())) + "s"
	}
	ctx, done := context.WithTimeout(ctx, within)
	defer done()
	head := http.Header{}
	token, err := c.config.password()
	if err != nil {
		return membership.Snapshot{}, err
	}
	if token != "" {
		head.Set("X-Consul-Token", token)
	}
	r, err := c.call(ctx, http.MethodGet, "/v1/kv/"+escape(c.config.Prefix)+ask, head, nil)
	if err != nil {
		return membership.Snapshot{}, err
	}
	defer r.Body.Close()
	// 404 with an index: there are no keys.
	at, err := strconv.ParseInt(r.Header.Get("X-Consul-Index"), 10, 64)
	if r.StatusCode != http.StatusOK && (r.StatusCode != http.StatusNotFound || err != nil) {
		return membership.Snapshot{}, readError(r)
	}
	if err != nil || at < 1 {
		return membership.Snapshot{}, fmt.Errorf("X-Consul-Index = %.40q: a number above 0 is needed", r.Header.Get("X-Consul-Index"))
	}
	w := membership.Snapshot{Revision: at}
	if r.StatusCode == http.StatusNotFound {
		return w, nil
	}
	var all []consulKV
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&all); err != nil {
		return w, err
	}
	if len(all) > maxNodes {
		return w, fmt.Errorf("more than %d keys under %s", maxNodes, c.config.Prefix)
	}
	for _, kv := range all {
		if kv.Key == c.config.Prefix {
			continue // the folder itself
		}
		w.Items = append(w.Items, ParseItem(c.config.Prefix, kv.Key, kv.Value, kv.ModifyIndex))
	}
	return w, nil
}

// escape is a prefix as a path has it.
func escape(prefix string) string {
	parts := strings.Split(prefix, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return strings.Join(parts, "/")
}
