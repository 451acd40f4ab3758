package fakesystem

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

func (b *Backend) handle(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set("Backend-Id", b.cfg.ID)
	switch string(ctx.Path()) {
	case "/health":
		b.handleHealthCheck(ctx)
	case "/marlreel/report":
		b.handleReport(ctx)
	case "/marlreel/order":
		b.handleOrder(ctx)
	default:
		b.handleRequest(ctx)
	}
}

func (b *Backend) handleHealthCheck(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(fasthttp.StatusOK)
	if b.draining() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (b *Backend) handleReport(ctx *fasthttp.RequestCtx) {
	b.mu.Lock()
	defer b.mu.Unlock()
	body, _ := json.Marshal(map[string]any{ // plain values always marshal
		"phase": "both", "model_list": b.modelStates(), "occupied": b.isOrderRunning, "call_seq": b.orderCount,
		"queued": 0, "active": b.running, "kv_in_use": 0, "kv_limit": 1,
	})
	ctx.SetBody(body)
}

// rejectUnexecuted rejects a request and marks it as not executed.
func rejectUnexecuted(ctx *fasthttp.RequestCtx, status int) {
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set("Not-Executed", "1")
}

// isForOther reports whether a request was meant for another backend that had this address before.
func (b *Backend) isForOther(header *fasthttp.RequestHeader) bool {
	expected := string(header.Peek("Expected-Backend"))
	return expected != "" && expected != b.cfg.ID
}

// modelRequest holds the parameters in the headers of a client's request.
type modelRequest struct {
	id             string
	model, adapter string // empty if none
	lastEventID    int
	prompt         string // PART:TOKENS, separated by commas
	outputTokens   int
	header         http.Header
}

func readModelRequest(header *fasthttp.RequestHeader) modelRequest {
	r := modelRequest{id: string(header.Peek("Request-Id")), prompt: string(header.Peek("Prompt-Prefix")), header: http.Header{}}
	for name, value := range header.All() {
		r.header.Add(string(name), string(value))
	}
	r.model, r.adapter, _ = strings.Cut(string(header.Peek("Model")), "/")
	r.lastEventID, _ = strconv.Atoi(string(header.Peek("Last-Event-Id"))) // 0 if there is none
	_, output, _ := strings.Cut(string(header.Peek("Token-Count")), ",")
	r.outputTokens, _ = strconv.Atoi(output)
	return r
}

// handleRequest executes a client's request, or rejects it.
func (b *Backend) handleRequest(ctx *fasthttp.RequestCtx) {
	r := readModelRequest(&ctx.Request.Header)
	ctx.Response.Header.Set("Request-Id", r.id)
	if b.isForOther(&ctx.Request.Header) {
		rejectUnexecuted(ctx, fasthttp.StatusMisdirectedRequest)
		return
	}
	start, begun := b.takeStart(r.id)
	if !begun && !receiveBody(ctx) {
		ctx.Conn().Close()
		return
	}
	prefill, status := b.admit(r, begun)
	if status != fasthttp.StatusOK {
		rejectUnexecuted(ctx, status)
		return
	}
	if start.endsBeforeBody() {
		defer b.release()
		time.Sleep(start.delay)
		b.endEarly(ctx, r.id, start.end)
		return
	}
	if start.end == foreignAnswer {
		_, _ = io.WriteString(ctx.Conn(), b.rawAnswer("200 OK", "other "+r.id)) // an error is met again below
	}
	ctx.Response.Header.Set("Server-Seal", b.sealOf(r.id))
	if r.model == "" {
		defer b.release()
		time.Sleep(b.cfg.RequestTime)
		b.finishBody(ctx, begun)
		ctx.SetBodyString(answerOf(r.id))
		return
	}
	time.Sleep(prefill)
	b.finishBody(ctx, begun)
	stream := b.newEventStream(r)
	if unframed, cut := b.drawStreamEnd(stream); unframed {
		b.sendUnframed(ctx, stream, cut)
		return
	}
	ctx.SetContentType(eventMediaType)
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(stream, -1)
}

// answerOf returns the body of the answer to a request without a model.
func answerOf(request string) string { return "done " + request }

// sealOf returns the seal of the answer to a request.
func (b *Backend) sealOf(request string) string { return "seal." + b.cfg.ID + "." + request }

// admit takes a slot for a request and returns the prefill time of its prompt and StatusOK, or the HTTP status of the
// rejection. A request that has begun is not rejected.
func (b *Backend) admit(r modelRequest, begun bool) (time.Duration, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !begun {
		if status := b.admission(r); status != fasthttp.StatusOK {
			return 0, status
		}
		b.recordExecution(r)
	}
	b.running++
	return b.prefillTime(r.model, r.prompt), fasthttp.StatusOK
}

// admission returns StatusOK if a request can be executed now, or the HTTP status of the rejection. The caller holds the lock.
func (b *Backend) admission(r modelRequest) int {
	if r.model != "" && !b.isLoaded(r.model, r.adapter) {
		return fasthttp.StatusMisdirectedRequest
	}
	if b.running >= b.cfg.Slots {
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusOK
}

// recordExecution records that the execution of a request begins. The caller holds the lock.
func (b *Backend) recordExecution(r modelRequest) {
	b.executions = append(b.executions, Execution{Request: r.id, Backend: b.cfg.ID, LastEventID: r.lastEventID, Header: r.header})
}

// isLoaded reports whether a model is loaded, and the adapter if one is named. The caller holds the lock.
func (b *Backend) isLoaded(model, adapter string) bool {
	adapters, loaded := b.adapters[model]
	if adapter == "" {
		return loaded
	}
	return adapters[adapter]
}

// prefillTime returns the prefill time of a prompt without its cached prefix, and caches the whole prompt. The caller
// holds the lock.
func (b *Backend) prefillTime(model, prompt string) time.Duration {
	tokens := 0
	isCached := true
	for part := range strings.SplitSeq(prompt, ",") {
		name, count, found := strings.Cut(part, ":")
		if !found {
			continue
		}
		key := model + " " + name
		isCached = isCached && b.cachedPrefixes[key]
		if !isCached {
			n, _ := strconv.Atoi(count)
			tokens += n
		}
		b.cachedPrefixes[key] = true
	}
	return time.Duration(tokens) * b.cfg.PrefillTime
}

func (b *Backend) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}
