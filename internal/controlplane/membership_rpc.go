package controlplane

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"marlreel/internal/api"
)

// maxWatchWait bounds how long a watch waits for an update.
const maxWatchWait = 10 * time.Second

// Share implements api.Control: it receives a membership update from another control process.
func (s *Service) Share(_ context.Context, update *api.MembershipUpdate) (*api.Empty, error) {
	if !s.membership.OnPeerUpdate(update) {
		return nil, twirp.NewError(twirp.FailedPrecondition, "a backend that lives is not known here: all is needed")
	}
	return &api.Empty{}, nil
}

// Watch implements api.Control: it answers a node with the changes of the state since the node's position.
func (s *Service) Watch(ctx context.Context, request *api.WatchRequest) (*api.WatchReply, error) {
	if request.Subscriber != "" {
		s.membership.OnWatch(request.Subscriber)
	}
	wait := min(maxWatchWait, time.Duration(request.WaitMs)*time.Millisecond)
	reply := s.feed.HandleWatch(ctx, request, wait)
	if err := s.transfers.admit(s.clock.now(), reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Renew implements api.Control: it receives a node's keepalive.
func (s *Service) Renew(_ context.Context, request *api.RenewRequest) (*api.RenewReply, error) {
	if request.Node.GetName() == "" {
		return nil, twirp.RequiredArgumentError("node")
	}
	s.membership.OnNodeCall(request.Node)
	sequence, _ := s.feed.Position()
	return &api.RenewReply{Sequence: sequence}, nil
}

// Observe implements api.Control: it receives an agent's observations of backends.
func (s *Service) Observe(_ context.Context, observed *api.Observations) (*api.Empty, error) {
	s.membership.OnObservations(observed.Observations)
	return &api.Empty{}, nil
}
