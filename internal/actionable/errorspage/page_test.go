package main

import (
	"os"
	"testing"
)

func TestPageIsUpToDate(t *testing.T) {
	want, err := errorsPage("../../..")
	if err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile("../../../docs/ERRORS.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Error("docs/ERRORS.md is out of date: go run ./internal/actionable/errorspage > docs/ERRORS.md")
	}
}
