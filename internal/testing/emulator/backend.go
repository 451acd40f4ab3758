package emulator

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// execution is an attempt that runs on a backend.
type execution struct {
	request      *request
	priority     int
	order        int
	promptLeft   int // prompt tokens still to be processed
	outputLeft   int
	promptRead   int // prompt tokens processed
	written      int
	eventAt      time.Duration // time of the last event
	started      bool
	cancelled    bool // by the proxy, or set on completion
	onFirstToken func()
	onPause      func() // called when the time between two events exceeds Engine.MaxPause
	onEnd        func()
	onReject     func() // called if the backend does not execute the request
}

// backend is a model backend. Each step of its batch processes prompt chunks and decodes a token of each running request.
type backend struct {
	sim            *simulation
	id             string
	zone           int
	loaded         map[string]map[string]bool // adapters by model
	everLoaded     map[string]bool
	cachedPrefixes map[string]bool // prompt prefixes processed before, as MODEL/KIND
	executions     []*execution
	arrivals       int
	stepping       bool
	revision       uint64
	busy           bool   // an order is running
	unloading      string // model whose unload waits for its requests; empty: none
	unloaded       func()
}

// accept starts an execution or rejects it.
func (b *backend) accept(r *execution) {
	q := r.request
	adapters, loaded := b.loaded[q.model]
	switch {
	case !loaded || q.adapter != "" && !adapters[q.adapter] || b.unloading == q.model:
		r.onReject()
		return
	case len(b.executions) >= b.sim.cfg.Engine.Slots:
		r.onReject()
		return
	}
	b.arrivals++
	r.order, r.promptLeft, r.outputLeft = b.arrivals, q.promptTokens, q.outputTokens
	prefix := q.model + "/" + q.kind.Name
	if !b.cachedPrefixes[prefix] {
		b.cachedPrefixes[prefix] = true
		r.promptLeft += q.kind.SharedTokens
	}
	b.executions = append(b.executions, r)
	if !b.stepping {
		b.step()
	}
}

// pendingPrefillMS returns the prefill time, in milliseconds, of executions without a first token.
func (b *backend) pendingPrefillMS() float64 {
	tokens := 0
	for _, r := range b.executions {
		if !r.started && !r.cancelled {
			tokens += r.promptLeft
		}
	}
	return float64(tokens) / b.sim.cfg.Engine.PrefillTokensPerMS
}

// step runs one step of the batch: prompt chunks, and one token of each response whose prefill is complete.
func (b *backend) step() {
	b.executions = slices.DeleteFunc(b.executions, func(r *execution) bool { return r.cancelled })
	b.unloadIdle()
	if len(b.executions) == 0 {
		b.stepping = false
		return
	}
	b.stepping = true
	e := &b.sim.cfg.Engine
	slices.SortStableFunc(b.executions, func(x, y *execution) int {
		return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(x.order, y.order))
	})
	budget, pairs := e.PrefillChunk, 0.0
	var writing []*execution
	for _, r := range b.executions {
		read := min(budget, r.promptLeft)
		r.promptLeft -= read
		r.promptRead += read
		pairs += float64(read) * float64(r.promptRead)
		budget -= read
		if r.promptLeft == 0 {
			writing = append(writing, r)
		}
	}
	span := e.StepTime + time.Duration(len(b.executions))*e.StepTimePerRequest + milliseconds(float64(e.PrefillChunk-budget)/e.PrefillTokensPerMS+pairs/1e6*e.AttentionMSPerMPairs)
	b.sim.clock.after(span, func() { b.endStep(writing) })
}

// endStep ends a step: each execution whose prefill is complete has one more token.
func (b *backend) endStep(writing []*execution) {
	for _, r := range writing {
		if r.cancelled {
			continue
		}
		b.decodeToken(r)
		if r.outputLeft--; r.outputLeft <= 0 {
			r.cancelled = true
			r.onEnd()
		}
	}
	b.step()
}

// decodeToken adds one token to a response. Each event carries TokensPerEvent tokens.
func (b *backend) decodeToken(r *execution) {
	e, now := &b.sim.cfg.Engine, b.sim.clock.now
	if !r.started {
		r.started, r.eventAt = true, now
		r.onFirstToken()
	}
	if r.written++; r.written%max(1, e.TokensPerEvent) != 0 {
		return
	}
	if now-r.eventAt > e.MaxPause {
		r.onPause()
	}
	r.eventAt = now
}

// load starts a load order and calls done on completion.
func (b *backend) load(model, adapter string, done func()) {
	b.busy = true
	b.revision++
	span := 5 * time.Millisecond
	if adapter == "" {
		span = b.sim.loadTime(b.everLoaded[model])
	}
	b.sim.clock.after(span, func() {
		if adapter == "" {
			b.loaded[model], b.everLoaded[model] = map[string]bool{}, true
		} else if b.loaded[model] != nil {
			b.loaded[model][adapter] = true
		}
		b.busy = false
		done()
	})
}

// unload starts an unload order. The unload of a model waits for its running executions.
func (b *backend) unload(model, adapter string, done func()) {
	b.busy = true
	b.revision++
	if adapter != "" {
		delete(b.loaded[model], adapter)
		b.busy = false
		done()
		return
	}
	b.unloading, b.unloaded = model, done
	b.unloadIdle()
}

// unloadIdle completes a pending unload order once no execution uses the model.
func (b *backend) unloadIdle() {
	if b.unloading == "" || slices.ContainsFunc(b.executions, func(r *execution) bool { return !r.cancelled && r.request.model == b.unloading }) {
		return
	}
	for prefix := range b.cachedPrefixes {
		if strings.HasPrefix(prefix, b.unloading+"/") {
			delete(b.cachedPrefixes, prefix)
		}
	}
	delete(b.loaded, b.unloading)
	done := b.unloaded
	b.unloading, b.unloaded, b.busy = "", nil, false
	done()
}

// loadedNames returns the loaded models with their adapters, as the backend reports them.
func (b *backend) loadedNames() map[string][]string {
	loaded := map[string][]string{}
	for model, adapters := range b.loaded {
		names := []string{}
		for name := range adapters {
			names = append(names, name)
		}
		slices.Sort(names)
		loaded[model] = names
	}
	return loaded
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
