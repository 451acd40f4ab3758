package metricserver

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"marlreel/internal/testing/recorded"
)

// Don't regenerate the files under testdata/compatibility to make a test pass (see package recorded).

// Checks the path and the format that scrapers rely on, and the form of series names. The names of all
// metrics are recorded by the cluster's tests, where all processes run.
func TestCompatibilityOfServer(t *testing.T) {
	set := vm.NewSet()
	set.NewGauge(SeriesName("plain"), func() float64 { return BoolValue(true) })
	set.NewGauge(SeriesName("off"), func() float64 { return BoolValue(false) })
	set.GetOrCreateCounter(SeriesName("one_total", Label{"service", "a"})).Inc()
	set.GetOrCreateCounter(SeriesName("two_total", Label{"service", `b"c`}, Label{"result", "no connection"})).Inc()
	var out strings.Builder
	for _, path := range []string{"/metrics", "/other"} {
		var ctx fasthttp.RequestCtx
		ctx.Request.Header.SetMethod(http.MethodGet)
		ctx.Request.SetRequestURI(path)
		newHandler(set)(&ctx)
		body, _, _ := strings.Cut(string(ctx.Response.Body()), "go_") // the process metrics follow
		body, _, _ = strings.Cut(body, "process_")
		fmt.Fprintf(&out, "GET %s\n-> %d\nContent-Type: %s\n\n%s\n", path, ctx.Response.StatusCode(), ctx.Response.Header.ContentType(), body)
	}
	recorded.Check(t, "door.txt", out.String())
}
