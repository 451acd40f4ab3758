package controlplane

import (
	"context"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/result"
	"marlreel/internal/process/timing"
)

// Configuration reads the newest configuration from the tail, on whichever process that is. Its error is Unavailable:
// no tail has answered within operationTimeout.
func (s *Service) Configuration() (*api.ReadReply, *result.Error) {
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if reply := s.readAtTail(ctx); reply != nil {
			return reply, nil
		}
		timing.Sleep(ctx, attemptInterval)
	}
	return nil, result.Errorf(result.Unavailable, "no tail answers")
}

// readAtTail makes one attempt. It returns nil if that fails.
func (s *Service) readAtTail(ctx context.Context) *api.ReadReply {
	tail := s.chainStatus(ctx).Tail
	if tail == "" {
		return nil
	}
	reply, err := s.readAt(ctx, tail)
	if err != nil || result.Code(reply.Code) != result.Committed {
		return nil
	}
	return reply
}

// readAt reads the state from the process at an address.
func (s *Service) readAt(ctx context.Context, address string) (*api.ReadReply, error) {
	if address == s.self {
		return s.Read(ctx, &api.ReadRequest{})
	}
	return api.NewControlProtobufClient("http://"+address, s.client).Read(ctx, &api.ReadRequest{})
}
