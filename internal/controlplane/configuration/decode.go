package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"marlreel/internal/controlplane/result"
)

// Parse decodes and validates a complete configuration. The error has the code of the first violation and the texts
// of up to maxListedViolations of them.
func Parse(data []byte) (*Document, *result.Error) {
	document, violations := Validate(data)
	if err := combine(violations); err != nil {
		return nil, err
	}
	return document, nil
}

// Decode decodes a complete configuration without validating it, as that was done when it was accepted. It fails with
// result.Malformed.
func Decode(data []byte) (*Document, *result.Error) {
	document := &Document{raw: newRawDocument(data)}
	if err := decodeJSON(data, document); err != nil {
		return nil, result.Errorf(result.Malformed, "configuration: %s", describeJSONError(err))
	}
	document.buildIndex()
	return document, nil
}

// DecodeVersion decodes only the version of a configuration or a change. It fails with result.Malformed, or with
// result.InvalidField if there is no version.
func DecodeVersion(data []byte) (uint64, *result.Error) {
	var head struct {
		Version *uint64 `json:"config_version"`
	}
	if err := decodeJSON(data, &head); err != nil {
		return 0, result.Errorf(result.Malformed, "configuration: %s", describeJSONError(err))
	}
	if head.Version == nil {
		return 0, result.Errorf(result.InvalidField, "config_version is missing")
	}
	return *head.Version, nil
}

var errTrailingData = errors.New("more follows after the document")

// decodeJSON decodes data that consists of exactly one JSON value.
func decodeJSON(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errTrailingData
	}
	return nil
}

// describeJSONError describes a decoding error. Unlike the error's own text it quotes nothing of the JSON, which may
// contain access keys.
func describeJSONError(err error) string {
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return fmt.Sprintf("no valid JSON at byte %d", syntax.Offset)
	case errors.As(err, &mismatch):
		return fmt.Sprintf("a value of another type in %q at byte %d", mismatch.Field, mismatch.Offset)
	case errors.Is(err, errTrailingData), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return err.Error()
	}
	return "no valid JSON"
}
