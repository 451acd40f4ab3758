package msgpackrpc

import (
	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
)

// reply is a backend's answer, still encoded.
type reply struct{ error, result []byte }

// outcomeOf returns the end of the attempt that a reply answers. It includes the reply only if a client may get it: for a
// failure or a rejection the proxy writes an error of its own.
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

// classifyError returns the result that a backend's error stands for. See the package comment.
func classifyError(v []byte) balancer.Result {
	unprocessed, failed := false, false
	forEachPair(v, func(key string, value []byte) {
		on, _ := readBool(value) // anything but a bool counts as false
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
