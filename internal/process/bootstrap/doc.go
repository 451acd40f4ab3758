// Package bootstrap reads the settings file that the platform gives each process of the system, validates it, and
// follows its changes: the seeds may change while the process runs, all else counts at the next start.
//
// The process that reads the file owns its Settings. All fields are read-only once they are read; Seeds and
// SeedPeers may be called by several goroutines while FollowChanges runs. Keys of the file are those of the users'
// pages (DEPLOY.md). The package never writes a file, and decides nothing about membership: seeds are only where a
// process asks first.
package bootstrap
