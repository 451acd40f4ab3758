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

// Service answers the calls of other processes, operators and backends. It forwards requests that only the head or the
// tail of the chain can answer.
type Service struct {
	runner     *ReplicaRunner
	membership *Membership
	leases     *leaseGranter
	feed       *watch.Store
	transfers  *transferLimit
	self       string // the address of this process for its peers
	client     *transport.Client
	clock      processClock
	fragments  *reassembler // of messages from other members
	peerClocks peerClocks
	counters   atomic.Pointer[vm.Set]
	log        logr.Logger
}

var (
	_ api.ChainPeer = (*Service)(nil)
	_ api.Control   = (*Service)(nil)
)

// chainStatus returns the status of the chain, or the zero value if ctx ends first.
func (s *Service) chainStatus(ctx context.Context) ChainStatus {
	status, _ := await(ctx, s.runner.ChainStatus)
	return status
}

// await calls request and returns what that passes to its callback. The second result is false if ctx ends first.
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
