package configuration

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"

	"marlreel/internal/controlplane/result"
)

const (
	// accessKeysField is the field of a subscriber's keys.
	accessKeysField = "access_keys"
	// fingerprintBytes is how much of a key's SHA-256 its fingerprint shows: enough to tell thousands of keys apart.
	fingerprintBytes = 6
	// redactedPrefix stands before the fingerprint that takes the place of a key.
	redactedPrefix = "redacted:"
)

// KeyFingerprint is what is shown of a key in its place: the same for the same key. It gives nothing away of a random
// key; one that can be guessed can be tried against it.
func KeyFingerprint(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:fingerprintBytes])
}

// Redact returns a configuration's JSON with a fingerprint in place of each key of a subscriber. JSON without such keys
// is returned as it is. It fails with result.Malformed, as what can't be decoded can't be redacted.
func Redact(document []byte) ([]byte, *result.Error) {
	value, err := decodeValue(document)
	if err != nil {
		return nil, err
	}
	if !redactKeys(value) {
		return document, nil
	}
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(value) // it was decoded from JSON
	return bytes.TrimSuffix(out.Bytes(), []byte("\n")), nil
}

// redactKeys replaces the keys in a decoded value, at any depth, and reports whether there were any.
func redactKeys(value any) bool {
	found := false
	switch value := value.(type) {
	case map[string]any:
		for name, field := range value {
			// Names of fields are decoded without regard to case.
			if strings.EqualFold(name, accessKeysField) {
				value[name] = redactedField(field)
				found = true
			} else if redactKeys(field) {
				found = true
			}
		}
	case []any:
		for _, item := range value {
			if redactKeys(item) {
				found = true
			}
		}
	}
	return found
}

// redactedField is what takes the place of a field of keys: a list in which each item is redacted; where it is no list,
// a redaction of the whole.
func redactedField(field any) any {
	list, isList := field.([]any)
	if !isList {
		return redactedValue(field)
	}
	redacted := make([]any, len(list))
	for i, item := range list {
		redacted[i] = redactedValue(item)
	}
	return redacted
}

func redactedValue(value any) any {
	if value == nil {
		return nil
	}
	text, isText := value.(string)
	if !isText {
		data, _ := json.Marshal(value) // it was decoded from JSON
		text = string(data)
	}
	return redactedPrefix + KeyFingerprint(text)
}
