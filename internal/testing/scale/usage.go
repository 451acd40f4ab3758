package scale

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// usageSample is the resource usage of a process since its start.
type usageSample struct {
	at         time.Time
	cpuTime    time.Duration
	residentMB float64 // at the time of the sample
	readKB     float64 // by all read calls, on sockets and files
	writtenKB  float64
}

// clockTicks is the number of ticks per second of the CPU times in /proc on Linux (USER_HZ).
const clockTicks = 100

// Indexes of the fields of /proc/PID/stat, counted after the program's name (proc_pid_stat(5)).
const (
	userTimeField   = 11
	systemTimeField = 12
)

// sample reads the resource usage of the process since its start.
func (p *process) sample() (usageSample, error) {
	sample := usageSample{at: time.Now()}
	folder := fmt.Sprintf("/proc/%d/", p.command.Process.Pid)
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return sample, eris.Wrapf(err, "reading /proc stat of the %s process, which may have ended: %s", p.role, p.stderr.String())
	}
	sample.cpuTime, err = parseCPUTime(stat)
	if err != nil {
		return sample, err
	}
	values, err := readValues(folder+"status", folder+"io")
	if err != nil {
		return sample, err
	}
	const kilo = 1024
	sample.residentMB = values["VmRSS"] / kilo
	sample.readKB = values["rchar"] / kilo
	sample.writtenKB = values["wchar"] / kilo
	return sample, nil
}

// parseCPUTime returns the sum of user and system time in the content of /proc/PID/stat.
func parseCPUTime(stat []byte) (time.Duration, error) {
	// The program's name, in parentheses, may contain spaces.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	total := time.Duration(0)
	for _, field := range []int{userTimeField, systemTimeField} {
		ticks, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return 0, eris.Wrap(err, "parsing CPU time of /proc stat")
		}
		total += time.Duration(ticks) * time.Second / clockTicks
	}
	return total, nil
}

// readValues reads files whose lines have the form NAME: NUMBER.
func readValues(paths ...string) (map[string]float64, error) {
	values := map[string]float64{}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, eris.Wrap(err, "reading resource usage")
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

// ResourceUsage is the resource usage of a process during a measurement.
type ResourceUsage struct {
	CPUPercent float64 `json:"processor_percent"` // of one core
	ResidentMB float64 `json:"resident_mb"`
	ReadKBps   float64 `json:"read_kb_per_s"`
	WriteKBps  float64 `json:"wrote_kb_per_s"`
}

// usageBetween returns the usage between two samples of a process.
func usageBetween(before, after usageSample) ResourceUsage {
	seconds := after.at.Sub(before.at).Seconds()
	return ResourceUsage{
		CPUPercent: 100 * (after.cpuTime - before.cpuTime).Seconds() / seconds,
		ResidentMB: after.residentMB,
		ReadKBps:   (after.readKB - before.readKB) / seconds,
		WriteKBps:  (after.writtenKB - before.writtenKB) / seconds,
	}
}
