package simwire

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"marlreel/internal/balancer"
)

// maxListLength bounds the length that a list may state. Indexes take one byte or four on the wire, and no list
// is longer than this.
const maxListLength = 4096

func (s *settings) weights() balancer.WeightKind {
	switch s.choice("Weights", "off", "nominal", "rough", "live") {
	case "nominal", "rough":
		return balancer.WeightNominal
	case "live":
		return balancer.WeightLive
	default:
		return balancer.WeightNone
	}
}

func (s *settings) effect(key string) balancer.Effect {
	switch s.choice(key, "fragile", "dedup", "retryable") {
	case "dedup":
		return balancer.Keyed
	case "retryable":
		return balancer.Safe
	default:
		return balancer.Unsafe
	}
}

func (s *settings) group(key string) balancer.Group {
	switch s.choice(key, "cell", "zone", "all") {
	case "zone":
		return balancer.GroupZone
	case "all":
		return balancer.GroupAll
	default:
		return balancer.GroupCell
	}
}

// report lists the load metrics that backends report, in wire order.
func (s *settings) report() []balancer.ReportField {
	if s.choice("Feedback.How", "off", "inline", "on_probe") == "off" {
		return nil
	}
	list := s.text("Feedback.Names")
	if list == "" {
		return nil
	}
	known := map[string]balancer.ReportField{
		"busy_reqs": balancer.FieldInFlight, "pending": balancer.FieldQueued,
		"failed_ps": balancer.FieldErrors,
	}
	var fields []balancer.ReportField
	for name := range strings.SplitSeq(list, ",") {
		fields = append(fields, known[strings.TrimSpace(name)])
	}
	return fields
}

func (s *settings) text(key string) string { return s.values[key].text }

// reject records an error for a value that can't be parsed; only the first one is kept.
func (s *settings) reject(key, want string) {
	if s.err != nil {
		return
	}
	v := s.values[key]
	s.err = &SettingError{Line: v.line, Key: key, Text: v.text, Want: want}
}

// number parses a finite number; an absent key gives the default.
func (s *settings) number(key string, absent float64) float64 {
	v, found := s.values[key]
	if !found {
		return absent
	}
	n, err := strconv.ParseFloat(v.text, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		s.reject(key, "a number")
		return absent
	}
	return n
}

// duration parses milliseconds; an absent key gives 0.
func (s *settings) duration(key string) time.Duration {
	duration, err := durationFromMillis(s.number(key, 0))
	if err != nil {
		s.reject(key, "a duration within range")
	}
	return duration
}

func (s *settings) count(key string, absent int) int {
	n := s.number(key, float64(absent))
	if n != math.Trunc(n) || math.Abs(n) > math.MaxInt32 {
		s.reject(key, "a whole number")
		return absent
	}
	return int(n)
}

func (s *settings) listLength(key string) int {
	n := s.count(key, 0)
	if n < 0 || n > maxListLength {
		s.reject(key, "a list's length")
		return 0
	}
	return n
}

func (s *settings) flag(key string) bool {
	return s.choice(key, "false", "true") == "true"
}

// choice returns the setting if it is one of the allowed words; the first of them is the default.
func (s *settings) choice(key string, allowed ...string) string {
	v, found := s.values[key]
	if !found {
		return allowed[0]
	}
	if !slices.Contains(allowed, v.text) {
		s.reject(key, "one of "+strings.Join(allowed, ", "))
		return allowed[0]
	}
	return v.text
}
