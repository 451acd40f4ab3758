package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"marlreel/internal/balancer"
)

// settings are the lines of a BootInfo text, by key.
type settings struct {
	values map[string]setting
	err    error
}

type setting struct {
	text string
	line int
}

// maxItems bounds a list's stated length: an index is one byte or four on the wire, and no list is longer.
const maxItems = 4096

// ParseBootInfo reads the settings of an instance. Unknown keys are passed
// over, absent ones leave defaults: no cap is granted, a class is unsafe, the
// list is pushed, and a count is 1.
func ParseBootInfo(text string) (balancer.Config, error) {
	s := settings{values: map[string]setting{}}
	line := 0
	for l := range strings.Lines(text) {
		line++
		l = strings.TrimRight(l, "\r\n")
		if strings.TrimSpace(l) == "" {
			continue
		}
		key, value, found := strings.Cut(l, "=")
		if key = strings.TrimSpace(key); !found || key == "" {
			return balancer.Config{}, fmt.Errorf("settings line %d: %q is not path=value", line, l)
		}
		s.values[key] = setting{strings.TrimSpace(value), line}
	}
	c := s.config()
	return c, s.err
}

// ParseSettings reads the same settings from the JSON object that a real proxy
// finds in its configuration. Names, units and defaults are those of ParseBootInfo.
func ParseSettings(object []byte) (balancer.Config, error) {
	d := json.NewDecoder(bytes.NewReader(object))
	d.UseNumber()
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return balancer.Config{}, fmt.Errorf("settings: %w", err)
	}
	s := settings{values: map[string]setting{}}
	s.flatten("", tree)
	c := s.config()
	return c, s.err
}

// flatten notes a JSON value under the path that it has in a BootInfo text.
func (s *settings) flatten(path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for key, item := range v {
			if path != "" {
				key = path + "." + key
			}
			s.flatten(key, item)
		}
	case []any:
		s.values[path+".count"] = setting{text: strconv.Itoa(len(v))}
		words := make([]string, len(v))
		for i, item := range v {
			s.flatten(path+"."+strconv.Itoa(i), item)
			words[i] = fmt.Sprint(item)
		}
		s.values[path] = setting{text: strings.Join(words, ",")}
	case nil: // as if absent
	default:
		s.values[path] = setting{text: fmt.Sprint(v)}
	}
}

func (s *settings) config() balancer.Config {
	c := balancer.Config{
		Instances: s.count("Balancers", 1), Rank: s.count("Rank", 0), Zone: s.count("Zone", 0),
		Tick:               s.span("Tick", 0),
		OverQuotaValue:     s.number("OverShareWorth", 1),
		ValueByWork:        s.word("WorthBy", "request", "work") == "work",
		KeyAffinity:        s.flag("Extra.WarmKeys"),
		ClientsMarkRetries: s.flag("Clients.MarksRetry"),
		PollMembership:     s.word("Discovery", "pushed", "on_request") == "on_request",
		Goal: balancer.Goal{
			Total: s.number("Goal.Whole", 1), WorstClass: s.number("Goal.WorstClass", 0),
			WorstTenant: s.number("Goal.WorstTenant", 0), WorstWindow: s.number("Goal.WorstWindow", 0),
		},
		Prices: balancer.Prices{
			Connection: s.number("Prices.Connection", 0),
			CrossZone:  s.number("Prices.CrossZone", 0), Discovery: s.number("Prices.Discovery", 0),
			Handshake: s.number("Prices.Handshake", 0), LateFailure: s.number("Prices.LateFail", 0),
			PeerMessage: s.number("Prices.Peer", 0), HealthCheck: s.number("Prices.Probe", 0), Waste: s.number("Prices.Waste", 0),
		},
		Obligations: balancer.Obligations{
			AnswerSlack:      s.span("Obligations.AnswerSlack", 0),
			MaxMembershipAge: s.span("Obligations.AskEvery", 0), WarmupDuration: s.span("Obligations.Cold", 0),
			DrainGrace: s.span("Obligations.DrainGrace", 0), OverloadWindow: s.span("Obligations.Fall", 0),
			OverloadMultiple: s.number("Obligations.FallMultiple", 1),
			InitialCapacity:  s.number("Obligations.StartCapacity", 1),
		},
		Caps: balancer.Caps{
			Cancel: s.flag("Caps.Cancel"), Peers: s.flag("Caps.Peers"), HealthChecks: s.flag("Caps.Probes"),
			RetryAfter: s.flag("Caps.RetryAfter"), Hedging: s.flag("Caps.SecondCopies"),
			ConnIdle: s.span("Caps.ConnIdle", 0), ConnectTimeout: s.span("Caps.ConnectTimeout", 0),
			MaxRetryAfter: s.span("Caps.MaxRetryAfter", 0), MaxAttempts: s.count("Caps.MaxAttempts", 1),
			StreamsPerConn: s.count("Caps.StreamsPerConn", 1),
		},
	}
	switch s.word("Weights", "off", "nominal", "rough", "live") {
	case "nominal", "rough":
		c.Weights = balancer.WeightNominal
	case "live":
		c.Weights = balancer.WeightLive
	}
	if how := s.word("Feedback.How", "off", "inline", "on_probe"); how != "off" {
		c.Report = s.fields("Feedback.Names")
	}
	for i := range s.items("Services.count") {
		c.Classes = append(c.Classes, s.class(fmt.Sprintf("Services.%d.", i)))
	}
	for i := range s.items("Tenants.count") {
		p := fmt.Sprintf("Tenants.%d.", i)
		c.Tenants = append(c.Tenants, balancer.Tenant{
			Name: s.text(p + "Name"), TrafficShare: s.number(p+"Share", 0),
			QuotaPerS: s.number(p+"QuotaPerS", 0),
		})
	}
	return c
}

func (s *settings) class(p string) balancer.Class {
	c := balancer.Class{
		Name: s.text(p + "Name"), LatencyTarget: s.span(p+"Aim", 0), LatencyTargetStretch: s.number(p+"AimStretch", 0),
		ClientTimeout: s.span(p+"GiveUp", 0), LateValueRatio: s.number(p+"LateShare", 0), Stream: s.flag(p + "Stream"),
		Value: s.number(p+"Value", 1), IdempotencyWindow: s.span(p+"Window", 0),
	}
	switch s.word(p+"Effect", "fragile", "dedup", "retryable") {
	case "dedup":
		c.Effect = balancer.Keyed
	case "retryable":
		c.Effect = balancer.Safe
	}
	switch s.word(p+"Group", "cell", "zone", "all") {
	case "zone":
		c.Group = balancer.GroupZone
	case "all":
		c.Group = balancer.GroupAll
	}
	return c
}

func (s *settings) fields(key string) []balancer.ReportField {
	known := map[string]balancer.ReportField{
		"busy_reqs": balancer.FieldInFlight, "pending": balancer.FieldQueued,
		"failed_ps": balancer.FieldErrors,
	}
	var fields []balancer.ReportField
	if list := s.text(key); list != "" {
		for name := range strings.SplitSeq(list, ",") {
			fields = append(fields, known[strings.TrimSpace(name)])
		}
	}
	return fields
}

func (s *settings) text(key string) string { return s.values[key].text }

func (s *settings) bad(key, want string) {
	if v := s.values[key]; s.err == nil {
		where := "settings"
		if v.line > 0 {
			where += fmt.Sprintf(" line %d", v.line)
		}
		s.err = fmt.Errorf("%s: %s=%q is not %s", where, key, v.text, want)
	}
}

func (s *settings) number(key string, absent float64) float64 {
	v, found := s.values[key]
	if !found {
		return absent
	}
	n, err := strconv.ParseFloat(v.text, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		s.bad(key, "a number")
		return absent
	}
	return n
}

func (s *settings) span(key string, absent time.Duration) time.Duration {
	if _, found := s.values[key]; !found {
		return absent
	}
	d, err := millis(s.number(key, 0))
	if err != nil {
		s.bad(key, "a span")
	}
	return d
}

func (s *settings) count(key string, absent int) int {
	n := s.number(key, float64(absent))
	if n != math.Trunc(n) || math.Abs(n) > math.MaxInt32 {
		s.bad(key, "a whole number")
		return absent
	}
	return int(n)
}

func (s *settings) items(key string) int {
	n := s.count(key, 0)
	if n < 0 || n > maxItems {
		s.bad(key, "a list's length")
		return 0
	}
	return n
}

func (s *settings) flag(key string) bool {
	return s.word(key, "false", "true") == "true"
}

// word gives the setting if it is one of the words, the first of which is the default.
func (s *settings) word(key string, words ...string) string {
	v, found := s.values[key]
	if !found {
		return words[0]
	}
	for _, w := range words {
		if v.text == w {
			return w
		}
	}
	s.bad(key, "one of "+strings.Join(words, ", "))
	return words[0]
}
