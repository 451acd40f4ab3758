package controlplane

import (
	"context"
	"sync/atomic"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"marlreel/internal/api"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/transport"
)

// Service answers the calls of other processes, operators and backends. What only the head or the tail of the chain
// can do it has done there.
type Service struct {
	runner     *ReplicaRunner
	membership *Membership
	leases     *leaseGranter
	feed       *watch.Store
	transfers  *transferLimit
	self       string // this process's address for its peers
	client     *transport.Client
	clock      processClock
	fragments  *reassembler // of messages of other members
	peerClocks peerClocks
	counters   atomic.Pointer[vm.Set]
	log        logr.Logger
}

var (
	_ api.ChainPeer = (*Service)(nil)
	_ api.Control   = (*Service)(nil)
)

// chainStatus returns the status of the chain; its zero value where ctx ends before that is known.
func (s *Service) chainStatus(ctx context.Context) ChainStatus {
	status, _ := await(ctx, s.runner.ChainStatus)
	return status
}

// await returns what is given to a callback. The second result is false where ctx ends before.
func await[A any](ctx context.Context, request func(answer func(A))) (A, bool) {
	answers := make(chan A, 1)
	request(func(answer A) { answers <- answer })
	select {
	case answer := <-answers:
		return answer, true
	case <-ctx.Done():
		var none A
		return none, false
	}
}
