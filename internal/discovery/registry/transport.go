package registry

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"time"

	"marlreel/internal/stricttoml"
)

// Config is what an operator sets of a registry.
type Config struct {
	Kind            string              `toml:"kind"`      // etcd, consul; "" is off
	Endpoints       []string            `toml:"endpoints"` // http://host:port, or https
	Prefix          string              `toml:"prefix"`    // of the nodes' keys
	User            string              `toml:"user"`
	PasswordFile    string              `toml:"password-file"` // a file that holds the password, or Consul's token
	CA              string              `toml:"ca"`            // files, PEM
	Cert            string              `toml:"cert"`
	Key             string              `toml:"key"`
	LossTimeout     stricttoml.Duration `toml:"patience"`   // for which a lost registry's list counts before the platform's
	FailbackDelay   stricttoml.Duration `toml:"settle"`     // for which it must be well before it is moved to
	MaxLossFraction float64             `toml:"guard"`      // part of the list that may go at once
	LossWindow      stricttoml.Duration `toml:"guard-over"` // what at once is
	MaxFlaps        float64             `toml:"flaps"`      // returns within flap-over after which an entry stays out for a while
	FlapDecay       stricttoml.Duration `toml:"flap-over"`
}

// DefaultConfig is a registry that is off.
func DefaultConfig() Config {
	return Config{
		Prefix: "marlreel/nodes/", LossTimeout: stricttoml.Duration(30 * time.Second), FailbackDelay: stricttoml.Duration(10 * time.Second), MaxLossFraction: 0.5,
		LossWindow: stricttoml.Duration(30 * time.Second), MaxFlaps: 6, FlapDecay: stricttoml.Duration(30 * time.Second),
	}
}

// Enabled tells whether there is one.
func (c *Config) Enabled() bool { return c.Kind != "" }

// Validate names the first thing that makes no registry.
func (c *Config) Validate() error {
	if !c.Enabled() {
		if len(c.Endpoints) > 0 {
			return &SettingError{"registry.kind", " is missing: etcd or consul is needed"}
		}
		return nil
	}
	switch {
	case c.Kind != "etcd" && c.Kind != "consul":
		return &SettingError{"registry.kind", fmt.Sprintf(" = %q: etcd or consul is needed%s", c.Kind, stricttoml.SuggestClosest(c.Kind, []string{"etcd", "consul"}))}
	case len(c.Endpoints) == 0 || len(c.Endpoints) > 16:
		return &SettingError{"registry.endpoints", fmt.Sprintf(": 1 to 16 are needed, and there are %d", len(c.Endpoints))}
	case c.Prefix == "" || len(c.Prefix) > 512 || strings.ContainsAny(c.Prefix, "?#\r\n"):
		return &SettingError{"registry.prefix", fmt.Sprintf(" = %q: 1 to 512 characters are needed, no ? and #", c.Prefix)}
	case (c.Cert == "") != (c.Key == ""):
		return &SettingError{"registry.cert", " and registry.key: both are needed, or neither"}
	case c.User != "" && c.PasswordFile == "":
		return &SettingError{"registry.password-file", " is missing: user needs it"}
	case c.Kind == "consul" && c.User != "":
		return &SettingError{"registry.user", ": Consul has tokens alone; password-file holds it"}
	case c.LossTimeout < 0 || c.FailbackDelay < 0 || c.LossWindow < 0 || c.FlapDecay <= 0:
		return &SettingError{"registry.patience", ", settle and guard-over can't be below 0, and flap-over must be above"}
	case !(c.MaxLossFraction > 0 && c.MaxLossFraction <= 1):
		return &SettingError{"registry.guard", fmt.Sprintf(" = %v: above 0 and up to 1 is needed", c.MaxLossFraction)}
	case !(c.MaxFlaps >= 0):
		return &SettingError{"registry.flaps", fmt.Sprintf(" = %v: 0 (never) or more is needed", c.MaxFlaps)}
	}
	for _, e := range c.Endpoints {
		u, err := url.Parse(e)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.Path != "" && u.Path != "/" || u.RawQuery != "" || u.User != nil {
			return &SettingError{"registry.endpoints", fmt.Sprintf(": %q: http://host:port or https://host:port is needed", e)}
		}
	}
	return nil
}

// CheckFiles reads the files that the settings name, and says what is wrong with them.
func (c *Config) CheckFiles() error {
	if !c.Enabled() {
		return nil
	}
	if _, err := c.tls(); err != nil {
		return err
	}
	_, err := c.password()
	return err
}

func (c *Config) tls() (*tls.Config, error) {
	t := &tls.Config{MinVersion: tls.VersionTLS12}
	if c.CA != "" {
		pem, err := os.ReadFile(c.CA)
		if err != nil {
			return nil, &FileError{"registry.ca", err}
		}
		if t.RootCAs = x509.NewCertPool(); !t.RootCAs.AppendCertsFromPEM(pem) {
			return nil, &FileError{"registry.ca", fmt.Errorf("%s holds no certificate in PEM", c.CA)}
		}
	}
	if c.Cert != "" {
		pair, err := tls.LoadX509KeyPair(c.Cert, c.Key)
		if err != nil {
			return nil, &FileError{"registry.cert, registry.key", err}
		}
		t.Certificates = []tls.Certificate{pair}
	}
	return t, nil
}

// password reads the secret anew each time: it may be turned over while this runs.
func (c *Config) password() (string, error) {
	if c.PasswordFile == "" {
		return "", nil
	}
	data, err := os.ReadFile(c.PasswordFile)
	if err != nil {
		return "", &FileError{"registry.password-file", err}
	}
	return strings.TrimSpace(string(data)), nil
}

// New makes a client.
func New(c Config) (Client, error) {
	t, err := newTransport(c)
	if err != nil {
		return nil, err
	}
	if c.Kind == "consul" {
		return &consul{transport: t}, nil
	}
	return &etcd{transport: t}, nil
}

// transport makes calls at one endpoint after the other.
type transport struct {
	config     Config
	client     *http.Client
	checkEvery time.Duration // how often a member with a watch is asked whether it is there

	mu            sync.Mutex
	endpointIndex int
}

func newTransport(c Config) (*transport, error) {
	t, err := c.tls()
	if err != nil {
		return nil, err
	}
	// Two connections: a watch has one, calls the other. Both end with their silence, not by a time-out over
	// the whole: a watch has none.
	return &transport{config: c, checkEvery: 10 * time.Second, client: &http.Client{
		Transport: &http.Transport{
			TLSClientConfig: t, DialContext: (&net.Dialer{Timeout: callTimeout / 2}).DialContext, TLSHandshakeTimeout: callTimeout / 2,
			MaxIdleConns: 1, MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}, nil
}

func (t *transport) endpoint() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.TrimSuffix(t.config.Endpoints[t.endpointIndex%len(t.config.Endpoints)], "/")
}

// NextEndpoint implements Client.
func (t *transport) NextEndpoint() {
	t.mu.Lock()
	t.endpointIndex++
	t.mu.Unlock()
	t.client.CloseIdleConnections()
}

// call sends a request; the answer's body is the caller's to close.
func (t *transport) call(ctx context.Context, method, path string, head http.Header, body any) (*http.Response, error) {
	var in io.Reader
	if raw, is := body.([]byte); is {
		in = bytes.NewReader(raw)
	} else if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		in = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, t.endpoint()+path, in)
	if err != nil {
		return nil, err
	}
	for k, v := range head {
		r.Header[k] = v
	}
	resp, err := t.client.Do(r)
	if err != nil {
		return nil, &ReachError{t.endpoint(), err}
	}
	return resp, nil
}

// callError is an answer that is an error.
type callError struct {
	Status  int
	Code    int    `json:"code"`
	Message string `json:"message"`
	Old     string `json:"error"`
}

func (e *callError) Error() string {
	text := e.Message
	if text == "" {
		text = e.Old
	}
	return fmt.Sprintf("answered %d: %.200s", e.Status, text)
}

// Advice says what an operator can do.
func (e *callError) Advice() string {
	if e.Status == http.StatusUnauthorized || e.Status == http.StatusForbidden {
		return "look at registry.user and registry.password-file, and at what that user may do in the registry"
	}
	return "look at the registry's own log; the proxies go by the platform's list while it is lost"
}

// Unreachable tells whether an error is an endpoint's: another one may do.
func Unreachable(err error) bool {
	var bad *callError
	var call *url.Error
	return errors.As(err, &call) || errors.As(err, &bad) && bad.Status >= 500
}

func readError(r *http.Response) *callError {
	e := &callError{Status: r.StatusCode}
	data, _ := io.ReadAll(io.LimitReader(r.Body, 4096))
	if json.Unmarshal(data, e) != nil || e.Message == "" && e.Old == "" {
		e.Message = string(data)
	}
	return e
}

// idleTimeout ends a call whose answer stops coming: a machine that is cut off never says so.
type idleTimeout struct {
	timer *time.Timer
	after time.Duration
}

func newIdleTimeout(after time.Duration, end func()) *idleTimeout {
	return &idleTimeout{time.AfterFunc(after, end), after}
}
func (s *idleTimeout) reset() { s.timer.Reset(s.after) }
func (s *idleTimeout) stop()  { s.timer.Stop() }
