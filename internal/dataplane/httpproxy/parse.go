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
	longestKey    = 128
	smallBody     = 4 << 10 // a body's room is taken at once up to here, and beyond it as it comes
)

// parse reads a request. What can't be read, or what a backend couldn't, is the
// client's fault, and the answer says how; its status is 0 for a good request. A
// backend closes on what it can't read, which would count as its own failure. The
// cheap checks come first: a flood of bad requests must cost little.
func (s *Front) parse(r *http.Request, by *engine.SettingsSnapshot) (*call, time.Duration, answer) {
	bad := func(status int, format string, args ...any) (*call, time.Duration, answer) {
		return nil, 0, badRequest(status, format, args...)
	}
	if r.URL.Host != "" || r.URL.RawPath != "" || !plain(r.URL.Path, "/-._~") || !visible(r.URL.RawQuery) {
		return bad(http.StatusBadRequest, "a path of letters, digits and -._~ is needed")
	}
	h := r.Header
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, known := by.ClassIndexes[name]
	if !known {
		return bad(http.StatusNotFound, "unknown class")
	}
	for _, one := range []string{headerID, headerAccount, headerTimeout, headerKey, headerHint, headerRepeat} {
		if len(h[one]) > 1 {
			return bad(http.StatusBadRequest, "%s comes more than once", one)
		}
	}
	tenant := 0
	if len(by.TenantIndexes) > 0 {
		if tenant, known = by.TenantIndexes[h.Get(headerAccount)]; !known {
			return bad(http.StatusBadRequest, "unknown account")
		}
	}
	left, err := parseSpan(h.Get(headerTimeout))
	if err != nil {
		return bad(http.StatusBadRequest, "%s: %v", headerTimeout, err)
	}
	// Whatever it says, no client waits longer than its class does over all its tries,
	// and nobody may hold a place here for longer.
	c := &by.Settings.Classes[class]
	left = min(left, c.ClientTimeout)
	id := h.Get(headerID)
	if len(id) != idLength || strings.Trim(id, "0123456789abcdef") != "" {
		return bad(http.StatusBadRequest, "%s needs %d hexadecimal digits", headerID, idLength)
	}
	method := http.MethodPost
	if c.Effect == balancer.Safe {
		method = http.MethodGet
	}
	if r.Method != method {
		return bad(http.StatusMethodNotAllowed, "%s takes %s", name, method)
	}
	if method == http.MethodGet && r.ContentLength != 0 {
		return bad(http.StatusBadRequest, "%s takes no body", method)
	}
	// Backends know a keyed request's repeats by this header alone. Without it a
	// second attempt would run again; with it, an unsafe one would pass for keyed.
	key := h.Get(headerKey)
	if (key != "") != (c.Effect == balancer.Keyed) || len(key) > longestKey || !plain(key, "-._~") {
		return bad(http.StatusBadRequest, "%s: %s is missing, out of place or no plain word", name, headerKey)
	}
	var cost time.Duration
	if hint := h.Get(headerHint); hint != "" {
		us, err := strconv.ParseFloat(hint, 64)
		if err != nil || !(us >= 0 && us <= float64(longestSpan.Microseconds())) {
			return bad(http.StatusBadRequest, "%s is no number of microseconds", headerHint)
		}
		cost = time.Duration(us * float64(time.Microsecond))
	}
	for field, values := range h {
		if !plain(field, "-_.") || slices.ContainsFunc(values, func(v string) bool { return !printable(v) }) {
			return bad(http.StatusBadRequest, "a header that is not plain text")
		}
	}
	var about uint64
	if rest != "" {
		f := fnv.New64a()
		io.WriteString(f, rest[strings.LastIndexByte(rest, '/')+1:])
		about = f.Sum64()
	}
	req := &call{
		Call: engine.Call{Request: balancer.Request{
			Class: class, Tenant: tenant, Key: about, Cost: cost,
			IsRetry: h.Get(headerRepeat) == "1",
		}, ClientRequestID: id, Carrier: s.carrier, Snapshot: by},
		answers: make(chan answer, 1),
	}
	req.Front = req
	return req, left, answer{}
}

// plain tells that s has only letters, digits and what else is named.
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

// hopByHop are the headers that end here. Framing is each side's own.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Upgrade",
	"Transfer-Encoding", "Content-Length", "Expect",
}

// staysHere tells whether a header ends at this hop: one of the fixed ones, or one
// that Connection names.
func staysHere(h http.Header, field string) bool {
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

// endToEnd copies the headers that go on beyond this hop.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for field, values := range h {
		if !staysHere(h, field) {
			out[field] = values
		}
	}
	return out
}

// parseSpan reads a number with the unit m (milliseconds) or u (microseconds).
func parseSpan(s string) (time.Duration, error) {
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
	if err != nil || !(n > 0 && n*float64(unit) <= float64(longestSpan)) {
		return 0, fmt.Errorf("%q is no span above 0 and up to %v", s, longestSpan)
	}
	return time.Duration(n * float64(unit)), nil
}

const longestSpan = time.Hour
