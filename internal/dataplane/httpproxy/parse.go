package httpproxy

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
)

const (
	headerID      = "X-Correlation-Id"
	headerAccount = "X-Account"
	headerKey     = "Idempotency-Key"
	headerHint    = "X-Weight-Hint"
	headerRepeat  = "X-Repeat"
	idLength      = 16
	maxKeyLength  = 128
	smallBody     = 4 << 10 // a body's buffer is allocated at once up to this size, and grows as the body arrives beyond it
)

// parse checks and parses a request's head, and returns how long its client waits. A request that the proxy or a backend
// can't parse is the client's error, and the answer says what is wrong; for a valid request the answer's status is 0. A
// backend would close the connection on such a request, which would count as a failure of the backend. The cheap checks
// come first: a flood of bad requests must cost little.
func (s *Front) parse(r *http.Request, snapshot *engine.SettingsSnapshot) (*call, time.Duration, answer) {
	if r.URL.Host != "" || r.URL.RawPath != "" || !plain(r.URL.Path, "/-._~") || !visible(r.URL.RawQuery) {
		return nil, 0, badRequest(http.StatusBadRequest, "a path of letters, digits and -._~ is needed")
	}
	h := r.Header
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, known := snapshot.ClassIndexes[name]
	if !known {
		return nil, 0, badRequest(http.StatusNotFound, "unknown class")
	}
	for _, header := range []string{headerID, headerAccount, headerTimeout, headerKey, headerHint, headerRepeat} {
		if len(h[header]) > 1 {
			return nil, 0, badRequest(http.StatusBadRequest, "%s comes more than once", header)
		}
	}
	tenant := 0
	if len(snapshot.TenantIndexes) > 0 {
		if tenant, known = snapshot.TenantIndexes[h.Get(headerAccount)]; !known {
			return nil, 0, badRequest(http.StatusBadRequest, "unknown account")
		}
	}
	timeout, err := parseTimeout(h.Get(headerTimeout))
	if err != nil {
		return nil, 0, badRequest(http.StatusBadRequest, "%s: %v", headerTimeout, err)
	}
	settings := &snapshot.Settings.Classes[class]
	if a := checkForClass(r, name, settings.Effect); a.status != 0 {
		return nil, 0, a
	}
	cost, a := parseCost(h.Get(headerHint))
	if a.status != 0 {
		return nil, 0, a
	}
	for field, values := range h {
		if !plain(field, "-_.") || slices.ContainsFunc(values, func(v string) bool { return !printable(v) }) {
			return nil, 0, badRequest(http.StatusBadRequest, "a header that is not plain text")
		}
	}
	req := &call{
		Call: engine.Call{Request: balancer.Request{
			Class: class, Tenant: tenant, Key: affinityKey(rest), Cost: cost,
			IsRetry: h.Get(headerRepeat) == "1",
		}, ClientRequestID: h.Get(headerID), Carrier: s.carrier, Snapshot: snapshot},
		answers: make(chan answer, 1),
	}
	req.Front = req
	// The client's timeout is limited to that of its class, which covers all its attempts: a request must not occupy
	// resources for longer.
	return req, min(timeout, settings.ClientTimeout), answer{}
}

// checkForClass checks the id, the method, the body and the key of a request against the effect of its class.
func checkForClass(r *http.Request, name string, effect balancer.Effect) answer {
	id := r.Header.Get(headerID)
	if len(id) != idLength || strings.Trim(id, "0123456789abcdef") != "" {
		return badRequest(http.StatusBadRequest, "%s needs %d hexadecimal digits", headerID, idLength)
	}
	method := http.MethodPost
	if effect == balancer.Safe {
		method = http.MethodGet
	}
	if r.Method != method {
		return badRequest(http.StatusMethodNotAllowed, "%s takes %s", name, method)
	}
	if method == http.MethodGet && r.ContentLength != 0 {
		return badRequest(http.StatusBadRequest, "%s takes no body", method)
	}
	// Backends recognize retries of a keyed request only by this header. Without it a second attempt would run again;
	// with it, an unsafe request would be taken for a keyed one.
	key := r.Header.Get(headerKey)
	if (key != "") != (effect == balancer.Keyed) || len(key) > maxKeyLength || !plain(key, "-._~") {
		return badRequest(http.StatusBadRequest, "%s: %s is missing, out of place or no plain word", name, headerKey)
	}
	return answer{}
}

// parseCost parses the client's hint of a request's cost, in microseconds; without a hint it returns 0.
func parseCost(hint string) (time.Duration, answer) {
	if hint == "" {
		return 0, answer{}
	}
	us, err := strconv.ParseFloat(hint, 64)
	if err != nil || !(us >= 0 && us <= float64(maxSpan.Microseconds())) {
		return 0, badRequest(http.StatusBadRequest, "%s is no number of microseconds", headerHint)
	}
	return time.Duration(us * float64(time.Microsecond)), answer{}
}

// affinityKey is the hash of the last path element after the class; 0: there is none.
func affinityKey(rest string) uint64 {
	if rest == "" {
		return 0
	}
	f := fnv.New64a()
	_, _ = io.WriteString(f, rest[strings.LastIndexByte(rest, '/')+1:]) // a hash returns no error
	return f.Sum64()
}

// plain reports whether s consists only of ASCII letters, digits and the characters in others.
func plain(s, others string) bool {
	return every(s, func(b byte) bool {
		return b >= 'a' && b <= 'z' || b >= '0' && b <= '9' || b >= 'A' && b <= 'Z' || strings.IndexByte(others, b) >= 0
	})
}

func visible(s string) bool { return every(s, func(b byte) bool { return b > ' ' && b < 0x7f }) }

func printable(s string) bool {
	return every(s, func(b byte) bool { return b >= ' ' && b < 0x7f || b == '\t' })
}

func every(s string, holds func(b byte) bool) bool {
	for i := range len(s) {
		if !holds(s[i]) {
			return false
		}
	}
	return true
}

// hopByHop are the headers that are not forwarded. Framing headers are among them: each side sets its own.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Upgrade",
	"Transfer-Encoding", "Content-Length", "Expect",
}

// isHopByHop reports whether a header is not forwarded: one of the fixed ones, or one
// that Connection names.
func isHopByHop(h http.Header, field string) bool {
	if slices.Contains(hopByHop, field) {
		return true
	}
	for _, named := range h["Connection"] {
		for name := range strings.SplitSeq(named, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)) == field {
				return true
			}
		}
	}
	return false
}

// endToEnd returns the headers that are forwarded beyond this hop.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for field, values := range h {
		if !isHopByHop(h, field) {
			out[field] = values
		}
	}
	return out
}

// parseTimeout parses a number with the unit m (milliseconds) or u (microseconds).
func parseTimeout(s string) (time.Duration, error) {
	unit := time.Duration(0)
	if s != "" {
		switch s[len(s)-1] {
		case 'm':
			unit = time.Millisecond
		case 'u':
			unit = time.Microsecond
		}
	}
	if unit == 0 {
		return 0, fmt.Errorf("%q has no unit m or u", s)
	}
	n, err := strconv.ParseFloat(s[:len(s)-1], 64)
	if err != nil || !(n > 0 && n*float64(unit) <= float64(maxSpan)) {
		return 0, fmt.Errorf("%q is no span above 0 and up to %v", s, maxSpan)
	}
	return time.Duration(n * float64(unit)), nil
}

const maxSpan = time.Hour
