// Package bootstrap reads and validates the settings file that the platform gives each process of the system, and
// follows its changes: the seeds may change while the process runs, other changes take effect at the next start.
//
// The process that reads the file owns its Settings. All fields are read-only after reading; Seeds and SeedPeers may
// be called by several goroutines while FollowChanges runs. DEPLOY.md documents the keys of the file. The package
// never writes a file and decides nothing about membership: seeds are only the machines that a process contacts
// first.
package bootstrap
