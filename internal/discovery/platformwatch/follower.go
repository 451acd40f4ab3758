package platformwatch

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// follower makes the calls at one address. A new configuration may name another address; then there is a new
// follower, and this one stays as it is.
type follower struct {
	timings Timings
	names   *atomic.Pointer[Names]
	addr    string
	client  *http.Client
	logf    func(string, ...any)
	onList  func(l *List) // handles a list or a change
}

// newClient makes the client of all calls. One connection a call: a watch ends with its connection anyway.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}}
}

// get calls discovery. The body is the caller's to close.
func (f *follower) get(ctx context.Context, query string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.addr+"/v1/endpoints"+query, nil)
	if err != nil {
		return nil, err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, &StatusError{resp.Status}
	}
	return resp.Body, nil
}

// parseList reads a list. Of one that can't be used it returns, beside the error, what its good entries say of
// backends that drain or are gone, if any does: that counts at once.
func (f *follower) parseList(text []byte) (*List, error) {
	var list List
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, &ListError{Err: err}
	}
	names := *f.names.Load()
	entries, err := list.ParseEntries(names)
	if err == nil {
		list.entries = entries
		return &list, nil
	}
	drains := list.drainsOnly(names)
	if len(drains.Instances) == 0 {
		return nil, err
	}
	return drains, err
}

// sleep waits for a delay, and reports false if ctx has ended before.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
