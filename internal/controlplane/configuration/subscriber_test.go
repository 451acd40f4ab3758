package configuration

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"marlreel/internal/controlplane/result"
)

// secretMark is part of every key in these tests, so that a leaked key is detected.
const secretMark = "SECRET"

// tenantList has two tenants, the first with a field that this version doesn't know.
const tenantList = `[{"name":"north","access_keys":["SECRET1","SECRET2"],"priority":2,"unit":"token_metering","raw_tokens":200,` +
	`"rate_per_s":10,"burst_size":5,"later":[1,2.50]},{"name":"south","access_keys":["SECRET3"]}]`

// withTenants returns baseDocument with a list of subscribers.
func withTenants(list string) string {
	return strings.Replace(baseDocument, `"limits":{}`, `"limits":{},"subscribers":`+list, 1)
}

func parsed(t testing.TB, text string) *Document {
	t.Helper()
	d, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func modified(t testing.TB, d *Document, change string) *Document {
	t.Helper()
	next, err := d.Modify([]byte(change))
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// tenantOf returns the name of the tenant that has a key; empty: no tenant has it.
func tenantOf(d *Document, key string) string {
	if subscriber := d.SubscriberByKey(key); subscriber != nil {
		return subscriber.Name
	}
	return ""
}

// Guards against changes of subscribers that are rejected, or lose items and fields that they don't name.
func TestModifyChangesSubscribers(t *testing.T) {
	is := is.New(t)
	d := parsed(t, withTenants(tenantList))
	next := modified(t, d, `{"config_version":4,"upsert":{"subscribers":[{"name":"south","access_keys":["SECRET4"]},{"name":"east","access_keys":["SECRET3"]}]}}`)
	is.Equal(tenantOf(next, "SECRET1"), "north")
	is.Equal(tenantOf(next, "SECRET3"), "east") // a key removed from one tenant may be given to another
	is.Equal(tenantOf(next, "SECRET4"), "south")
	is.Equal(tenantOf(d, "SECRET3"), "south") // the original is unchanged
	is.True(strings.Contains(string(next.Raw()), `"later":[1,2.50]`))

	last := modified(t, next, `{"config_version":5,"remove":{"subscribers":["north","south","none"]}}`)
	is.Equal(tenantOf(last, "SECRET1"), "")
	is.Equal(last.Subscriber("north"), nil)
	is.Equal(tenantOf(last, "SECRET3"), "east")
}

// Guards against requests without a key being accepted after the last tenant is removed, and being rejected when the
// configuration has no list of subscribers.
func TestModifyKeepsWhetherKeysAreRequired(t *testing.T) {
	for _, c := range []struct {
		name, document, change string
		required               bool
	}{
		{"no list, a route changes", baseDocument, `{"config_version":4,"remove":{"route_list":["a"]}}`, false},
		{"no list, a tenant is removed", baseDocument, `{"config_version":4,"remove":{"subscribers":["north"]}}`, false},
		{"no list, a tenant is added", baseDocument, `{"config_version":4,"upsert":{"subscribers":[{"name":"a"}]}}`, true},
		{"null, a route changes", withTenants("null"), `{"config_version":4,"remove":{"route_list":["a"]}}`, false},
		{"an empty list, a route changes", withTenants("[]"), `{"config_version":4,"remove":{"route_list":["a"]}}`, true},
		{"the last tenants are removed", withTenants(tenantList), `{"config_version":4,"remove":{"subscribers":["north","south"]}}`, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			next := modified(t, parsed(t, c.document), c.change)
			is.Equal(next.RequiresKeys(), c.required)
			is.Equal(parsed(t, string(next.Raw())).RequiresKeys(), c.required) // also after parsing its JSON
		})
	}
}

// Guards against losing lists whose keys are written in a different case: they are decoded, but must also be part of the
// JSON after a change.
func TestModifyKeepsListsWhoseKeysAreInAnotherCase(t *testing.T) {
	is := is.New(t)
	sent := strings.NewReplacer("subscribers", "Subscribers", "route_list", "Route_List", "service_list", "SERVICE_LIST").Replace(withTenants(tenantList))
	for _, change := range []string{`{"config_version":4,"remove":{"route_list":["a"]}}`, `{"config_version":4,"remove":{"subscribers":["north"]}}`} {
		next := modified(t, parsed(t, sent), change)
		read := parsed(t, string(next.Raw()))
		is.Equal(asJSON(next), asJSON(read))
		is.Equal(tenantOf(next, "SECRET3"), "south")
		is.Equal(tenantOf(read, "SECRET3"), "south")
		is.True(len(read.Routes) > 0 && len(read.Services) == 2)
	}
}

// Guards against rehashing the keys of thousands of tenants when only a route changes.
func TestModifySharesTheTablesOfUntouchedLists(t *testing.T) {
	is := is.New(t)
	d := parsed(t, withTenants(tenantList))
	routeChanged := modified(t, d, `{"config_version":4,"remove":{"route_list":["a"]}}`)
	is.True(routeChanged.subscribers == d.subscribers)
	is.True(routeChanged.Match("h.example", "/a/1") == nil)
	is.True(routeChanged.Service("t") == d.Service("t"))
	tenantChanged := modified(t, d, `{"config_version":4,"remove":{"subscribers":["north"]}}`)
	is.True(tenantChanged.subscribers != d.subscribers)
	is.True(tenantChanged.Match("h.example", "/a/1") == d.Match("h.example", "/a/1"))
}

// Guards against invalid tenants being accepted, by a whole configuration or by a change.
func TestSubscribersAreValidated(t *testing.T) {
	for _, c := range []struct {
		name, list string
		code       result.Code // 0: valid
	}{
		{"duplicate name", `[{"name":"a"},{"name":"a"}]`, result.DuplicateName},
		{"no name", `[{"access_keys":["SECRET1"]}]`, result.InvalidField},
		{"line break in the name", `[{"name":"a\r\nSubscriber: b"}]`, result.InvalidField},
		{"key of two tenants", `[{"name":"a","access_keys":["SECRET1"]},{"name":"b","access_keys":["SECRET2","SECRET1"]}]`, result.SharedKey},
		{"key twice in one tenant", `[{"name":"a","access_keys":["SECRET1","SECRET1"]}]`, 0},
		{"empty key", `[{"name":"a","access_keys":["SECRET1",""]}]`, result.InvalidField},
		{"no keys", `[{"name":"a","access_keys":[]},{"name":"b"}]`, 0},
		{"negative rate", `[{"name":"a","rate_per_s":-1}]`, result.InvalidField},
		{"negative burst", `[{"name":"a","burst_size":-0.5}]`, result.InvalidField},
		{"negative tokens", `[{"name":"a","raw_tokens":-1}]`, result.InvalidField},
		{"rate too large for a float64", `[{"name":"a","rate_per_s":1e999}]`, result.Malformed},
		{"unknown unit", `[{"name":"a","unit":"other"}]`, 0},
		{"keys of another type", `[{"name":"a","access_keys":"SECRET1"}]`, result.Malformed},
		{"keys in an object", `[{"name":"a","access_keys":{"SECRET1":true}}]`, result.Malformed},
		{"key in place of a rate", `[{"name":"a","rate_per_s":"SECRET1"}]`, result.Malformed},
		{"truncated in a key", `[{"name":"a","access_keys":["SECRET`, result.Malformed},
		{"key without quotes", `[{"name":"a","access_keys":[SECRET1]}]`, result.Malformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, whole := Parse([]byte(withTenants(c.list)))
			_, change := parsed(t, withTenants("[]")).Modify([]byte(`{"config_version":4,"upsert":{"subscribers":` + c.list + `}}`))
			for _, err := range []*result.Error{whole, change} {
				is.Equal(err != nil, c.code != 0)
				is.True(err == nil || !strings.Contains(err.Error(), secretMark)) // an error must not contain a key
			}
			is.True(whole == nil || whole.Code == c.code)
		})
	}
}

// Guards against a change that gives a tenant a key of another tenant that the change doesn't name.
func TestModifyRejectsAKeyOfAnotherTenant(t *testing.T) {
	is := is.New(t)
	_, err := parsed(t, withTenants(tenantList)).Modify([]byte(`{"config_version":4,"upsert":{"subscribers":[{"name":"x","access_keys":["SECRET3"]}]}}`))
	is.True(err != nil)
	is.Equal(err.Code, result.SharedKey)
	is.Equal(err.Code.Status(), 400)
	is.True(strings.Contains(err.Detail, `"south" and "x"`) && !strings.Contains(err.Detail, secretMark))
}

// Guards against leaking keys through encoding/json's errors, which quote the byte or number that they fail at.
func TestJSONErrorsQuoteNothing(t *testing.T) {
	is := is.New(t)
	const key, unquoted = "8675309", "~"
	_, syntax := Parse([]byte(withTenants(`[{"name":"a","access_keys":[` + unquoted + `]}]`)))
	is.True(syntax != nil && !strings.Contains(syntax.Detail, unquoted))
	for _, list := range []string{
		`[{"name":"a","priority":` + key + `.5}]`, `[{"name":"a","access_keys":[` + key + `]}]`, `[{"name":` + key + `}]`, `[` + key + `]`, key,
	} {
		_, err := Parse([]byte(withTenants(list)))
		is.True(err != nil)
		is.True(!strings.Contains(err.Detail, key))
		_, err = parsed(t, baseDocument).Modify([]byte(`{"config_version":4,"upsert":{"subscribers":` + list + `}}`))
		is.True(err != nil)
		is.True(!strings.Contains(err.Detail, key))
	}
}

// Guards against keys in logs: a formatted subscriber, or document with subscribers, must not contain them.
func TestFormattedSubscribersShowNoKey(t *testing.T) {
	is := is.New(t)
	d := parsed(t, withTenants(tenantList))
	for _, format := range []string{"%v", "%+v", "%#v", "%s"} {
		text := fmt.Sprintf(format, d.Subscribers) + fmt.Sprintf(format, &d.Subscribers[0]) + fmt.Sprintf(format, *d)
		is.True(strings.Contains(text, "north"))
		is.True(!strings.Contains(text, secretMark))
	}
}

// Draws random sequences of changes. Each must result in the same tenants and keys as parsing the result's JSON.
func TestModifyOfSubscribersEqualsParsingItsResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		keys := rapid.SliceOfN(rapid.SampledFrom([]string{"k1", "k2", "k3", "k4", "k5", "k6"}), 0, 2)
		d, err := Parse([]byte(rapid.SampledFrom([]string{baseDocument, withTenants("[]"), withTenants(tenantList)}).Draw(t, "first")))
		if err != nil {
			t.Fatal(err)
		}
		t.Repeat(map[string]func(*rapid.T){
			"modify": func(t *rapid.T) {
				drawn, _ := json.Marshal(keys.Draw(t, "keys"))
				change := fmt.Sprintf(`{"config_version":%d,"upsert":{"subscribers":[{"name":%q,"access_keys":%s,"more":1}]},"remove":{"subscribers":[%q],"route_list":[%q]}}`,
					d.Version+1, name.Draw(t, "name"), drawn, name.Draw(t, "removed"), name.Draw(t, "removed route"))
				next, err := d.Modify([]byte(change))
				if err != nil {
					return
				}
				read, err := Parse(next.Raw())
				if err != nil {
					t.Fatalf("%s was accepted, but its result is rejected by Parse: %v", change, err)
				}
				if got, want := asJSON(next), asJSON(read); got != want || next.RequiresKeys() != read.RequiresKeys() {
					t.Fatalf("%s results in %s, but is parsed back as %s", change, got, want)
				}
				for _, key := range []string{"k1", "k2", "k3", "k4", "k5", "k6", "SECRET1"} {
					if got, want := tenantOf(next, key), tenantOf(read, key); got != want {
						t.Fatalf("%s makes %s a key of %q, but parsed back it is a key of %q", change, key, got, want)
					}
				}
				d = next
			},
		})
	})
}

// tenantsDocument returns the JSON of a document with the given numbers of routes, and of tenants with two keys each.
func tenantsDocument(tenants, routes int) []byte {
	list := make([]string, tenants)
	for i := range list {
		list[i] = fmt.Sprintf(`{"name":"t%d","access_keys":["key-%016d-a","key-%016d-b"],"priority":1,"unit":"token_metering",`+
			`"raw_tokens":200,"rate_per_s":1000,"burst_size":1000}`, i, i, i)
	}
	return []byte(strings.Replace(string(largeDocument(routes)), `"limits":{}`, `"limits":{},"subscribers":[`+strings.Join(list, ",")+`]`, 1))
}

// Measures what a change of one item costs at each proxy, among many tenants and routes.
func BenchmarkModifyAmongTenants(b *testing.B) {
	for name, change := range map[string]string{
		"one route":  `{"config_version":2,"upsert":{"route_list":[{"name":"r3","host":"x.example","path_prefix":"/x/","timeout_ms":9,"service":"s"}]}}`,
		"one tenant": `{"config_version":2,"upsert":{"subscribers":[{"name":"t7","access_keys":["another"]}]}}`,
	} {
		b.Run(name, func(b *testing.B) {
			d := parsed(b, string(tenantsDocument(2000, 3000)))
			modified(b, d, change) // splits the document's JSON by field, which later changes reuse
			b.ReportAllocs()
			for b.Loop() {
				modified(b, d, change)
			}
		})
	}
}

func BenchmarkParseWithTenants(b *testing.B) {
	document := tenantsDocument(2000, 3000)
	b.SetBytes(int64(len(document)))
	for b.Loop() {
		parsed(b, string(document))
	}
}
