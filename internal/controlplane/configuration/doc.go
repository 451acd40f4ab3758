// Package configuration reads, validates, compares and changes the operator's configuration: routes, services,
// subscribers and limits.
//
// A Document is immutable once it is made, so it is shared between goroutines without a lock. What the operator
// sent is kept byte for byte, fields that this version doesn't know included: a newer version's fields survive a
// change that is made through an older process. The replicated state machine (controlplane/state) owns the
// document in force; control validates, and proxies only decode what was accepted.
//
// Keys of subscribers are looked up by their digests. They stand in a document as it was sent (Raw), and nowhere else
// that is shown: errors quote no JSON, comparisons are redacted (Redact), and a formatted Subscriber is its name.
//
// The package never decides whether a version may follow another one, stores nothing and calls nobody.
//
// Items are merged by their names, as lists with a merge key are in a strategic merge patch of Kubernetes; routes
// are matched by host and longest path prefix, as in the Gateway API.
//
// Functions return *result.Error rather than error, as every caller answers with the error's code. Don't assign
// such a result to an error variable before it is compared with nil.
package configuration
