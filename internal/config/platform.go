package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/discovery/platformwatch"
	"marlreel/internal/simwire"
)

// Platform is the configuration that the platform gives a proxy at its start.
type Platform struct {
	Name             string
	ListenAddress    string // host:port for clients
	DiscoveryAddress string // host:port
	ControlAddress   string // host:port for the platform's readiness checks and metrics; "" disables them
	// ListenFD is the descriptor of the clients' listener that the platform passes on; -1 means
	// that there is none, and the process listens on ListenAddress itself.
	ListenFD int
	// TempDir is a folder shared with the previous and the next process, if the platform
	// passes a listener on.
	TempDir string

	Seed               uint64
	MaxFileDescriptors int // 0 means not set
	MemoryMB           int // MiB; 0 means not set
	Cores              float64
	InitialList        *platformwatch.List // the platform's last known list of backends; nil if there is none
	Settings           balancer.Config

	rawSettings any // decoded JSON of the settings in the file

	Names           platformwatch.Names
	ReportNames     []string // names of the values of a load report
	MaxOpenRequests int      // 0 means no limit
	// AcceptGrace is how long connections are still accepted after the stop signal.
	AcceptGrace time.Duration
}

// EnvDiscovery is the environment variable for the address of discovery.
const EnvDiscovery = "NODE_DISCOVERY"

// The other environment variables.
const (
	envName     = "NODE_NAME"
	envListen   = "NODE_LISTEN"
	envControl  = "NODE_CONTROL"
	envListenFD = "NODE_SOCKET_FD"
	envTempDir  = "TMPDIR"
)

// LoadPlatform reads the configuration file. If set, NODE_NAME, NODE_LISTEN, NODE_DISCOVERY and NODE_CONTROL override
// the values in the file. Its errors are *FileError and *PlatformFileError.
func LoadPlatform(path string, getenv func(string) string) (*Platform, error) {
	if path == "" {
		return nil, &FileError{}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	c, err := ParsePlatform(data, getenv)
	if err != nil {
		return nil, &PlatformFileError{Path: path, Err: err}
	}
	return c, nil
}

// platformFile is the structure of the file. It is an alias of an unnamed type because the JSON decoder's errors would
// contain the name of a named one.
type platformFile = struct {
	Name, Listen, Discovery, Control, Seed string

	Limits   limits
	Known    *platformwatch.List
	Settings json.RawMessage
}

type limits = struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// ParsePlatform parses the text of the configuration; see LoadPlatform for getenv. Its errors are *KeyError,
// *simwire.SettingError, and those of the JSON decoder.
func ParsePlatform(data []byte, getenv func(string) string) (*Platform, error) {
	var file platformFile
	if err := json.Unmarshal(data, &file); err != nil {
		return nil, err
	}
	c := &Platform{
		Name: file.Name, ListenAddress: file.Listen, DiscoveryAddress: file.Discovery, ControlAddress: file.Control,
		ListenFD: -1, TempDir: getenv(envTempDir), Cores: file.Limits.Cores, MemoryMB: file.Limits.MemoryMB,
		MaxFileDescriptors: file.Limits.Sockets, InitialList: file.Known, AcceptGrace: defaultAcceptGrace,
	}
	c.overrideFrom(getenv)
	if err := c.checkAddresses(); err != nil {
		return nil, err
	}
	if err := c.readListenFD(getenv(envListenFD)); err != nil {
		return nil, err
	}
	if err := checkLimits(file.Limits); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, &KeyError{Key: "seed", Err: err}
	}
	c.Seed = seed
	if err := c.readSettings(file.Settings); err != nil {
		return nil, err
	}
	if c.InitialList != nil {
		if _, err := c.InitialList.ParseEntries(c.Names); err != nil {
			return nil, &KeyError{Key: "known", Err: err}
		}
	}
	return c, nil
}

// overrideFrom replaces values of the file with those of the environment variables that are set.
func (c *Platform) overrideFrom(getenv func(string) string) {
	for _, override := range []struct {
		env  string
		into *string
	}{
		{envName, &c.Name},
		{envListen, &c.ListenAddress},
		{EnvDiscovery, &c.DiscoveryAddress},
		{envControl, &c.ControlAddress},
	} {
		value := getenv(override.env)
		if value != "" {
			*override.into = value
		}
	}
}

func (c *Platform) checkAddresses() error {
	for _, address := range []struct {
		key, value string
		isOptional bool
	}{
		{key: "listen", value: c.ListenAddress},
		{key: "discovery", value: c.DiscoveryAddress},
		{key: "control ($" + envControl + ")", value: c.ControlAddress, isOptional: true},
	} {
		if address.isOptional && address.value == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return &KeyError{Key: address.key, Err: err}
		}
	}
	return nil
}

func (c *Platform) readListenFD(text string) error {
	if text == "" {
		return nil
	}
	descriptor, err := strconv.Atoi(text)
	if err != nil || descriptor <= 2 { // 0 to 2 are the standard streams
		return &KeyError{Key: "$" + envListenFD, Err: fmt.Errorf("%q, must be the number of a descriptor above 2", text)}
	}
	c.ListenFD = descriptor
	return nil
}

func checkLimits(l limits) error {
	isNegative := l.Cores < 0 || l.MemoryMB < 0 || l.Sockets < 0
	isTooFew := l.Sockets > 0 && l.Sockets < MinFileDescriptors
	if isNegative || isTooFew {
		return &KeyError{Key: "limits", Err: fmt.Errorf("%+v are negative or too low", l)}
	}
	return nil
}

// readSettings parses and validates the settings object.
func (c *Platform) readSettings(text []byte) error {
	if len(text) == 0 {
		return settingsError(errors.New("none given"))
	}
	settings, err := simwire.ParseSettings(text)
	c.Settings = settings
	if err != nil {
		return err
	}
	if len(settings.Classes) == 0 {
		return &KeyError{Key: "settings: Services", Err: errors.New("none given")}
	}
	for _, class := range settings.Classes {
		if class.Stream { // this proxy buffers whole responses
			return settingsError(fmt.Errorf("class %s is streamed, which is not supported", class.Name))
		}
	}
	if err := settings.Validate(); err != nil {
		return settingsError(err)
	}
	if err := json.Unmarshal(text, &c.rawSettings); err != nil {
		return settingsError(err)
	}
	if settings.Caps.MaxAttempts < 1 {
		return settingsError(fmt.Errorf("Caps.MaxAttempts is %d, must be 1 or more", settings.Caps.MaxAttempts))
	}
	if err := checkClassNames(settings.Classes); err != nil {
		return err
	}
	return c.readNames(text)
}

func settingsError(err error) error { return &KeyError{Key: "settings", Err: err} }

func checkClassNames(classes []balancer.Class) error {
	used := map[string]bool{}
	for i, class := range classes {
		if class.Name == "" || used[class.Name] {
			return settingsError(fmt.Errorf("Services[%d].Name is %q, must be a name of its own", i, class.Name))
		}
		used[class.Name] = true
	}
	return nil
}

// readNames reads the parts of the settings that the simulator's wire format lacks: it identifies names by position.
func (c *Platform) readNames(settings []byte) error {
	var names struct {
		FailureDomains, Kinds []string
		Feedback              struct{ Names []string }
		Caps                  struct{ MaxOpen int }
	}
	if err := json.Unmarshal(settings, &names); err != nil {
		return settingsError(err)
	}
	c.Names = platformwatch.Names{Zones: indexByName(names.FailureDomains), Kinds: indexByName(names.Kinds)}
	c.ReportNames, c.MaxOpenRequests = names.Feedback.Names, names.Caps.MaxOpen
	return nil
}

func indexByName(names []string) map[string]int {
	index := make(map[string]int, len(names))
	for i, name := range names {
		index[name] = i
	}
	return index
}
