package gateway

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"marlreel/internal/controlplane/configuration"
)

// documentOf returns a configuration with the given fields and two routes, the second of which needs no key.
func documentOf(t testing.TB, fields string) *configuration.Document {
	t.Helper()
	document, err := configuration.Decode([]byte(`{"config_version":1,` + fields + `"route_list":[
		{"name":"keyed","host":"a.example","path_prefix":"/keyed/","route_class":"unsafe","timeout_ms":2000,"priority":3,"service":"s","affinity":true},
		{"name":"open","host":"a.example","path_prefix":"/open/","route_class":"unsafe","timeout_ms":2000,"service":"s","keyless":true}],
		"service_list":[{"name":"s","health_path":"/health"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	return document
}

func TestAuthenticate(t *testing.T) {
	subscribers := documentOf(t, `"subscribers":[{"name":"harbor","access_keys":["k1","k 2"]},{"name":"split\r\nX: y","access_keys":["k3"]}],`)
	none, empty := documentOf(t, ""), documentOf(t, `"subscribers":[],`)
	for name, test := range map[string]struct {
		document    *configuration.Document
		credentials []string
		tenant      string // empty: none
		authorized  bool   // on the route that needs a key
	}{
		"known key":                 {subscribers, []string{"Bearer k1"}, "harbor", true},
		"scheme in another case":    {subscribers, []string{"bEARER k1"}, "harbor", true},
		"spaces":                    {subscribers, []string{"Bearer   k1 "}, "harbor", true},
		"a space in the key":        {subscribers, []string{"Bearer k 2"}, "harbor", true},
		"unknown key":               {subscribers, []string{"Bearer k1x"}, "", false},
		"key in another case":       {subscribers, []string{"Bearer K1"}, "", false},
		"no credentials":            {subscribers, nil, "", false},
		"no key":                    {subscribers, []string{"Bearer"}, "", false},
		"other scheme":              {subscribers, []string{"Basic k1"}, "", false},
		"scheme cut short":          {subscribers, []string{"Bear k1"}, "", false},
		"twice":                     {subscribers, []string{"Bearer k1", "Bearer k1"}, "", false},
		"a name that splits a head": {subscribers, []string{"Bearer k3"}, "", false},
		"no tenant is listed":       {empty, []string{"Bearer k1"}, "", false},
		"no list":                   {none, []string{"Bearer k1"}, "", true},
		"no list, no credentials":   {none, nil, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var credentials [][]byte
			for _, value := range test.credentials {
				credentials = append(credentials, []byte(value))
			}
			for i, wantAuthorized := range []bool{test.authorized, true} {
				got, authorized := authenticate(test.document, &test.document.Routes[i], credentials)
				is.Equal(authorized, wantAuthorized)
				is.Equal(got.listed, test.document != none)
				is.Equal(got.subscriber != nil, test.tenant != "")
				if got.subscriber != nil {
					is.Equal(got.subscriber.Name, test.tenant)
				}
			}
		})
	}
}

// sentHead returns the header that backends read of a request with some headers; authorized is false if the request is
// not forwarded.
func sentHead(t *rapid.T, document *configuration.Document, path string, headers [][2]string) (_ http.Header, authorized bool) {
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.Header.SetMethod(http.MethodPost)
	ctx.Request.SetRequestURI(path)
	ctx.Request.Header.SetHost("a.example")
	for _, header := range headers {
		ctx.Request.Header.Add(header[0], header[1])
	}
	route := document.Match("a.example", path)
	tenant, authorized := authenticate(document, route, ctx.Request.Header.PeekAll(headerAuthorization))
	if !authorized {
		return nil, false
	}
	head := append(newMessage(ctx, route, tenant).Head, "\r\n"...)
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		t.Fatalf("%q: %v", head, err)
	}
	return request.Header, true
}

// Guards against tenants' names and clients' headers that smuggle a key, a tenant or a header to backends.
func TestHeadNamesTheTenantAndNothingElse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{"harbor", "æøå", " x", "x\r\nAuthorization: k", "x\nSubscriber: y"})).Draw(t, "name")
		quoted, err := json.Marshal(name)
		if err != nil {
			t.Fatal(err)
		}
		document, failed := configuration.Decode(fmt.Appendf(nil, `{"config_version":1,"subscribers":[{"name":%s,"access_keys":["k1"]}],"route_list":[
			{"host":"a.example","path_prefix":"/keyed/","service":"s"},{"host":"a.example","path_prefix":"/open/","service":"s","keyless":true}]}`, quoted))
		if failed != nil {
			t.Fatal(failed)
		}
		headers := [][2]string{{"X-Other", "kept"}}
		for _, field := range rapid.SliceOfN(rapid.SampledFrom([]string{"Subscriber", "subscriber", "SUBSCRIBER", "Connection"}), 0, 4).Draw(t, "headers") {
			headers = append(headers, [2]string{field, "Subscriber"})
		}
		keys := rapid.SliceOfN(rapid.SampledFrom([]string{"Bearer k1", "bearer  k1", "Bearer k2", "k1"}), 0, 2).Draw(t, "keys")
		for _, key := range keys {
			headers = append(headers, [2]string{"authorization", key})
		}
		path := rapid.SampledFrom([]string{"/keyed/1", "/open/1"}).Draw(t, "path")

		known := len(keys) == 1 && (keys[0] == "Bearer k1" || keys[0] == "bearer  k1") && isFieldValue(name)
		got, authorized := sentHead(t, document, path, headers)
		if authorized != (known || path == "/open/1") {
			t.Fatalf("authorized: %t", authorized)
		}
		if !authorized {
			return
		}
		want := http.Header{"X-Other": {"kept"}, "Content-Length": {"0"}}
		if known {
			want["Subscriber"] = []string{name}
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("backends get %q, want %q", got, want)
		}
	})
}

func TestTenantsPriority(t *testing.T) {
	is := is.New(t)
	route, urgent := &configuration.Route{Priority: 3}, 0
	is.Equal(tenancy{}.priority(route), 3)
	is.Equal(tenancy{subscriber: &configuration.Subscriber{}}.priority(route), 3)
	is.Equal(tenancy{subscriber: &configuration.Subscriber{Priority: &urgent}}.priority(route), 0)
}

// Balancer classes depend on routes alone, however many tenants have priorities of their own.
func TestClassesDoNotMultiplyByTenants(t *testing.T) {
	is := is.New(t)
	is.Equal(classesOf(documentOf(t, `"subscribers":[{"name":"a","priority":1},{"name":"b","priority":2}],`), "s"), classesOf(documentOf(t, ""), "s"))
}

// benchmarkAdmission measures what the proxy does with a request's head before the engine gets it.
func benchmarkAdmission(b *testing.B, fields, key string) {
	document := documentOf(b, fields)
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.Header.SetMethod(http.MethodPost)
	ctx.Request.SetRequestURI("/keyed/1")
	ctx.Request.Header.SetHost("a.example")
	ctx.Request.Header.Set(headerRequestID, "9c41d07be2a35f68")
	ctx.Request.Header.Set(headerModel, "m0")
	ctx.Request.Header.Set(headerTokens, "1460,80")
	if key != "" {
		ctx.Request.Header.Set(headerAuthorization, "Bearer "+key)
	}
	b.ReportAllocs()
	for b.Loop() {
		route := document.Match("a.example", "/keyed/1")
		tenant, authorized := authenticate(document, route, ctx.Request.Header.PeekAll(headerAuthorization))
		if !authorized {
			b.Fatal("not authorized")
		}
		newMessage(ctx, route, tenant)
	}
}

func BenchmarkAdmissionWithoutKey(b *testing.B) { benchmarkAdmission(b, "", "") }

// Compared with BenchmarkAdmissionWithoutKey it shows what a key costs, among some thousand tenants.
func BenchmarkAdmissionWithKey(b *testing.B) {
	const tenants = 4000
	var list bytes.Buffer
	for i := range tenants {
		fmt.Fprintf(&list, `,{"name":"huka%d","access_keys":["banfqasnmgkcuyj8pj%d"]}`, i, i)
	}
	benchmarkAdmission(b, `"subscribers":[`+list.String()[1:]+`],`, "banfqasnmgkcuyj8pj270")
}
