package simcluster

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"marlreel/internal/testing/recorded"
)

// recordedTenants is compatibilityDocument with two tenants.
func recordedTenants(version, tenants string) string {
	return strings.Replace(documentOf(version), `"limits":`, `"subscribers":[`+tenants+`],"limits":`, 1)
}

// subscriberExchanges are operator requests about tenants and keys. Each key contains SECRET.
func subscriberExchanges() []rawExchange {
	const north, south = `{"name":"north","access_keys":["SECRET1","SECRET2"],"priority":1,"unit":"token_metering","raw_tokens":200,` +
		`"rate_per_s":100,"burst_size":50}`, `{"name":"south","access_keys":["SECRET3"],"a_later_field":[1,2.50]}`
	replace := func(name, base, version, tenants string) rawExchange {
		return rawExchange{name, postTo("/marlreel/config/replace", base), recordedTenants(version, tenants)}
	}
	modify := func(name, base, body string) rawExchange {
		return rawExchange{name, postTo("/marlreel/config/modify", base), body}
	}
	read := rawExchange{"read", "GET /marlreel/config/read HTTP/1.1\nHost: control", ""}
	rotated := `{"config_version":9,"upsert":{"subscribers":[{"name":"north","access_keys":["SECRET2","SECRET4"]}]}}`
	return []rawExchange{
		replace("replace with tenants", "0", "7", north+","+south),
		replace("a shared key", "7", "8", north+","+strings.Replace(south, "SECRET3", "SECRET2", 1)),
		replace("same name", "7", "8", north+","+strings.Replace(south, "south", "north", 1)),
		replace("an empty key", "7", "8", strings.Replace(south, "SECRET3", "", 1)),
		replace("a negative rate", "7", "8", strings.Replace(north, `"rate_per_s":100`, `"rate_per_s":-100`, 1)),
		replace("keys of another type", "7", "8", `{"name":"north","access_keys":"SECRET1"}`),
		{"cut short in a key", postTo("/marlreel/config/replace", "7"), `{"config_version":8,"subscribers":[{"access_keys":["SECRET`},
		modify("a shared key in a change", "7", `{"config_version":8,"upsert":{"subscribers":[{"name":"thief","access_keys":["SECRET3"]}]}}`),
		modify("rotate", "7", rotated),
		modify("the same again", "7", rotated),
		modify("a stale change", "7", `{"config_version":10,"upsert":{"subscribers":[{"name":"north","access_keys":["SECRET5"]}]}}`),
		read,
		modify("the last tenants go", "9", `{"config_version":10,"remove":{"subscribers":["north","south","none"]}}`),
		read,
		modify("a route changes", "10", `{"config_version":11,"remove":{"route_list":["once"]}}`),
		read,
	}
}

// Guards against changed responses to operators who send tenants and keys, and against error responses that reveal a key.
func TestCompatibilityOfSubscribersAtControl(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startControlPlane(t)
		c.Sleep(3 * time.Second)
		recorded.Check(t, "control-subscribers.txt", replayAll(t, c, c.Controls[0].ControlAddress(), subscriberExchanges()))
	})
	synctest.Test(t, func(t *testing.T) {
		c := startControlPlane(t)
		c.Sleep(3 * time.Second)
		for _, e := range subscriberExchanges() {
			status, header, body := replay(t, c, c.Controls[0].ControlAddress(), e)
			if status != http.StatusOK && strings.Contains(fmt.Sprint(header)+body, "SECRET") {
				t.Errorf("%s: the error response contains a key: %s", e.name, body)
			}
		}
	})
}
