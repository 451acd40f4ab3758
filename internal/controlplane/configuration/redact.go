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
	// accessKeysField is the JSON name of Subscriber.AccessKeys.
	accessKeysField = "access_keys"
	// fingerprintBytes is how many bytes of a key's SHA-256 its fingerprint has: enough to tell thousands of keys apart.
	fingerprintBytes = 6
	// redactedPrefix precedes the fingerprint that replaces a key.
	redactedPrefix = "redacted:"
)

// KeyFingerprint returns the text that is shown instead of a key; equal keys have equal fingerprints. It reveals nothing
// about a random key, but a guess of a weak key can be checked against it.
func KeyFingerprint(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:fingerprintBytes])
}

// Redact returns a configuration's JSON with each access key replaced by its fingerprint. JSON without access keys is
// returned unchanged. It fails with result.Malformed, as JSON that can't be decoded can't be redacted.
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
	_ = encoder.Encode(value) // values decoded from JSON always marshal
	return bytes.TrimSuffix(out.Bytes(), []byte("\n")), nil
}

// redactKeys replaces the access keys in a decoded value, at any depth, and reports whether there were any.
func redactKeys(value any) bool {
	found := false
	switch value := value.(type) {
	case map[string]any:
		for name, field := range value {
			// Decoding a configuration ignores the case of field names, too.
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

// redactedField returns the replacement for a field of access keys: each item of a list is redacted, and any other value
// is redacted as a whole.
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
		data, _ := json.Marshal(value) // values decoded from JSON always marshal
		text = string(data)
	}
	return redactedPrefix + KeyFingerprint(text)
}
