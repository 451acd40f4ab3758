package bootstrap

import (
	"context"
	"os"
	"slices"
	"time"

	"github.com/go-logr/logr"
)

// lookEvery is how often the settings file is looked at: it may change without a signal.
const lookEvery = 2 * time.Second

// Follow takes in the seeds of the settings file when it has changed, at a signal or
// without one, until ctx ends. All else counts at the next start. A file that can't be used
// is one line in the log, and what was known stays.
func (s *Settings) Follow(ctx context.Context, path string, signals <-chan os.Signal, log logr.Logger) {
	looks := time.NewTicker(lookEvery)
	defer looks.Stop()
	last := stampOf(path)
	for {
		select {
		case <-signals:
		case <-looks.C:
			if now := stampOf(path); now == last {
				continue
			}
		case <-ctx.Done():
			return
		}
		last = stampOf(path)
		s.reload(path, log)
	}
}

func (s *Settings) reload(path string, log logr.Logger) {
	next, err := Read(path)
	if err != nil {
		log.Error(err, "the settings stay as they were", "event", "settings")
		return
	}
	if slices.Equal(next.SeedNodes, s.Seeds()) {
		return
	}
	s.newSeeds.Store(&next.SeedNodes)
	log.Info("other seeds count from now on", "event", "settings", "seeds", next.SeedNodes)
}

// stamp tells one state of a file from another.
type stamp struct {
	size     int64
	modified time.Time
}

func stampOf(path string) stamp {
	info, err := os.Stat(path)
	if err != nil {
		return stamp{}
	}
	return stamp{info.Size(), info.ModTime()}
}
