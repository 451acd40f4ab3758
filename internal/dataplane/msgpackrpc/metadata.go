package msgpackrpc

import (
	"fmt"
	"strings"
)

// Metadata is sent along with a call as its last parameter: a map all of whose keys begin with "$". Missing values are
// zero.
type Metadata struct {
	RequestID      string  // $id: 16 hexadecimal digits, new for each call
	Tenant         string  // $house
	IdempotencyKey string  // $key: for a class whose requests may run once per key
	AffinityKey    string  // $about: what the call is about; calls with the same key prefer the same backends
	TimeoutMs      float64 // $left_ms: how long the client will wait
	IsRetry        bool    // $repeat: a retry by the client
}

// callParams are the parameters of a call.
type callParams struct {
	args    []byte // the method's parameters, one encoded value after the other
	count   int    // of args
	meta    Metadata
	hasMeta bool
}

// splitParams separates the metadata from a call's parameters, an encoded array. Its error names the first key with an
// invalid value.
func splitParams(params []byte) (callParams, error) {
	h, err := readHeader(params)
	if err != nil {
		return callParams{}, err
	}
	values := params[h.headerBytes:]
	lastStart, err := lastValue(values)
	if err != nil {
		return callParams{}, err
	}
	withoutMeta := callParams{args: values, count: int(h.elements)}
	if withoutMeta.count == 0 {
		return withoutMeta, nil
	}
	meta, found, err := readMetadata(values[lastStart:])
	if err != nil {
		return callParams{}, err
	}
	if !found {
		return withoutMeta, nil
	}
	return callParams{args: values[:lastStart], count: withoutMeta.count - 1, meta: meta, hasMeta: true}, nil
}

// lastValue returns the position at which the last of some encoded values begins.
func lastValue(values []byte) (int, error) {
	start := 0
	for at := 0; at < len(values); {
		n, err := valueLength(values[at:])
		if err != nil {
			return 0, err
		}
		start = at
		at += n
	}
	return start, nil
}

// readMetadata reads a call's last parameter. It returns false if that is one of the method's own.
func readMetadata(v []byte) (Metadata, bool, error) {
	h, err := readHeader(v)
	if err != nil || h.kind != kindMap || h.elements == 0 {
		return Metadata{}, false, nil
	}
	var m Metadata
	keys := uint64(0)
	invalidKey := ""
	forEachPair(v, func(key string, value []byte) {
		if !strings.HasPrefix(key, "$") {
			return
		}
		keys++
		if !m.set(key, value) && invalidKey == "" {
			invalidKey = key
		}
	})
	if keys != h.elements/2 {
		return Metadata{}, false, nil
	}
	if invalidKey != "" {
		return Metadata{}, true, fmt.Errorf("%s is no good", invalidKey)
	}
	return m, true, nil
}

// set sets the value of a key, and returns false if the value is invalid. Unknown keys are ignored.
func (m *Metadata) set(key string, v []byte) bool {
	ok := true
	switch key {
	case "$id":
		m.RequestID, ok = readString(v)
		return ok && isRequestID(m.RequestID)
	case "$house":
		m.Tenant, ok = readString(v)
	case "$key":
		m.IdempotencyKey, ok = readString(v)
		return ok && m.IdempotencyKey != "" && len(m.IdempotencyKey) <= maxKeyBytes
	case "$about":
		m.AffinityKey, ok = readString(v)
		return ok && len(m.AffinityKey) <= maxKeyBytes
	case "$left_ms":
		m.TimeoutMs, ok = readNumber(v)
		return ok && m.TimeoutMs > 0 && m.TimeoutMs <= maxTimeoutMs
	case "$repeat":
		m.IsRetry, ok = readBool(v)
	}
	return ok
}

const (
	requestIDLength = 16
	maxKeyBytes     = 128
	maxTimeoutMs    = 3_600_000
)

// isRequestID reports whether a text has the form of a request ID.
func isRequestID(s string) bool {
	return len(s) == requestIDLength && strings.Trim(s, "0123456789abcdef") == ""
}

// appendMeta appends the metadata that a backend gets; timeoutMs is the time left for its answer.
func appendMeta(b []byte, m *Metadata, timeoutMs float64) []byte {
	n := 2
	for _, s := range []string{m.Tenant, m.IdempotencyKey, m.AffinityKey} {
		if s != "" {
			n++
		}
	}
	b = appendString(appendString(appendMap(b, n), "$id"), m.RequestID)
	b = appendFloat(appendString(b, "$left_ms"), timeoutMs)
	for _, p := range [3][2]string{{"$house", m.Tenant}, {"$key", m.IdempotencyKey}, {"$about", m.AffinityKey}} {
		if p[1] != "" {
			b = appendString(appendString(b, p[0]), p[1])
		}
	}
	return b
}
