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

func TestModifyKeepsWhatItDoesNotName(t *testing.T) {
	is := is.New(t)
	d, err := Parse([]byte(baseDocument))
	is.True(err == nil)
	next, err := d.Modify([]byte(`{"config_version":8,"upsert":{"route_list":[
 {"name":"b","host":"h.example","path_prefix":"/z/","route_class":"safe","timeout_ms":5,"service":"t"},
 {"name":"c","host":"h.example","path_prefix":"/c/","route_class":"safe","timeout_ms":5,"service":"t"}]},"remove":{"route_list":["a","none"]}}`))
	is.True(err == nil)
	is.Equal(next.Version, uint64(8))
	is.Equal(len(next.Routes), 2)
	is.Equal(next.Match("h.example", "/z/1").Name, "b")
	is.True(strings.Contains(string(next.Raw()), `"unknown":[1,2]`))
	is.Equal(d.Version, uint64(3)) // the original is unchanged
	_, err = d.Modify([]byte(`{"config_version":8,"remove":{"service_list":["t"]}}`))
	is.True(err != nil && err.Code == result.UnknownService) // a route still uses the service
	_, err = d.Modify([]byte(`{"config_version":8,"upsert":{"others":[{"name":"x"}]}}`))
	is.True(err != nil && err.Code == result.InvalidField)
}

// Draws random sequences of changes. Each accepted change must result in a valid document that equals the one parsed
// from its own JSON.
func TestModifyEqualsParsingItsResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, err := Parse([]byte(baseDocument))
		if err != nil {
			t.Fatal(err)
		}
		t.Repeat(map[string]func(*rapid.T){
			"modify": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b", "c", "d"})
				route := fmt.Sprintf(`{"name":%q,"host":"h.example","path_prefix":"/%s/","route_class":"safe","timeout_ms":%d,"service":%q,"more":1}`,
					name.Draw(t, "name"), rapid.SampledFrom([]string{"a", "c", "a/b"}).Draw(t, "prefix"),
					rapid.IntRange(0, 3).Draw(t, "time-out"), rapid.SampledFrom([]string{"s", "t", "u"}).Draw(t, "service"))
				change := fmt.Sprintf(`{"config_version":%d,"upsert":{"route_list":[%s]},"remove":{"route_list":[%q],"service_list":[%q]}}`,
					d.Version+1, route, name.Draw(t, "removed"), rapid.SampledFrom([]string{"none", "none", "t"}).Draw(t, "removed service"))
				next, err := d.Modify([]byte(change))
				if err != nil {
					return
				}
				read, err := Parse(next.Raw())
				if err != nil {
					t.Fatalf("%s was accepted, but its result is rejected by Parse: %v", change, err)
				}
				if got, want := asJSON(next), asJSON(read); got != want {
					t.Fatalf("%s results in %s, but is parsed back as %s", change, got, want)
				}
				d = next
			},
		})
	})
}

// asJSON returns the decoded content of a document as JSON.
func asJSON(d *Document) string {
	data, _ := json.Marshal(d)
	return string(data)
}

// A change is rejected if it makes an item invalid that it doesn't name.
func TestModifyRejectsRemovalOfAServiceInUse(t *testing.T) {
	is := is.New(t)
	d, err := Parse([]byte(baseDocument))
	is.True(err == nil)
	_, err = d.Modify([]byte(`{"config_version":4,"remove":{"service_list":["t"]}}`))
	is.True(err != nil)
	is.Equal(err.Code, result.UnknownService)
}

// largeDocument returns the JSON of a document with the given number of routes.
func largeDocument(routes int) []byte {
	var list []string
	for i := range routes {
		list = append(list, fmt.Sprintf(`{"name":"r%d","host":"h%d.example","path_prefix":"/p%d/","route_class":"streaming","timeout_ms":5000,`+
			`"target_latency_ms":800,"priority":1,"service":"s","max_attempts":2,"affinity":true,"resumable":true,"gap_aim_ms":400}`, i, i%7, i))
	}
	return []byte(fmt.Sprintf(`{"config_version":1,"route_list":[%s],"service_list":[{"name":"s","health_path":"/health"}],"limits":{}}`,
		strings.Join(list, ",")))
}

func BenchmarkModify(b *testing.B) {
	for _, routes := range []int{20, 1400, 5000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			d, err := Parse(largeDocument(routes))
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := d.Modify([]byte(`{"config_version":2,"upsert":{"route_list":[{"name":"r3","host":"x.example","path_prefix":"/x/","timeout_ms":9,"service":"s"}]}}`)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
