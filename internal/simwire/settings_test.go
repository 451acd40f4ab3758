package simwire

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"marlreel/internal/balancer"
)

func TestSettings(t *testing.T) {
	c, err := ParseBootInfo(strings.Join([]string{
		"Balancers=3", "Rank=2", "Zone=1", "Tick=5.0", "Caps.Cancel=true", "Caps.MaxAttempts=6", "Discovery=on_request",
		"Caps.ConnectTimeout=250.0", "Extra.WarmKeys=true", "Feedback.How=on_probe",
		"Feedback.Names=failed_ps,busy_reqs,new_one", "Weights=rough", "WorthBy=work", "Obligations.FallMultiple=2.5",
		"Services.count=2", "Services.0.Name=a", "Services.0.Aim=1000.0", "Services.0.GiveUp=3000.0",
		"Services.0.Effect=retryable", "Services.0.Group=all", "Services.1.Name=b", "Services.1.Aim=400",
		"Services.1.GiveUp=900", "Services.1.Effect=dedup", "Services.1.Group=zone", "Services.1.Window=1200.5",
		"Tenants.count=1", "Tenants.0.Name=t", "Tenants.0.QuotaPerS=12.5", "Brand.New=what", "",
	}, "\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := balancer.Config{
		Instances: 3, Rank: 2, Zone: 1, Tick: 5 * ms, PollMembership: true, KeyAffinity: true,
		OverQuotaValue: 1, ValueByWork: true, Weights: balancer.WeightNominal,
		Report: []balancer.ReportField{balancer.FieldErrors, balancer.FieldInFlight, balancer.FieldOther},
		Goal:   balancer.Goal{Total: 1},
		Classes: []balancer.Class{
			{Name: "a", LatencyTarget: time.Second, ClientTimeout: 3 * time.Second, Effect: balancer.Safe, Group: balancer.GroupAll, Value: 1},
			{
				Name: "b", LatencyTarget: 400 * ms, ClientTimeout: 900 * ms, Effect: balancer.Keyed, Group: balancer.GroupZone, Value: 1,
				IdempotencyWindow: 1200*ms + 500*time.Microsecond,
			},
		},
		Tenants:     []balancer.Tenant{{Name: "t", QuotaPerS: 12.5}},
		Obligations: balancer.Obligations{OverloadMultiple: 2.5, InitialCapacity: 1},
		Caps:        balancer.Caps{Cancel: true, ConnectTimeout: 250 * ms, MaxAttempts: 6, StreamsPerConn: 1},
	}
	if !reflect.DeepEqual(c, want) {
		t.Errorf("got  %+v\nwant %+v", c, want)
	}
}

func TestMalformedSettingErrorsNameTheLine(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"Balancers=1\nnonsense", "line 2"},
		{"=5", "line 1"},
		{"Tick=soon", "line 1: Tick"},
		{"Tick=NaN", "line 1: Tick"},
		{"Tick=1e300", "line 1: Tick"},
		{"Balancers=1.5", "line 1: Balancers"},
		{"Caps.Cancel=maybe", "line 1: Caps.Cancel"},
		{"A=1\nDiscovery=shouted", "line 2: Discovery"},
		{"Services.count=-1", "line 1: Services.count"},
		{"Services.count=99999999", "line 1: Services.count"},
		{"Services.count=1\nServices.0.Effect=odd", "line 2: Services.0.Effect"},
	} {
		if _, err := ParseBootInfo(c.text); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: error %v, want %q in it", c.text, err, c.want)
		}
	}
}

func FuzzSettings(f *testing.F) {
	f.Add("Services.count=2\nServices.1.Aim=5\n")
	f.Add("Tick=1e9\nFeedback.How=inline\nFeedback.Names=,,\n")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := ParseBootInfo(text)
		if err == nil && len(c.Classes) > maxListLength {
			t.Error("more classes than maxListLength allows")
		}
	})
}

// The JSON object of a real proxy's configuration gives the same settings as the text on the wire.
func TestSettingsFromJSON(t *testing.T) {
	text := "Balancers=3\nTick=5.0\nCaps.Cancel=true\nCaps.ConnIdle=60000.0\nFeedback.How=inline\n" +
		"Feedback.Names=busy_reqs,pending\nServices.count=2\nServices.0.Name=bid\nServices.0.Aim=400.0\n" +
		"Services.0.GiveUp=2000.0\nServices.1.Name=pickup\nServices.1.Aim=600.0\nServices.1.GiveUp=2000.0\n" +
		"Services.1.Effect=dedup\nServices.1.Group=zone\nTenants.count=1\nTenants.0.Name=obala\nTenants.0.QuotaPerS=120.5\n"
	object := `{"Balancers":3,"Tick":5.0,"Caps":{"Cancel":true,"ConnIdle":60000.0},
		"Feedback":{"How":"inline","Names":["busy_reqs","pending"]},"Unknown":{"Deep":[1,{"x":null}]},
		"Services":[{"Name":"bid","Aim":400.0,"GiveUp":2000.0},
			{"Name":"pickup","Aim":600.0,"GiveUp":2000.0,"Effect":"dedup","Group":"zone"}],
		"Tenants":[{"Name":"obala","QuotaPerS":120.5}]}`
	want, err := ParseBootInfo(text)
	if err != nil {
		t.Fatal(err)
	}
	got, err := ParseSettings([]byte(object))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	for _, bad := range []string{`[]`, `{"Tick":"soon"}`, `{"Services":[{"Effect":"maybe"}]}`} {
		if _, err := ParseSettings([]byte(bad)); err == nil {
			t.Errorf("%s was accepted", bad)
		}
	}
}
