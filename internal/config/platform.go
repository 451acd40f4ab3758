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

// Platform is what the platform tells a proxy at its start.
type Platform struct {
	Name             string
	ListenAddress    string // host:port for clients
	DiscoveryAddress string // host:port
	ControlAddress   string // host:port where the platform asks for readiness and metrics; "" is nowhere
	// ListenFD is the descriptor by which the platform hands the clients' listener on;
	// -1 is none, and ListenAddress is to be listened at.
	ListenFD int
	// TempDir is common to this process and the one before it or after it, where the
	// platform hands a listener on.
	TempDir string

	Seed               uint64
	MaxFileDescriptors int // 0 is not said
	MemoryMB           int // MiB; 0 is not said
	Cores              float64
	InitialList        *platformwatch.List // the list as the platform last had it; nil is none
	Settings           balancer.Config

	rawSettings any // as they stand in the file

	Names           platformwatch.Names
	ReportNames     []string // names of the values of a load report
	MaxOpenRequests int      // 0 is no limit
	// AcceptGrace is how long after the signal to stop connections are accepted.
	AcceptGrace time.Duration
}

// EnvDiscovery is the environment's name for discovery's address.
const EnvDiscovery = "NODE_DISCOVERY"

// The environment's other names.
const (
	envName     = "NODE_NAME"
	envListen   = "NODE_LISTEN"
	envControl  = "NODE_CONTROL"
	envListenFD = "NODE_SOCKET_FD"
	envTempDir  = "TMPDIR"
)

// LoadPlatform reads the configuration file. NODE_NAME, NODE_LISTEN, NODE_DISCOVERY and NODE_CONTROL, where getenv
// has them, go before what the file says. Its errors are *FileError and *PlatformFileError.
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

// platformFile is the form of the file. It is an alias: the JSON decoder's errors name a type that has a name.
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

// ParsePlatform reads the configuration's text; getenv as with LoadPlatform. What it can't use is a *KeyError, a
// *simwire.SettingError, or the JSON decoder's error.
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

// overrideFrom puts what the environment has in place of what the file says.
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
		return &KeyError{Key: "limits", Err: fmt.Errorf("%+v leave nothing to work with", l)}
	}
	return nil
}

// readSettings reads the object of settings, and checks all of it.
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
		if class.Stream { // answers are read whole here
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

// readNames reads what only a real proxy needs: on the simulator's wire all names are positions.
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
