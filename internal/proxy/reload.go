package proxy

import (
	"context"
	"log"
	"os"

	"marlreel/internal/config"
)

// Reloads reads the configuration again at each signal and hands on what is good.
// A file that can't be read or makes no sense is told in one line, and what is in
// force stays. The environment's address of discovery is the one of the start: from
// the first signal on the file's goes before it.
func Reloads(ctx context.Context, signals <-chan os.Signal, path string, getenv func(string) string, logger *log.Logger) <-chan *config.Platform {
	configs := make(chan *config.Platform)
	fileFirst := func(name string) string {
		if name == config.EnvDiscovery {
			return ""
		}
		return getenv(name)
	}
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
			}
			cfg, err := config.LoadPlatform(path, fileFirst)
			if err != nil {
				logger.Printf("not reloaded: %v", err)
				continue
			}
			select {
			case configs <- cfg:
			case <-ctx.Done():
				return
			}
		}
	}()
	return configs
}
