package controlplane

import (
	"context"
	"time"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/result"
	"marlreel/internal/controlplane/state"
)

// Deliver implements api.ChainPeer.
func (s *Service) Deliver(_ context.Context, batch *api.ChainBatch) (*api.Empty, error) {
	if len(batch.Messages) > 0 {
		s.runner.Deliver(batch.Messages)
	}
	if batch.Fragment == nil {
		return &api.Empty{}, nil
	}
	message, err := s.fragments.onFragment(batch.Fragment)
	if err != nil {
		return nil, err
	}
	if message != nil {
		s.runner.Deliver([]*api.ChainMessage{message})
	}
	return &api.Empty{}, nil
}

// Submit implements api.Control. Every process but the head answers Unavailable. The request must carry a deadline on
// this process's clock, so that a request that was delayed in the network is rejected.
func (s *Service) Submit(ctx context.Context, request *api.SubmitRequest) (*api.SubmitReply, error) {
	deadline, ok := s.clock.deadline(request.Deadline)
	reply := &api.SubmitReply{Code: uint32(result.Unavailable), Detail: "until when it may be taken is not said by this process's clock"}
	if ok && request.Operation != nil {
		reply = s.submitHere(ctx, request.Operation, deadline)
	}
	reply.Clock = s.clock.reading()
	return reply, nil
}

// submitHere submits an operation to this process's replica, which rejects it unless it can propose it before the
// deadline, a time on its clock.
func (s *Service) submitHere(ctx context.Context, operation *api.Operation, deadline time.Duration) *api.SubmitReply {
	reply, answered := await(ctx, func(answer func(*api.SubmitReply)) {
		s.runner.Submit(operation, deadline, func(code result.Code, detail string) {
			answer(&api.SubmitReply{Code: uint32(code), Detail: detail})
		})
	})
	if !answered {
		return &api.SubmitReply{Code: uint32(result.OutcomeUnknown), Detail: "no answer in time"}
	}
	return reply
}

// Read implements api.Control. Every process but the tail answers Unavailable.
func (s *Service) Read(ctx context.Context, _ *api.ReadRequest) (*api.ReadReply, error) {
	reply, answered := await(ctx, func(answer func(*api.ReadReply)) {
		s.runner.ReadAtTail(func(code result.Code, machine *state.Machine) { answer(readReply(code, machine)) })
	})
	if !answered {
		return &api.ReadReply{Code: uint32(result.Unavailable)}, nil
	}
	return reply, nil
}

// readReply converts the result of a read to a reply. machine is nil if the state can't be read.
func readReply(code result.Code, machine *state.Machine) *api.ReadReply {
	reply := &api.ReadReply{Code: uint32(code)}
	if machine == nil || machine.Document() == nil {
		return reply
	}
	reply.Version, reply.Document = machine.Version(), machine.Document().Raw()
	return reply
}
