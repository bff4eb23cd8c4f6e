// Package transfer carries a large configuration from one instance to another: as the difference to
// the configuration that the receiver has, compressed, and in parts.
//
// Announcements and proofs between instances name a configuration by its revision and digest. An
// instance that lacks the content has at most one transfer in progress. It requests part after part,
// so that a transfer ends only if a part is not answered, and other frames on the link are delayed
// by one part at most. A sender serves few receivers at a time and refers the others to the
// instances that have the configuration by then, so that copies spread as a tree.
package transfer
