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

// Whatever changes follow one another: what they lead to is the document that is read from
// its own JSON, and just the valid ones are taken.
func TestChangesLeadToWhatIsReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, fault := Parse([]byte(base))
		if fault != nil {
			t.Fatal(fault)
		}
		t.Repeat(map[string]func(*rapid.T){
			"modify": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b", "c", "d"})
				route := fmt.Sprintf(`{"name":%q,"host":"h.example","path_prefix":"/%s/","route_class":"safe","timeout_ms":%d,"service":%q,"more":1}`,
					name.Draw(t, "name"), rapid.SampledFrom([]string{"a", "c", "a/b"}).Draw(t, "prefix"),
					rapid.IntRange(0, 3).Draw(t, "time-out"), rapid.SampledFrom([]string{"s", "t", "u"}).Draw(t, "service"))
				change := fmt.Sprintf(`{"config_version":%d,"upsert":{"route_list":[%s]},"remove":{"route_list":[%q],"service_list":[%q]}}`,
					d.Version+1, route, name.Draw(t, "removed"), rapid.SampledFrom([]string{"none", "none", "t"}).Draw(t, "removed service"))
				next, fault := d.Modify([]byte(change))
				if fault != nil {
					return
				}
				read, fault := Parse(next.Raw())
				if fault != nil {
					t.Fatalf("%s was taken, and leads to %v", change, fault)
				}
				if got, want := describe(next), describe(read); got != want {
					t.Fatalf("%s leads to %s, and is read back as %s", change, got, want)
				}
				d = next
			},
		})
	})
}

// describe words what a document says.
func describe(d *Document) string {
	data, _ := json.Marshal(d)
	return string(data)
}

// A change is refused for what it does to items that it does not name.
func TestRemovingAServiceThatARouteNames(t *testing.T) {
	is := is.New(t)
	d, fault := Parse([]byte(base))
	is.True(fault == nil)
	_, fault = d.Modify([]byte(`{"config_version":4,"remove":{"service_list":["t"]}}`))
	is.True(fault != nil)
	is.Equal(fault.Code, result.UnknownService)
}

// large is a document of so many routes.
func large(routes int) []byte {
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
			d, fault := Parse(large(routes))
			if fault != nil {
				b.Fatal(fault)
			}
			for b.Loop() {
				if _, fault := d.Modify([]byte(`{"config_version":2,"upsert":{"route_list":[{"name":"r3","host":"x.example","path_prefix":"/x/","timeout_ms":9,"service":"s"}]}}`)); fault != nil {
					b.Fatal(fault)
				}
			}
		})
	}
}
