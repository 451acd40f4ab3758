package msgpackrpc

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/testing/recorded"
)

// compatibilityMeta is a call's metadata with all keys.
var compatibilityMeta = Metadata{RequestID: "0123456789abcdef", Tenant: "obala", IdempotencyKey: "k-1", AffinityKey: "lot 7", TimeoutMs: 250, IsRetry: true}

// sentMessages are what this proxy writes, by name.
func sentMessages() []struct {
	name string
	data []byte
} {
	args := appendUint(appendString(nil, "lot"), 7)
	problem := func(e callError) []byte { return appendResponse(nil, 4000000000, e.encode(), nilValue) }
	return []struct {
		name string
		data []byte
	}{
		{"request", (&payload{method: "scales.read", args: args, count: 2}).encode(300, time.Second)},
		{"request with metadata", (&payload{method: "scales.read", args: args, count: 2, meta: compatibilityMeta, hasMeta: true}).encode(70000, 1500*time.Microsecond)},
		{"request with the least metadata", (&payload{method: "m", meta: Metadata{RequestID: "0123456789abcdef"}, hasMeta: true}).encode(1, 0)},
		{"notification", (&payload{method: "scales.note", args: args, count: 2, notification: true}).encode(9, time.Second)},
		{"notification with metadata", (&payload{method: "scales.note", args: args, count: 2, meta: compatibilityMeta, hasMeta: true, notification: true}).encode(9, time.Second)},
		{"cancel notification", encodeNotification("$cancel", appendUint(appendArray(nil, 1), 70000))},
		{"drain notification", encodeNotification(drainMethod, appendArray(nil, 0))},
		{"reply", appendResponse(nil, 200, nilValue, appendString(nil, strings.Repeat("x", 40)))},
		{"reply that is an error of the backend", appendResponse(nil, 200, appendString(nil, "no such lot"), nilValue)},
		{"refused", problem(callError{Code: codeRefused, Message: "refused", Retry: true, After: 1500 * time.Millisecond})},
		{"overloaded", problem(callError{Code: codeOverloaded, Message: "too many calls are open", Retry: true, After: time.Second})},
		{"draining", problem(callError{Code: codeDraining, Message: "this process ends; connect again", Retry: true})},
		{"failed", problem(callError{Code: codeFailed, Message: "failed; it may have run"})},
		{"out of time", problem(callError{Code: codeOutOfTime, Message: "out of time; it may have run"})},
		{"bad request", problem(callError{Code: codeBadRequest, Message: "$key is missing or out of place"})},
		{"no method", problem(callError{Code: codeNoMethod, Message: "no such method"})},
		{"in use", problem(callError{Code: codeInUse, Message: "$id is in use"})},
	}
}

// All messages that the proxy writes match the recorded bytes, and decoding and encoding the recorded ones is lossless.
func TestCompatibilityMessages(t *testing.T) {
	var got strings.Builder
	for _, m := range sentMessages() {
		fmt.Fprintf(&got, "%s: %s\n", m.name, hex.EncodeToString(m.data))
	}
	recorded.Check(t, "messages.txt", got.String())

	recorded, err := os.ReadFile(filepath.Join("testdata", "compatibility", "messages.txt"))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(recorded)) {
		name, text, _ := strings.Cut(strings.TrimSpace(line), ": ")
		data, err := hex.DecodeString(text)
		if err != nil {
			t.Fatal(err)
		}
		m, err := parseMessage(data)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		var again []byte
		switch m.kind {
		case typeResponse:
			again = appendResponse(nil, m.id, m.error, m.result)
		case typeNotification:
			again = encodeNotification(m.method, m.params)
		default:
			again = append(appendString(appendUint(append(appendArray(nil, 4), typeRequest), uint64(m.id)), m.method), m.params...)
		}
		if !bytes.Equal(again, data) {
			t.Errorf("%s: decoded and encoded again it is %x", name, again)
		}
		if m.kind == typeResponse || !strings.Contains(name, "with metadata") {
			continue
		}
		params, err := splitParams(m.params)
		want := compatibilityMeta
		want.IsRetry, want.TimeoutMs = false, params.meta.TimeoutMs // $repeat is not forwarded; $left_ms is counted down
		if err != nil || !params.hasMeta || params.count != 2 || params.meta != want || params.meta.TimeoutMs <= 0 || len(params.args) != 5 {
			t.Errorf("%s: metadata %+v, %d parameters, %v", name, params.meta, params.count, err)
		}
	}
}

// A caller's metadata, with the documented keys.
func TestCompatibilityCallerMetadata(t *testing.T) {
	b := appendMap(appendArray(nil, 1), 6)
	for _, p := range [][2]string{{"$id", "0123456789abcdef"}, {"$house", "obala"}, {"$key", "k-1"}, {"$about", "lot 7"}} {
		b = appendString(appendString(b, p[0]), p[1])
	}
	b = appendFloat(appendString(b, "$left_ms"), 250)
	b = appendBool(appendString(b, "$repeat"), true)
	recorded.Check(t, "caller-metadata.txt", hex.EncodeToString(b)+"\n")
	if params, err := splitParams(b); err != nil || !params.hasMeta || params.count != 0 || params.meta != compatibilityMeta {
		t.Errorf("%+v, %d parameters, %v", params.meta, params.count, err)
	}
}

// A backend's error is classified by its documented keys.
func TestCompatibilityBackendErrors(t *testing.T) {
	flag := func(key string, on bool) []byte { return appendBool(appendString(appendMap(nil, 1), key), on) }
	for _, c := range []struct {
		name  string
		value []byte
		want  balancer.Result
	}{
		{"not processed", flag("$unprocessed", true), balancer.Rejected},
		{"failed", flag("$failed", true), balancer.Error},
		{"both", appendBool(appendString(appendBool(appendString(appendMap(nil, 2), "$unprocessed"), true), "$failed"), true), balancer.Rejected},
		{"said not to have failed", flag("$failed", false), balancer.Unprocessable},
		{"the method's own", appendString(nil, "no such lot"), balancer.Unprocessable},
	} {
		if got := classifyError(c.value); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Each verdict of the engine is answered with the recorded bytes.
func TestCompatibilityVerdicts(t *testing.T) {
	verdicts := []struct {
		name   string
		answer engine.Answer
	}{
		{"served", engine.Answer{Verdict: engine.Served, Reply: &reply{error: nilValue, result: appendUint(nil, 5)}}},
		{"failed by the backend's word", engine.Answer{Verdict: engine.Failed, Reply: &reply{error: appendString(nil, "no"), result: nilValue}}},
		{"failed", engine.Answer{Verdict: engine.Failed}},
		{"refused", engine.Answer{Verdict: engine.Rejected, RetryAfter: 1500 * time.Millisecond}},
		{"overloaded", engine.Answer{Verdict: engine.Overloaded, RetryAfter: 250 * time.Millisecond}},
		{"out of time", engine.Answer{Verdict: engine.TimedOut}},
		{"stopped", engine.Answer{Verdict: engine.Stopped}},
		{"in use", engine.Answer{Verdict: engine.DuplicateID}},
	}
	cfg := DefaultConfig()
	var got strings.Builder
	for _, v := range verdicts {
		c := &clientConn{pending: map[uint32]*call{}, wake: make(chan struct{}, 1), server: &Server{config: &cfg}}
		q := &call{conn: c, msgid: 77}
		c.pending[q.msgid] = q
		q.HandleAnswer(&q.Call, v.answer)
		fmt.Fprintf(&got, "%s: %s\n", v.name, hex.EncodeToString(bytes.Join(c.queue, nil)))
	}
	recorded.Check(t, "verdicts.txt", got.String())
}
