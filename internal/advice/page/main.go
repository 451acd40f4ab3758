// Page writes docs/ERRORS.md from the types of errors: each with a method Advice, its comment, and what it advises.
//
//	go run ./internal/advice/page > docs/ERRORS.md
package main

import (
	"fmt"
	"os"
)

func main() {
	text, err := Page(".")
	if err != nil {
		fmt.Fprintln(os.Stderr, "page:", err)
		os.Exit(1)
	}
	fmt.Print(text)
}
