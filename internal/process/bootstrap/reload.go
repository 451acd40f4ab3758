package bootstrap

import (
	"context"
	"os"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"marlreel/internal/process/logevent"
)

// pollInterval is how often the settings file is looked at: it may change without a signal.
const pollInterval = 2 * time.Second

// FollowChanges takes over the seeds of the settings file whenever it has changed, at a signal or without one, until
// ctx ends. A file that can't be used is logged, and the seeds stay.
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

// fileVersion tells one state of a file from another. It is empty for a file that can't be read.
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
