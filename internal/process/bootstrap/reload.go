package bootstrap

import (
	"context"
	"os"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"marlreel/internal/process/logevent"
)

// pollInterval is how often the settings file is checked, as it may change without a signal.
const pollInterval = 2 * time.Second

// FollowChanges applies the seeds of the settings file whenever it has changed, with or without a signal, until ctx
// ends. An invalid file is logged, and the previous seeds stay in use.
func (s *Settings) FollowChanges(ctx context.Context, path string, signals <-chan os.Signal, log logr.Logger) {
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	last := fileVersionOf(path)
	for {
		select {
		case <-signals:
		case <-poll.C:
			if fileVersionOf(path) == last {
				continue
			}
		case <-ctx.Done():
			return
		}
		last = fileVersionOf(path)
		s.reload(path, log)
	}
}

func (s *Settings) reload(path string, log logr.Logger) {
	next, err := Read(path)
	if err != nil {
		log.Error(err, logevent.SettingsRejected)
		return
	}
	if slices.Equal(next.SeedNodes, s.Seeds()) {
		return
	}
	s.newSeeds.Store(&next.SeedNodes)
	log.Info(logevent.SeedsChanged, logevent.KeySeeds, next.SeedNodes)
}

// fileVersion identifies the state of a file. It is empty for a file that can't be read.
type fileVersion struct {
	size     int64
	modified time.Time
}

func fileVersionOf(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{size: info.Size(), modified: info.ModTime()}
}
