package platformwatch

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"time"
)

// resync fetches the complete list again and again until ctx ends. A list of the generation that known returns is not
// read further.
func (f *follower) resync(ctx context.Context, known func() uint32, onNewer func(*List)) {
	delay := f.timings.ResyncInterval
	for sleep(ctx, delay) {
		delay = f.timings.ResyncInterval
		list, err := f.fetchOnce(ctx, f.timings.resyncTimeout(), known)
		switch {
		case err != nil:
			delay = f.timings.MaxBackoff // the watch's own calls say what is wrong
		case list != nil:
			onNewer(list)
		}
	}
}

// fetchUntilDone fetches the complete list, with as many attempts as it takes.
func (f *follower) fetchUntilDone(ctx context.Context) {
	lastError := ""
	usual := max(f.timings.CallTimeout, f.timings.QueueWait)
	timeout := usual
	for backoff := f.timings.MinBackoff; ; backoff = min(2*backoff, f.timings.MaxBackoff) {
		list, err := f.fetchOnce(ctx, timeout, nil)
		if err == nil {
			f.onList(list)
			return
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, context.DeadlineExceeded) { // perhaps abandoned just before its turn
			timeout = min(2*timeout, usual<<maxDoublings)
		}
		if err.Error() != lastError {
			lastError = err.Error()
			f.logf("discovery: fetch: %v", err)
		}
		if !sleep(ctx, backoff/2+rand.N(backoff/2)) {
			return
		}
	}
}

// fetchOnce fetches the complete list. It returns nil where the list is of the generation that known returns.
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
