// Command errorspage writes docs/ERRORS.md from the types of errors: each with a method Advice, its comment, and what it advises.
//
//	go run ./internal/actionable/errorspage > docs/ERRORS.md
package main

import (
	"fmt"
	"os"
)

func main() {
	text, err := errorsPage(".")
	if err != nil {
		fmt.Fprintln(os.Stderr, "errorspage:", err)
		os.Exit(1)
	}
	fmt.Print(text)
}
