package gateway

import (
	"fmt"
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"marlreel/internal/distribution/watch"
)

// Metrics are bounded, however many services configurations add over time.
func TestMeteredServicesAreBounded(t *testing.T) {
	is := is.New(t)
	g := New(Config{Name: "edge-1", BodyBytes: 1 << 20, Log: logr.Discard()}, watch.New("edge-1", nil))
	for i := range maxMeteredServices {
		name := fmt.Sprintf("s%d", i)
		is.Equal(g.metricsLabel(name), name)
	}
	is.Equal(g.metricsLabel("one-more"), otherLabel)
	is.Equal(g.metricsLabel("s7"), "s7") // known services keep their label
}
