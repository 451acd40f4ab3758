// Package platformwatch tells the engine which backends there are: it follows the
// platform's list over HTTP, pushed or asked for, and moves from one address to
// another without a gap. It owns how soon a change is known, whatever fails on the way (Pace). It knows nothing of
// health, and never drops a list that it has because it can't get a newer one.
package platformwatch

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// follower makes the calls at one address. A new configuration may name another
// address; then there is a new follower, and this one stays as it is.
type follower struct {
	timings Timings
	names   *atomic.Pointer[Names]
	addr    string
	client  *http.Client
	logf    func(string, ...any)
	onList  func(l *List) // a list or a change has come
}

// newClient makes the client of all calls. One connection a call: a watch
// ends with its connection anyway.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}}
}

// callEvent is what a call brings.
type callEvent struct {
	id   int
	kind callEventKind
	list *List // at an end: what is to be heeded all the same
	err  error // at an end: why
}

type callEventKind uint8

const (
	headReceived callEventKind = iota
	lineReceived               // a whole one; a list, or blank
	callEnded
)

// follow keeps a watch up, from the given version on, until ctx ends. All calls are made, heard and given up here, so
// the word of one that was given up is not heard.
func (d *follower) follow(ctx context.Context, from uint32) {
	ctx, cancel := context.WithCancel(ctx) // and all calls with it
	defer cancel()
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	p := callScheduler{timings: d.timings, jitter: rand.Float64, failures: 1} // a whole fleet may start with this process
	calls, words := map[int]context.CancelFunc{}, make(chan callEvent)
	drop := func(ids []int) {
		for _, id := range ids {
			calls[id]()
			delete(calls, id)
		}
	}
	said := "" // the last line of the log: a series of failures gets one
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case w := <-words:
			switch w.kind {
			case headReceived:
				p.onHead(now(), w.id)
			case lineReceived:
				gone, counts := p.onLine(now(), w.id)
				drop(gone)
				if counts && w.list != nil {
					from, said = w.list.Generation, ""
					d.onList(w.list)
				}
			case callEnded:
				if cancel := calls[w.id]; cancel != nil {
					cancel()
					delete(calls, w.id)
					if w.list != nil {
						d.onList(w.list) // what leaves by a list that can't be used; its number does not count
					}
					if live := p.onEnd(now(), w.id); live || w.err.Error() != said {
						said = w.err.Error()
						d.logf("discovery: watch ended: %v", w.err)
					}
				}
			}
		}
		gone, id, next := p.step(now())
		drop(gone)
		if id != 0 {
			mine, cancel := context.WithCancel(ctx)
			calls[id] = cancel
			go d.watchOnce(mine, id, from, words)
		}
		timer.Reset(max(next-now(), 0))
	}
}

// watchOnce makes one call for a watch, and tells what it brings until it ends or is given up.
func (d *follower) watchOnce(ctx context.Context, id int, from uint32, words chan<- callEvent) {
	say := func(w callEvent) bool {
		w.id = id
		select {
		case words <- w:
			return true
		case <-ctx.Done():
			return false
		}
	}
	body, err := d.get(ctx, "?watch=1&from="+strconv.FormatUint(uint64(from), 10))
	if err != nil {
		say(callEvent{kind: callEnded, err: err})
		return
	}
	defer body.Close()
	if !say(callEvent{kind: headReceived}) {
		return
	}
	in := listReader{in: bufio.NewReader(body)}
	for {
		text, err := in.next()
		if err != nil {
			say(callEvent{kind: callEnded, err: err})
			return
		}
		if len(text) == 0 {
			if !say(callEvent{kind: lineReceived}) {
				return
			}
			continue
		}
		l, err := d.parseList(text)
		if err != nil {
			// A line that can't be read may hide a change. The watch is dropped, the
			// list so far stands, and the next watch brings what was missed.
			say(callEvent{kind: callEnded, list: l, err: err})
			return
		}
		if !say(callEvent{kind: lineReceived, list: l}) {
			return
		}
	}
}

// parseList reads a list. Of one that can't be used it gives, beside the error, what its good entries say of backends that
// leave: that is heeded at once.
func (d *follower) parseList(text []byte) (*List, error) {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, &ListError{Err: err}
	}
	var err error
	if l.entries, err = l.ParseEntries(*d.names.Load()); err == nil {
		return &l, nil
	}
	leaving := l.drainsOnly(*d.names.Load())
	if len(leaving.Instances) == 0 {
		return nil, err
	}
	return leaving, err
}

// resync asks for the whole list ever again. What the watch has told is known by its number, and is not read further.
func (d *follower) resync(ctx context.Context, has func() uint32, newer func(*List)) {
	wait := d.timings.ResyncInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = d.timings.ResyncInterval
		l, err := d.fetchOnce(ctx, d.timings.resyncTimeout(), has)
		switch {
		case err != nil:
			wait = d.timings.MaxBackoff // the watch's own calls say what is wrong
		case l != nil:
			newer(l)
		}
	}
}

// fetchUntilDone asks for the whole list until it has come.
func (d *follower) fetchUntilDone(ctx context.Context) {
	said, usual := "", max(d.timings.CallTimeout, d.timings.QueueWait)
	patience := usual
	for wait := d.timings.MinBackoff; ; wait = min(2*wait, d.timings.MaxBackoff) {
		l, err := d.fetchOnce(ctx, patience, nil)
		if err == nil {
			d.onList(l)
			return
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, context.DeadlineExceeded) { // it was given up just before its turn, perhaps
			patience = min(2*patience, usual<<maxDoublings)
		}
		if err.Error() != said {
			said = err.Error()
			d.logf("discovery: fetch: %v", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait/2 + rand.N(wait/2)):
		}
	}
}

// fetchOnce asks for the whole list once. It gives nil where the list is of the version that has gives.
func (d *follower) fetchOnce(ctx context.Context, patience time.Duration, has func() uint32) (*List, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	body, err := d.get(ctx, "")
	if err != nil {
		return nil, err
	}
	defer body.Close()
	text, err := io.ReadAll(io.LimitReader(body, maxListBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxListBytes {
		return nil, errListTooLong
	}
	if has != nil {
		var number struct {
			Generation uint32 `json:"generation"`
		}
		if json.Unmarshal(text, &number) == nil && number.Generation == has() {
			return nil, nil
		}
	}
	l, err := d.parseList(text)
	if err != nil {
		return nil, err
	}
	l.Reset = true
	return l, nil
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
