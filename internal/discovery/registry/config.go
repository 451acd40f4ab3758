package registry

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/url"
	"os"
	"strings"
	"time"

	"marlreel/internal/stricttoml"
)

// Config is the table [registry] of the settings.
type Config struct {
	Kind            string              `toml:"kind"`          // etcd or consul; "" means no registry
	Endpoints       []string            `toml:"endpoints"`     // http://host:port or https://host:port
	Prefix          string              `toml:"prefix"`        // of the keys of nodes
	User            string              `toml:"user"`          // for etcd only
	PasswordFile    string              `toml:"password-file"` // contains the password of User, or Consul's token
	CA              string              `toml:"ca"`            // ca, cert and key are PEM files
	Cert            string              `toml:"cert"`
	Key             string              `toml:"key"`
	LossTimeout     stricttoml.Duration `toml:"patience"` // how long an unreachable registry's list stays in force
	FailbackDelay   stricttoml.Duration `toml:"settle"`   // how long the registry must be reachable before its list is in force again
	MaxLossFraction float64             `toml:"guard"`    // of the list, above 0 and up to 1, that may be removed within LossWindow
	LossWindow      stricttoml.Duration `toml:"guard-over"`
	MaxFlaps        float64             `toml:"flaps"` // returns within FlapDecay after which an entry is damped; 0 means no limit
	FlapDecay       stricttoml.Duration `toml:"flap-over"`
}

// DefaultConfig returns the defaults, with no registry.
func DefaultConfig() Config {
	return Config{
		Prefix: "marlreel/nodes/", LossTimeout: stricttoml.Duration(30 * time.Second), FailbackDelay: stricttoml.Duration(10 * time.Second), MaxLossFraction: 0.5,
		LossWindow: stricttoml.Duration(30 * time.Second), MaxFlaps: 6, FlapDecay: stricttoml.Duration(30 * time.Second),
	}
}

// Enabled reports whether a registry is configured.
func (c *Config) Enabled() bool { return c.Kind != "" }

// Validate returns a SettingError for the first invalid setting.
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
		return &SettingError{"registry.user", ": Consul only uses tokens; put the token into password-file"}
	case c.LossTimeout < 0 || c.FailbackDelay < 0 || c.LossWindow < 0 || c.FlapDecay <= 0:
		return &SettingError{"registry.patience", ", settle and guard-over can't be below 0, and flap-over must be above"}
	case !(c.MaxLossFraction > 0 && c.MaxLossFraction <= 1):
		return &SettingError{"registry.guard", fmt.Sprintf(" = %v: above 0 and up to 1 is needed", c.MaxLossFraction)}
	case !(c.MaxFlaps >= 0):
		return &SettingError{"registry.flaps", fmt.Sprintf(" = %v: 0 (never) or more is needed", c.MaxFlaps)}
	}
	for _, endpoint := range c.Endpoints {
		if !validEndpoint(endpoint) {
			return &SettingError{"registry.endpoints", fmt.Sprintf(": %q: http://host:port or https://host:port is needed", endpoint)}
		}
	}
	return nil
}

func validEndpoint(endpoint string) bool {
	u, err := url.Parse(endpoint)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" {
		return false
	}
	return u.Host != "" && (u.Path == "" || u.Path == "/") && u.RawQuery == "" && u.User == nil
}

// CheckFiles checks that the files named by the settings can be read. Its errors are FileErrors.
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

// tls returns the configuration of TLS connections. Its errors are FileErrors.
func (c *Config) tls() (*tls.Config, error) {
	t := &tls.Config{MinVersion: tls.VersionTLS12}
	if c.CA != "" {
		pem, err := os.ReadFile(c.CA)
		if err != nil {
			return nil, &FileError{"registry.ca", err}
		}
		t.RootCAs = x509.NewCertPool()
		if !t.RootCAs.AppendCertsFromPEM(pem) {
			return nil, &FileError{"registry.ca", fmt.Errorf("%s contains no PEM certificate", c.CA)}
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

// password reads the secret from its file each time, as it may be rotated while the process runs.
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
