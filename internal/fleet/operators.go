package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// SocketName is the file in the fleet's folder at which operators of this machine ask.
const SocketName = "fleet.sock"

// Reply is what the operators' socket answers where something went wrong.
type Reply struct {
	Error  string `json:"error"`
	Advice string `json:"advice,omitempty"`
	// Version is the one that was decided first, where that is what went wrong, and By is whose it is.
	Version uint64 `json:"version,omitempty"`
	By      string `json:"by,omitempty"`
}

const mostProposal = 1 << 20

// Serve answers operators at a Unix socket that only this user may open, until ctx ends. Whoever may change the
// settings of all proxies comes by it, and not by the platform's door.
func (f *Fleet) Serve(ctx context.Context) error {
	if f.o.Dir == "" {
		return nil
	}
	path := filepath.Join(f.o.Dir, SocketName)
	os.Remove(path) // of a process before, which has gone or goes
	ln, err := net.Listen("unix", path)
	if err != nil {
		return &SocketError{path, err}
	}
	ln.(*net.UnixListener).SetUnlinkOnClose(false) // a later process may have its own there
	if err := os.Chmod(path, 0o600); err != nil {
		ln.Close()
		return &SocketError{path, err}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fleet", func(w http.ResponseWriter, r *http.Request) { answer(w, f.Status(), nil) })
	mux.HandleFunc("GET /fleet/holders", func(w http.ResponseWriter, r *http.Request) {
		holders, err := f.Holders(r.Context())
		answer(w, holders, err)
	})
	mux.HandleFunc("GET /fleet/lists", func(w http.ResponseWriter, r *http.Request) {
		sight, err := f.Look(r.Context())
		answer(w, sight, err)
	})
	mux.HandleFunc("GET /fleet/newest", func(w http.ResponseWriter, r *http.Request) {
		result, err := f.Newest(r.Context())
		answer(w, result, err)
	})
	mux.HandleFunc("POST /fleet/check", func(w http.ResponseWriter, r *http.Request) {
		text, err := body(r)
		if err == nil {
			var before []string
			if v, some := f.Status().View.Newest(); some && v.Text != "" {
				before = append(before, v.Text)
			}
			err = f.o.Check(before, text)
		}
		answer(w, map[string]bool{"good": true}, err)
	})
	mux.HandleFunc("POST /fleet/propose", func(w http.ResponseWriter, r *http.Request) {
		text, err := body(r)
		if err != nil {
			answer(w, nil, err)
			return
		}
		base := uint64(OnNewest)
		if on := r.URL.Query().Get("base"); on != "" {
			if base, err = strconv.ParseUint(on, 10, 64); err != nil {
				answer(w, nil, &NoVersionError{})
				return
			}
		}
		result, err := f.Propose(r.Context(), text, by(r, f.o.Proxy), r.URL.Query().Get("why"), base)
		answer(w, result, err)
	})
	mux.HandleFunc("POST /fleet/rollback", func(w http.ResponseWriter, r *http.Request) {
		n, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
		if err != nil {
			answer(w, nil, &NoVersionError{n})
			return
		}
		result, err := f.Rollback(r.Context(), n, by(r, f.o.Proxy))
		answer(w, result, err)
	})
	mux.HandleFunc("POST /fleet/keepers", func(w http.ResponseWriter, r *http.Request) {
		result, err := f.Seat(r.Context(), r.URL.Query().Get("name"), r.URL.Query().Get("add") == "true")
		answer(w, result, err)
	})
	mux.HandleFunc("POST /fleet/floor", func(w http.ResponseWriter, r *http.Request) {
		f.ResetFloor(r.URL.Query().Get("source"))
		answer(w, map[string]bool{"asked": true}, nil)
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 2 * time.Second, ReadTimeout: 10 * time.Second, IdleTimeout: time.Second, MaxHeaderBytes: 8 << 10}
	context.AfterFunc(ctx, func() { server.Close() })
	if err := server.Serve(&few{Listener: ln, room: make(chan struct{}, 8)}); !errors.Is(err, http.ErrServerClosed) {
		return &SocketError{path, err}
	}
	return nil
}

func by(r *http.Request, proxy string) string {
	who := r.URL.Query().Get("by")
	if len(who) > 64 {
		who = who[:64]
	}
	if who == "" {
		return proxy
	}
	return who + " at " + proxy
}

func body(r *http.Request) (string, error) {
	text, err := io.ReadAll(io.LimitReader(r.Body, mostProposal))
	return string(text), err
}

func answer(w http.ResponseWriter, v any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		w.WriteHeader(http.StatusConflict)
		reply := Reply{Error: err.Error()}
		var a interface{ Advice() string }
		if errors.As(err, &a) {
			reply.Advice = a.Advice()
		}
		var refused *RefusedError
		if errors.As(err, &refused) {
			reply.Version, reply.By = refused.Result.Version, refused.Result.By
		}
		v = reply
	}
	json.NewEncoder(w).Encode(v)
}

// few bounds the operators' connections.
type few struct {
	net.Listener
	room chan struct{}
}

func (l *few) Accept() (net.Conn, error) {
	l.room <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.room
		return nil, err
	}
	return &placed{Conn: c, of: l}, nil
}

type placed struct {
	net.Conn
	of   *few
	once sync.Once
}

func (c *placed) Close() error {
	c.once.Do(func() { <-c.of.room })
	return c.Conn.Close()
}

// SocketError is an operators' socket that can't be served.
type SocketError struct {
	Path string
	Err  error
}

func (e *SocketError) Error() string { return "the operators' socket " + e.Path + ": " + e.Err.Error() }
func (e *SocketError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *SocketError) Advice() string {
	return "let fleet.dir be a folder that this proxy may write to, with a path of at most 90 characters"
}
