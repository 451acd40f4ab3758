package msgpackrpc

import (
	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
)

// reply is a backend's answer, as it came: both encoded.
type reply struct{ error, result []byte }

// outcomeOf is what a reply means to the engine. Only an answer that a client may get goes with it: of a failure or
// a rejection the proxy writes its own.
func outcomeOf(m message) engine.AttemptEnd {
	result := balancer.OK
	if !isNil(m.error) {
		result = classifyError(m.error)
	}
	if result == balancer.OK || result == balancer.Unprocessable {
		return engine.AttemptEnd{Result: result, Reply: &reply{error: m.error, result: m.result}}
	}
	return engine.AttemptEnd{Result: result}
}

// classifyError says what a backend's error means. See the package comment.
func classifyError(v []byte) balancer.Result {
	unprocessed, failed := false, false
	forEachPair(v, func(key string, value []byte) {
		on, _ := readBool(value) // what is no bool is not set
		switch key {
		case "$unprocessed":
			unprocessed = unprocessed || on
		case "$failed":
			failed = failed || on
		}
	})
	switch {
	case unprocessed:
		return balancer.Rejected
	case failed:
		return balancer.Error
	}
	return balancer.Unprocessable
}
