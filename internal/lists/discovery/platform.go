// Package discovery tells the engine which backends there are: it follows the
// platform's list over HTTP, as a watch or by asking, and moves from one address to
// another without a gap. It knows nothing of health, and never drops a list that it
// has because it can't get a newer one.
package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"marlreel/internal/engine"
)

const (
	// A watch brings a line every 2 s. One that is silent for longer than two is
	// broken: a machine that is cut off never says so.
	watchSilence = 4500 * time.Millisecond
	dialTimeout  = time.Second
	backoffLeast = 50 * time.Millisecond
	backoffMost  = time.Second
	longestLine  = 4 << 20
)

// follower makes the calls at one address. A new configuration may name another
// address; then there is a new follower, and this one stays as it is.
type follower struct {
	names  Names
	addr   string
	client *http.Client
	logf   func(string, ...any)
	tell   func(l *List, entries []engine.Entry) // a list or a change has come
	failed func()                                // a call failed, or a watch broke
}

// newClient makes the client of all calls. One connection a call: a watch
// ends with its connection anyway.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true,
		DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
		ResponseHeaderTimeout: watchSilence}}
}

// follow keeps a watch up, from the given version on, until ctx ends.
func (d *follower) follow(ctx context.Context, from uint32) {
	backoff := backoffLeast
	for ctx.Err() == nil {
		began := time.Now()
		at, err := d.watch(ctx, from)
		if ctx.Err() != nil {
			return
		}
		if at != from {
			from, backoff = at, backoffLeast
		}
		if backoff == backoffLeast || time.Since(began) > watchSilence {
			d.logf("discovery: watch ended: %v", err) // a fast series of failures gets one line
		}
		d.failed()
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, backoffMost)
	}
}

// once keeps a watch until it breaks: where the list is asked for, the module decides when to ask again.
func (d *follower) once(ctx context.Context, from uint32) {
	if _, err := d.watch(ctx, from); ctx.Err() == nil {
		d.logf("discovery: watch ended: %v", err)
		d.failed()
	}
}

// watch follows one watch until it breaks, and gives the last version that it brought.
func (d *follower) watch(ctx context.Context, from uint32) (uint32, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, err := d.get(ctx, "?watch=1&from="+strconv.FormatUint(uint64(from), 10))
	if err != nil {
		return from, err
	}
	defer body.Close()
	silence := time.AfterFunc(watchSilence, cancel)
	defer silence.Stop()
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), longestLine)
	for lines.Scan() {
		silence.Reset(watchSilence)
		if len(lines.Bytes()) == 0 {
			continue
		}
		var l List
		// A line that can't be read may hide a change. The watch is dropped, the
		// list so far stands, and the next watch brings what was missed.
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return from, fmt.Errorf("bad line: %w", err)
		}
		entries, err := l.Check(d.names)
		if err != nil {
			return from, fmt.Errorf("bad line: %w", err)
		}
		d.tell(&l, entries)
		from = l.Generation
	}
	if err := lines.Err(); err != nil {
		return from, err
	}
	return from, io.ErrUnexpectedEOF
}

// fetch asks for the whole list once.
func (d *follower) fetch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*watchSilence)
	defer cancel()
	l, entries, err := d.list(ctx)
	if err != nil {
		d.logf("discovery: fetch: %v", err)
		d.failed()
		return
	}
	l.Reset = true
	d.tell(l, entries)
}

func (d *follower) list(ctx context.Context) (*List, []engine.Entry, error) {
	body, err := d.get(ctx, "")
	if err != nil {
		return nil, nil, err
	}
	defer body.Close()
	var l List
	if err := json.NewDecoder(io.LimitReader(body, longestLine)).Decode(&l); err != nil {
		return nil, nil, err
	}
	entries, err := l.Check(d.names)
	return &l, entries, err
}

func (d *follower) get(ctx context.Context, query string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.addr+"/v1/endpoints"+query, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, errors.New(resp.Status)
	}
	return resp.Body, nil
}
