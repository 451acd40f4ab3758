package fakesystem

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"marlreel/internal/process/timing"
)

const (
	// heartbeatTimeout limits the wait for the acknowledgement of a heartbeat.
	heartbeatTimeout = time.Second
	// retryFraction divides the heartbeat interval to give the delay before a failed heartbeat is retried.
	retryFraction = 10
)

// modelState is a loaded model in a heartbeat or report.
type modelState struct {
	Name     string   `json:"name"`
	Version  int      `json:"config_version"`
	Adapters []string `json:"adapter_list"`
}

// modelStates returns the loaded models, sorted by name. The caller holds the lock.
func (b *Backend) modelStates() []modelState {
	states := []modelState{}
	for model, adapters := range b.adapters {
		names := slices.AppendSeq([]string{}, maps.Keys(adapters))
		slices.Sort(names)
		states = append(states, modelState{Name: model, Version: 1, Adapters: names})
	}
	slices.SortFunc(states, func(x, y modelState) int { return strings.Compare(x.Name, y.Name) })
	return states
}

// heartbeatBody returns the body of the next heartbeat.
func (b *Backend) heartbeatBody() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heartbeatCount++
	state := "in_service"
	if b.isDraining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{ // plain values always marshal
		"service": b.cfg.Service, "address": b.cfg.Address, "zone": b.cfg.Zone,
		"config_version": "v1", "slots": b.cfg.Slots, "state": state, "cold_left_ms": 0,
		"phase": "both", "model_list": b.modelStates(), "call_seq": b.heartbeatCount,
	})
	return body
}

// sendHeartbeats sends heartbeats until ctx ends: to the address that the last acknowledgement gave, or else to the
// control processes in turn.
func (b *Backend) sendHeartbeats(ctx context.Context) {
	attempt := 0
	for ctx.Err() == nil {
		controls := b.cfg.Controls()
		target := b.heartbeatTarget
		if target == "" {
			target = controls[attempt%len(controls)]
		}
		if !b.sendHeartbeat(target) {
			b.heartbeatTarget = ""
			attempt++
			timing.Sleep(ctx, b.cfg.HeartbeatInterval/retryFraction)
			continue
		}
		timing.Sleep(ctx, b.cfg.HeartbeatInterval)
	}
}

// sendHeartbeat sends one heartbeat, and reports whether it was acknowledged.
func (b *Backend) sendHeartbeat(control string) bool {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + control + "/marlreel/backends/" + b.cfg.ID + "/heartbeat")
	request.SetBody(b.heartbeatBody())
	err := b.client.DoTimeout(request, response, heartbeatTimeout)
	if err != nil || response.StatusCode() != fasthttp.StatusOK {
		return false
	}
	var reply struct {
		Address string `json:"beat_address"`
	}
	if json.Unmarshal(response.Body(), &reply) == nil && reply.Address != "" {
		b.heartbeatTarget = reply.Address
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drainAcknowledged = b.isDraining
	return true
}
