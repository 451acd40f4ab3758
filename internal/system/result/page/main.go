// Page writes docs/CODES.md from the table of result codes.
//
//	go run ./internal/system/result/page > docs/CODES.md
package main

import (
	"fmt"

	"marlreel/internal/system/result"
)

func main() { fmt.Print(result.Page()) }
