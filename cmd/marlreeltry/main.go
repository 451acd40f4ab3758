// Command marlreeltry runs a small system on the loopback addresses of one machine, for a first look (internal/testing/demo).
//
// Deprecated: it is marlreeldemo now; this name goes with the next version.
package main

import (
	"fmt"
	"os"

	"marlreel/internal/testing/demo"
)

func main() {
	fmt.Fprintln(os.Stderr, "marlreeltry is called marlreeldemo now; this name goes with the next version")
	if err := demo.NewCommand("marlreeltry", os.Stderr).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
