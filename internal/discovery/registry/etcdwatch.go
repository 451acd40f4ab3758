package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"marlreel/internal/discovery/membership"
)

// watchTimeout is how long a watch may receive nothing. Requested progress notifications are more frequent.
const watchTimeout = 15 * time.Minute

// maxEvents bounds the events of one watch message with all its fragments.
const maxEvents = 2 * maxNodes

type etcdWatch struct {
	Error  *callError `json:"error"`
	Result struct {
		Header    etcdHeader  `json:"header"`
		Created   bool        `json:"created"`
		Canceled  bool        `json:"canceled"`
		Reason    string      `json:"cancel_reason"`
		Compacted int64       `json:"compact_revision,string"`
		Fragment  bool        `json:"fragment"`
		Events    []etcdEvent `json:"events"`
	} `json:"result"`
}

type etcdEvent struct {
	Type string `json:"type"` // DELETE; missing for a put
	KV   etcdKV `json:"kv"`
}

// Watch implements Client.
func (e *etcd) Watch(ctx context.Context, from membership.Snapshot, observer Observer) error {
	header, err := e.authorization(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := newIdleTimeout(callTimeout, cancel)
	defer idle.stop()
	response, err := e.call(ctx, http.MethodPost, "/v3/watch", header, map[string]any{"create_request": map[string]any{
		"key": []byte(e.config.Prefix), "range_end": rangeEnd(e.config.Prefix),
		"start_revision": from.Revision + 1, "progress_notify": true, "fragment": true,
	}})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		failed := readError(response)
		e.dropToken(failed)
		return failed
	}
	// Progress notifications may be minutes apart, and a machine that is cut off does not close the connection. So the
	// member is checked by separate calls during the watch.
	unreachable := make(chan error, 1)
	go func() {
		defer close(unreachable)
		if err := e.checkMember(ctx); err != nil {
			unreachable <- err
			cancel()
		}
	}()
	reader := &etcdWatchReader{etcd: e, idle: idle, from: from, observer: observer}
	err = reader.run(response.Body)
	cancel()
	if checkErr, failed := <-unreachable; failed {
		return checkErr
	}
	return err
}

// checkMember calls the member periodically. It returns an error if the member does not answer, and nil when ctx ends.
func (e *etcd) checkMember(ctx context.Context) error {
	for {
		sleep(ctx, e.checkEvery)
		if ctx.Err() != nil {
			return nil
		}
		var answer etcdRange
		request := map[string]any{"key": []byte(e.config.Prefix), "limit": 1, "keys_only": true, "serializable": true}
		err := e.post(ctx, "/v3/kv/range", request, &answer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("the member does not answer beside its watch: %w", err)
		}
	}
}

// etcdWatchReader reads the messages of one watch and reports them.
type etcdWatchReader struct {
	*etcd
	idle     *idleTimeout
	from     membership.Snapshot
	observer Observer
	updates  []membership.Update // collected from the fragments so far
	events   int                 // number of events in updates
}

// run reads messages until the watch ends. Its error is never nil.
func (r *etcdWatchReader) run(body io.Reader) error {
	bounded := &boundedReader{r: body, left: maxBodyBytes} // for each message; maxEvents bounds all its fragments together
	decoder := json.NewDecoder(bounded)
	for {
		var message etcdWatch
		err := decoder.Decode(&message)
		if errors.Is(err, io.EOF) {
			return &ProtocolError{"the watch ended"}
		}
		if err != nil {
			return err
		}
		bounded.left = maxBodyBytes
		r.idle.after = watchTimeout
		r.idle.reset()
		if err := r.check(&message); err != nil {
			return err
		}
		if message.Result.Created {
			continue
		}
		if err := r.collect(message.Result.Events); err != nil {
			return err
		}
		if !message.Result.Fragment {
			r.report(message.Result.Header.Revision)
		}
	}
}

// check returns an error if a message ends the watch.
func (r *etcdWatchReader) check(message *etcdWatch) error {
	result := &message.Result
	switch {
	case message.Error != nil:
		r.dropToken(message.Error)
		if message.Error.Code == codeOutOfRange {
			return ErrCompacted
		}
		return message.Error
	case result.Compacted > 0 || result.Canceled && strings.Contains(result.Reason, "compacted"):
		return ErrCompacted
	case result.Canceled:
		return &ProtocolError{fmt.Sprintf("the watch was cancelled: %.200s", result.Reason)}
	case result.Header.Cluster != r.from.History:
		return ErrHistoryReplaced
	case result.Created && result.Header.Revision < r.from.Revision:
		return ErrHistoryReplaced // or the member lags; the next snapshot shows which
	}
	return nil
}

// collect adds events to the updates. Each transaction is reported as a whole, although one message may contain
// several and a message may come in fragments.
func (r *etcdWatchReader) collect(events []etcdEvent) error {
	for _, event := range events {
		r.events++
		if r.events > maxEvents {
			return &ProtocolError{fmt.Sprintf("more than %d changes in one message", maxEvents)}
		}
		last := len(r.updates) - 1
		if last < 0 || r.updates[last].Revision != event.KV.ModRevision {
			r.updates = append(r.updates, membership.Update{Revision: event.KV.ModRevision})
			last++
		}
		update := &r.updates[last]
		if event.Type == "DELETE" {
			update.Deletes = append(update.Deletes, strings.TrimPrefix(string(event.KV.Key), r.config.Prefix))
		} else {
			update.Puts = append(update.Puts, r.item(event.KV))
		}
	}
	return nil
}

// report reports the collected updates, or progress up to a revision if there are none.
func (r *etcdWatchReader) report(revision int64) {
	for _, update := range r.updates {
		r.observer.OnUpdate(update)
	}
	if len(r.updates) == 0 {
		r.observer.OnProgress(revision)
	}
	r.updates, r.events = nil, 0
}
