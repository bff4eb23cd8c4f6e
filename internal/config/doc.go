// Package config turns the document that operators publish into the snapshot
// that requests are served under.
//
// Decode and Validate are pure functions of the document's bytes: every
// instance accepts or rejects the same content with the same reason, without
// talking to another. Holder keeps the highest accepted revision and never goes
// back. A Snapshot is immutable; a request keeps the one it started under.
package config
