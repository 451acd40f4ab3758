// Package bootstrap reads the settings file that the platform gives each process of the
// system, and checks it.
package bootstrap

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// SettingsVariable names the environment variable with the path of the settings file.
const SettingsVariable = "MARLREEL_SETTINGS"

// ListenAddresses are the addresses that a process serves.
type ListenAddresses struct {
	Front     string `toml:"front" json:"front"`
	Readiness string `toml:"readiness" json:"readiness"`
	Control   string `toml:"control" json:"control"`
}

// Limits are what a process may use.
type Limits struct {
	CPUShare     float64 `toml:"cpu_share" json:"cpu_share"`
	MemoryMB     int     `toml:"memory_mb" json:"memory_mb"`
	MaxOpenFiles int     `toml:"fd_limit" json:"fd_limit"`
	DiskMB       int     `toml:"disk_mb" json:"disk_mb"`
}

// FaultTolerance says what may be lost at once.
type FaultTolerance struct {
	Machines int `toml:"machines" json:"machines"`
	Zones    int `toml:"zones" json:"zones"`
	Regions  int `toml:"regions" json:"regions"`
}

// Bounds are the figures of the rules.
type Bounds struct {
	SeedLagS         float64 `toml:"seed_lag_s" json:"seed_lag_s"`
	AddressReuseS    float64 `toml:"addr_reuse_s" json:"addr_reuse_s"`
	InTouchMS        float64 `toml:"in_touch_ms" json:"in_touch_ms"`
	AcknowledgeMS    float64 `toml:"ack_ms" json:"ack_ms"`
	CatchUpS         float64 `toml:"catch_up_s" json:"catch_up_s"`
	DrainMS          float64 `toml:"drain_ms" json:"drain_ms"`
	ShutdownGraceS   float64 `toml:"grace_s" json:"grace_s"`
	ConfigApplyMS    float64 `toml:"config_apply_ms" json:"config_apply_ms"`
	RetryBudgetRatio float64 `toml:"retry_budget_ratio" json:"retry_budget_ratio"`
	RetryWindowS     float64 `toml:"retry_window_s" json:"retry_window_s"`
	RetrySlack       float64 `toml:"retry_slack" json:"retry_slack"`
	WarmupExcess     float64 `toml:"cold_excess" json:"cold_excess"`
	WarmupSlack      float64 `toml:"cold_slack" json:"cold_slack"`
	EvacuationMS     float64 `toml:"evacuation_ms" json:"evacuation_ms"`
	RecoveryS        float64 `toml:"recovery_s" json:"recovery_s"`
	PassMS           float64 `toml:"pass_ms" json:"pass_ms"`
	Fencing          bool    `toml:"fencing" json:"fencing"`
	LeaseDurationMS  float64 `toml:"lease_ms" json:"lease_ms"`
	ThawMS           float64 `toml:"thaw_ms" json:"thaw_ms"`
	RateLimitWindowS float64 `toml:"ceiling_window_s" json:"ceiling_window_s"`
	RateLimitExcess  float64 `toml:"ceiling_excess" json:"ceiling_excess"`
}

// Settings are what the platform tells a process. Keys that are not listed here are
// left alone: the file may gain new ones.
type Settings struct {
	NodeName            string            `toml:"node_name" json:"node_name"`
	Role                string            `toml:"role" json:"role"`
	MachineClass        string            `toml:"machine_class" json:"machine_class"`
	IP                  string            `toml:"ip" json:"ip"`
	Zone                string            `toml:"zone" json:"zone"`
	Region              string            `toml:"region" json:"region"`
	InternalPorts       []int             `toml:"internal_ports" json:"internal_ports"`
	SeedNodes           []string          `toml:"seed_nodes" json:"seed_nodes"`
	FirstStart          bool              `toml:"first_start" json:"first_start"`
	CountsForQuorum     bool              `toml:"counts_for_quorum" json:"counts_for_quorum"`
	LoopbackIP          string            `toml:"loopback_ip" json:"loopback_ip"` // of this machine; usually empty: 127.0.0.1
	DataDir             string            `toml:"data_dir" json:"data_dir"`
	HeartbeatIntervalMS float64           `toml:"beat_interval_ms" json:"beat_interval_ms"`
	Contracts           []string          `toml:"contracts" json:"contracts"`
	Zones               map[string]string `toml:"zones" json:"zones"`
	Listen              ListenAddresses   `toml:"listen_addrs" json:"listen_addrs"`
	Limits              Limits            `toml:"limits" json:"limits"`
	Tolerance           FaultTolerance    `toml:"fault_tolerance" json:"fault_tolerance"`
	Bounds              Bounds            `toml:"bounds" json:"bounds"`

	newSeeds atomic.Pointer[[]string] // those of the file as it was read last; nil: SeedNodes
}

// peerPort is the internal port that processes of other machines reach, by its place in
// the range that the platform leaves free.
const peerPort = 0

// MetricsEndpoint is a process of a machine, by the place of its metrics in the range of ports
// that the platform leaves free, counted from its end.
type MetricsEndpoint int

// The doors.
const (
	ProxyMetrics MetricsEndpoint = iota
	AgentMetrics
	ControlMetrics
)

// MetricsAddress is where a process of this machine tells its figures; empty where the
// platform leaves too few ports free.
func (s *Settings) MetricsAddress(door MetricsEndpoint) string {
	port := s.InternalPorts[1] - int(door)
	if port <= s.InternalPorts[0]+peerPort {
		return ""
	}
	return net.JoinHostPort(s.IP, strconv.Itoa(port))
}

// Error is a settings file that can't be used.
type Error struct {
	Path string
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("settings %s: %v", e.Path, e.Err) }

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Err }

// Advice is what can be done about it.
func (e *Error) Advice() string {
	return "name a readable settings file in " + SettingsVariable + ", and mend what the error names"
}

// Load reads the file that the environment names.
func Load() (*Settings, error) { return Read(os.Getenv(SettingsVariable)) }

// Read reads a settings file.
func Read(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{path, err}
	}
	s, err := Parse(data)
	if err != nil {
		return nil, &Error{path, err}
	}
	return s, nil
}

// Parse reads settings.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{}
	if err := toml.Unmarshal(data, s); err != nil {
		return nil, eris.Wrap(err, "reading TOML")
	}
	return s, s.validate()
}

func (s *Settings) validate() error {
	return validation.ValidateStruct(s,
		validation.Field(&s.NodeName, validation.Required),
		validation.Field(&s.IP, validation.Required, validation.By(address)),
		validation.Field(&s.Zone, validation.Required),
		validation.Field(&s.InternalPorts, validation.Required, validation.Length(2, 2), validation.Each(validation.Min(1), validation.Max(65535))),
		validation.Field(&s.SeedNodes, validation.Required, validation.Each(validation.By(hostPort))),
	)
}

func address(value any) error {
	if text, _ := value.(string); net.ParseIP(text) == nil {
		return validation.NewError("ip", "must be an IP address")
	}
	return nil
}

func hostPort(value any) error {
	text, _ := value.(string)
	if _, _, err := net.SplitHostPort(text); err != nil {
		return validation.NewError("address", "must be host:port")
	}
	return nil
}

// PeerAddress is where processes of other machines reach this one.
func (s *Settings) PeerAddress() string { return s.peerAt(s.IP, peerPort) }

// AgentLoopback is where this machine's agent listens for its proxy.
func (s *Settings) AgentLoopback() string {
	if s.LoopbackIP != "" {
		return s.peerAt(s.LoopbackIP, peerPort)
	}
	return s.peerAt("127.0.0.1", peerPort)
}

func (s *Settings) peerAt(host string, place int) string {
	return net.JoinHostPort(host, strconv.Itoa(s.InternalPorts[0]+place))
}

// Seeds are the control addresses of the machines to turn to where nobody else is known.
func (s *Settings) Seeds() []string {
	if newer := s.newSeeds.Load(); newer != nil {
		return *newer
	}
	return s.SeedNodes
}

// SeedPeers are the internal addresses of the machines that the seeds name.
func (s *Settings) SeedPeers() []string {
	var peers []string
	for _, seed := range s.Seeds() {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			peers = append(peers, s.peerAt(host, peerPort))
		}
	}
	return peers
}

// IsSeed tells whether this machine is one of the seeds.
func (s *Settings) IsSeed() bool {
	for _, peer := range s.SeedPeers() {
		if peer == s.PeerAddress() {
			return true
		}
	}
	return false
}

// TargetMembers is how many members the chain should have.
func (s *Settings) TargetMembers() int { return max(1, 2*s.Tolerance.Machines+1) }

// Milliseconds reads a bound.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// HeartbeatInterval is the time between two heartbeats of a backend.
func (s *Settings) HeartbeatInterval() time.Duration {
	const usual = 1200
	if s.HeartbeatIntervalMS <= 0 {
		return usual * time.Millisecond
	}
	return Milliseconds(s.HeartbeatIntervalMS)
}

// Seconds reads a bound.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
