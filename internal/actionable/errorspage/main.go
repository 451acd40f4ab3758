// Command errorspage prints docs/ERRORS.md. The page lists every type with a method Advice, its doc comment and its
// advice.
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
