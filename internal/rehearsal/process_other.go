//go:build !linux

package rehearsal

import "os/exec"

func startTied(cmd *exec.Cmd) error { return cmd.Start() }
func waitTied(cmd *exec.Cmd) error  { return cmd.Wait() }

// residentPeak returns 0, as the peak is unknown here; the rusage of the exited process is used instead.
func residentPeak(int) float64 { return 0 }
