package controlplane

import (
	"context"
	"time"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/result"
	"marlreel/internal/process/timing"
)

const (
	// operationTimeout is how long an operation is attempted before it is answered. It has to be below a second, after
	// which callers switch to another process; lowering it answers more operations with Unavailable during a view change.
	operationTimeout = 850 * time.Millisecond
	// attemptInterval is the pause between two attempts.
	attemptInterval = 40 * time.Millisecond
)

// CommitOperation submits an operation to the head, on whichever process that is, and retries until operationTimeout:
// operations are idempotent. It continues after its caller has disconnected, as the operation may already be in flight.
func (s *Service) CommitOperation(operation *api.Operation) *result.Error {
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	attempts := newOperationAttempts()
	for ctx.Err() == nil {
		head := s.chainStatus(ctx).Head
		if head != "" && attempts.onReply(s.submitAt(ctx, head, operation)) {
			break
		}
		timing.Sleep(ctx, attemptInterval)
	}
	s.countOperation(attempts.outcome)
	return attempts.outcome
}

// operationAttempts tracks the attempts at one operation.
type operationAttempts struct {
	outcome *result.Error // the best known so far
}

func newOperationAttempts() *operationAttempts {
	return &operationAttempts{result.Errorf(result.Unavailable, "no head is known")}
}

// onReply handles the reply to an attempt. It reports whether that is the final outcome of the operation.
func (a *operationAttempts) onReply(reply *api.SubmitReply) bool {
	code := result.Code(reply.Code)
	final := code != result.Unavailable && code != result.OutcomeUnknown
	// Once an attempt may have committed, the outcome stays unknown until a later attempt is final.
	if final || code == result.OutcomeUnknown || a.outcome.Code != result.OutcomeUnknown {
		a.outcome = &result.Error{Code: code, Detail: reply.Detail}
	}
	return final
}

// submitAt submits an operation to the head, with the deadline of ctx.
func (s *Service) submitAt(ctx context.Context, head string, operation *api.Operation) *api.SubmitReply {
	deadline, _ := ctx.Deadline()
	if head == s.self {
		return s.submitHere(ctx, operation, s.clock.at(deadline))
	}
	headDeadline := s.peerClocks.instantAt(head, deadline)
	if headDeadline == nil {
		headDeadline = s.requestClock(ctx, head, deadline)
	}
	if headDeadline == nil {
		return &api.SubmitReply{Code: uint32(result.Unavailable), Detail: "the head can't be reached"}
	}
	reply, err := s.submitTo(ctx, head, &api.SubmitRequest{Operation: operation, Deadline: headDeadline})
	if err != nil {
		return &api.SubmitReply{Code: uint32(result.OutcomeUnknown), Detail: "the head can't be reached"}
	}
	return reply
}

// requestClock requests the head's clock, and returns the deadline on it, or nil if the head does not answer.
func (s *Service) requestClock(ctx context.Context, head string, deadline time.Time) *api.Instant {
	if _, err := s.submitTo(ctx, head, &api.SubmitRequest{}); err != nil {
		return nil
	}
	return s.peerClocks.instantAt(head, deadline)
}

// submitTo makes one call to the head, and records its clock.
func (s *Service) submitTo(ctx context.Context, head string, request *api.SubmitRequest) (*api.SubmitReply, error) {
	reply, err := api.NewControlProtobufClient("http://"+head, s.client).Submit(ctx, request)
	if err != nil {
		return nil, err
	}
	s.peerClocks.onClockReading(head, reply.Clock, time.Now())
	return reply, nil
}
