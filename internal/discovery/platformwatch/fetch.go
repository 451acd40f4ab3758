package platformwatch

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"time"
)

// resync fetches the full list periodically until ctx ends. A list of the generation that known returns is not parsed.
func (f *follower) resync(ctx context.Context, known func() uint32, onNewer func(*List)) {
	delay := f.timings.ResyncInterval
	for sleep(ctx, delay) {
		delay = f.timings.ResyncInterval
		list, err := f.fetchOnce(ctx, f.timings.resyncTimeout(), known)
		switch {
		case err != nil:
			delay = f.timings.MaxBackoff // not logged: the watch logs the errors of its own calls
		case list != nil:
			onNewer(list)
		}
	}
}

// fetchUntilDone fetches the full list, and retries until it succeeds or ctx ends.
func (f *follower) fetchUntilDone(ctx context.Context) {
	lastError := ""
	minTimeout := max(f.timings.CallTimeout, f.timings.QueueWait)
	timeout := minTimeout
	for backoff := f.timings.MinBackoff; ; backoff = min(2*backoff, f.timings.MaxBackoff) {
		list, err := f.fetchOnce(ctx, timeout, nil)
		if err == nil {
			f.onList(list)
			return
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, context.DeadlineExceeded) { // the call may have been abandoned just before its turn
			timeout = min(2*timeout, minTimeout<<maxDoublings)
		}
		if err.Error() != lastError {
			lastError = err.Error()
			f.logf("discovery: fetching the list failed: %v", err)
		}
		if !sleep(ctx, backoff/2+rand.N(backoff/2)) {
			return
		}
	}
}

// fetchOnce fetches the full list. It returns nil if the list has the generation that known returns.
func (f *follower) fetchOnce(ctx context.Context, timeout time.Duration, known func() uint32) (*List, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := f.get(ctx, "")
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
	if known != nil && hasGeneration(text, known()) {
		return nil, nil
	}
	list, err := f.parseList(text)
	if err != nil {
		return nil, err
	}
	list.Reset = true
	return list, nil
}

func hasGeneration(text []byte, generation uint32) bool {
	var header struct {
		Generation uint32 `json:"generation"`
	}
	return json.Unmarshal(text, &header) == nil && header.Generation == generation
}
