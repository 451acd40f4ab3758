package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
)

// The operational side of a PlainProxy: the inherited listener, the control endpoint, and the reload of settings on SIGHUP.

// listen opens the clients' listener, or uses the one inherited from the platform.
func listen(addr string) (net.Listener, error) {
	if os.Getenv("NODE_SOCKET_FD") != "3" {
		return net.Listen("tcp", addr)
	}
	f := os.NewFile(3, "listener")
	defer f.Close()
	return net.FileListener(f)
}

// serveControl serves the platform's control endpoint on addr until ctx ends, and reloads the settings on SIGHUP.
func (p *PlainProxy) serveControl(ctx context.Context, addr, configPath string) error {
	var applied, rejected atomic.Int64
	hups := make(chan os.Signal, 8)
	signal.Notify(hups, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hups)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hups:
				if err := plainCheck(configPath); err == nil || p.Faults.TakeBroken {
					applied.Add(1)
				} else if !p.Faults.Mute {
					rejected.Add(1)
				}
			}
		}
	}()
	if addr == "" {
		return nil
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("plain proxy: %w", err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/control/ready" {
			p.mu.Lock()
			defer p.mu.Unlock()
			if !p.ready || p.Faults.NoYes {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			return
		}
		fmt.Fprintf(w, "proxy.sighup_applied:%d|c\nproxy.sighup_rejected:%d|c\n", applied.Load(), rejected.Load())
	})}
	context.AfterFunc(ctx, func() { s.Close() })
	go s.Serve(ln)
	return nil
}

// plainCheck validates the few settings that an invalid test file lacks.
func plainCheck(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var c struct {
		Settings struct {
			Services []struct {
				Effect string
				GiveUp float64
			}
			Caps struct{ MaxAttempts int }
		}
	}
	if err := json.Unmarshal(data, &c); err != nil {
		return err
	}
	for _, s := range c.Settings.Services {
		if s.Effect == "" || s.GiveUp <= 0 {
			return errors.New("settings: a service without an effect or a positive GiveUp")
		}
	}
	if len(c.Settings.Services) == 0 || c.Settings.Caps.MaxAttempts < 1 {
		return errors.New("settings: no services, or MaxAttempts below 1")
	}
	return nil
}
