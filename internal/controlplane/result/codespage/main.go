// Command codespage writes docs/CODES.md from the table of result codes.
//
//	go run ./internal/controlplane/result/codespage > docs/CODES.md
package main

import (
	"fmt"

	"marlreel/internal/controlplane/result"
)

func main() { fmt.Print(result.Page()) }
