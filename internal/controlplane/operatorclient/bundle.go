package operatorclient

import (
	"archive/tar"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"runtime/debug"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/multierr"
)

// largestPart bounds one part of a bundle.
const largestPart = 8 << 20

// BundleOptions says what a support bundle is made of.
type BundleOptions struct {
	// MetricsAddresses are addresses of doors for metrics, HOST:PORT.
	MetricsAddresses []string
	// Now is when the bundle is made.
	Now time.Time
}

// BundlePart is one part of a support bundle, as its manifest lists it.
type BundlePart struct {
	Name  string `json:"name"`
	From  string `json:"from"`
	Error string `json:"error,omitempty"` // why it is missing
}

// Manifest says what a support bundle holds, and what could not be had.
type Manifest struct {
	Made    time.Time    `json:"made"`
	Program string       `json:"program"`
	Parts   []BundlePart `json:"parts"`
}

// MissingParts is how many parts could not be had.
func (m *Manifest) MissingParts() int {
	missing := 0
	for _, part := range m.Parts {
		if part.Error != "" {
			missing++
		}
	}
	return missing
}

// bundle is a support bundle that is being written.
type bundle struct {
	archive  *tar.Writer
	manifest Manifest
}

// WriteBundle writes a gzipped tar of what helps to understand a system's state: each control
// process's status, the newest configuration, metrics, a manifest. It holds nothing of requests.
// A part that can't be had is named in the manifest and ends nothing.
func (c *Client) WriteBundle(out io.Writer, cfg BundleOptions) (*Manifest, error) {
	compressed := gzip.NewWriter(out)
	b := &bundle{archive: tar.NewWriter(compressed), manifest: Manifest{Made: cfg.Now.UTC(), Program: program()}}
	err := c.writeParts(b, cfg)
	return &b.manifest, multierr.Combine(err, b.archive.Close(), compressed.Close())
}

func (c *Client) writeParts(b *bundle, cfg BundleOptions) error {
	for _, control := range c.controls {
		body, err := c.get(control, "/marlreel/status")
		if err := b.add("status/"+fileName(control)+".json", control, body, err); err != nil {
			return err
		}
	}
	document, err := c.ReadConfiguration()
	if err := b.add("configuration.json", "control", document, err); err != nil {
		return err
	}
	for _, door := range cfg.MetricsAddresses {
		body, err := c.get(door, "/metrics")
		if err := b.add("metrics/"+fileName(door)+".txt", door, body, err); err != nil {
			return err
		}
	}
	manifest, err := json.MarshalIndent(b.manifest, "", " ")
	if err != nil {
		return eris.Wrap(err, "writing the manifest")
	}
	return b.write("manifest.json", manifest)
}

// UnexpectedAnswerError says that a process's answer can't be part of a bundle.
type UnexpectedAnswerError struct {
	Address string
	Status  int
	Bytes   int // where it is too large
}

// Error implements error.
func (e *UnexpectedAnswerError) Error() string {
	if e.Bytes > 0 {
		return fmt.Sprintf("%s answers with %d bytes, %d are the most", e.Address, e.Bytes, largestPart)
	}
	return fmt.Sprintf("%s answers with status %d", e.Address, e.Status)
}

// Advice is what can be done about it.
func (e *UnexpectedAnswerError) Advice() string {
	return "see whether " + e.Address + " is a control process's address, or a door for metrics"
}

// get asks once.
func (c *Client) get(address, path string) ([]byte, error) {
	status, body, err := c.callOne(address, fasthttp.MethodGet, path, "", nil)
	switch {
	case err != nil:
		return nil, err
	case status != fasthttp.StatusOK:
		return nil, &UnexpectedAnswerError{Address: address, Status: status}
	case len(body) > largestPart:
		return nil, &UnexpectedAnswerError{Address: address, Status: status, Bytes: len(body)}
	}
	return body, nil
}

// add adds a part, or why it is missing. The error is that of the bundle itself.
func (b *bundle) add(name, from string, body []byte, missing error) error {
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

func (b *bundle) write(name string, body []byte) error {
	const mode = 0o644
	header := &tar.Header{Name: name, Mode: mode, Size: int64(len(body)), ModTime: b.manifest.Made, Format: tar.FormatPAX}
	if err := b.archive.WriteHeader(header); err != nil {
		return eris.Wrapf(err, "writing %s", name)
	}
	_, err := b.archive.Write(body)
	return eris.Wrapf(err, "writing %s", name)
}

// fileName is an address as part of a file's name.
func fileName(address string) string {
	return strings.NewReplacer(":", "_", "/", "_", "[", "", "]", "").Replace(address)
}

// program says which build this is.
func program() string {
	info, known := debug.ReadBuildInfo()
	if !known {
		return "unknown"
	}
	words := []string{info.Main.Path, info.Main.Version, info.GoVersion}
	for _, setting := range info.Settings {
		if strings.HasPrefix(setting.Key, "vcs.") {
			words = append(words, setting.Key+"="+setting.Value)
		}
	}
	return strings.Join(words, " ")
}
