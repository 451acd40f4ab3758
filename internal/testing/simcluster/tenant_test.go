package simcluster

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// The keys of the tests' tenants.
const (
	harborKey = "banfqasnmgkcuyj8pjbv"
	quayKey   = "h7d2m0s4xk1wq9ze5rta"
)

// tenants lists two tenants with a key each; the first one has a priority.
const tenants = `{"name":"harbor","access_keys":["` + harborKey + `"],"priority":7},{"name":"quay","access_keys":["` + quayKey + `"]}`

// documentWithTenants returns a version of a configuration with subscribers and a keyless route.
func documentWithTenants(subscribers string) func(version uint64) string {
	keyless := `"subscribers":[` + subscribers + `],"route_list":[{"name":"open","host":"a.example","path_prefix":"/open/",` +
		`"route_class":"unsafe","timeout_ms":2000,"target_latency_ms":150,"service":"slips","max_attempts":1,"keyless":true},`
	return func(version uint64) string {
		return strings.Replace(document(version), `"route_list":[`, keyless, 1)
	}
}

// runWithTenants runs a test on a cluster whose configuration lists the tenants.
func runWithTenants(t *testing.T, test func(t *testing.T, c *Cluster)) {
	t.Helper()
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		c.putSubscribers(t, tenants)
		test(t, c)
	})
}

// putSubscribers replaces the subscribers, and waits until the change must be in force.
func (c *Cluster) putSubscribers(t *testing.T, subscribers string) {
	t.Helper()
	c.replaceConfiguration(t, documentWithTenants(subscribers), 4*time.Second)
	c.Sleep(applyTime)
}

// send sends a request, and fails the test if there is no response.
func (c *Cluster) send(t *testing.T, edge *Machine, r Request) Response {
	t.Helper()
	return c.sendAsync(t, edge, r)()
}

// withKey returns a plain request with a key.
func withKey(key string) Request {
	r := slipRequest()
	r.Key = key
	return r
}

// checkIdentity checks that a request was executed so many times, each time with the name of its tenant and without a key.
// An empty tenant means that the request has none.
func (c *Cluster) checkIdentity(t *testing.T, r Request, executions int, tenant string) {
	t.Helper()
	ran := c.executionsOf(r.ID)
	if len(ran) != executions {
		t.Fatalf("request %s was executed %d times, want %d", r.ID, len(ran), executions)
	}
	want := "[" + tenant + "]"
	for _, execution := range ran {
		if got := fmt.Sprint(execution.Header.Values("Subscriber")); got != want {
			t.Errorf("request %s was executed with subscriber %s, want %s", r.ID, got, want)
		}
		for name, values := range execution.Header {
			if text := name + ": " + strings.Join(values, " "); name == "Authorization" || strings.Contains(text, harborKey) || strings.Contains(text, quayKey) {
				t.Errorf("request %s reached a backend with a key in the header %s", r.ID, name)
			}
		}
	}
}

// Guards against ROUTE violations on the shared sites: requests with a key that no configuration ever had were executed.
func TestRequestWithoutKnownKeyIsRefused(t *testing.T) {
	runWithTenants(t, func(t *testing.T, c *Cluster) {
		for name, headers := range map[string]string{
			"no key":               "",
			"unknown key":          "Authorization: Bearer someone\r\n",
			"no scheme":            "Authorization: " + harborKey + "\r\n",
			"other scheme":         "Authorization: Basic " + harborKey + "\r\n",
			"empty key":            "Authorization: Bearer \r\n",
			"two keys":             "Authorization: Bearer " + harborKey + "\r\nAuthorization: Bearer " + quayKey + "\r\n",
			"the tenant by itself": "Subscriber: harbor\r\n",
		} {
			r := slipRequest()
			r.OtherHeaders = headers
			got := c.send(t, c.Edges[0], r)
			if got.Status != http.StatusUnauthorized || got.Header.Get("WWW-Authenticate") != "Bearer" {
				t.Errorf("%s: status %d, header %v", name, got.Status, got.Header)
			}
			c.checkIdentity(t, r, 0, "")
		}
		c.checkServed(t, c.Edges, "/nothing/1", http.StatusNotFound) // with or without a key
	})
}

// Guards against UNASKED violations on the shared sites: the key was forwarded to backends, and the client could choose
// the tenant.
func TestBackendGetsTenantInPlaceOfKey(t *testing.T) {
	runWithTenants(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		for key, tenant := range map[string]string{harborKey: "harbor", quayKey: "quay"} {
			r := withKey(key)
			r.OtherHeaders = "Subscriber: other\r\nsubscriber: one-more\r\nConnection: subscriber\r\n"
			is.Equal(c.send(t, c.Edges[1], r).Status, http.StatusOK)
			c.checkIdentity(t, r, 1, tenant)
		}
		r := slipRequest()
		r.OtherHeaders = "authorization: bearer " + quayKey + "\r\n" // schemes and header names are case-insensitive
		is.Equal(c.send(t, c.Edges[2], r).Status, http.StatusOK)
		c.checkIdentity(t, r, 1, "quay")
	})
}

// Guards against UNASKED violations on keyless routes: the client's headers for keys and tenants were forwarded.
func TestKeylessRouteNamesOnlyKnownTenants(t *testing.T) {
	runWithTenants(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		for headers, tenant := range map[string]string{
			"Subscriber: harbor\r\n":                                          "",
			"Subscriber: harbor\r\nAuthorization: Bearer someone\r\n":         "",
			"Subscriber: harbor\r\nAuthorization: Bearer " + quayKey + "\r\n": "quay",
		} {
			r := slipRequestTo("/open/1")
			r.OtherHeaders = headers
			is.Equal(c.send(t, c.Edges[0], r).Status, http.StatusOK)
			c.checkIdentity(t, r, 1, tenant)
		}
	})
}

// Guards against UNASKED violations at the second backend of a request: a resumed stream must name the same tenant.
func TestResumedStreamNamesTenantAndNoKey(t *testing.T) {
	runWithTenants(t, func(t *testing.T, c *Cluster) {
		r := chatRequest("m0")
		r.Key, r.Tokens, r.OtherHeaders = harborKey, "1000,200", "Subscriber: quay\r\n"
		await := c.sendAsync(t, c.Edges[0], r)
		c.Sleep(time.Second)
		c.checkIdentity(t, r, 1, "harbor")
		c.backend(c.executionsOf(r.ID)[0].Backend).Kill()
		checkStream(t, r, await(), 100)
		c.checkIdentity(t, r, 2, "harbor")
	})
}

// Guards against CONFIG violations: a removed key was still accepted on connections that were opened before its removal.
func TestDroppedKeyIsRefusedOnOpenConnection(t *testing.T) {
	runWithTenants(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		conn, err := c.DialFront(c.Edges[0], time.Second)
		is.NoErr(err)
		defer conn.Close()
		got, err := SendOver(conn, withKey(harborKey))
		is.NoErr(err)
		is.Equal(got.Status, http.StatusOK)
		c.putSubscribers(t, `{"name":"quay","access_keys":["`+quayKey+`"]}`)
		for _, r := range []Request{withKey(harborKey), withKey(harborKey)} {
			got, err = SendOver(conn, r)
			is.NoErr(err)
			is.Equal(got.Status, http.StatusUnauthorized)
			c.checkIdentity(t, r, 0, "")
		}
		got, err = SendOver(conn, withKey(quayKey))
		is.NoErr(err)
		is.Equal(got.Status, http.StatusOK)
	})
}

// Guards against UNASKED violations after a change: a key that was moved to another tenant must name its new tenant.
func TestMovedKeyNamesItsNewTenant(t *testing.T) {
	runWithTenants(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		c.putSubscribers(t, `{"name":"harbor","access_keys":["n3w"]},{"name":"quay","access_keys":["`+quayKey+`","`+harborKey+`"]}`)
		for _, edge := range c.Edges {
			for key, tenant := range map[string]string{harborKey: "quay", quayKey: "quay", "n3w": "harbor"} {
				r := withKey(key)
				is.Equal(c.send(t, edge, r).Status, http.StatusOK)
				c.checkIdentity(t, r, 1, tenant)
			}
		}
	})
}

// Guards against an empty list of subscribers that is treated like a missing list.
func TestEmptyListOfSubscribersAdmitsNobody(t *testing.T) {
	runWithTenants(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		c.putSubscribers(t, "")
		is.Equal(c.send(t, c.Edges[0], withKey(harborKey)).Status, http.StatusUnauthorized)
		is.Equal(c.send(t, c.Edges[0], slipRequestTo("/open/1")).Status, http.StatusOK)
	})
}

// Keeps earlier deployments working: without a list of subscribers, both headers are forwarded for the backends to handle.
func TestHeadersOfTenantsGoAlongWithoutSubscribers(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		r := withKey("of-the-backend")
		r.OtherHeaders = "Subscriber: someone\r\n"
		is.Equal(c.send(t, c.Edges[0], r).Status, http.StatusOK)
		header := c.executionsOf(r.ID)[0].Header
		is.Equal(header.Values("Authorization"), []string{"Bearer of-the-backend"})
		is.Equal(header.Values("Subscriber"), []string{"someone"})
	})
}

// Guards against tenants whose requests keep the route's priority, or who choose their own.
func TestTenantsPriorityTakesThePlaceOfTheRoutes(t *testing.T) {
	runWithTenants(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		for key, priorities := range map[string][]string{harborKey: {"7"}, quayKey: {"1"}} {
			r := chatRequest("m0")
			r.Key = key
			if key == harborKey {
				r.OtherHeaders = "Priority: 0\r\n"
			}
			is.Equal(c.send(t, c.Edges[0], r).Status, http.StatusOK)
			is.Equal(c.executionsOf(r.ID)[0].Header.Values("Priority"), priorities)
		}
	})
}

// A proxy without a configuration answers neither 401 nor 404, because it doesn't know what is allowed.
func TestKeyWithoutConfigurationIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startMachines(t, controls, 1)
		c.Sleep(2 * time.Second)
		if got := c.send(t, c.Edges[0], withKey(harborKey)); got.Status != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" {
			t.Fatalf("status %d, header %v", got.Status, got.Header)
		}
	})
}
