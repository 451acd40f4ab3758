package controlplane

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/state"
	"marlreel/internal/quota/shard"
)

// quotaStatusTimeout bounds the call to each owner of quotas, and so the operator's wait for one that has failed.
const quotaStatusTimeout = 500 * time.Millisecond

// QuotaStatus is a tenant's quota as counted by its owner. Figures are requests or tokens, by the tenant's unit.
type QuotaStatus struct {
	Subscriber string  `json:"subscriber"`
	Shard      uint32  `json:"shard"`
	Owner      string  `json:"owner"`
	RatePerS   float64 `json:"rate_per_s"`
	BurstSize  float64 `json:"burst_size"`
	Level      float64 `json:"level"`    // available now
	Capacity   float64 `json:"capacity"` // the maximum of Level
	Granted    float64 `json:"granted"`  // since the owner took over
	Refused    uint64  `json:"refused"`  // requests refused since the owner took over
	OwnedMS    uint64  `json:"owned_ms"` // time since the owner took over
}

// QuotaReport holds the quotas of all tenants that have one, and the shards whose owners did not answer.
type QuotaReport struct {
	Quotas       []QuotaStatus `json:"quotas"`
	Unresponsive []string      `json:"unresponsive_shards,omitempty"`
}

// handleQuotas answers with a QuotaReport.
func (s *Service) handleQuotas(ctx *fasthttp.RequestCtx) {
	body, _ := json.Marshal(s.quotaReport()) // a struct of plain fields always marshals
	respondJSON(ctx, body)
}

// quotaReport queries all owners of quotas in parallel.
func (s *Service) quotaReport() *QuotaReport {
	report := &QuotaReport{Quotas: []QuotaStatus{}}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for address, shards := range s.quotaOwners() {
		calls.Go(func() {
			call, cancel := context.WithTimeout(context.Background(), quotaStatusTimeout)
			defer cancel()
			reply, err := api.NewQuotaOwnerProtobufClient("http://"+address, s.client).ReadQuotas(call, &api.QuotaStatusRequest{})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				report.Unresponsive = append(report.Unresponsive, shards...)
				return
			}
			for _, quota := range reply.Quotas {
				report.Quotas = append(report.Quotas, quotaStatus(reply.Node, quota))
			}
		})
	}
	calls.Wait()
	slices.Sort(report.Unresponsive)
	slices.SortFunc(report.Quotas, func(a, b QuotaStatus) int {
		return cmp.Or(strings.Compare(a.Subscriber, b.Subscriber), strings.Compare(a.Owner, b.Owner))
	})
	return report
}

// quotaOwners returns the lease keys of the shards, by the address of the agent that holds the lease.
func (s *Service) quotaOwners() map[string][]string {
	owners := map[string][]string{}
	s.feed.ReadState(func(machine *state.Machine) {
		for number := range shard.Count {
			if lease := machine.Lease(shard.LeaseKey(number)); lease != nil {
				owners[lease.Address] = append(owners[lease.Address], lease.Key)
			}
		}
	})
	return owners
}

func quotaStatus(node string, q *api.QuotaStatus) QuotaStatus {
	return QuotaStatus{
		Subscriber: q.Subscriber, Shard: q.Shard, Owner: node, RatePerS: q.RatePerS, BurstSize: q.BurstSize,
		Level: q.Level, Capacity: q.Capacity, Granted: q.Granted, Refused: q.Refused, OwnedMS: q.OwnedMs,
	}
}
