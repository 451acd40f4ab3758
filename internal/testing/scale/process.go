package scale

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"marlreel/internal/process/bootstrap"
)

// process is a running process of a role. Its owner must kill it.
type process struct {
	role    string
	command *exec.Cmd
	stderr  *bytes.Buffer // read it only after the process has ended
}

// startProcess starts the program in a role, with settings.
func startProcess(program, role, folder string, settings *bootstrap.Settings) (*process, error) {
	data, err := toml.Marshal(settings)
	if err != nil {
		return nil, eris.Wrap(err, "marshalling settings")
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

// kill ends the process at once.
func (p *process) kill() {
	_ = p.command.Process.Kill() // fails only if the process has already ended
	_ = p.command.Wait()
}
