package fleet

import (
	"context"
	"strconv"
	"time"

	"marlreel/internal/fleet/agree"
)

// maxRequests bounds the requests that wait for a leader's answer.
const maxRequests = 64

// leaderRequest is a request to the consensus member that leads, sent again until it is answered or its deadline has
// passed. Times are on Now's clock.
type leaderRequest struct {
	message  agree.Message
	deadline time.Duration
	nextSend time.Duration
	reply    chan agree.Result // closed without a result at the deadline
}

// retryInterval is the time between two attempts to send a request.
func (f *Fleet) retryInterval() time.Duration { return f.options.AgreeWithin.D() / 10 }

// requestTimeout leaves the fleet time for an election and for the rollout of an earlier version.
func (f *Fleet) requestTimeout() time.Duration {
	return 3*f.options.AgreeWithin.D() + 5*time.Second
}

// newRequestID returns an ID that no other process of the fleet uses.
func (f *Fleet) newRequestID() string {
	f.lastRequest++
	return f.options.Proxy + "-" + strconv.FormatUint(f.cfg.Boot, 36) + "-" + strconv.FormatUint(f.lastRequest, 36)
}

// retryRequests sends each pending request that is due to the leader, and ends those whose deadline has passed.
func (f *Fleet) retryRequests(now time.Duration) {
	for id, request := range f.requests {
		if now >= request.deadline {
			delete(f.requests, id)
			close(request.reply)
			continue
		}
		if to := f.member.Target(); now >= request.nextSend && to != "" {
			request.nextSend = now + f.retryInterval()
			f.send(to, request.message)
		}
	}
}

func (f *Fleet) completeRequest(result agree.Result) {
	request, pending := f.requests[result.ID]
	if !pending {
		return
	}
	if result.Refused == agree.Busy { // temporary: retried
		request.nextSend = Now() + f.retryInterval()
		return
	}
	delete(f.requests, result.ID)
	request.reply <- result
}

// askLeader sends the leader a request and waits for its answer. The message is composed on the fleet's goroutine. Its
// errors are *NoLeaderError, after which the request may still have an effect, and *RefusedError.
func (f *Fleet) askLeader(ctx context.Context, compose func(id string) agree.Message) (agree.Result, error) {
	request := &leaderRequest{reply: make(chan agree.Result, 1), deadline: Now() + f.requestTimeout()}
	f.post(func() {
		if len(f.requests) >= maxRequests {
			close(request.reply)
			return
		}
		id := f.newRequestID()
		request.message = compose(id)
		f.requests[id] = request
	})
	select {
	case result, answered := <-request.reply:
		if !answered {
			return result, f.noLeader()
		}
		if result.Refused != "" {
			return result, &RefusedError{result}
		}
		return result, nil
	case <-ctx.Done():
	case <-f.done:
	}
	return agree.Result{}, f.noLeader()
}

func (f *Fleet) noLeader() error { return &NoLeaderError{Keepers: f.options.Keepers} }
