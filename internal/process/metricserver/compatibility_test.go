package metricserver

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
)

// The files under testdata/compatibility were written by the code of commit 6fb9894, with
// WRITE_COMPATIBILITY=1. They hold forms that other processes, backends and operators rely on.
// They must not be written anew to get a pass.

// checkRecorded compares a text with the recorded one.
func checkRecorded(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "compatibility", name)
	if os.Getenv("WRITE_COMPATIBILITY") != "" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs from what was recorded\n got:\n%s\nwant:\n%s", path, got, want)
	}
}

// The door answers at the path, and in the format, where readers look; names have their form. The
// names of all figures are recorded with the cluster's tests, where all processes run.
func TestCompatibilityOfDoor(t *testing.T) {
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
		body, _, _ := strings.Cut(string(ctx.Response.Body()), "go_") // those of the process follow
		body, _, _ = strings.Cut(body, "process_")
		fmt.Fprintf(&out, "GET %s\n-> %d\nContent-Type: %s\n\n%s\n", path, ctx.Response.StatusCode(), ctx.Response.Header.ContentType(), body)
	}
	checkRecorded(t, "door.txt", out.String())
}
