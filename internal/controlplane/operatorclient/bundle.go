package operatorclient

import (
	"archive/tar"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/multierr"

	"marlreel/internal/controlplane/configuration"
)

// maxPartBytes bounds the size of one part of a bundle.
const maxPartBytes = 8 << 20

// BundleOptions are the options of WriteBundle.
type BundleOptions struct {
	// MetricsAddresses are the metrics servers to read, HOST:PORT.
	MetricsAddresses []string
	// Now is the time that the bundle gives as its creation time.
	Now time.Time
}

// BundlePart is one part of a support bundle, as its manifest lists it.
type BundlePart struct {
	// Name is the path of the part in the archive.
	Name string `json:"name"`
	// From is the address that the part was read from.
	From string `json:"from"`
	// Error is why the part is missing; empty if it is present.
	Error string `json:"error,omitempty"`
}

// Manifest lists the parts of a support bundle, including those that could not be read.
type Manifest struct {
	Made time.Time `json:"made"`
	// Program describes the build that wrote the bundle.
	Program string       `json:"program"`
	Parts   []BundlePart `json:"parts"`
}

// MissingParts returns how many parts could not be read.
func (m *Manifest) MissingParts() int {
	missing := 0
	for _, part := range m.Parts {
		if part.Error != "" {
			missing++
		}
	}
	return missing
}

// bundleWriter writes a support bundle.
type bundleWriter struct {
	archive  *tar.Writer
	manifest Manifest
}

// WriteBundle writes a gzipped tar archive for diagnosing a system: the status of each control process, the newest
// configuration with its access keys redacted, metrics, and a manifest. It contains no data of requests. A part that
// can't be read is listed in the manifest with its error; the returned error is one of writing to out.
func (c *Client) WriteBundle(ctx context.Context, out io.Writer, options BundleOptions) (*Manifest, error) {
	compressed := gzip.NewWriter(out)
	b := &bundleWriter{
		archive:  tar.NewWriter(compressed),
		manifest: Manifest{Made: options.Now.UTC(), Program: buildDescription()},
	}
	err := c.writeParts(ctx, b, options)
	return &b.manifest, multierr.Combine(err, b.archive.Close(), compressed.Close())
}

func (c *Client) writeParts(ctx context.Context, b *bundleWriter, options BundleOptions) error {
	for _, control := range c.controls {
		body, err := c.get(control, "/marlreel/status")
		if err := b.add("status/"+fileName(control)+".json", control, body, err); err != nil {
			return err
		}
	}
	document, err := c.readRedactedConfiguration(ctx)
	if err := b.add("configuration.json", "control", document, err); err != nil {
		return err
	}
	for _, address := range options.MetricsAddresses {
		body, err := c.get(address, "/metrics")
		if err := b.add("metrics/"+fileName(address)+".txt", address, body, err); err != nil {
			return err
		}
	}
	manifest, err := json.MarshalIndent(b.manifest, "", " ")
	if err != nil {
		return eris.Wrap(err, "encoding the bundle's manifest")
	}
	return b.write("manifest.json", manifest)
}

// readRedactedConfiguration returns the newest configuration with the keys of subscribers redacted.
func (c *Client) readRedactedConfiguration(ctx context.Context) ([]byte, error) {
	document, err := c.ReadConfiguration(ctx)
	if err != nil {
		return nil, err
	}
	redacted, failure := configuration.Redact(document)
	if failure != nil {
		return nil, failure
	}
	return redacted, nil
}

// get makes one attempt to read a part.
func (c *Client) get(address, path string) ([]byte, error) {
	status, body, err := c.attempt(address, operation{method: http.MethodGet, path: path})
	switch {
	case err != nil:
		return nil, err
	case status != http.StatusOK:
		return nil, &UnexpectedAnswerError{Address: address, Status: status}
	case len(body) > maxPartBytes:
		return nil, &UnexpectedAnswerError{Address: address, Status: status, Bytes: len(body)}
	}
	return body, nil
}

// add lists a part in the manifest and writes it. If missing is not nil, it only lists the part, with that error. It
// returns the error of writing.
func (b *bundleWriter) add(name, from string, body []byte, missing error) error {
	part := BundlePart{Name: name, From: from}
	if missing != nil {
		part.Error = missing.Error()
	}
	b.manifest.Parts = append(b.manifest.Parts, part)
	if missing != nil {
		return nil
	}
	return b.write(name, body)
}

func (b *bundleWriter) write(name string, body []byte) error {
	const mode = 0o644
	header := &tar.Header{Name: name, Mode: mode, Size: int64(len(body)), ModTime: b.manifest.Made, Format: tar.FormatPAX}
	if err := b.archive.WriteHeader(header); err != nil {
		return eris.Wrapf(err, "writing %s", name)
	}
	_, err := b.archive.Write(body)
	return eris.Wrapf(err, "writing %s", name)
}

// fileName returns an address in a form that is safe in file names.
func fileName(address string) string {
	return strings.NewReplacer(":", "_", "/", "_", "[", "", "]", "").Replace(address)
}

// buildDescription returns the module, version, Go version and VCS state of this build.
func buildDescription() string {
	info, known := debug.ReadBuildInfo()
	if !known {
		return "unknown"
	}
	fields := []string{info.Main.Path, info.Main.Version, info.GoVersion}
	for _, setting := range info.Settings {
		if strings.HasPrefix(setting.Key, "vcs.") {
			fields = append(fields, setting.Key+"="+setting.Value)
		}
	}
	return strings.Join(fields, " ")
}
