package gateway

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"marlreel/internal/balancer"
	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/dataplane/httpproxy"
	"marlreel/internal/dataplane/routing"
)

const (
	// maxPromptParts bounds the parts of a prompt that are parsed.
	maxPromptParts = 64
	// asciiDelete is the last of the control characters, and the only one above the space.
	asciiDelete = 0x7f
	// maxRequestTimeout bounds the timeout of a request.
	maxRequestTimeout = 2 * time.Minute
)

// hopByHop are the headers that are not forwarded (RFC 9110, 7.6.1). Framing and time limits are set anew for each
// connection.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true,
	"Trailer": true, "Upgrade": true, "Transfer-Encoding": true, "Content-Length": true, "Expect": true, "Host": true,
	headerRemaining: true, headerExpected: true,
}

// newMessage encodes a request for backends.
func newMessage(ctx *fasthttp.RequestCtx, route *configuration.Route, tenant tenancy) *httpproxy.Message {
	header := &ctx.Request.Header
	head := make([]byte, 0, 640)
	head = append(append(append(head, header.Method()...), ' '), header.RequestURI()...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(append(head, header.Host()...), "\r\n"...)
	named := connectionTokens(header.Peek("Connection"))
	for key, value := range header.All() {
		if hopByHop[string(key)] || named[string(key)] || tenant.withholds(string(key)) {
			continue
		}
		head = append(append(append(append(head, key...), ": "...), value...), "\r\n"...)
	}
	if tenant.subscriber != nil {
		head = append(append(append(head, headerSubscriber+": "...), tenant.subscriber.Name...), "\r\n"...)
	}
	if route.Affinity && (tenant.hasPriority() || len(header.Peek(headerPriority)) == 0) {
		head = append(head, headerPriority+": "...)
		head = append(strconv.AppendInt(head, int64(routing.BackendPriority(route.TargetLatency(), tenant.priority(route), 0)), 10), "\r\n"...)
	}
	body := bytes.Clone(ctx.PostBody())
	if len(body) > 0 || !header.IsGet() && !header.IsHead() {
		head = append(head, "Content-Length: "...)
		head = append(strconv.AppendInt(head, int64(len(body)), 10), "\r\n"...)
	}
	return &httpproxy.Message{
		Method: string(header.Method()), Head: head, Body: body,
		ID: string(header.Peek(headerRequestID)), Streaming: route.Streaming(),
	}
}

// connectionTokens returns the headers that a Connection header names as hop-by-hop.
func connectionTokens(value []byte) map[string]bool {
	if len(value) == 0 {
		return nil
	}
	named := map[string]bool{}
	for token := range strings.SplitSeq(string(value), ",") {
		key := []byte(strings.TrimSpace(token))
		named[string(normalized(key))] = true
	}
	return named
}

// normalized returns a header's name in fasthttp's spelling.
func normalized(key []byte) []byte {
	return fasthttp.AppendNormalizedHeaderKeyBytes(nil, key)
}

// resumeMessage returns a copy of a message that asks for the rest of the stream after an event.
func resumeMessage(m *httpproxy.Message, lastEventID string) *httpproxy.Message {
	next := *m
	lines := bytes.SplitAfter(m.Head, []byte("\r\n"))
	next.Head = nil
	for _, line := range lines {
		if !bytes.HasPrefix(line, []byte(headerLastEvent+":")) {
			next.Head = append(next.Head, line...)
		}
	}
	next.Head = append(append(append(next.Head, headerLastEvent+": "...), lastEventID...), "\r\n"...)
	return &next
}

// isHeaderValue reports whether an event's ID is present and can be sent in a header.
func isHeaderValue(id string) bool {
	isControl := func(r rune) bool { return r < ' ' || r == asciiDelete }
	return strings.TrimSpace(id) != "" && strings.IndexFunc(id, isControl) < 0
}

// parseNeeds returns the model, adapter and tokens that a request names, and its estimated work; nil if it names no
// model. Malformed numbers count as 0, and the prompt ends before the first malformed part.
func parseNeeds(header *fasthttp.RequestHeader) (*balancer.Needs, time.Duration) {
	name := string(header.Peek(headerModel))
	if name == "" {
		return nil, 0
	}
	needs := &balancer.Needs{Prompt: parsePrompt(string(header.Peek(headerPrompt)))}
	needs.Model, needs.Adapter, _ = strings.Cut(name, "/")
	in, out, _ := strings.Cut(string(header.Peek(headerTokens)), ",")
	prompt, _ := strconv.Atoi(strings.TrimSpace(in))
	needs.MaxOutputTokens, _ = strconv.Atoi(strings.TrimSpace(out))
	return needs, routing.EstimateWork(prompt, needs.MaxOutputTokens)
}

// parsePrompt parses the parts of a prompt: ID:TOKENS, the ID in hexadecimal, separated by commas.
func parsePrompt(value string) []balancer.PromptSegment {
	var parts []balancer.PromptSegment
	for part := range strings.SplitSeq(value, ",") {
		id, tokens, found := strings.Cut(strings.TrimSpace(part), ":")
		if !found || len(parts) >= maxPromptParts {
			break
		}
		number, err := strconv.ParseUint(id, 16, 64)
		if err != nil {
			break
		}
		count, err := strconv.Atoi(tokens)
		if err != nil {
			break
		}
		parts = append(parts, balancer.PromptSegment{ID: number, Tokens: count})
	}
	return parts
}

// timeout returns how long the client waits for its answer: the route's timeout, or less if the client says so.
func timeout(header *fasthttp.RequestHeader, route *configuration.Route) time.Duration {
	wait := route.Timeout()
	if ms, err := strconv.ParseFloat(string(header.Peek(headerRemaining)), 64); err == nil && ms > 0 {
		wait = min(wait, time.Duration(ms*float64(time.Millisecond)))
	}
	return min(wait, maxRequestTimeout)
}
