package controlplane

import (
	"context"
	"time"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/result"
	"marlreel/internal/process/timing"
)

const (
	// operationTimeout is for how long an operation is attempted before it is answered. Callers turn to another process after
	// a second; lowering it answers more operations with unavailable while a new view is agreed on.
	operationTimeout = 850 * time.Millisecond
	// attemptInterval is the pause between two attempts.
	attemptInterval = 40 * time.Millisecond
)

// CommitOperation has an operation done, wherever the head is, and attempts that again while there is time: operations
// are idempotent. It goes on though its caller leaves, as the operation may be on its way.
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

// operationAttempts follows the attempts at one operation.
type operationAttempts struct {
	outcome *result.Error // as far as it is known
}

func newOperationAttempts() *operationAttempts {
	return &operationAttempts{result.Errorf(result.Unavailable, "no head is known")}
}

// onReply handles the answer to an attempt. It returns whether that is the outcome of the operation.
func (a *operationAttempts) onReply(reply *api.SubmitReply) bool {
	code := result.Code(reply.Code)
	final := code != result.Unavailable && code != result.OutcomeUnknown
	// What may have been done stays unclear, whatever later attempts say.
	if final || code == result.OutcomeUnknown || a.outcome.Code != result.OutcomeUnknown {
		a.outcome = &result.Error{Code: code, Detail: reply.Detail}
	}
	return final
}

// submitAt has an operation done by the head, if it gets there before ctx ends.
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

// requestClock requests the head's clock, and returns the deadline by it; nil: the head does not answer.
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
