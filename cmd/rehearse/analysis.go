package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"marlreel/internal/experiment"
)

// printAnalysis prints an analysis as JSON or text. It writes the analysis's page to a folder, unless that is "".
func printAnalysis(o *output, a *experiment.Analysis, asJSON bool, folder string) error {
	if asJSON {
		if err := o.printJSON(a); err != nil {
			return err
		}
	} else {
		o.print(a.Text())
	}
	if folder == "" {
		return nil
	}
	page, err := writePage(a, folder)
	if err != nil {
		return err
	}
	if !asJSON {
		o.print(fmt.Sprintf("page: %s\n", page))
	}
	return nil
}

// writePage writes an analysis's page, its charts and its runs as CSV to a folder, and returns the page's path.
func writePage(a *experiment.Analysis, folder string) (string, error) {
	charts, err := a.Charts(folder)
	if err != nil {
		return "", err
	}
	page := filepath.Join(folder, a.Name+".md")
	if err := os.WriteFile(page, []byte(a.Markdown(charts)), 0o644); err != nil {
		return "", err
	}
	runs, err := os.Create(filepath.Join(folder, a.Name+".csv"))
	if err != nil {
		return "", err
	}
	return page, errors.Join(a.CSV(runs), runs.Close())
}
