package controlplane

import (
	"context"
	"time"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/result"
	"marlreel/internal/controlplane/state"
	"marlreel/internal/process/logevent"
)

// forwardTimeout bounds a forwarded call: the original caller waits no longer than that.
const forwardTimeout = 600 * time.Millisecond

// Lease implements api.Control: a holder renews or releases its leases. The head answers; others forward the request.
func (s *Service) Lease(ctx context.Context, request *api.LeaseRequest) (*api.LeaseReply, error) {
	head := s.chainStatus(ctx).Head
	if head != "" && head != s.self {
		return s.forwardLease(ctx, head, request)
	}
	reply, answered := await(ctx, func(answer func(*api.LeaseReply)) {
		s.runner.ReadAtHead(func(code result.Code, machine *state.Machine) { answer(s.leaseReply(request, code, machine)) })
	})
	if !answered {
		return &api.LeaseReply{Code: uint32(result.Unavailable)}, nil
	}
	return reply, nil
}

// leaseReply renews or releases leases, based on the head's state. machine is nil if the state can't be read.
func (s *Service) leaseReply(request *api.LeaseRequest, code result.Code, machine *state.Machine) *api.LeaseReply {
	reply := &api.LeaseReply{Code: uint32(code)}
	if machine == nil {
		return reply
	}
	reply.Renewed = s.leases.manager.Renew(request.Holder, request.Release, machine.Leases())
	reply.ValidMs = uint32(s.leases.manager.GrantDuration().Milliseconds())
	return reply
}

// forwardLease forwards a request to the head, but only once: two processes may each consider the other the head.
func (s *Service) forwardLease(ctx context.Context, head string, request *api.LeaseRequest) (*api.LeaseReply, error) {
	if request.Forwarded {
		return &api.LeaseReply{Code: uint32(result.Unavailable)}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	forwarded := &api.LeaseRequest{Holder: request.Holder, Release: request.Release, Forwarded: true}
	return api.NewControlProtobufClient("http://"+head, s.client).Lease(ctx, forwarded)
}

// submitGrant submits a grant, which is committed only if this process is still the head of the view in which it was
// decided: a later head may have renewed the lease of the previous holder.
func (s *Service) submitGrant(grant *api.Operation, view uint64) {
	deadline := s.clock.at(time.Now().Add(operationTimeout))
	s.runner.SubmitInView(grant, view, deadline, func(code result.Code, detail string) {
		if code.Succeeded() {
			return
		}
		s.log.V(1).Info(logevent.LeaseGrantFailed, logevent.KeyLease, grant.GetGrant().GetKey(), logevent.KeyView, view,
			logevent.KeyCode, code.String(), logevent.KeyDetail, detail)
	})
}
