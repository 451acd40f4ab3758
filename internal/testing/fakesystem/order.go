package fakesystem

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// shortOrderTime is the duration of loading or unloading an adapter and of unloading a model.
	shortOrderTime = 20 * time.Millisecond
	// reloadSpeedup is the factor by which a model loads faster if it was loaded before.
	reloadSpeedup = 3
)

// ReceivedOrder is an order that has arrived, whether it was executed or rejected.
type ReceivedOrder struct {
	At           time.Time
	Holder       string // of the placement lease
	FencingToken uint64
}

// orderBody is an order to load or unload a model or an adapter.
type orderBody struct {
	Operation    string  `json:"operation"`
	Model        string  `json:"model"`
	Adapter      string  `json:"adapter"`
	Revision     *uint64 `json:"if_revision"`
	Holder       string  `json:"holder"`
	FencingToken uint64  `json:"fence_number"`
}

const loadOperation = "model_load"

// handleOrder starts an order or rejects it.
func (b *Backend) handleOrder(ctx *fasthttp.RequestCtx) {
	var order orderBody
	err := json.Unmarshal(ctx.PostBody(), &order)
	if err != nil || order.Holder == "" || order.FencingToken == 0 {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if b.isForOther(&ctx.Request.Header) {
		rejectUnexecuted(ctx, fasthttp.StatusMisdirectedRequest)
		return
	}
	ctx.SetStatusCode(b.begin(order))
}

// begin starts an order and returns the HTTP status of the response.
func (b *Backend) begin(order orderBody) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.receivedOrders = append(b.receivedOrders, ReceivedOrder{At: time.Now(), Holder: order.Holder, FencingToken: order.FencingToken})
	if order.FencingToken < b.fencingToken {
		return fasthttp.StatusPreconditionFailed
	}
	b.fencingToken = order.FencingToken
	isOutdated := order.Revision != nil && *order.Revision != b.orderCount
	if b.isOrderRunning || isOutdated {
		return fasthttp.StatusConflict
	}
	duration, complete := b.planOrder(order)
	if complete == nil {
		return fasthttp.StatusOK
	}
	b.orderCount++
	b.isOrderRunning = true
	time.AfterFunc(duration, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.isOrderRunning = false
		complete()
	})
	return fasthttp.StatusAccepted
}

// planOrder returns the duration of an order and the function that completes it, or nil if there is nothing to do. The
// caller holds the lock, also when it calls complete.
func (b *Backend) planOrder(order orderBody) (duration time.Duration, complete func()) {
	isLoad := order.Operation == loadOperation
	switch {
	case isLoad && order.Adapter != "":
		return b.planAdapterLoad(order.Model, order.Adapter)
	case isLoad:
		return b.planModelLoad(order.Model)
	case order.Adapter != "":
		return b.planAdapterUnload(order.Model, order.Adapter)
	}
	return b.planModelUnload(order.Model)
}

func (b *Backend) planAdapterLoad(model, adapter string) (time.Duration, func()) {
	adapters, loaded := b.adapters[model]
	if !loaded || adapters[adapter] {
		return 0, nil
	}
	return shortOrderTime, func() { adapters[adapter] = true }
}

func (b *Backend) planModelLoad(model string) (time.Duration, func()) {
	if _, loaded := b.adapters[model]; loaded {
		return 0, nil
	}
	usedMB := b.cfg.SizesMB[model]
	for other := range b.adapters {
		usedMB += b.cfg.SizesMB[other]
	}
	if usedMB > b.cfg.CapacityMB {
		b.violations = append(b.violations, fmt.Sprintf("%s: order raises the loaded models to %v MB, above the capacity", b.cfg.ID, usedMB))
	}
	duration := b.cfg.LoadTimes[model]
	if b.everLoaded[model] {
		duration /= reloadSpeedup
	}
	return duration, func() {
		b.adapters[model] = map[string]bool{}
		b.everLoaded[model] = true
	}
}

func (b *Backend) planAdapterUnload(model, adapter string) (time.Duration, func()) {
	adapters := b.adapters[model]
	if !adapters[adapter] {
		return 0, nil
	}
	return shortOrderTime, func() { delete(adapters, adapter) }
}

func (b *Backend) planModelUnload(model string) (time.Duration, func()) {
	if _, loaded := b.adapters[model]; !loaded {
		return 0, nil
	}
	delete(b.adapters, model) // rejects new requests for the model
	return shortOrderTime, func() {}
}
