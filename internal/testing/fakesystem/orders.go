package fakesystem

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// smallOrder is how long an adapter takes to come, and a model to leave.
const smallOrder = 20 * time.Millisecond

type orderBody struct {
	Operation string  `json:"operation"`
	Model     string  `json:"model"`
	Adapter   string  `json:"adapter"`
	Revision  *uint64 `json:"if_revision"`
	Holder    string  `json:"holder"`
	Fence     uint64  `json:"fence_number"`
}

// order carries an order out, after its time, or turns it away.
func (b *Backend) order(ctx *fasthttp.RequestCtx) {
	var o orderBody
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil || o.Holder == "" || o.Fence == 0 {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if expected := string(ctx.Request.Header.Peek("Expected-Backend")); expected != "" && expected != b.cfg.ID {
		turnAway(ctx, fasthttp.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seen = append(b.seen, ReceivedOrder{time.Now(), o.Holder, o.Fence})
	if o.Fence < b.fence {
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
		return
	}
	b.fence = o.Fence
	if b.busy || o.Revision != nil && *o.Revision != b.orders {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	after, done := b.plan(o)
	if done == nil {
		ctx.SetStatusCode(fasthttp.StatusOK)
		return
	}
	b.orders++
	b.busy = true
	time.AfterFunc(after, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.busy = false
		done()
	})
	ctx.SetStatusCode(fasthttp.StatusAccepted)
}

// plan gives how long an order takes and what it does; nil: there is nothing to do. Called
// with the lock.
func (b *Backend) plan(o orderBody) (time.Duration, func()) {
	adapters, holds := b.held[o.Model]
	switch {
	case o.Operation == "model_load" && o.Adapter != "":
		if !holds || adapters[o.Adapter] {
			return 0, nil
		}
		return smallOrder, func() { adapters[o.Adapter] = true }
	case o.Operation == "model_load":
		if holds {
			return 0, nil
		}
		used := b.cfg.SizesMB[o.Model]
		for model := range b.held {
			used += b.cfg.SizesMB[model]
		}
		if used > b.cfg.CapacityMB {
			b.faults = append(b.faults, fmt.Sprintf("%s is told to hold %v MB", b.cfg.ID, used))
		}
		took := b.cfg.LoadTimes[o.Model]
		if b.had[o.Model] {
			took /= 3
		}
		return took, func() { b.held[o.Model], b.had[o.Model] = map[string]bool{}, true }
	case o.Adapter != "":
		if !adapters[o.Adapter] {
			return 0, nil
		}
		return smallOrder, func() { delete(adapters, o.Adapter) }
	}
	if !holds {
		return 0, nil
	}
	delete(b.held, o.Model) // nothing new begins on it
	return smallOrder, func() {}
}
