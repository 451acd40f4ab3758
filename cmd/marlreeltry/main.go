// Command marlreeltry runs a small system on the loopback addresses of one machine, for a first look (internal/testing/demo).
//
// Deprecated: use marlreeldemo; this name will be removed in the next version.
package main

import (
	"fmt"
	"os"

	"marlreel/internal/testing/demo"
)

func main() {
	fmt.Fprintln(os.Stderr, "marlreeltry has been renamed to marlreeldemo; the old name will be removed in the next version")
	if err := demo.NewCommand("marlreeltry", os.Stderr).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
