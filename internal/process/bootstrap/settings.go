package bootstrap

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// SettingsVariable is the environment variable with the path of the settings file.
const SettingsVariable = "MARLREEL_SETTINGS"

// ListenAddresses are the addresses that a process listens on, HOST:PORT; empty if its role doesn't need one.
type ListenAddresses struct {
	// Front is for the requests of clients.
	Front string `toml:"front" json:"front"`
	// Readiness is for the platform's readiness checks.
	Readiness string `toml:"readiness" json:"readiness"`
	// Control is for backends and the operator.
	Control string `toml:"control" json:"control"`
}

// Limits are the resources that a process may use.
type Limits struct {
	// CPUShare is a fraction of a core.
	CPUShare     float64 `toml:"cpu_share" json:"cpu_share"`
	MemoryMB     int     `toml:"memory_mb" json:"memory_mb"`
	MaxOpenFiles int     `toml:"fd_limit" json:"fd_limit"`
	DiskMB       int     `toml:"disk_mb" json:"disk_mb"`
}

// FaultTolerance is how many failures the system must tolerate at once while all rules still hold.
type FaultTolerance struct {
	Machines int `toml:"machines" json:"machines"`
	Zones    int `toml:"zones" json:"zones"`
	Regions  int `toml:"regions" json:"regions"`
}

// Bounds are the limits that the users' rules set (RULES.md). The suffix MS means milliseconds, S seconds.
type Bounds struct {
	// SeedLagS is the greatest age of callers' lists of addresses.
	SeedLagS float64 `toml:"seed_lag_s" json:"seed_lag_s"`
	// AddressReuseS is the time after which another backend may reuse the address of one that has ended.
	AddressReuseS float64 `toml:"addr_reuse_s" json:"addr_reuse_s"`
	// InTouchMS is how long a machine must have been connected for the rules to count it.
	InTouchMS float64 `toml:"in_touch_ms" json:"in_touch_ms"`
	// AcknowledgeMS is the time limit for acknowledging an operator's call.
	AcknowledgeMS float64 `toml:"ack_ms" json:"ack_ms"`
	// CatchUpS is how long a machine still counts as lost after it has come back.
	CatchUpS float64 `toml:"catch_up_s" json:"catch_up_s"`
	// DrainMS is the time limit for ending requests to a draining backend, counted from the acknowledgement.
	DrainMS float64 `toml:"drain_ms" json:"drain_ms"`
	// ShutdownGraceS is the time between SIGTERM and SIGKILL.
	ShutdownGraceS float64 `toml:"grace_s" json:"grace_s"`
	// ConfigApplyMS is the time limit for applying an acknowledged configuration at all proxies.
	ConfigApplyMS float64 `toml:"config_apply_ms" json:"config_apply_ms"`
	// RetryBudgetRatio is how many retries all proxies together may send per request of a service.
	RetryBudgetRatio float64 `toml:"retry_budget_ratio" json:"retry_budget_ratio"`
	// RetryWindowS is the window of the retry budget.
	RetryWindowS float64 `toml:"retry_window_s" json:"retry_window_s"`
	// RetrySlack is how many retries in a window are allowed in addition to the ratio.
	RetrySlack float64 `toml:"retry_slack" json:"retry_slack"`
	// QuotaWindowS is the window of a tenant's quota.
	QuotaWindowS float64 `toml:"quota_window_s" json:"quota_window_s,omitzero"`
	// QuotaExcess is the fraction by which a tenant may exceed its quota.
	QuotaExcess float64 `toml:"quota_excess" json:"quota_excess,omitzero"`
	// QuotaSlack is how many requests or tokens are allowed in addition to QuotaExcess.
	QuotaSlack float64 `toml:"quota_slack" json:"quota_slack,omitzero"`
	// WarmupExcess is the factor by which the request rate of a backend in slow start may exceed its limit.
	WarmupExcess float64 `toml:"cold_excess" json:"cold_excess"`
	// WarmupSlack is how many requests in a second are allowed in addition to WarmupExcess.
	WarmupSlack float64 `toml:"cold_slack" json:"cold_slack"`
	// EvacuationMS is the time limit after which an evacuated zone gets no more requests.
	EvacuationMS float64 `toml:"evacuation_ms" json:"evacuation_ms"`
	// RecoveryS is the time limit for serving traffic again after a fault.
	RecoveryS float64 `toml:"recovery_s" json:"recovery_s"`
	// PassMS is the time limit for forwarding an event of a stream.
	PassMS float64 `toml:"pass_ms" json:"pass_ms"`
	// Fencing is whether backends reject orders with an older fencing token.
	Fencing bool `toml:"fencing" json:"fencing"`
	// LeaseDurationMS is how long a lease lasts.
	LeaseDurationMS float64 `toml:"lease_ms" json:"lease_ms"`
	// ThawMS is how long an order doesn't count after its process was paused.
	ThawMS float64 `toml:"thaw_ms" json:"thaw_ms"`
	// RateLimitWindowS is the window over which model loads are counted.
	RateLimitWindowS float64 `toml:"ceiling_window_s" json:"ceiling_window_s"`
	// RateLimitExcess is the factor by which loads in a window may exceed the service's rate.
	RateLimitExcess float64 `toml:"ceiling_excess" json:"ceiling_excess"`
}

// Settings are the platform's settings for a process. Keys of the file that are not listed here are ignored, as later
// platform versions may add some.
type Settings struct {
	NodeName     string `toml:"node_name" json:"node_name"`
	Role         string `toml:"role" json:"role"`
	MachineClass string `toml:"machine_class" json:"machine_class"`
	// IP is the machine's address.
	IP     string `toml:"ip" json:"ip"`
	Zone   string `toml:"zone" json:"zone"`
	Region string `toml:"region" json:"region"`
	// InternalPorts are the first and the last port that the platform leaves free on each machine.
	InternalPorts []int `toml:"internal_ports" json:"internal_ports"`
	// SeedNodes are control addresses, HOST:PORT, as read at the start; Seeds returns the current ones.
	SeedNodes []string `toml:"seed_nodes" json:"seed_nodes"`
	// FirstStart is true only if the whole system starts for the first time, with empty disks.
	FirstStart      bool `toml:"first_start" json:"first_start"`
	CountsForQuorum bool `toml:"counts_for_quorum" json:"counts_for_quorum"`
	// LoopbackIP is the address through which this machine's processes connect to each other; empty means 127.0.0.1.
	LoopbackIP string `toml:"loopback_ip" json:"loopback_ip"`
	// DataDir is the folder of a control process's store.
	DataDir             string   `toml:"data_dir" json:"data_dir"`
	HeartbeatIntervalMS float64  `toml:"beat_interval_ms" json:"beat_interval_ms"`
	Contracts           []string `toml:"contracts" json:"contracts"`
	// Zones maps each zone to its region.
	Zones     map[string]string `toml:"zones" json:"zones"`
	Listen    ListenAddresses   `toml:"listen_addrs" json:"listen_addrs"`
	Limits    Limits            `toml:"limits" json:"limits"`
	Tolerance FaultTolerance    `toml:"fault_tolerance" json:"fault_tolerance"`
	Bounds    Bounds            `toml:"bounds" json:"bounds"`

	newSeeds atomic.Pointer[[]string] // seeds of the last reload; nil means SeedNodes
}

// Error reports that a settings file is unreadable or invalid.
type Error struct {
	// Path is the path of the file.
	Path string
	Err  error
}

var _ error = (*Error)(nil)

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("settings %s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Advice returns what an operator can do.
func (e *Error) Advice() string {
	return "put the path of a readable settings file into " + SettingsVariable + ", and correct the keys that the error names"
}

// Load reads the file that SettingsVariable names. It fails with an *Error.
func Load() (*Settings, error) { return Read(os.Getenv(SettingsVariable)) }

// Read reads and validates a settings file. It fails with an *Error.
func Read(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Path: path, Err: err}
	}
	s, err := Parse(data)
	if err != nil {
		return nil, &Error{Path: path, Err: err}
	}
	return s, nil
}

// Parse decodes and validates settings. The error lists all violations.
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
		validation.Field(&s.IP, validation.Required, validation.By(validateIP)),
		validation.Field(&s.Zone, validation.Required),
		validation.Field(&s.InternalPorts, validation.Required, validation.Length(2, 2), validation.Each(validation.Min(1), validation.Max(maxPort))),
		validation.Field(&s.SeedNodes, validation.Required, validation.Each(validation.By(validateHostPort))),
	)
}

func validateIP(value any) error {
	if text, _ := value.(string); net.ParseIP(text) == nil {
		return validation.NewError("ip", "must be an IP address")
	}
	return nil
}

func validateHostPort(value any) error {
	text, _ := value.(string)
	if _, _, err := net.SplitHostPort(text); err != nil {
		return validation.NewError("address", "must be host:port")
	}
	return nil
}

// maxPort is the highest port of TCP and UDP.
const maxPort = 65535

// TargetMembers returns how many members the chain should have, so that a majority survives the loss of as many
// machines as the platform specifies.
func (s *Settings) TargetMembers() int { return max(1, 2*s.Tolerance.Machines+1) }

// defaultHeartbeatInterval applies if the file has no interval.
const defaultHeartbeatInterval = 1200 * time.Millisecond

// HeartbeatInterval returns the time between two heartbeats of a backend.
func (s *Settings) HeartbeatInterval() time.Duration {
	if s.HeartbeatIntervalMS <= 0 {
		return defaultHeartbeatInterval
	}
	return Milliseconds(s.HeartbeatIntervalMS)
}

// Milliseconds converts a number of milliseconds.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds converts a number of seconds.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
