package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"marlreel/internal/balancer"
	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/dataplane/httpproxy"
	"marlreel/internal/dataplane/routing"
)

func headerOf(values map[string]string) *fasthttp.RequestHeader {
	header := &fasthttp.RequestHeader{}
	for key, value := range values {
		header.Set(key, value)
	}
	return header
}

func TestParseNeeds(t *testing.T) {
	for name, test := range map[string]struct {
		header map[string]string
		needs  *balancer.Needs
		work   time.Duration
	}{
		"no model":        {map[string]string{headerTokens: "100,10"}, nil, 0},
		"model":           {map[string]string{headerModel: "m", headerTokens: "100,10"}, &balancer.Needs{Model: "m", MaxOutputTokens: 10}, routing.EstimateWork(100, 10)},
		"adapter":         {map[string]string{headerModel: "m/a", headerTokens: " 100 , 10 "}, &balancer.Needs{Model: "m", Adapter: "a", MaxOutputTokens: 10}, routing.EstimateWork(100, 10)},
		"no tokens":       {map[string]string{headerModel: "m"}, &balancer.Needs{Model: "m"}, time.Millisecond},
		"bad tokens":      {map[string]string{headerModel: "m", headerTokens: "many,10"}, &balancer.Needs{Model: "m", MaxOutputTokens: 10}, routing.EstimateWork(0, 10)},
		"prompt":          {map[string]string{headerModel: "m", headerPrompt: "a1:600, b2:400"}, &balancer.Needs{Model: "m", Prompt: []balancer.PromptSegment{{ID: 0xa1, Tokens: 600}, {ID: 0xb2, Tokens: 400}}}, time.Millisecond},
		"bad part":        {map[string]string{headerModel: "m", headerPrompt: "a1:600,x:400,b2:1"}, &balancer.Needs{Model: "m", Prompt: []balancer.PromptSegment{{ID: 0xa1, Tokens: 600}}}, time.Millisecond},
		"no count":        {map[string]string{headerModel: "m", headerPrompt: "a1,b2:1"}, &balancer.Needs{Model: "m"}, time.Millisecond},
		"bad count":       {map[string]string{headerModel: "m", headerPrompt: "a1:1,b2:one"}, &balancer.Needs{Model: "m", Prompt: []balancer.PromptSegment{{ID: 0xa1, Tokens: 1}}}, time.Millisecond},
		"id out of range": {map[string]string{headerModel: "m", headerPrompt: "11111111111111111:1"}, &balancer.Needs{Model: "m"}, time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			needs, work := parseNeeds(headerOf(test.header))
			is.Equal(needs, test.needs)
			is.Equal(work, test.work)
		})
	}
}

func TestPromptPartsAreBounded(t *testing.T) {
	is := is.New(t)
	var value strings.Builder
	for i := range maxPromptParts + 5 {
		fmt.Fprintf(&value, "%x:1,", i+1)
	}
	is.Equal(len(parsePrompt(value.String())), maxPromptParts)
}

func TestTimeout(t *testing.T) {
	for name, test := range map[string]struct {
		routeMS   float64
		remaining string
		want      time.Duration
	}{
		"route's":        {5000, "", 5 * time.Second},
		"client's":       {5000, "1200.5", 1200500 * time.Microsecond},
		"client's above": {5000, "90000", 5 * time.Second},
		"malformed":      {5000, "soon", 5 * time.Second},
		"not positive":   {5000, "-1", 5 * time.Second},
		"above bound":    {600000, "", maxRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			route := &configuration.Route{TimeoutMS: test.routeMS}
			header := &fasthttp.RequestHeader{}
			if test.remaining != "" {
				header.Set(headerRemaining, test.remaining)
			}
			is.Equal(timeout(header, route), test.want)
		})
	}
}

func TestResumeMessage(t *testing.T) {
	is := is.New(t)
	original := &httpproxy.Message{Method: "GET", ID: "7", Head: []byte("GET / HTTP/1.1\r\nHost: a\r\nLast-Event-Id: 3\r\nModel: m\r\n")}
	next := resumeMessage(original, "12")
	is.Equal(string(next.Head), "GET / HTTP/1.1\r\nHost: a\r\nModel: m\r\nLast-Event-Id: 12\r\n")
	is.Equal(next.ID, "7")
	is.True(strings.Contains(string(original.Head), "Last-Event-Id: 3")) // the original is unchanged
}

func TestConnectionTokensAreNormalized(t *testing.T) {
	is := is.New(t)
	is.Equal(connectionTokens(nil), nil)
	is.Equal(connectionTokens([]byte("close, x-trace")), map[string]bool{"Close": true, "X-Trace": true})
}
