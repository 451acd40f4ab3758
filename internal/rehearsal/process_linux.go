package rehearsal

import (
	"bytes"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"syscall"
)

// startTied starts a child that the kernel kills when its parent thread ends. So the
// thread is kept: the goroutine stays locked to it until waitTied.
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

// residentPeak is the most that a process had resident so far, in MB; 0 is not known.
// The system's own account at a child's end won't do: it includes what the parent had
// resident when it forked.
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
