package rehearsal

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marlreel/internal/standin"
)

// process is one running process of a proxy.
type process struct {
	cmd         *exec.Cmd
	done        chan struct{} // closed when it has exited
	err         error         // result of the exit; valid once done is closed
	use         Usage         // valid once done is closed
	peak        atomic.Uint64 // peak resident memory seen so far, in KiB
	controlAddr string        // address of its control endpoint, or ""
	life        *Life
}

// Usage is the CPU time and memory that a process used.
type Usage struct {
	CPU      float64 `json:"cpu_s"`
	MemoryMB float64 `json:"memory_mb"` // peak resident memory
}

// startProcess starts a program whose output goes to the log. On Linux the program is killed
// when this process ends, even if this process is killed itself.
func startProcess(command []string, env []string, log *os.File, files ...*os.File) (*process, error) {
	p := &process{cmd: exec.Command(command[0], command[1:]...), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr, p.cmd.ExtraFiles = log, log, files
	started := make(chan error, 1)
	go func() {
		err := startTied(p.cmd)
		started <- err
		if err != nil {
			return
		}
		p.err = waitTied(p.cmd)
		p.use = usageOf(p.cmd.ProcessState)
		if kb := p.peak.Load(); kb > 0 {
			p.use.MemoryMB = float64(kb) / 1024
		}
		close(p.done)
	}()
	if err := <-started; err != nil {
		return nil, fmt.Errorf("start %s: %w", command[0], err)
	}
	return p, nil
}

func (p *process) signal(s os.Signal) { p.cmd.Process.Signal(s) }

// updatePeakMemory updates the peak of the process's resident memory.
func (p *process) updatePeakMemory() {
	if mb := residentPeak(p.cmd.Process.Pid); mb > 0 {
		p.peak.Store(uint64(mb * 1024))
	}
}

// ended reports whether the process has exited.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// terminate sends SIGTERM, and kills the process if it hasn't exited within the given time.
func (p *process) terminate(within time.Duration) (killed bool) {
	p.updatePeakMemory()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return false
	case <-time.After(within):
		p.signal(os.Kill)
		<-p.done
		return true
	}
}

// proxy is one proxy of the scenario, over all its processes.
type proxy struct {
	n       int
	addr    string
	rpc     string // MessagePack-RPC address, or ""
	command []string
	config  string // path of its configuration file
	logPath string
	log     *os.File

	listener   *os.File // inherited listener for clients; nil: the proxy opens it
	temp       string   // temporary folder that its processes share
	useControl bool     // its processes get a control endpoint
	attempts   int      // limit of attempts in its current settings

	mu        sync.Mutex // held during a start or a shutdown
	current   *process
	lifetimes []*Life
	use       Usage
}

// start starts a new process of the proxy.
func (p *proxy) start(at time.Duration) error {
	if p.log == nil {
		f, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
		if err != nil {
			return fmt.Errorf("log: %w", err)
		}
		p.log = f
	}
	env := []string{"NODE_CONFIG=" + p.config, "NODE_NAME=", "NODE_LISTEN=", "NODE_DISCOVERY=", "NODE_CONTROL=", "NODE_SOCKET_FD="}
	controlAddr := ""
	if p.useControl {
		addr, err := standin.Address()
		if err != nil {
			return err
		}
		controlAddr = addr
		env = append(env, "NODE_CONTROL="+controlAddr)
	}
	var files []*os.File
	if p.listener != nil {
		files = append(files, p.listener) // descriptor 3
		env = append(env, "NODE_SOCKET_FD=3", "TMPDIR="+p.temp)
	}
	current, err := startProcess(p.command, env, p.log, files...)
	if err != nil {
		return err
	}
	current.controlAddr, current.life = controlAddr, &Life{Proxy: p.n, Start: at}
	p.current = current
	p.lifetimes = append(p.lifetimes, current.life)
	return nil
}

// recordEnd records the end of a process, once.
func (p *proxy) recordEnd(q *process, at time.Duration, how string) {
	if q.life.How != "" {
		return
	}
	q.life.End, q.life.How = at, how
	p.use.CPU += q.use.CPU
	p.use.MemoryMB = max(p.use.MemoryMB, q.use.MemoryMB)
}

// logTail returns the last lines of the proxy's log.
func (p *proxy) logTail() string {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return ""
	}
	data = bytes.TrimSpace(data)
	if len(data) == 0 {
		return "it wrote nothing"
	}
	lines := bytes.Split(data, []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-3):], []byte(" | ")))
}

// FindMarlreel returns the path of the daemon: the one given, or else the one beside this program or on PATH.
func FindMarlreel(path string) (string, error) {
	if path != "" {
		full, err := filepath.Abs(path)
		if err != nil {
			return "", err
		}
		if i, err := os.Stat(full); err != nil || i.IsDir() || i.Mode()&0o111 == 0 {
			return "", fmt.Errorf("--marlreel %s: not an executable file", path)
		}
		return full, nil
	}
	if self, err := os.Executable(); err == nil {
		beside := filepath.Join(filepath.Dir(self), "marlreel")
		if i, err := os.Stat(beside); err == nil && !i.IsDir() {
			return beside, nil
		}
	}
	found, err := exec.LookPath("marlreel")
	if err != nil {
		return "", errors.New("marlreel was found neither beside this program nor on PATH: build it with 'go build -o bin/ ./cmd/...', or give its path with --marlreel")
	}
	return found, nil
}
