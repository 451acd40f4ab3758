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

	"marlreel/internal/actionable"
)

// SocketName is the name of the operators' Unix socket in the fleet's folder.
const SocketName = "fleet.sock"

// ErrorReply is the body of an answer of the operators' socket that is not 200.
type ErrorReply struct {
	Error  string `json:"error"`
	Advice string `json:"advice,omitempty"`
	// Version was decided first, and proposed by By, where a proposal failed for that.
	Version uint64 `json:"version,omitempty"`
	By      string `json:"by,omitempty"`
}

// Bounds of the operators' socket.
const (
	maxProposalBytes         = 1 << 20
	maxProposerBytes         = 64
	maxOperatorHeaderBytes   = 8 << 10
	maxOperatorConnections   = 8
	operatorHeaderTimeout    = 2 * time.Second
	operatorReadTimeout      = 10 * time.Second
	operatorKeepAliveTimeout = time.Second
)

// ServeOperators serves operators at a Unix socket that only this user may open, until ctx ends; without a folder it
// returns at once. Changes to the settings of all proxies are accepted here only, and not at the platform's control
// address. Its error is a *SocketError.
func (f *Fleet) ServeOperators(ctx context.Context) error {
	if f.options.Dir == "" {
		return nil
	}
	path := filepath.Join(f.options.Dir, SocketName)
	listener, err := listenPrivately(path)
	if err != nil {
		return &SocketError{path, err}
	}
	server := &http.Server{
		Handler: f.operatorHandler(), ReadHeaderTimeout: operatorHeaderTimeout, ReadTimeout: operatorReadTimeout,
		IdleTimeout: operatorKeepAliveTimeout, MaxHeaderBytes: maxOperatorHeaderBytes,
	}
	context.AfterFunc(ctx, func() { server.Close() })
	limited := &limitedListener{Listener: listener, slots: make(chan struct{}, maxOperatorConnections)}
	if err := server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
		return &SocketError{path, err}
	}
	return nil
}

// listenPrivately listens at a Unix socket that only this user may open, replacing one that a previous process
// left there. The file stays after Close, as a later process may have its own socket there by then.
func listenPrivately(path string) (net.Listener, error) {
	_ = os.Remove(path)
	listener, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	listener.(*net.UnixListener).SetUnlinkOnClose(false)
	if err := os.Chmod(path, 0o600); err != nil {
		listener.Close()
		return nil, err
	}
	return listener, nil
}

func (f *Fleet) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fleet", func(w http.ResponseWriter, _ *http.Request) { reply(w, f.Status(), nil) })
	mux.HandleFunc("GET /fleet/holders", func(w http.ResponseWriter, r *http.Request) {
		holders, err := f.LeaseHolders(r.Context())
		reply(w, holders, err)
	})
	mux.HandleFunc("GET /fleet/lists", func(w http.ResponseWriter, r *http.Request) {
		comparison, err := f.CompareMemberships(r.Context())
		reply(w, comparison, err)
	})
	mux.HandleFunc("GET /fleet/newest", func(w http.ResponseWriter, r *http.Request) {
		result, err := f.NewestVersion(r.Context())
		reply(w, result, err)
	})
	mux.HandleFunc("POST /fleet/check", f.handleCheck)
	mux.HandleFunc("POST /fleet/propose", f.handlePropose)
	mux.HandleFunc("POST /fleet/rollback", f.handleRollback)
	mux.HandleFunc("POST /fleet/keepers", func(w http.ResponseWriter, r *http.Request) {
		result, err := f.ChangeKeeper(r.Context(), r.URL.Query().Get("name"), r.URL.Query().Get("add") == "true")
		reply(w, result, err)
	})
	mux.HandleFunc("POST /fleet/floor", func(w http.ResponseWriter, r *http.Request) {
		f.ResetFloor(r.URL.Query().Get("source"))
		reply(w, map[string]bool{"asked": true}, nil)
	})
	return mux
}

// handleCheck checks settings against the newest version, and proposes nothing.
func (f *Fleet) handleCheck(w http.ResponseWriter, r *http.Request) {
	text, err := readProposal(r)
	if err == nil {
		var previous []string
		if version, exists := f.Status().State.Newest(); exists && version.Text != "" {
			previous = append(previous, version.Text)
		}
		err = f.options.Check(previous, text)
	}
	reply(w, map[string]bool{"good": true}, err)
}

func (f *Fleet) handlePropose(w http.ResponseWriter, r *http.Request) {
	text, err := readProposal(r)
	if err != nil {
		reply(w, nil, err)
		return
	}
	base := BaseNewest
	if number := r.URL.Query().Get("base"); number != "" {
		if base, err = strconv.ParseUint(number, 10, 64); err != nil {
			reply(w, nil, &NoVersionError{})
			return
		}
	}
	result, err := f.Propose(r.Context(), text, f.proposer(r), r.URL.Query().Get("why"), base)
	reply(w, result, err)
}

func (f *Fleet) handleRollback(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		reply(w, nil, &NoVersionError{number})
		return
	}
	result, err := f.Rollback(r.Context(), number, f.proposer(r))
	reply(w, result, err)
}

// proposer returns who a proposal is attributed to.
func (f *Fleet) proposer(r *http.Request) string {
	name := r.URL.Query().Get("by")
	if name == "" {
		return f.options.Proxy
	}
	return name[:min(len(name), maxProposerBytes)] + " at " + f.options.Proxy
}

// readProposal reads the settings of a request; what goes beyond maxProposalBytes is cut off.
func readProposal(r *http.Request) (string, error) {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxProposalBytes))
	return string(text), err
}

// reply writes a value as JSON, or an error as an ErrorReply with status 409.
func reply(w http.ResponseWriter, value any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		w.WriteHeader(http.StatusConflict)
		errorReply := ErrorReply{Error: err.Error(), Advice: actionable.AdviceFor(err)}
		var refused *RefusedError
		if errors.As(err, &refused) {
			errorReply.Version, errorReply.By = refused.Result.Version, refused.Result.By
		}
		value = errorReply
	}
	_ = json.NewEncoder(w).Encode(value) // fails if the client has disconnected
}

// limitedListener accepts a connection once one of its slots is free.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, slots: l.slots}, nil
}

// limitedConn frees its slot when it is closed.
type limitedConn struct {
	net.Conn
	slots  chan struct{}
	closed sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.closed.Do(func() { <-c.slots })
	return c.Conn.Close()
}
