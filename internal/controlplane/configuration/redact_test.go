package configuration

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"marlreel/internal/controlplane/result"
)

// Guards against a comparison that reveals keys, or that doesn't show that a key was changed.
func TestDiffShowsAChangedKeyWithoutIt(t *testing.T) {
	is := is.New(t)
	old, changed := withTenants(tenantList), withTenants(strings.Replace(tenantList, "SECRET2", "SECRET9", 1))
	found, err := Diff([]byte(old), []byte(changed))
	is.True(err == nil)
	is.Equal(len(found), 1)
	is.Equal(found[0].Path, "subscribers[north].access_keys")
	is.True(strings.Contains(string(found[0].New), "redacted:"+KeyFingerprint("SECRET9")))
	is.True(!bytes.Equal(found[0].Old, found[0].New))

	found, err = Diff([]byte(baseDocument), []byte(old)) // the list is added
	is.True(err == nil)
	is.Equal(len(found), 1)
	text, _ := json.Marshal(found)
	is.True(!bytes.Contains(text, []byte(secretMark)))
}

// Guards against revealing keys that are in unexpected places or of unexpected types.
func TestRedactFindsKeysInAnyForm(t *testing.T) {
	for _, document := range []string{
		withTenants(tenantList),
		`{"subscribers":[{"access_keys":"SECRET1"},{"access_keys":{"SECRET1":["SECRET2"]}},{"access_keys":[["SECRET1"],5]}]}`,
		`{"subscribers":{"north":{"ACCESS_KEYS":["SECRET1"]}},"access_keys":["SECRET1"]}`,
		`[{"deep":[[{"access_keys":["SECRET1"]}]]}]`,
	} {
		is := is.New(t)
		redacted, err := Redact([]byte(document))
		is.True(err == nil)
		is.True(!bytes.Contains(redacted, []byte(secretMark)))
		is.True(bytes.Contains(redacted, []byte("redacted:")))
	}
}

// Guards against a redacted configuration that differs from the original in more than its keys.
func TestRedactKeepsAllElse(t *testing.T) {
	is := is.New(t)
	same, err := Redact([]byte(baseDocument))
	is.True(err == nil)
	is.Equal(string(same), baseDocument)
	redacted, err := Redact([]byte(withTenants(tenantList)))
	is.True(err == nil)
	d := parsed(t, string(redacted))
	is.Equal(asJSON(&Document{Routes: d.Routes, Services: d.Services}), asJSON(&Document{Routes: parsed(t, baseDocument).Routes, Services: parsed(t, baseDocument).Services}))
	is.Equal(len(d.Subscriber("north").AccessKeys), 2)
	is.True(strings.Contains(string(redacted), `"later":[1,2.50]`))
	_, err = Redact([]byte(`{"access_keys":["SECRET1"`))
	is.True(err != nil && err.Code == result.Malformed && !strings.Contains(err.Detail, secretMark))
}
