package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"marlreel/internal/actionable"
	"marlreel/internal/controlplane/configuration"
)

// tenantsConfiguration is smallConfiguration with two tenants, each with a key of its own.
var tenantsConfiguration = strings.Replace(smallConfiguration, `"limits":{`, `"subscribers":[
 {"name":"north","access_keys":["SECRET1","SECRET2"],"priority":2,"unit":"token_metering","raw_tokens":200,"rate_per_s":500,"burst_size":50,"later":1},
 {"name":"south","access_keys":["SECRET3"],"rate_per_s":10}],"limits":{`, 1)

// fakeControl serves a configuration and applies changes to it. The function that it returns returns the current one.
func fakeControl(t *testing.T, document *configuration.Document) (string, func() *configuration.Document) {
	t.Helper()
	control := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/marlreel/config/read" {
			_, _ = w.Write(document.Raw())
			return
		}
		change, err := io.ReadAll(r.Body)
		next, failure := document.Modify(change)
		if err != nil || failure != nil || r.Header.Get("Base-Version") != fmt.Sprint(document.Version) || next.Version <= document.Version {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		document = next
		fmt.Fprint(w, "{}")
	}))
	t.Cleanup(control.Close)
	return strings.TrimPrefix(control.URL, "http://"), func() *configuration.Document { return document }
}

func parsedTenants(t *testing.T) *configuration.Document {
	t.Helper()
	document, failure := configuration.Parse([]byte(tenantsConfiguration))
	if failure != nil {
		t.Fatal(failure)
	}
	return document
}

// Guards against a list of tenants that shows keys.
func TestSubscribersList(t *testing.T) {
	is := is.New(t)
	file := configurationFile(t, tenantsConfiguration)
	out, err := execute(t, "subscribers", "list", "--file", file)
	is.NoErr(err)
	is.Equal(out, `version 3  2 subscribers
north      keys 2  priority 2             500 tokens/s, burst 50, 200 where a request says none
south      keys 1  priority of the route  10 requests/s, burst 0
`)
	out, err = execute(t, "subscribers", "list", "--fingerprints", "--file", file)
	is.NoErr(err)
	is.True(strings.Contains(out, configuration.KeyFingerprint("SECRET3")) && !strings.Contains(out, "SECRET"))
	out, err = execute(t, "subscribers", "list", "--file", configurationFile(t, smallConfiguration))
	is.NoErr(err)
	is.Equal(out, "version 3 lists no subscribers: requests need no key\n")
}

// Guards against a rotation that loses the tenant's other keys or fields.
func TestSubscribersRotate(t *testing.T) {
	is := is.New(t)
	address, document := fakeControl(t, parsedTenants(t))
	out, err := execute(t, "subscribers", "rotate", "north", "--control", address)
	is.NoErr(err)
	key := regexp.MustCompile(`(?m)^key (\S{26,})$`).FindStringSubmatch(out)
	is.True(key != nil) // a generated key is printed
	is.Equal(document().SubscriberByKey(key[1]).Name, "north")
	is.Equal(document().SubscriberByKey("SECRET1").Name, "north")

	out, err = execute(t, "subscribers", "rotate", "north", "--remove", configuration.KeyFingerprint("SECRET1"), "--control", address)
	is.NoErr(err)
	is.Equal(out, "taken\n")
	is.True(document().SubscriberByKey("SECRET1") == nil)
	is.Equal(len(document().Subscriber("north").AccessKeys), 2)
	is.Equal(document().Subscriber("north").RatePerS, 500.0)
	is.True(strings.Contains(string(document().Raw()), `"later":1`))

	out, err = execute(t, "subscribers", "rotate", "south", "--key-file", configurationFile(t, "SECRET7\n"), "--control", address)
	is.NoErr(err)
	is.Equal(out, "taken\nfingerprint "+configuration.KeyFingerprint("SECRET7")+"\n")
	is.Equal(document().SubscriberByKey("SECRET7").Name, "south")
}

// Guards against errors of a rotation that show a key, even one that was given in place of a fingerprint.
func TestSubscribersRotateRejects(t *testing.T) {
	address, _ := fakeControl(t, parsedTenants(t))
	for _, c := range []struct {
		args []string
		text string
	}{
		{[]string{"nobody"}, `no subscriber "nobody"`},
		{[]string{"north", "--remove", "SECRET1"}, "no key of this fingerprint"},
		{[]string{"north", "--remove", configuration.KeyFingerprint("SECRET3")}, "no key of this fingerprint"},
		{[]string{"north", "--key-file", configurationFile(t, "SECRET3")}, `"south" has this key`},
		{[]string{"north", "--key-file", configurationFile(t, "SECRET4 SECRET5")}, "one key"},
		{[]string{"north", "--key-file", configurationFile(t, " \n")}, "one key"},
	} {
		_, err := execute(t, append([]string{"subscribers", "rotate", "--control", address}, c.args...)...)
		if err == nil || !strings.Contains(actionable.Message(err), c.text) || strings.Contains(actionable.Message(err), "SECRET") {
			t.Errorf("%v: %v", c.args, err)
		}
	}
}

// Guards against keys in the output of config diff.
func TestConfigDiffShowsNoKeys(t *testing.T) {
	is := is.New(t)
	old := configurationFile(t, tenantsConfiguration)
	changed := configurationFile(t, strings.Replace(tenantsConfiguration, "SECRET3", "SECRET8", 1))
	for _, args := range [][]string{{"config", "diff", old, changed}, {"config", "diff", "--json", old, changed}} {
		out, err := execute(t, args...)
		is.NoErr(err)
		is.True(strings.Contains(out, "subscribers[south].access_keys"))
		is.True(!strings.Contains(out, "SECRET"))
	}
}
