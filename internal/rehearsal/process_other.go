//go:build !linux

package rehearsal

import "os/exec"

func startTied(cmd *exec.Cmd) error { return cmd.Start() }
func waitTied(cmd *exec.Cmd) error  { return cmd.Wait() }

// residentPeak is not known here: the account at a process's end is taken.
func residentPeak(int) float64 { return 0 }
