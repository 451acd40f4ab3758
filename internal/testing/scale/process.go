// Package scale runs systems of any size on the loopback addresses of one machine and
// measures what each role costs: real processes of control and of one proxy with its agent,
// beside hollow proxies that share this process. A hollow proxy is an agent, which speaks the
// real protocol, with a reader in place of its proxy; it carries no traffic. Backends are the
// stand-ins of the tests.
package scale

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"marlreel/internal/process/bootstrap"
)

// process is a real process of a role.
type process struct {
	role    string
	command *exec.Cmd
	stderr  *bytes.Buffer
}

// startProcess runs a role of the program with settings.
func startProcess(program, role, folder string, settings *bootstrap.Settings) (*process, error) {
	data, err := toml.Marshal(settings)
	if err != nil {
		return nil, eris.Wrap(err, "writing settings")
	}
	path := filepath.Join(folder, settings.NodeName+"-"+role+".toml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, eris.Wrap(err, "writing settings")
	}
	p := &process{role: role, command: exec.Command(program, role), stderr: &bytes.Buffer{}}
	p.command.Env = append(os.Environ(), bootstrap.SettingsVariable+"="+path)
	p.command.Stderr = p.stderr
	if err := p.command.Start(); err != nil {
		return nil, eris.Wrapf(err, "starting %s %s", program, role)
	}
	return p, nil
}

// stop ends the process at once.
func (p *process) stop() {
	_ = p.command.Process.Kill() // one that has ended already is what is wanted
	_ = p.command.Wait()
}

// usage is what a process has used.
type usage struct {
	processor   time.Duration
	residentMB  float64
	read, wrote float64 // KB, by all calls: sockets and disk
	at          time.Time
}

// clockTicks is how many ticks of /proc's processor time make a second on Linux.
const clockTicks = 100

// usage reads what the process has used so far.
func (p *process) usage() (usage, error) {
	u := usage{at: time.Now()}
	folder := fmt.Sprintf("/proc/%d/", p.command.Process.Pid)
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return u, eris.Wrapf(err, "the process of %s has ended: %s", p.role, p.stderr.String())
	}
	// The name of the program, in brackets, may hold blanks; user and system time are the
	// 12th and 13th field behind it.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	const userTime, systemTime = 11, 12
	for _, field := range []int{userTime, systemTime} {
		ticks, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return u, eris.Wrap(err, "reading processor time")
		}
		u.processor += time.Duration(ticks) * time.Second / clockTicks
	}
	values, err := readValues(folder+"status", folder+"io")
	if err != nil {
		return u, err
	}
	const kilo = 1024
	u.residentMB, u.read, u.wrote = values["VmRSS"]/kilo, values["rchar"]/kilo, values["wchar"]/kilo
	return u, nil
}

// readValues reads files of lines with a name, a colon and a number.
func readValues(paths ...string) (map[string]float64, error) {
	values := map[string]float64{}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, eris.Wrap(err, "reading what a process uses")
		}
		for line := range strings.Lines(string(data)) {
			name, rest, _ := strings.Cut(line, ":")
			if fields := strings.Fields(rest); len(fields) > 0 {
				if value, err := strconv.ParseFloat(fields[0], 64); err == nil {
					values[name] = value
				}
			}
		}
	}
	return values, nil
}

// ResourceUsage is what a role costs while it runs.
type ResourceUsage struct {
	CPUPercent float64 `json:"processor_percent"` // of one core
	ResidentMB float64 `json:"resident_mb"`
	ReadKBps   float64 `json:"read_kb_per_s"`
	WriteKBps  float64 `json:"wrote_kb_per_s"`
}

// between is the load between two readings.
func between(before, after usage) ResourceUsage {
	seconds := after.at.Sub(before.at).Seconds()
	return ResourceUsage{
		CPUPercent: 100 * (after.processor - before.processor).Seconds() / seconds, ResidentMB: after.residentMB,
		ReadKBps: (after.read - before.read) / seconds, WriteKBps: (after.wrote - before.wrote) / seconds,
	}
}
