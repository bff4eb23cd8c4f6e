// Package config turns the document that operators publish into the snapshot
// under which requests are served.
//
// Decoding and validation are pure functions of the bytes of the document and its
// parts: every instance accepts or rejects the same content with the same error,
// without communicating with another. Holder keeps the highest accepted revision and
// never returns to a lower one. A Snapshot is immutable; a request uses the one under
// which it started.
package config
