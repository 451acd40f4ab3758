package operatorclient

import (
	"bytes"
	"compress/gzip"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// unpackedBundle returns the uncompressed archive and the manifest of a support bundle from a control process that
// responds with the given configuration.
func unpackedBundle(t *testing.T, configuration string) (string, *Manifest) {
	t.Helper()
	is := is.New(t)
	control := &recorder{answer: func(path string) string {
		if path == "/marlreel/config/read" {
			return httpAnswer(200, configuration)
		}
		return httpAnswer(200, "{}")
	}}
	var packed bytes.Buffer
	manifest, err := NewClient([]string{"10.1.0.1:8082"}, time.Second, control.dial).WriteBundle(t.Context(), &packed, BundleOptions{Now: time.Unix(1_700_000_000, 0)})
	is.NoErr(err)
	compressed, err := gzip.NewReader(&packed)
	is.NoErr(err)
	archive, err := io.ReadAll(compressed)
	is.NoErr(err)
	return string(archive), manifest
}

// Guards against access keys in a support bundle, which operators pass on to others.
func TestBundleHasNoKeys(t *testing.T) {
	is := is.New(t)
	archive, manifest := unpackedBundle(t, `{"config_version":3,"subscribers":[{"name":"north","access_keys":["SECRET1"],"rate_per_s":10}]}`)
	is.Equal(manifest.MissingParts(), 0)
	is.True(strings.Contains(archive, `"rate_per_s":10`) && strings.Contains(archive, "redacted:"))
	is.True(!strings.Contains(archive, "SECRET1"))

	archive, manifest = unpackedBundle(t, `{"subscribers":[{"access_keys":["SECRET1"]}`) // JSON that can't be decoded can't be redacted
	is.Equal(manifest.MissingParts(), 1)
	is.True(!strings.Contains(archive, "SECRET1"))
}
