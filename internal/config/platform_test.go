package config_test

import (
	"strings"
	"testing"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/config"
	"marlreel/internal/testutil"
)

func TestBadConfigurations(t *testing.T) {
	t.Parallel()
	good := `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f","settings":` + testutil.Settings + `}`
	none := func(string) string { return "" }
	if _, err := config.ParsePlatform([]byte(good), none); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string][2]string{
		"not JSON":        {`{"name"`, `{"name`},
		"no address":      {`127.0.0.1:0`, `127.0.0.1`},
		"no discovery":    {`"discovery":"127.0.0.1:1"`, `"discovery":""`},
		"bad seed":        {`8c1f`, `dice`},
		"no settings":     {`"settings"`, `"other"`},
		"an unknown word": {`"fragile"`, `"breakable"`},
		"a wrong number":  {`"Aim":60000.0`, `"Aim":"soon"`},
		"streams":         {`"Name":"bid"`, `"Stream":true,"Name":"bid"`},
		"too few sockets": {`"name"`, `"limits":{"sockets":8},"name"`},
		"a bad list":      {`"name"`, `"known":{"instances":[{"instanceId":""}]},"name"`},
	} {
		text := strings.Replace(good, change[0], change[1], 1)
		if text == good {
			t.Fatalf("%s: nothing changed", name)
		}
		_, err := config.ParsePlatform([]byte(text), none)
		if err == nil {
			t.Errorf("%s: accepted", name)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error of more than one line: %v", name, err)
		}
	}
}

func TestDrainTimeoutIsBoundedByThePlatform(t *testing.T) {
	t.Parallel()
	for longest, want := range map[time.Duration]time.Duration{time.Second: time.Second, 4 * time.Second: 3 * time.Second} {
		var c config.Platform
		c.Settings.Classes = []balancer.Class{{ClientTimeout: time.Second / 2}, {ClientTimeout: longest}}
		if got := c.DrainTimeout(); got != want {
			t.Errorf("longest client timeout %v: drain timeout %v, want %v", longest, got, want)
		}
	}
}
