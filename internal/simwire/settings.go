package simwire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"marlreel/internal/balancer"
)

// settings holds the values of one BootInfo text or JSON object by key path. Its methods parse a value as a given type.
// For a value that can't be parsed they return the default, and err keeps the first such error.
type settings struct {
	values map[string]setting
	err    error
}

type setting struct {
	text string
	line int // of a BootInfo text, from 1; 0 for a value of a JSON object
}

// SettingError reports a setting whose value doesn't have the type that its key requires.
type SettingError struct {
	Line int    // of a BootInfo text, from 1; 0 for a value of a JSON object
	Key  string // the full path
	Text string // as it was given
	Want string // describes a valid value
}

func (e *SettingError) Error() string {
	where := "settings"
	if e.Line > 0 {
		where += fmt.Sprintf(" line %d", e.Line)
	}
	return fmt.Sprintf("%s: %s=%q is not %s", where, e.Key, e.Text, e.Want)
}

// LineError reports a line of a BootInfo text that is not a setting.
type LineError struct {
	Line int // from 1
	Text string
}

func (e *LineError) Error() string {
	return fmt.Sprintf("settings line %d: %q is not path=value", e.Line, e.Text)
}

// ParseBootInfo parses the settings of an instance, one path=value pair per line; times are in milliseconds. Unknown
// keys are ignored. The defaults of absent keys are: no capability is granted, a class isn't idempotent, the
// membership is pushed, and a count is 1. Errors are *LineError or *SettingError.
func ParseBootInfo(text string) (balancer.Config, error) {
	s := settings{values: map[string]setting{}}
	number := 0
	for line := range strings.Lines(text) {
		number++
		line = strings.TrimRight(line, "\r\n")
		if strings.TrimSpace(line) == "" {
			continue
		}
		key, value, found := strings.Cut(line, "=")
		key = strings.TrimSpace(key)
		if !found || key == "" {
			return balancer.Config{}, &LineError{Line: number, Text: line}
		}
		s.values[key] = setting{text: strings.TrimSpace(value), line: number}
	}
	c := s.config()
	return c, s.err
}

// ParseSettings parses the same settings from the JSON object in a real proxy's configuration. Names, units and
// defaults are those of ParseBootInfo. An invalid value gives a *SettingError; input that is not a JSON object gives
// the decoder's error, wrapped.
func ParseSettings(object []byte) (balancer.Config, error) {
	decoder := json.NewDecoder(bytes.NewReader(object))
	decoder.UseNumber()
	var tree map[string]any
	if err := decoder.Decode(&tree); err != nil {
		return balancer.Config{}, eris.Wrap(err, "settings")
	}
	s := settings{values: map[string]setting{}}
	s.flatten("", tree)
	c := s.config()
	return c, s.err
}

// flatten stores a JSON value under the path that it has in a BootInfo text. A list is also stored as one
// comma-separated text, the form in which a BootInfo text holds a list of words.
func (s *settings) flatten(path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for key, item := range v {
			if path != "" {
				key = path + "." + key
			}
			s.flatten(key, item)
		}
	case []any:
		s.values[path+".count"] = setting{text: strconv.Itoa(len(v))}
		texts := make([]string, len(v))
		for i, item := range v {
			s.flatten(path+"."+strconv.Itoa(i), item)
			texts[i] = fmt.Sprint(item)
		}
		s.values[path] = setting{text: strings.Join(texts, ",")}
	case nil: // treated as absent
	default:
		s.values[path] = setting{text: fmt.Sprint(v)}
	}
}

func (s *settings) config() balancer.Config {
	c := balancer.Config{
		Instances: s.count("Balancers", 1), Rank: s.count("Rank", 0), Zone: s.count("Zone", 0),
		Tick:               s.duration("Tick"),
		OverQuotaValue:     s.number("OverShareWorth", 1),
		ValueByWork:        s.choice("WorthBy", "request", "work") == "work",
		KeyAffinity:        s.flag("Extra.WarmKeys"),
		ClientsMarkRetries: s.flag("Clients.MarksRetry"),
		PollMembership:     s.choice("Discovery", "pushed", "on_request") == "on_request",
		Goal:               s.goal(),
		Prices:             s.prices(),
		Obligations:        s.obligations(),
		Caps:               s.caps(),
		Weights:            s.weights(),
		Report:             s.report(),
	}
	for i := range s.listLength("Services.count") {
		c.Classes = append(c.Classes, s.class(fmt.Sprintf("Services.%d.", i)))
	}
	for i := range s.listLength("Tenants.count") {
		c.Tenants = append(c.Tenants, s.tenant(fmt.Sprintf("Tenants.%d.", i)))
	}
	return c
}

func (s *settings) goal() balancer.Goal {
	return balancer.Goal{
		Total: s.number("Goal.Whole", 1), WorstClass: s.number("Goal.WorstClass", 0),
		WorstTenant: s.number("Goal.WorstTenant", 0), WorstWindow: s.number("Goal.WorstWindow", 0),
	}
}

func (s *settings) prices() balancer.Prices {
	return balancer.Prices{
		Connection: s.number("Prices.Connection", 0),
		CrossZone:  s.number("Prices.CrossZone", 0), Discovery: s.number("Prices.Discovery", 0),
		Handshake: s.number("Prices.Handshake", 0), LateFailure: s.number("Prices.LateFail", 0),
		PeerMessage: s.number("Prices.Peer", 0), HealthCheck: s.number("Prices.Probe", 0), Waste: s.number("Prices.Waste", 0),
	}
}

func (s *settings) obligations() balancer.Obligations {
	return balancer.Obligations{
		AnswerSlack:      s.duration("Obligations.AnswerSlack"),
		MaxMembershipAge: s.duration("Obligations.AskEvery"), WarmupDuration: s.duration("Obligations.Cold"),
		DrainGrace: s.duration("Obligations.DrainGrace"), OverloadWindow: s.duration("Obligations.Fall"),
		OverloadMultiple: s.number("Obligations.FallMultiple", 1),
		InitialCapacity:  s.number("Obligations.StartCapacity", 1),
	}
}

func (s *settings) caps() balancer.Caps {
	return balancer.Caps{
		Cancel: s.flag("Caps.Cancel"), Peers: s.flag("Caps.Peers"), HealthChecks: s.flag("Caps.Probes"),
		RetryAfter: s.flag("Caps.RetryAfter"), Hedging: s.flag("Caps.SecondCopies"),
		ConnIdle: s.duration("Caps.ConnIdle"), ConnectTimeout: s.duration("Caps.ConnectTimeout"),
		MaxRetryAfter: s.duration("Caps.MaxRetryAfter"), MaxAttempts: s.count("Caps.MaxAttempts", 1),
		StreamsPerConn: s.count("Caps.StreamsPerConn", 1),
	}
}

func (s *settings) class(prefix string) balancer.Class {
	return balancer.Class{
		Name:                 s.text(prefix + "Name"),
		LatencyTarget:        s.duration(prefix + "Aim"),
		LatencyTargetStretch: s.number(prefix+"AimStretch", 0),
		ClientTimeout:        s.duration(prefix + "GiveUp"),
		LateValueRatio:       s.number(prefix+"LateShare", 0),
		Stream:               s.flag(prefix + "Stream"),
		Value:                s.number(prefix+"Value", 1),
		IdempotencyWindow:    s.duration(prefix + "Window"),
		Effect:               s.effect(prefix + "Effect"),
		Group:                s.group(prefix + "Group"),
	}
}

func (s *settings) tenant(prefix string) balancer.Tenant {
	return balancer.Tenant{
		Name: s.text(prefix + "Name"), TrafficShare: s.number(prefix+"Share", 0), QuotaPerS: s.number(prefix+"QuotaPerS", 0),
	}
}
