// Package configuration reads, validates, compares and changes the operator's configuration: routes, services,
// subscribers and limits.
//
// A Document is immutable after construction, so goroutines share it without a lock. The JSON that the operator sent
// is kept byte for byte, including fields that this version doesn't know: fields of a newer version survive a change
// that is made through an older process. The replicated state machine (controlplane/state) owns the current document;
// control validates it, and proxies only decode what was accepted.
//
// Access keys of subscribers are looked up by their digests. Of all output, only a document's JSON (Raw) contains them
// in clear text: errors quote no JSON, Diff and Redact replace keys by fingerprints, and a formatted Subscriber shows
// only its name.
//
// The package doesn't decide whether one version may follow another, stores nothing and makes no calls to other
// processes.
//
// Items are merged by name, like lists with a merge key in a Kubernetes strategic merge patch; routes are matched by
// host and longest path prefix, as in the Gateway API.
//
// Functions return *result.Error rather than error, because every caller responds with the error's code. Compare such
// a result with nil before assigning it to an error variable, where a nil *result.Error is no longer equal to nil.
package configuration
