package simcluster

import (
	"archive/tar"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/controlplane"
	"marlreel/internal/controlplane/operatorclient"
	"marlreel/internal/process/bootstrap"
)

// unpack returns the files of a bundle by name.
func unpack(t *testing.T, packed []byte) map[string]string {
	t.Helper()
	is := is.New(t)
	compressed, err := gzip.NewReader(bytes.NewReader(packed))
	is.NoErr(err)
	archive := tar.NewReader(compressed)
	files := map[string]string{}
	for {
		header, err := archive.Next()
		if errors.Is(err, io.EOF) {
			return files
		}
		is.NoErr(err)
		body, err := io.ReadAll(archive)
		is.NoErr(err)
		files[header.Name] = string(body)
	}
}

// A bundle contains all parts that can be read, lists those that can't, and contains no data of requests.
func TestSupportBundle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, controls, 2)
		secret := chatRequest("m0")
		secret.Body = "the buyer's secret"
		_, err := c.Send(c.Edges[0], secret)
		is.NoErr(err)
		c.Controls[2].Kill()
		metricsAddress := c.Edges[0].metricsAddress(bootstrap.ProxyMetrics)

		var packed bytes.Buffer
		client := operatorclient.NewClient(c.ControlAddresses(), 3*time.Second, c.outside.Dial)
		manifest, err := client.WriteBundle(t.Context(), &packed, operatorclient.BundleOptions{MetricsAddresses: []string{metricsAddress}, Now: time.Now()})
		is.NoErr(err)
		is.Equal(manifest.MissingParts(), 1)

		files := unpack(t, packed.Bytes())
		var names []string
		for name, body := range files {
			names = append(names, name)
			is.True(!strings.Contains(body, "secret") && !strings.Contains(body, secret.ID)) // no data of requests
		}
		slices.Sort(names)
		is.Equal(names, []string{
			"configuration.json", "manifest.json", "metrics/10.2.0.1_7675.txt", "status/10.1.0.1_8082.json",
			"status/10.1.0.2_8082.json",
		})
		is.Equal(files["configuration.json"], document(1))
		var status controlplane.Status
		is.NoErr(json.Unmarshal([]byte(files["status/10.1.0.1_8082.json"]), &status))
		is.Equal(len(status.Backends), 4)
		checkLines(t, files["metrics/10.2.0.1_7675.txt"], "marlreel_ready 1")
		var listed operatorclient.Manifest
		is.NoErr(json.Unmarshal([]byte(files["manifest.json"]), &listed))
		is.Equal(listed.Parts[2].From, c.Controls[2].ControlAddress())
		is.True(listed.Parts[2].Error != "")
	})
}
