// Command marlreeldemo runs a small system on the loopback addresses of one machine, for a first look (internal/testing/demo).
package main

import (
	"fmt"
	"os"

	"marlreel/internal/testing/demo"
)

func main() {
	if err := demo.NewCommand("marlreeldemo", os.Stderr).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
