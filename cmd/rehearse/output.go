package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"marlreel/internal/rehearsal"
)

// clearLine moves the cursor to the beginning of the terminal's line and erases the line.
const clearLine = "\r\x1b[K"

// output holds the destinations of a command: out for results, err for progress and messages.
type output struct {
	out, err io.Writer
	terminal bool // err is a terminal
}

func newOutput(out, err io.Writer) *output {
	return &output{out: out, err: err, terminal: isTerminal(err)}
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// printJSON prints a value as indented JSON.
func (o *output) printJSON(v any) error {
	e := json.NewEncoder(o.out)
	e.SetIndent("", " ")
	return e.Encode(v)
}

// print prints text. Write errors are ignored, as they could not be reported anywhere.
func (o *output) print(text string) { fmt.Fprint(o.out, text) }

// progress returns a function that shows a run's progress in one line, or nil without a terminal.
func (o *output) progress(name string) func(rehearsal.Progress) {
	if !o.terminal {
		return nil
	}
	return func(p rehearsal.Progress) {
		switch {
		case p.Phase != "playing":
			fmt.Fprintf(o.err, clearLine+"%s: %s", name, p.Phase)
		case p.Asked > 0:
			fmt.Fprintf(o.err, clearLine+"%s: %2.0f of %.0f s, %d requests, %.1f%% of the worth served so far, %d nodes and %d proxies up",
				name, p.At.Seconds(), p.Length.Seconds(), p.Requests, 100*p.Served/p.Asked, p.Nodes, p.Proxies)
		}
	}
}

// clearProgress erases the line of progress.
func (o *output) clearProgress() {
	if o.terminal {
		fmt.Fprint(o.err, clearLine)
	}
}
