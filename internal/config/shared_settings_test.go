package config_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"marlreel/internal/config"
	"marlreel/internal/testutil"
)

// Shared settings that aren't a JSON object are an error, even if this proxy has local keys to add.
func TestSharedSettingsNeedAnObject(t *testing.T) {
	text := `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f","settings":` +
		testutil.Settings[:1] + `"Rank":0,"Zone":0,` + testutil.Settings[1:] + `}`
	platform, err := config.ParsePlatform([]byte(text), func(string) string { return "" })
	is.New(t).NoErr(err)
	for name, shared := range map[string]string{"null": `null`, "a list": `[]`, "a text": `"x"`, "nothing": ``} {
		t.Run(name, func(t *testing.T) {
			_, err := platform.WithSharedSettings(shared)
			var key *config.KeyError
			is.New(t).True(errors.As(err, &key))
		})
	}
}
