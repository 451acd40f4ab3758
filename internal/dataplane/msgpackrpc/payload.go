package msgpackrpc

import "time"

// payload is a call as it was received, with its metadata apart from the method's parameters.
type payload struct {
	method       string
	args         []byte // the method's parameters, one encoded value after the other
	count        int    // of args
	meta         Metadata
	hasMeta      bool // the call was received with metadata and is forwarded with them
	notification bool
}

// minTimeLeftMs is the least remaining time that is sent to a backend: 0 is not valid.
const minTimeLeftMs = 0.001

// encode encodes the call for a backend into one buffer, so that the count of a single write tells whether the last byte
// was written. timeLeft is the time left for its answer.
func (p *payload) encode(id uint32, timeLeft time.Duration) []byte {
	const usualOverhead = 160 // bytes of headers and metadata; the buffer grows if there are more
	b := make([]byte, 0, len(p.args)+len(p.method)+usualOverhead)
	if p.notification {
		b = appendNotification(b, p.method)
	} else {
		b = appendRequest(b, id, p.method)
	}
	count := p.count
	if p.hasMeta {
		count++
	}
	b = append(appendArray(b, count), p.args...)
	if p.hasMeta {
		b = appendMeta(b, &p.meta, max(minTimeLeftMs, float64(timeLeft)/float64(time.Millisecond)))
	}
	return b
}
