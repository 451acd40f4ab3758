package controlplane

import (
	"context"
	"sync/atomic"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/twitchtv/twirp"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/result"
	"marlreel/internal/controlplane/state"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/transport"
)

const (
	// orderTimeout is how long an order is tried before it is answered: callers turn to
	// another process after a second.
	orderTimeout = 850 * time.Millisecond
	// attemptInterval is the pause between two tries.
	attemptInterval = 40 * time.Millisecond
	// forwardTimeout bounds a call that is passed on: its caller waits for no longer.
	forwardTimeout = 600 * time.Millisecond
	// maxWatchWait bounds how long a reader of the feed is kept waiting.
	maxWatchWait = 10 * time.Second
)

// Service offers control's calls to other processes, and does orders for them: here if
// this process can, or else through the one that can.
type Service struct {
	runner     *ReplicaRunner
	membership *Membership
	leases     *leaseManager
	feed       *watch.Store
	self       string
	client     *transport.Client
	fragments  *reassembler // messages of other members that come in parts
	clocks     peerClocks   // of other control processes
	counters   atomic.Pointer[vm.Set]
}

// Deliver implements api.ChainPeer.
func (s *Service) Deliver(_ context.Context, batch *api.ChainBatch) (*api.Empty, error) {
	if len(batch.Messages) > 0 {
		s.runner.Deliver(batch.Messages)
	}
	if batch.Fragment != nil {
		message, err := s.fragments.OnFragment(batch.Fragment)
		if err != nil {
			return nil, err
		}
		if message != nil {
			s.runner.Deliver([]*api.ChainMessage{message})
		}
	}
	return &api.Empty{}, nil
}

// Submit implements api.Control: only the head answers otherwise than unavailable. What was held
// up on its way is not taken: it has to say until when it may be, by the clock of this process.
func (s *Service) Submit(ctx context.Context, request *api.SubmitRequest) (*api.SubmitReply, error) {
	until, ok := s.runner.deadlineOf(request.Deadline)
	reply := &api.SubmitReply{Code: uint32(result.Unavailable), Detail: "until when it may be taken is not said by this process's clock"}
	if ok && request.Operation != nil {
		reply = s.submitHere(ctx, request.Operation, until)
	}
	reply.Clock = s.runner.ClockReading()
	return reply, nil
}

func (s *Service) submitHere(ctx context.Context, operation *api.Operation, until time.Duration) *api.SubmitReply {
	answers := make(chan *api.SubmitReply, 1)
	s.runner.Submit(operation, until, func(code result.Code, detail string) {
		answers <- &api.SubmitReply{Code: uint32(code), Detail: detail}
	})
	select {
	case answer := <-answers:
		return answer
	case <-ctx.Done():
		return &api.SubmitReply{Code: uint32(result.OutcomeUnknown), Detail: "no answer in time"}
	}
}

// Read implements api.Control: only the tail answers otherwise than unavailable.
func (s *Service) Read(ctx context.Context, _ *api.ReadRequest) (*api.ReadReply, error) {
	answers := make(chan *api.ReadReply, 1)
	s.runner.ReadState(false, func(code result.Code, machine *state.Machine) {
		reply := &api.ReadReply{Code: uint32(code)}
		if machine != nil && machine.Document() != nil {
			reply.Version, reply.Document = machine.Version(), machine.Document().Raw()
		}
		answers <- reply
	})
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		return &api.ReadReply{Code: uint32(result.Unavailable)}, nil
	}
}

// Share implements api.Control.
func (s *Service) Share(_ context.Context, reports *api.MembershipUpdate) (*api.Empty, error) {
	if !s.membership.OnPeerUpdate(reports) {
		return nil, twirp.NewError(twirp.FailedPrecondition, "a backend that lives is not known here: all is needed")
	}
	return &api.Empty{}, nil
}

// Watch implements api.Control.
func (s *Service) Watch(ctx context.Context, request *api.WatchRequest) (*api.WatchReply, error) {
	if request.Subscriber != "" {
		s.membership.OnWatch(request.Subscriber)
	}
	wait := min(maxWatchWait, time.Duration(request.WaitMs)*time.Millisecond)
	return s.feed.HandleWatch(ctx, request, wait), nil
}

// Renew implements api.Control.
func (s *Service) Renew(_ context.Context, request *api.RenewRequest) (*api.RenewReply, error) {
	if request.Node.GetName() == "" {
		return nil, twirp.RequiredArgumentError("node")
	}
	s.membership.OnNodeCall(request.Node)
	sequence, _ := s.feed.Position()
	return &api.RenewReply{Sequence: sequence}, nil
}

// Lease implements api.Control: the head answers, and others pass the question on to it.
func (s *Service) Lease(ctx context.Context, request *api.LeaseRequest) (*api.LeaseReply, error) {
	head := s.chainStatus(ctx).Head
	if head != "" && head != s.self {
		return s.forwardLease(ctx, head, request)
	}
	answers := make(chan *api.LeaseReply, 1)
	s.runner.ReadState(true, func(code result.Code, machine *state.Machine) {
		reply := &api.LeaseReply{Code: uint32(code)}
		if machine != nil {
			reply.Renewed = s.leases.renew(request.Holder, request.Release, machine)
			reply.ValidMs = uint32(s.leases.valid.Milliseconds())
		}
		answers <- reply
	})
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		return &api.LeaseReply{Code: uint32(result.Unavailable)}, nil
	}
}

// forwardLease passes the question on, once: two processes may each take the other one for the head.
func (s *Service) forwardLease(ctx context.Context, head string, request *api.LeaseRequest) (*api.LeaseReply, error) {
	if request.Forwarded {
		return &api.LeaseReply{Code: uint32(result.Unavailable)}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	passed := &api.LeaseRequest{Holder: request.Holder, Release: request.Release, Forwarded: true}
	return api.NewControlProtobufClient("http://"+head, s.client).Lease(ctx, passed)
}

// Observe implements api.Control. What an agent tells is passed on to the other control
// processes.
func (s *Service) Observe(_ context.Context, seen *api.Observations) (*api.Empty, error) {
	s.membership.OnObservations(seen.Observations)
	return &api.Empty{}, nil
}

// chainStatus asks where the chain's ends are.
func (s *Service) chainStatus(ctx context.Context) ChainStatus {
	answers := make(chan ChainStatus, 1)
	s.runner.ChainStatus(func(standing ChainStatus) { answers <- standing })
	select {
	case standing := <-answers:
		return standing
	case <-ctx.Done():
		return ChainStatus{}
	}
}

// grant has a role granted, if this process is the head of the view in which that was decided. Nobody else may: a
// later head may have renewed the lease of the holder before.
func (s *Service) grant(operation *api.Operation, view uint64) {
	s.runner.SubmitInView(operation, view, s.runner.monotonic(time.Now().Add(orderTimeout)), func(code result.Code, detail string) {
		if !code.Succeeded() {
			s.leases.log.V(1).Info("a grant came to nothing", "event", "role", "code", code.String(), "detail", detail)
		}
	})
}

// Order has an operation done, wherever the head is, and tries again while there is time:
// the same operation has its effect only once.
func (s *Service) Order(operation *api.Operation) *result.Error {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	tries := newOrderAttempts()
	for ctx.Err() == nil {
		head := s.chainStatus(ctx).Head
		if head != "" && tries.OnReply(s.submitAt(ctx, head, operation)) {
			break
		}
		sleep(ctx, attemptInterval)
	}
	s.countOrder(tries.outcome)
	return tries.outcome
}

// orderAttempts follows the tries of one order.
type orderAttempts struct {
	outcome *result.Error // as far as it is known
}

func newOrderAttempts() *orderAttempts {
	return &orderAttempts{result.Errorf(result.Unavailable, "no head is known")}
}

// OnReply takes in the answer to a try. It tells whether that is the order's outcome.
func (t *orderAttempts) OnReply(reply *api.SubmitReply) (final bool) {
	code := result.Code(reply.Code)
	final = code != result.Unavailable && code != result.OutcomeUnknown
	// What may have been taken stays unclear, whatever later tries say.
	if final || code == result.OutcomeUnknown || t.outcome.Code != result.OutcomeUnknown {
		t.outcome = &result.Error{Code: code, Detail: reply.Detail}
	}
	return final
}

// submitAt has an operation done by the head, if it gets there before ctx ends.
func (s *Service) submitAt(ctx context.Context, head string, operation *api.Operation) *api.SubmitReply {
	deadline, _ := ctx.Deadline()
	if head == s.self {
		return s.submitHere(ctx, operation, s.runner.monotonic(deadline))
	}
	until := s.clocks.instantAt(head, deadline)
	if until == nil {
		until = s.askClock(ctx, head, deadline)
	}
	if until == nil {
		return &api.SubmitReply{Code: uint32(result.Unavailable), Detail: "the head can't be reached"}
	}
	reply, err := s.submitTo(ctx, head, &api.SubmitRequest{Operation: operation, Deadline: until})
	if err != nil {
		return &api.SubmitReply{Code: uint32(result.OutcomeUnknown), Detail: "the head can't be reached"}
	}
	return reply
}

// askClock asks the head for its clock, and gives a deadline by it; nil: it does not answer.
func (s *Service) askClock(ctx context.Context, head string, deadline time.Time) *api.Instant {
	if _, err := s.submitTo(ctx, head, &api.SubmitRequest{}); err != nil {
		return nil
	}
	return s.clocks.instantAt(head, deadline)
}

// submitTo makes one call to the head, and notes its clock.
func (s *Service) submitTo(ctx context.Context, head string, request *api.SubmitRequest) (*api.SubmitReply, error) {
	reply, err := api.NewControlProtobufClient("http://"+head, s.client).Submit(ctx, request)
	if err != nil {
		return nil, err
	}
	s.clocks.OnClockReading(head, reply.Clock, time.Now())
	return reply, nil
}

// Configuration reads the newest configuration, wherever the tail is.
func (s *Service) Configuration() (*api.ReadReply, *result.Error) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if tail := s.chainStatus(ctx).Tail; tail != "" {
			reply, err := s.readAt(ctx, tail)
			if err == nil && result.Code(reply.Code) == result.Committed {
				return reply, nil
			}
		}
		sleep(ctx, attemptInterval)
	}
	return nil, result.Errorf(result.Unavailable, "no tail answers")
}

func (s *Service) readAt(ctx context.Context, tail string) (*api.ReadReply, error) {
	if tail == s.self {
		return s.Read(ctx, &api.ReadRequest{})
	}
	return api.NewControlProtobufClient("http://"+tail, s.client).Read(ctx, &api.ReadRequest{})
}

func sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
