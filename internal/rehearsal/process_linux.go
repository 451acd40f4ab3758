package rehearsal

import (
	"bytes"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"syscall"
)

// startTied starts a child process that the kernel kills when the parent thread ends. The
// goroutine stays locked to its thread until waitTied, so that the thread doesn't end before.
func startTied(cmd *exec.Cmd) error {
	runtime.LockOSThread()
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	err := cmd.Start()
	if err != nil {
		runtime.UnlockOSThread()
	}
	return err
}

func waitTied(cmd *exec.Cmd) error {
	defer runtime.UnlockOSThread()
	return cmd.Wait()
}

// residentPeak returns a process's peak resident memory so far in MB, or 0 if it is unknown.
// The rusage of an exited child can't be used: its Maxrss includes what the parent had
// resident at the fork.
func residentPeak(pid int) float64 {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(data) {
		if rest, found := bytes.CutPrefix(line, []byte("VmHWM:")); found {
			if f := bytes.Fields(rest); len(f) == 2 {
				kb, _ := strconv.ParseFloat(string(f[0]), 64)
				return kb / 1024
			}
		}
	}
	return 0
}
