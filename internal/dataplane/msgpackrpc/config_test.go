package msgpackrpc

import (
	"bytes"
	"testing"

	"marlreel/internal/testutil"
)

func TestConfig(t *testing.T) {
	good := DefaultConfig()
	good.Listen, good.Methods = "127.0.0.1:1", []Method{{Name: "a", Class: "bid"}}
	if err := good.Validate(); err != nil {
		t.Fatal(err)
	}
	if off := DefaultConfig(); off.Validate() != nil {
		t.Error("the default configuration, with RPC off, is invalid")
	}
	settings := testutil.Module(t)
	if err := good.CheckSettings(&settings); err != nil {
		t.Error(err)
	}
	for name, c := range map[string]struct {
		change func(*Config)
		want   string
	}{
		"listen":   {func(c *Config) { c.Listen = "here" }, "rpc.listen"},
		"methods":  {func(c *Config) { c.Methods = nil }, "rpc.method"},
		"a method": {func(c *Config) { c.Methods = []Method{{Name: "a"}} }, "rpc.method 1"},
		"a class":  {func(c *Config) { c.Methods[0].Class = "bit" }, "did you mean bid?"},
		"a house":  {func(c *Config) { c.DefaultTenant = "obale" }, "did you mean obala?"},
		"nesting":  {func(c *Config) { c.MaxDepth = 0 }, "rpc.nesting"},
		"pipeline": {func(c *Config) { c.Backend.MaxPipeline = -1 }, "rpc.backend.pipeline"},
		"idle":     {func(c *Config) { c.IdleTimeout = 0 }, "rpc.idle"},
	} {
		bad := good
		bad.Methods = append([]Method(nil), good.Methods...)
		c.change(&bad)
		err := bad.Validate()
		if err == nil {
			err = bad.CheckSettings(&settings)
		}
		if err == nil || !bytes.Contains([]byte(err.Error()), []byte(c.want)) {
			t.Errorf("%s: %v, want %s", name, err, c.want)
		}
	}
	for listed, want := range map[string]string{"10.0.0.1:5000": "10.0.0.1:6000", "10.0.0.1:65000": ""} {
		if got, _ := (&Backend{PortOffset: 1000}).rpcAddr(listed); got != want {
			t.Errorf("%s: %q, want %q", listed, got, want)
		}
	}
	if got, _ := (&Backend{Port: 7}).rpcAddr("10.0.0.1:5000"); got != "10.0.0.1:7" {
		t.Error(got)
	}
}
