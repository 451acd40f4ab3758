package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/distribution/watch"
)

// A later configuration that comes into force is logged once, with both versions and how long the previous one was in
// force.
func TestConfigurationAppliedIsLogged(t *testing.T) {
	is := is.New(t)
	var lines []string
	log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	g := New(Config{Name: "edge-1", BodyBytes: 1 << 20, Log: log}, watch.New("edge-1", time.Now))
	first := &configuration.Document{Version: 4}
	began := time.Now().Add(-3 * time.Second)
	table := &routingTable{document: first, since: began}
	g.logApplied(&routingTable{}, table) // the first one is logged with readiness

	is.Equal(g.inForceSince(table, &configuration.Document{Version: 4}), began)
	g.logApplied(table, &routingTable{document: &configuration.Document{Version: 4}, since: began})
	is.Equal(len(lines), 0)

	later := &configuration.Document{Version: 9}
	next := &routingTable{document: later, since: g.inForceSince(table, later)}
	is.True(next.since.Sub(began) >= 3*time.Second)
	next.since = began.Add(5 * time.Second)
	g.logApplied(table, next)
	is.Equal(len(lines), 1)
	for _, part := range []string{`"configuration applied"`, `"config_version"=9`, `"previous_version"=4`, `"revision"=0`, `"age"="5s"`, `"fresh"=false`} {
		is.True(strings.Contains(lines[0], part)) // each value is there
	}
}
