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

// follower makes the calls to one address. When the configuration names another address, a new follower is created;
// an existing one keeps its address.
type follower struct {
	timings Timings
	names   *atomic.Pointer[Names]
	addr    string
	client  *http.Client
	logf    func(string, ...any)
	onList  func(l *List) // handles a full list or a change
}

// newClient returns the client for all calls. It uses one connection per call: a watch and its connection end
// together, so keeping connections alive would gain little.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}}
}

// get makes a GET call to discovery. The caller closes the returned body.
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

// parseList parses a list. For a malformed list it returns the error and, if there are any, the valid entries whose
// backends drain or are gone: these apply at once.
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

// sleep waits for a delay. It returns false if ctx ended first.
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
