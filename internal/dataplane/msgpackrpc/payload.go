package msgpackrpc

import "time"

// payload is a call as it came, without its metadata.
type payload struct {
	method       string
	args         []byte // the method's parameters, one encoded value after the other
	count        int    // of args
	meta         Metadata
	hasMeta      bool // the call came with metadata, and goes on with them
	notification bool
}

// minTimeLeftMs is the least time left that a backend is told: 0 would be none.
const minTimeLeftMs = 0.001

// encode encodes the call for a backend, so that one write sends it and its count tells whether the last byte went
// out. timeLeft is the time in which its answer is wanted.
func (p *payload) encode(id uint32, timeLeft time.Duration) []byte {
	const usualOverhead = 160 // bytes of headers and metadata; a longer message grows
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
